//! The account of connections that a router does not simply serve.

use mastbay_router::overflow::{OverflowCounts, OverflowOutcome, OverflowRecorder};
use mastbay_types::Timestamp;

#[test]
fn nothing_is_told_while_all_connections_are_served() {
    let mut account = OverflowRecorder::default();
    account.record_full(0);
    assert_eq!(account.take_due(Timestamp::from_millis(5_000)), None);
}

#[test]
fn what_became_of_connections_is_told_once_a_second_and_whole() {
    let mut account = OverflowRecorder::default();
    account.record(OverflowOutcome::Forwarded);
    account.record(OverflowOutcome::Rejected);
    account.record_full(3);
    let told = account.take_due(Timestamp::from_millis(1_000));
    let expected =
        OverflowCounts { forwarded: 1, unanswered: 0, served_locally: 0, rejected: 1, full: 3 };
    assert_eq!(told, Some(expected));
    account.record(OverflowOutcome::ServedLocally);
    assert_eq!(account.take_due(Timestamp::from_millis(1_900)), None);
    account.record(OverflowOutcome::ServedLocally);
    let told = account.take_due(Timestamp::from_millis(2_000));
    assert_eq!(told, Some(OverflowCounts { served_locally: 2, ..OverflowCounts::default() }));
}
