//! The runtime of a router: tasks and timers on one thread.
//!
//! Timers are kept in one ordered queue that is processed in ticks: when the first timer expires,
//! but at most once every few milliseconds. An operating-system timer for each would cost several
//! system calls per request and streamed event, and timers may be a few milliseconds late. Periodic
//! tasks sleep until aligned ticks, so that an idle router is rarely woken.

use crate::clock::Clock;
use crate::idle_time::IdleTime;
use crate::watched_task::ConnectionTroubles;
use mastbay_types::Timestamp;
use mastbay_web::TimedOut;
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Minimum interval between two ticks.
pub(crate) const MIN_TICK_INTERVAL: Duration = Duration::from_millis(8);
/// Interval between aligned ticks, on which periodic tasks wake up together.
pub(crate) const ALIGNED_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Timers that expire this soon after a tick fire with it.
const TIMER_SLACK: Duration = Duration::from_millis(4);

/// Handle to spawn tasks on the router's thread and to set timers.
#[derive(Debug, Clone, Copy)]
pub struct Runtime {
    executor: &'static LocalExecutor<'static>,
    requests: &'static LocalExecutor<'static>,
    control: &'static LocalExecutor<'static>,
    timers: &'static TimerQueue,
    troubles: &'static ConnectionTroubles,
    idle: &'static IdleTime,
}

impl Runtime {
    /// Creates a runtime without tasks. It is never freed.
    pub fn leaked() -> Self {
        let timers: &'static TimerQueue = Box::leak(Box::default());
        let requests: &'static LocalExecutor<'static> = Box::leak(Box::default());
        let control: &'static LocalExecutor<'static> = Box::leak(Box::default());
        control.spawn(timers.run()).detach();
        Self {
            executor: requests,
            requests,
            control,
            timers,
            troubles: Box::leak(Box::default()),
            idle: Box::leak(Box::default()),
        }
    }

    /// Returns a handle for control tasks: peers, sources and readiness. They run before tasks that
    /// serve requests, so that an overloaded router still receives updates.
    pub fn control(self) -> Self {
        Self { executor: self.control, ..self }
    }

    /// Runs all tasks until `future` completes.
    pub async fn run<T>(self, future: impl Future<Output = T>) -> T {
        // Boxed, since each future that it is moved into would hold it twice.
        let running = Box::pin(self.requests.run(self.control.run(future)));
        self.idle.observe(|| self.now(), running).await
    }

    /// Spawns a task on this handle's executor.
    pub fn spawn<T: 'static>(self, future: impl Future<Output = T> + 'static) -> smol::Task<T> {
        self.executor.spawn(future)
    }

    /// Returns the counts of troubles with connections.
    pub(crate) fn troubles(self) -> &'static ConnectionTroubles {
        self.troubles
    }

    /// Returns the measurement of the time for which no task is ready.
    pub(crate) fn idle_time(self) -> &'static IdleTime {
        self.idle
    }

    /// Returns the time since the machine started, suspensions included.
    pub fn now(self) -> Timestamp {
        self.timers.clock.now()
    }

    /// Returns the wall-clock time since the Unix epoch.
    pub(crate) fn wall_clock(self) -> Duration {
        self.timers.clock.wall_clock()
    }

    /// Advances the clock as if the machine had just been suspended for `span`. For tests.
    pub fn advance_clock(self, span: Duration) {
        self.timers.clock.advance(span);
    }

    /// Waits for `span`, rounded to ticks.
    pub fn sleep(self, span: Duration) -> Sleep {
        Sleep::new(self.timers, self.now() + span)
    }

    /// Returns the time until the aligned tick nearest to `span` from now, at least the next one.
    pub fn until_aligned_tick(self, span: Duration) -> Duration {
        let now = self.now().since(Timestamp::ZERO);
        let tick = ALIGNED_TICK_INTERVAL.as_secs_f64();
        let nearest = ((now + span).as_secs_f64() / tick).round();
        let next = (now.as_secs_f64() / tick).floor() + 1.0;
        ALIGNED_TICK_INTERVAL.mul_f64(nearest.max(next)).saturating_sub(now)
    }

    /// Runs a future for up to `limit` and returns its output.
    ///
    /// # Errors
    /// [`TimedOut`] if the limit expires first.
    pub async fn within<F: Future>(
        self,
        limit: Duration,
        future: F,
    ) -> Result<F::Output, TimedOut> {
        let output = async { Ok(future.await) };
        let expired = async {
            self.sleep(limit).await;
            Err(TimedOut)
        };
        output.or(expired).await
    }

    /// Returns the timer for the HTTP library.
    pub fn http_timer(self) -> HttpTimer {
        HttpTimer(self.timers)
    }
}

