//! What is not taken for new after a router stood still.

use mastbay_routing::StallDetector;
use mastbay_types::Timestamp;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Turns each 20 ms until a moment.
fn running_until(millis: u64) -> StallDetector {
    let mut watch = StallDetector::default();
    for turn in (20..=millis).step_by(20) {
        assert_eq!(watch.on_tick(at(turn)), None);
    }
    watch
}

#[test]
fn what_is_read_right_after_a_standstill_may_have_come_with_its_beginning() {
    let mut watch = running_until(1_000);
    assert_eq!(watch.earliest_arrival(at(1_010)), at(1_010));
    // A request may be read before any turn notices.
    assert_eq!(watch.earliest_arrival(at(6_000)), at(1_000));
    assert_eq!(watch.on_tick(at(6_000)), Some(Duration::from_secs(5)));
    assert_eq!(watch.earliest_arrival(at(6_100)), at(1_000));
    for turn in (6_020..=6_200).step_by(20) {
        watch.on_tick(at(turn));
    }
    assert_eq!(watch.earliest_arrival(at(6_200)), at(6_200));
}

#[test]
fn lateness_of_a_router_with_much_to_do_is_no_standstill() {
    let mut watch = running_until(1_000);
    assert_eq!(watch.on_tick(at(1_900)), None);
    assert_eq!(watch.earliest_arrival(at(1_910)), at(1_910));
}

#[test]
fn news_are_awaited_after_a_standstill_that_outlasts_the_bound() {
    let mut short = running_until(1_000);
    short.on_tick(at(2_500));
    assert!(!short.may_be_outdated(at(2_510), BOUND));
    let mut long = running_until(1_000);
    assert!(long.may_be_outdated(at(6_000), BOUND), "before any turn");
    long.on_tick(at(6_000));
    assert!(long.may_be_outdated(at(6_100), BOUND));
    // What lay unread was sent during the standstill.
    long.on_contact(at(6_010));
    assert!(!long.has_contact_since_stall(at(6_100)));
    long.on_contact(at(6_200));
    assert!(long.has_contact_since_stall(at(6_210)));
    // Who hears nobody serves by what it has, as one that is cut off does.
    assert!(!long.may_be_outdated(at(6_700), BOUND));
}
