//! Guards against accepting requests that a planned stop will cut, and against rejecting others.

use mastbay_router::shutdown::{Shutdown, ShutdownPhase, StopSchedule};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use std::time::Duration;

const STOP_LIMIT: Duration = Duration::from_secs(8);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn stopping_since(millis: u64) -> Shutdown {
    Shutdown::Stopping(StopSchedule::new(at(millis), STOP_LIMIT))
}

#[test]
fn a_running_router_accepts_every_request() {
    let running = Shutdown::default();
    assert_eq!(running.phase(at(5)), ShutdownPhase::Running);
    assert!(running.accepts(at(5), Timestamp::NEVER));
    assert!(running.schedule().is_none());
}

#[test]
fn the_moments_of_a_stop_are_in_order_and_before_its_limit() {
    let schedule = StopSchedule::new(at(1_000), STOP_LIMIT);
    assert_eq!(schedule.notice_end, at(3_600));
    assert_eq!(schedule.last_answers, at(8_500));
    assert_eq!(schedule.limit, at(8_750));
}

#[test]
fn the_phase_changes_at_the_end_of_the_notice_time() {
    let shutdown = stopping_since(1_000);
    assert_eq!(shutdown.phase(at(3_599)), ShutdownPhase::Notice);
    assert_eq!(shutdown.phase(at(3_600)), ShutdownPhase::Draining);
}

#[test]
fn all_requests_are_accepted_within_the_notice_time() {
    assert!(stopping_since(1_000).accepts(at(3_599), Timestamp::NEVER));
}

#[test]
fn later_requests_must_end_before_the_last_answers() {
    let shutdown = stopping_since(1_000);
    assert!(shutdown.accepts(at(3_600), at(8_500)));
    assert!(!shutdown.accepts(at(3_600), at(8_501)));
    assert!(!shutdown.accepts(at(8_499), Timestamp::NEVER));
}

#[test]
fn offsets_are_negative_before_the_signal() {
    let schedule = StopSchedule::new(at(1_000), STOP_LIMIT);
    assert_eq!(schedule.offset_milliseconds(at(800)), -200);
    assert_eq!(schedule.offset_milliseconds(at(1_300)), 300);
}

quickcheck! {
    /// Whatever the limit, and however short: in order, and never later than the limit.
    fn moments_are_ordered(signalled: u32, limit: u16) -> bool {
        let signalled = at(signalled.into());
        let stop_limit = Duration::from_millis(limit.into());
        let schedule = StopSchedule::new(signalled, stop_limit);
        signalled <= schedule.notice_end
            && schedule.notice_end <= schedule.last_answers
            && schedule.last_answers < schedule.limit
            && (schedule.limit <= signalled + stop_limit || limit < 500)
    }

    /// A request that is rejected once is not accepted later.
    fn acceptance_is_not_regained(first: u16, second: u16, deadline: u16) -> bool {
        let shutdown = stopping_since(0);
        let (earlier, later) = (first.min(second), first.max(second));
        let accepts = |now: u16| shutdown.accepts(at(now.into()), at(deadline.into()));
        accepts(earlier) || !accepts(later)
    }
}
