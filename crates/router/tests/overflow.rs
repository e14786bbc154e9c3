//! The account of connections that a router does not simply serve.

use mastbay_router::overflow::{OverflowAccount, OverflowCounts, OverflowOutcome};
use mastbay_types::Timestamp;

#[test]
fn nothing_is_told_while_all_connections_are_served() {
    let mut account = OverflowAccount::default();
    account.note_full(0);
    assert_eq!(account.take_due(Timestamp::from_millis(5_000)), None);
}

#[test]
fn what_became_of_connections_is_told_once_a_second_and_whole() {
    let mut account = OverflowAccount::default();
    account.note(OverflowOutcome::HandedOn);
    account.note(OverflowOutcome::TurnedAway);
    account.note_full(3);
    let told = account.take_due(Timestamp::from_millis(1_000));
    let expected =
        OverflowCounts { handed_on: 1, unanswered: 0, kept_here: 0, turned_away: 1, full: 3 };
    assert_eq!(told, Some(expected));
    account.note(OverflowOutcome::KeptHere);
    assert_eq!(account.take_due(Timestamp::from_millis(1_900)), None);
    account.note(OverflowOutcome::KeptHere);
    let told = account.take_due(Timestamp::from_millis(2_000));
    assert_eq!(told, Some(OverflowCounts { kept_here: 2, ..OverflowCounts::default() }));
}
