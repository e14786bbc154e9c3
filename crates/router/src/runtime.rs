//! The router's one thread: tasks on it, and limits on how long they wait.
//!
//! Limits are kept in one ordered list that is looked through in turns: when the first of them ends, and not more
//! often than each few milliseconds. A timer of the operating system for each would cost several system calls a
//! request and a streamed event, where a limit that is a few milliseconds late does no harm. Work that repeats ends its
//! sleeps on common turns, so that a router with little to do is seldom woken: hundreds of them share a machine room,
//! and each wake-up costs processor time.

use crate::clock::Clock;
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

/// Least time between two turns.
pub(crate) const TURN_PERIOD: Duration = Duration::from_millis(8);
/// Time between two common turns, on which work that repeats ends its sleeps.
pub(crate) const COMMON_TURN: Duration = Duration::from_millis(20);
/// Limits that end this soon after a turn end with it.
const SLACK: Duration = Duration::from_millis(4);

/// Starts tasks on the router's one thread and bounds their waits.
#[derive(Debug, Clone, Copy)]
pub struct Runtime {
    executor: &'static LocalExecutor<'static>,
    requests: &'static LocalExecutor<'static>,
    control: &'static LocalExecutor<'static>,
    limits: &'static LimitList,
}

impl Runtime {
    /// A runtime without tasks. It lives as long as the process.
    pub fn leaked() -> Self {
        let limits: &'static LimitList = Box::leak(Box::default());
        let requests: &'static LocalExecutor<'static> = Box::leak(Box::default());
        let control: &'static LocalExecutor<'static> = Box::leak(Box::default());
        control.spawn(limits.keep()).detach();
        Self { executor: requests, requests, control, limits }
    }

    /// The same runtime for tasks that control the router: its peers, its sources, its readiness. They go
    /// before those that serve requests, so that a router with too much to do still learns what changes.
    pub fn control(self) -> Self {
        Self { executor: self.control, ..self }
    }

    /// Runs all tasks until `future` has ended.
    pub async fn run<T>(self, future: impl Future<Output = T>) -> T {
        self.requests.run(self.control.run(future)).await
    }

    /// Starts a task.
    pub fn spawn<T: 'static>(self, future: impl Future<Output = T> + 'static) -> smol::Task<T> {
        self.executor.spawn(future)
    }

    /// Time since the machine started, suspensions included.
    pub fn now(self) -> Timestamp {
        self.limits.clock.now()
    }

    /// Goes on as if the machine had just been suspended for `span`. For tests.
    pub fn advance_clock(self, span: Duration) {
        self.limits.clock.advance(span);
    }

    /// Waits for `span`, rounded to the turns.
    pub fn sleep(self, span: Duration) -> Sleep {
        Sleep::new(self.limits, self.now() + span)
    }

    /// Time until the common turn that is nearest to `span` from now, the next one at least.
    pub fn until_aligned_tick(self, span: Duration) -> Duration {
        let now = self.now().since(Timestamp::ZERO);
        let turn = COMMON_TURN.as_secs_f64();
        let nearest = ((now + span).as_secs_f64() / turn).round();
        let next = (now.as_secs_f64() / turn).floor() + 1.0;
        COMMON_TURN.mul_f64(nearest.max(next)).saturating_sub(now)
    }

    /// The future's output, or [`TimedOut`] after `limit`.
    ///
    /// # Errors
    /// If the limit passed first.
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

    /// The timer that the HTTP library uses.
    pub fn http_timer(self) -> HttpTimer {
        HttpTimer(self.limits)
    }
}

/// The limits of a thread as the HTTP library asks for them.
#[derive(Debug, Clone, Copy)]
pub struct HttpTimer(&'static LimitList);

impl hyper::rt::Timer for HttpTimer {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep::new(self.0, self.0.clock.now() + span))
    }

    fn sleep_until(&self, due: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep(due.saturating_duration_since(Instant::now()))
    }
}

