//! Counts of connections that a router did not serve in the usual way.

use mastbay_router::overflow::{OverflowCounts, OverflowOutcome, OverflowRecorder};
use mastbay_types::Timestamp;

#[test]
fn nothing_is_reported_while_all_connections_are_served() {
    let mut recorder = OverflowRecorder::default();
    recorder.record_full(0);
    assert_eq!(recorder.take_due(Timestamp::from_millis(5_000)), None);
}

#[test]
fn all_outcomes_of_connections_are_reported_once_a_second() {
    let mut recorder = OverflowRecorder::default();
    recorder.record(OverflowOutcome::Forwarded);
    recorder.record(OverflowOutcome::Rejected);
    recorder.record_full(3);
    let reported = recorder.take_due(Timestamp::from_millis(1_000));
    let expected =
        OverflowCounts { forwarded: 1, unanswered: 0, served_locally: 0, rejected: 1, full: 3 };
    assert_eq!(reported, Some(expected));
    recorder.record(OverflowOutcome::ServedLocally);
    assert_eq!(recorder.take_due(Timestamp::from_millis(1_900)), None);
    recorder.record(OverflowOutcome::ServedLocally);
    let reported = recorder.take_due(Timestamp::from_millis(2_000));
    assert_eq!(reported, Some(OverflowCounts { served_locally: 2, ..OverflowCounts::default() }));
}
