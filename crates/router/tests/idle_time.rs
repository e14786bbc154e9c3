//! When the event loop has nothing to do.

use mastbay_router::idle_time::IdleTime;
use mastbay_types::Timestamp;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

/// Polls a future as the event loop does, at moments that the test chooses. Each poll of the future
/// works for `work`, and wakes itself if a further task is ready.
struct Loop {
    work: Duration,
    is_ready_again: bool,
}

impl Loop {
    /// Polls at `moments`, in milliseconds. Returns the idle time after `from`.
    fn idle_time(&self, from: u64, moments: &[u64]) -> Duration {
        let (idle, now) = (IdleTime::default(), Cell::new(Timestamp::ZERO));
        idle.count_from(at(from));
        let tasks = poll_fn(|context: &mut Context<'_>| {
            now.set(now.get() + self.work);
            if self.is_ready_again {
                context.waker().wake_by_ref();
            }
            Poll::<()>::Pending
        });
        let mut observed = pin!(idle.observe(|| now.get(), tasks));
        for moment in moments {
            now.set(at(*moment));
            assert!(observed.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending());
        }
        idle.counted()
    }
}

/// A process that is stopped between two turns has nothing ready, however long it is stopped.
#[test]
fn the_time_between_two_turns_is_idle_if_no_task_is_ready() {
    let turns = Loop { work: Duration::from_millis(2), is_ready_again: false };
    assert_eq!(turns.idle_time(0, &[0, 90]), Duration::from_millis(88));
    assert_eq!(turns.idle_time(0, &[0, 90, 100]), Duration::from_millis(96));
}

/// A process that always has something to do is late for its own work.
#[test]
fn no_time_is_idle_while_tasks_are_ready() {
    let turns = Loop { work: Duration::from_millis(2), is_ready_again: true };
    assert_eq!(turns.idle_time(0, &[0, 2, 90, 100]), Duration::ZERO);
}

/// Only what follows the moment at which a tick is due makes it late.
#[test]
fn idle_time_counts_from_the_given_moment() {
    let turns = Loop { work: Duration::from_millis(2), is_ready_again: false };
    assert_eq!(turns.idle_time(20, &[0, 90]), Duration::from_millis(70));
    assert_eq!(turns.idle_time(95, &[0, 90]), Duration::ZERO);
}