/// The place of a limit in the list: when it ends, and a number that tells it from others.
type Entry = (Timestamp, u64);

#[derive(Debug)]
struct Waiting {
    wakers: BTreeMap<Entry, Waker>,
    next: u64,
    /// When the next turn is taken, if anything waits.
    next_turn: Option<Timestamp>,
}

/// All limits of a thread, in the order in which they end. Locked only by that thread.
#[derive(Debug)]
struct LimitList {
    clock: Clock,
    waiting: Mutex<Waiting>,
    /// Told when a limit is added that ends before the next turn.
    earlier: (Sender<()>, Receiver<()>),
}

impl Default for LimitList {
    fn default() -> Self {
        let waiting = Waiting { wakers: BTreeMap::new(), next: 0, next_turn: None };
        Self {
            clock: Clock::default(),
            waiting: Mutex::new(waiting),
            earlier: smol::channel::bounded(1),
        }
    }
}

impl LimitList {
    async fn keep(&self) {
        let mut last_turn = self.clock.now();
        loop {
            self.until_turn(last_turn + TURN_PERIOD).await;
            last_turn = self.clock.now();
            self.wake_ended(last_turn);
        }
    }

    /// Waits until the first limit ends, and until `earliest` at least.
    async fn until_turn(&self, earliest: Timestamp) {
        loop {
            let next_turn = self.plan_turn(earliest);
            let is_due = async {
                match next_turn {
                    Some(next_turn) => {
                        let span = next_turn.since(self.clock.now());
                        smol::Timer::after(span).await;
                    }
                    None => std::future::pending().await,
                }
                true
            };
            // The sender lives as long as the receiver.
            let is_earlier = async { self.earlier.1.recv().await.is_err() };
            if is_due.or(is_earlier).await {
                return;
            }
        }
    }

    fn plan_turn(&self, earliest: Timestamp) -> Option<Timestamp> {
        let mut waiting = self.lock();
        let first = waiting.wakers.first_key_value().map(|((due, _), _)| *due);
        waiting.next_turn = first.map(|due| due.max(earliest));
        waiting.next_turn
    }

    fn wake_ended(&self, now: Timestamp) {
        let mut waiting = self.lock();
        let still = waiting.wakers.split_off(&(now + SLACK, 0));
        let ended = std::mem::replace(&mut waiting.wakers, still);
        drop(waiting);
        ended.into_values().for_each(Waker::wake);
    }

    fn add(&self, due: Timestamp, waker: Waker) -> Entry {
        let mut waiting = self.lock();
        waiting.next += 1;
        let entry = (due, waiting.next);
        waiting.wakers.insert(entry, waker);
        if waiting.next_turn.is_none_or(|next_turn| due < next_turn) {
            // A full channel already tells it.
            let _ = self.earlier.0.try_send(());
        }
        entry
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until a moment, rounded to the turns.
#[derive(Debug)]
pub struct Sleep {
    limits: &'static LimitList,
    due: Timestamp,
    entry: Option<Entry>,
}

impl Sleep {
    fn new(limits: &'static LimitList, due: Timestamp) -> Self {
        Self { limits, due, entry: None }
    }

    fn is_over(&self) -> bool {
        match self.entry {
            Some(entry) => !self.limits.lock().wakers.contains_key(&entry),
            None => self.limits.clock.now() >= self.due,
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.is_over() {
            self.entry = None;
            self.due = self.limits.clock.now();
            return Poll::Ready(());
        }
        match self.entry {
            Some(entry) => {
                if let Some(waker) = self.limits.lock().wakers.get_mut(&entry) {
                    waker.clone_from(context.waker());
                }
            }
            None => self.entry = Some(self.limits.add(self.due, context.waker().clone())),
        }
        Poll::Pending
    }
}

impl hyper::rt::Sleep for Sleep {}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(entry) = self.entry {
            self.limits.lock().wakers.remove(&entry);
        }
    }
}
