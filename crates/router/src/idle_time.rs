//! Measures for how long the event loop has nothing to do.
//!
//! A process whose machine runs others instead, or throttles it, is late like one that has too much to
//! do. Unlike that one, it had no task ready when it ceased to run.

use mastbay_types::Timestamp;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Wake, Waker};
use std::time::Duration;

/// The time for which the event loop had nothing to do, counted from a moment on.
#[derive(Debug, Default)]
pub struct IdleTime {
    /// When the loop ran out of ready tasks; `None` while it runs some.
    idle_since: Cell<Option<Timestamp>>,
    counted_from: Cell<Timestamp>,
    counted: Cell<Duration>,
}

impl IdleTime {
    /// Counts from `from` on, which may lie ahead.
    pub fn count_from(&self, from: Timestamp) {
        self.counted_from.set(from);
        self.counted.set(Duration::ZERO);
    }

    /// Returns the time counted up to the last moment at which a task became ready.
    pub fn counted(&self) -> Duration {
        self.counted.get()
    }

    /// Records that no task is ready.
    fn on_idle(&self, now: Timestamp) {
        self.idle_since.set(Some(now));
    }

    /// Records that tasks run again.
    fn on_ready(&self, now: Timestamp) {
        if let Some(since) = self.idle_since.take() {
            let idle = now.since(since.max(self.counted_from.get()));
            self.counted.set(self.counted.get() + idle);
        }
    }

    fn is_idle(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// Drives a future that runs all tasks, and records when none of them is ready.
    pub async fn observe<F: Future + Unpin>(
        &self,
        now: impl Fn() -> Timestamp,
        mut future: F,
    ) -> F::Output {
        let mut waker: Option<Arc<RecordingWaker>> = None;
        poll_fn(move |context| {
            if self.is_idle() {
                self.on_ready(now());
            }
            let waker = RecordingWaker::of(&mut waker, context);
            waker.is_woken.store(false, Ordering::Relaxed);
            let polled =
                Pin::new(&mut future).poll(&mut Context::from_waker(&Waker::from(waker.clone())));
            if polled.is_pending() && !waker.is_woken.load(Ordering::Relaxed) {
                self.on_idle(now());
            }
            polled
        })
        .await
    }
}

/// Records whether it was woken and wakes the task of the event loop.
struct RecordingWaker {
    is_woken: AtomicBool,
    inner: Waker,
}

impl RecordingWaker {
    /// Returns the waker for a context, the same as before if possible.
    fn of<'a>(current: &'a mut Option<Arc<Self>>, context: &Context<'_>) -> &'a Arc<Self> {
        let is_same = current.as_ref().is_some_and(|it| it.inner.will_wake(context.waker()));
        if !is_same {
            *current = None;
        }
        current.get_or_insert_with(|| {
            Arc::new(Self { is_woken: AtomicBool::default(), inner: context.waker().clone() })
        })
    }
}

impl Wake for RecordingWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.is_woken.store(true, Ordering::Relaxed);
        self.inner.wake_by_ref();
    }
}