/// Adapts the timer queue to the HTTP library.
#[derive(Debug, Clone, Copy)]
pub struct HttpTimer(&'static TimerQueue);

impl hyper::rt::Timer for HttpTimer {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep::new(self.0, self.0.clock.now() + span))
    }

    fn sleep_until(&self, due: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep(due.saturating_duration_since(Instant::now()))
    }
}

/// The key of a timer: its expiry time and a unique number.
type TimerKey = (Timestamp, u64);

#[derive(Debug)]
struct TimerState {
    wakers: BTreeMap<TimerKey, Waker>,
    last_id: u64,
    /// When the next tick runs; `None` if there is no timer.
    next_tick: Option<Timestamp>,
}

/// All timers of a thread in the order of their expiry. Only that thread locks it.
#[derive(Debug)]
struct TimerQueue {
    clock: Clock,
    state: Mutex<TimerState>,
    /// Notified when a timer is added that expires before the next tick.
    earlier: (Sender<()>, Receiver<()>),
}

impl Default for TimerQueue {
    fn default() -> Self {
        let state = TimerState { wakers: BTreeMap::new(), last_id: 0, next_tick: None };
        Self {
            clock: Clock::default(),
            state: Mutex::new(state),
            earlier: smol::channel::bounded(1),
        }
    }
}

impl TimerQueue {
    async fn run(&self) {
        let mut last_tick = self.clock.now();
        loop {
            self.wait_for_tick(last_tick + MIN_TICK_INTERVAL).await;
            last_tick = self.clock.now();
            self.wake_expired(last_tick);
        }
    }

    /// Waits until the first timer expires, at least until `earliest`.
    async fn wait_for_tick(&self, earliest: Timestamp) {
        loop {
            let next_tick = self.schedule_tick(earliest);
            let is_due = async {
                match next_tick {
                    Some(next_tick) => {
                        let span = next_tick.since(self.clock.now());
                        smol::Timer::after(span).await;
                    }
                    None => std::future::pending().await,
                }
                true
            };
            // Cannot fail: the sender lives as long as the receiver.
            let is_earlier = async { self.earlier.1.recv().await.is_err() };
            if is_due.or(is_earlier).await {
                return;
            }
        }
    }

    fn schedule_tick(&self, earliest: Timestamp) -> Option<Timestamp> {
        let mut state = self.lock();
        let first = state.wakers.first_key_value().map(|((due, _), _)| *due);
        state.next_tick = first.map(|due| due.max(earliest));
        state.next_tick
    }

    fn wake_expired(&self, now: Timestamp) {
        let mut state = self.lock();
        let pending = state.wakers.split_off(&(now + TIMER_SLACK, 0));
        let expired = std::mem::replace(&mut state.wakers, pending);
        drop(state);
        expired.into_values().for_each(Waker::wake);
    }

    fn add(&self, due: Timestamp, waker: Waker) -> TimerKey {
        let mut state = self.lock();
        state.last_id += 1;
        let key = (due, state.last_id);
        state.wakers.insert(key, waker);
        if state.next_tick.is_none_or(|next_tick| due < next_tick) {
            // A full channel already holds a notification.
            let _ = self.earlier.0.try_send(());
        }
        key
    }

    fn lock(&self) -> MutexGuard<'_, TimerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until a point in time, rounded to ticks.
#[derive(Debug)]
pub struct Sleep {
    timers: &'static TimerQueue,
    due: Timestamp,
    key: Option<TimerKey>,
}

impl Sleep {
    fn new(timers: &'static TimerQueue, due: Timestamp) -> Self {
        Self { timers, due, key: None }
    }

    fn is_elapsed(&self) -> bool {
        match self.key {
            Some(key) => !self.timers.lock().wakers.contains_key(&key),
            None => self.timers.clock.now() >= self.due,
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.is_elapsed() {
            self.key = None;
            self.due = self.timers.clock.now();
            return Poll::Ready(());
        }
        match self.key {
            Some(key) => {
                if let Some(waker) = self.timers.lock().wakers.get_mut(&key) {
                    waker.clone_from(context.waker());
                }
            }
            None => self.key = Some(self.timers.add(self.due, context.waker().clone())),
        }
        Poll::Pending
    }
}

impl hyper::rt::Sleep for Sleep {}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.timers.lock().wakers.remove(&key);
        }
    }
}
