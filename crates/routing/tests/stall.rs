//! After a stall of the router, messages and known versions may be older than they seem.

use mastbay_routing::StallDetector;
use mastbay_types::Timestamp;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns a detector with ticks every 20 ms until the given time.
fn running_until(millis: u64) -> StallDetector {
    let mut detector = StallDetector::default();
    for tick in (20..=millis).step_by(20) {
        assert_eq!(detector.on_tick(at(tick)), None);
    }
    detector
}

#[test]
fn messages_read_right_after_a_stall_may_have_arrived_at_its_beginning() {
    let mut detector = running_until(1_000);
    assert_eq!(detector.earliest_arrival(at(1_010)), at(1_010));
    // A request may be read before the first tick after the stall.
    assert_eq!(detector.earliest_arrival(at(6_000)), at(1_000));
    assert_eq!(detector.on_tick(at(6_000)), Some(Duration::from_secs(5)));
    assert_eq!(detector.earliest_arrival(at(6_100)), at(1_000));
    for tick in (6_020..=6_200).step_by(20) {
        detector.on_tick(at(tick));
    }
    assert_eq!(detector.earliest_arrival(at(6_200)), at(6_200));
}

#[test]
fn lateness_of_a_busy_router_is_no_stall() {
    let mut detector = running_until(1_000);
    assert_eq!(detector.on_tick(at(1_900)), None);
    assert!(!detector.may_be_outdated(at(1_910), Duration::from_millis(500)));
}

/// Guards against a request that lay unread for most of a second and gets its whole deadline.
#[test]
fn messages_read_right_after_a_delay_may_have_arrived_at_its_beginning() {
    let mut detector = running_until(1_000);
    assert_eq!(detector.earliest_arrival(at(1_900)), at(1_000), "before any tick");
    detector.on_tick(at(1_900));
    assert_eq!(detector.earliest_arrival(at(1_910)), at(1_000));
    detector.on_tick(at(1_920));
    assert_eq!(detector.earliest_arrival(at(1_925)), at(1_925));
}

/// Guards against forgetting a delay at the next one, before the router has come to reading what
/// waited during the first, and against deadlines that shrink more and more in a late router.
#[test]
fn messages_read_after_delays_in_series_may_have_arrived_at_the_last_that_a_tick_has_ended() {
    let mut detector = running_until(1_000);
    detector.on_tick(at(1_900));
    assert_eq!(detector.earliest_arrival(at(2_040)), at(1_000), "before the next tick");
    detector.on_tick(at(2_050));
    assert_eq!(detector.earliest_arrival(at(2_055)), at(1_900));
    detector.on_tick(at(2_200));
    assert_eq!(detector.earliest_arrival(at(2_205)), at(2_050));
}

/// Guards against a stop that is planned as if no timer fired late, or for ever after one that did.
#[test]
fn the_longest_recent_delay_tells_how_late_timers_may_fire() {
    let mut detector = running_until(1_000);
    assert_eq!(detector.lateness(at(1_010)), Duration::ZERO);
    assert_eq!(detector.lateness(at(1_400)), Duration::from_millis(400), "before any tick");
    detector.on_tick(at(1_600));
    detector.on_tick(at(1_750));
    assert_eq!(detector.lateness(at(1_760)), Duration::from_millis(600));
    for tick in (1_770..=4_790).step_by(20) {
        detector.on_tick(at(tick));
    }
    assert_eq!(detector.lateness(at(4_800)), Duration::ZERO);
}

/// Guards against deadlines that shrink in a router that is only as late as busy ones are.
#[test]
fn messages_of_a_router_that_is_hardly_late_have_just_arrived() {
    let mut detector = running_until(1_000);
    detector.on_tick(at(1_090));
    assert_eq!(detector.earliest_arrival(at(1_095)), at(1_095));
}

/// Guards against a stall that takes up the whole bound and leaves none for the way of the updates.
#[test]
fn requests_wait_for_updates_after_a_stall_longer_than_half_of_the_bound() {
    let mut short = running_until(1_000);
    short.on_tick(at(2_500));
    assert!(!short.may_be_outdated(at(2_510), BOUND * 2));
    assert!(short.may_be_outdated(at(2_510), BOUND));
    let mut long = running_until(1_000);
    assert!(long.may_be_outdated(at(6_000), BOUND), "before any tick");
    long.on_tick(at(6_000));
    assert!(long.may_be_outdated(at(6_100), BOUND));
    // Messages read right after the stall were sent during it.
    long.on_contact(at(6_010));
    assert!(!long.has_contact_since_stall(at(6_100)));
    long.on_contact(at(6_200));
    assert!(long.has_contact_since_stall(at(6_210)));
    // Without any contact the router continues with the known versions, as if it were cut off.
    assert!(!long.may_be_outdated(at(6_700), BOUND));
}

/// Guards against measuring a stop from when a late process saw the signal: a delay that is too short
/// to count as a stall, whether a tick comes before the signal is read or after.
#[test]
fn a_signal_read_after_a_short_delay_may_have_arrived_before_it() {
    let millis = Timestamp::from_millis;
    let mut detector = StallDetector::default();
    for tick in [0, 20, 40, 60] {
        detector.on_tick(millis(tick));
    }
    assert_eq!(detector.earliest_signal(millis(65)), millis(40));
    assert!(detector.earliest_signal(millis(560)) <= millis(60));
    detector.on_tick(millis(560));
    assert_eq!(detector.earliest_signal(millis(561)), millis(60));
    for tick in [580, 600] {
        detector.on_tick(millis(tick));
    }
    assert_eq!(detector.earliest_signal(millis(601)), millis(580));
}

/// The same with a delay that counts as a stall.
#[test]
fn a_signal_read_after_a_stall_may_have_arrived_during_it() {
    let millis = Timestamp::from_millis;
    let mut detector = StallDetector::default();
    for tick in [0, 20, 40, 2_040, 2_060, 2_080] {
        detector.on_tick(millis(tick));
    }
    assert_eq!(detector.earliest_signal(millis(2_090)), millis(40));
}

/// Guards against messages that wait for less than a delay counts for, and are taken for new ones.
#[test]
fn the_longest_wait_counts_short_delays_of_the_event_loop() {
    let mut detector = running_until(1_000);
    assert_eq!(detector.longest_wait(at(1_019)), Duration::ZERO);
    assert_eq!(detector.longest_wait(at(1_060)), Duration::from_millis(80), "before any tick");
    detector.on_tick(at(1_060));
    assert_eq!(detector.longest_wait(at(1_070)), Duration::from_millis(70));
    detector.on_tick(at(1_080));
    assert_eq!(detector.longest_wait(at(1_090)), Duration::ZERO);
    detector.on_tick(at(4_080));
    assert_eq!(detector.longest_wait(at(4_090)), Duration::from_millis(3_010));
}
