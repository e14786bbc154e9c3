//! The adaptive concurrency limit: the value on which it converges and the agreement among routers.

mod support;

use mastbay_routing::{
    Admission, ConcurrencyLimit, Dispatcher, EVENTS_PER_OBSERVATION, LimitSum, Placement,
    RouterPhase, ServiceLevel, UnloadedEventInterval,
};
use mastbay_types::Timestamp;
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;
use support::{at, configuration, demand, dispatcher, exchange_digests, prompt};

/// Loads below and above 1, at which the limit rises and falls.
const LOW_LOAD: f64 = 0.2;
const HIGH_LOAD: f64 = 9.0;

/// Returns the limit after a minute at an engine that always runs as many requests as the limit
/// allows. The time per event is `fixed + per_request * limit`, in milliseconds.
fn converged_limit(fixed: f64, per_request: f64, slots: u32) -> f64 {
    let mut limit = ConcurrencyLimit::default();
    for step in 0..1_200 {
        let now = Timestamp::from_millis(step * 50);
        let agreed = limit.current(now).unwrap_or_else(|| ConcurrencyLimit::initial(slots));
        let interval_ms = fixed + per_request * agreed;
        limit.observe_event_interval(now, Duration::from_secs_f64(interval_ms / 1e3));
        limit.adjust(now, interval_ms / (2.0 * fixed), agreed, agreed as u32, slots);
    }
    limit.current(Timestamp::from_millis(60_000)).expect("found")
}

quickcheck! {
    fn it_converges_where_event_intervals_are_twice_the_unloaded_ones(
        fixed: u8, target: u8
    ) -> TestResult {
        let (fixed, target) = (f64::from(fixed) + 5.0, f64::from(target % 100) + 10.0);
        let limit = converged_limit(fixed, fixed / target, 128);
        TestResult::from_bool((0.75 * target..=1.15 * target).contains(&limit))
    }
}

#[test]
fn it_never_exceeds_the_slots() {
    assert_eq!(converged_limit(20.0, 0.01, 12), 12.0);
    assert!(converged_limit(20.0, 20.0, 4) <= 4.0);
}

/// Guards against a limit stuck at its initial value when streams are too short to measure an event
/// interval.
#[test]
fn without_event_intervals_it_rises_while_tenants_within_their_share_are_served_in_time() {
    let mut limit = ConcurrencyLimit::default();
    let mut agreed = ConcurrencyLimit::initial(64);
    for step in 0..100 {
        limit.observe_first_event(at(step * 100));
        limit.adjust(at(step * 100), 0.5, agreed, agreed as u32, 64);
        agreed = limit.current(at(step * 100)).unwrap_or(agreed);
    }
    assert_eq!(limit.current(at(10_000)), Some(64.0));
}

#[test]
fn a_limit_that_is_not_in_use_does_not_rise() {
    let mut limit = ConcurrencyLimit::default();
    for step in 0..200 {
        limit.observe_event_interval(at(step * 50), Duration::from_millis(10));
        limit.adjust(at(step * 50), LOW_LOAD, 20.0, 3, 128);
    }
    assert_eq!(limit.current(at(10_000)), Some(20.0));
    assert_eq!(limit.current(at(20_000)), None, "no stream was seen for long");
}

#[test]
fn it_falls_by_at_most_a_tenth_and_not_twice_in_a_row() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..10 {
        limit.observe_event_interval(at(1_000), Duration::from_secs(5));
    }
    limit.adjust(at(1_000), HIGH_LOAD, 50.0, 50, 128);
    assert_eq!(limit.current(at(1_100)), Some(45.0));
    limit.adjust(at(1_050), HIGH_LOAD, 45.0, 45, 128);
    assert_eq!(limit.current(at(1_100)), Some(45.0));
}

#[test]
fn one_miss_among_few_requests_moves_the_service_level_little() {
    let mut level = ServiceLevel::default();
    for step in 0..5 {
        level.on_request(at(step * 10), step != 2);
    }
    let few = level.counts(at(50)).miss_rate();
    assert!((0.05..0.1).contains(&few), "{few}");
    for step in 0..200 {
        level.on_request(at(100 + step), step % 2 == 0);
    }
    let many = level.counts(at(300)).miss_rate();
    assert!((0.4..0.55).contains(&many), "{many}");
    assert!(level.counts(at(30_000)).miss_rate() < 0.051, "old requests decay");
}

#[test]
fn the_unloaded_event_interval_expires_after_minutes() {
    let mut unloaded = UnloadedEventInterval::default();
    unloaded.observe(at(0), Duration::from_millis(10));
    unloaded.observe(at(130_000), Duration::from_millis(30));
    assert_eq!(unloaded.minimum(), Some(Duration::from_millis(10)));
    unloaded.observe(at(260_000), Duration::from_millis(30));
    assert_eq!(unloaded.minimum(), Some(Duration::from_millis(30)));
}

#[test]
fn the_mean_counts_only_routers_with_a_limit() {
    let mut sum = LimitSum::default();
    assert_eq!(sum.mean_with(None), None);
    sum.add(LimitSum::of(None));
    sum.add(LimitSum::of(Some(30.0)));
    assert_eq!(sum.mean_with(Some(10.0)), Some(20.0));
    sum.remove(LimitSum::of(Some(30.0)));
    sum.remove(LimitSum::of(None));
    assert_eq!(sum.mean_with(Some(10.0)), Some(10.0));
}

fn place(dispatcher: &mut Dispatcher, now: Timestamp, request: u64) -> Option<Placement> {
    match dispatcher.admit(now, demand(now, Some(prompt(1, request, 50)), "t"), 0.5) {
        Admission::Placed(placement) => Some(placement),
        Admission::Waiting(_) | Admission::Refused(_) => None,
    }
}

/// Runs streams through a router whose events are `gap` milliseconds apart.
fn run_streams(dispatcher: &mut Dispatcher, from: u64, gap: u64) {
    for stream in 0..60 {
        let started = from + stream * 20;
        let placement = place(dispatcher, at(started), from + stream).expect("a free slot");
        dispatcher.on_first_event(at(started + 1), placement.ticket);
        let observed = at(started + 1 + gap * u64::from(EVENTS_PER_OBSERVATION));
        dispatcher.on_events(observed, placement.ticket, EVENTS_PER_OBSERVATION);
        dispatcher.on_end(observed, placement.ticket, Ok(()));
    }
}

/// Returns the limit that a router applies at its only engine.
fn limit_of(dispatcher: &mut Dispatcher, now: Timestamp) -> u32 {
    place(dispatcher, now, 900_000).expect("a free slot").limit
}

#[test]
fn a_router_without_observations_takes_the_limit_of_its_peers() {
    let mut fleet = [dispatcher(1, 1, 128), dispatcher(2, 1, 128)];
    run_streams(&mut fleet[0], 0, 10);
    run_streams(&mut fleet[0], 5_000, 60);
    exchange_digests(at(7_000), &mut fleet);
    let [first, second] = &mut fleet;
    let (first, second) = (limit_of(first, at(7_010)), limit_of(second, at(7_010)));
    assert!(first < 30, "slow events have lowered the limit: {first}");
    assert_eq!(first, second);
}

/// A router with two tenants: one requests nearly all of the capacity, the other little.
fn loaded_by_one_tenant() -> Dispatcher {
    let mut dispatcher = dispatcher(1, 1, 128);
    dispatcher.on_configuration(&configuration(Some(20_000)));
    for step in 0..200 {
        let now = at(step * 10);
        dispatcher.on_request(now, &demand(now, Some(prompt(1, step, 900)), "large"));
    }
    let now = at(2_000);
    dispatcher.on_request(now, &demand(now, Some(prompt(1, 999, 50)), "small"));
    dispatcher
}

fn place_for(dispatcher: &mut Dispatcher, now: Timestamp, tenant: &str, request: u64) -> bool {
    let admission = dispatcher.admit(now, demand(now, Some(prompt(1, request, 50)), tenant), 0.5);
    matches!(admission, Admission::Placed(_))
}

#[test]
fn only_tenants_above_their_share_are_subject_to_the_limit() {
    let mut dispatcher = loaded_by_one_tenant();
    let mut place_large =
        |request| place_for(&mut dispatcher, at(2_010 + 10 * request), "large", request);
    let large = (0..128).filter(|request| place_large(*request)).count();
    assert!((20..=64).contains(&large), "about a quarter of 128 slots: {large}");
    let later = at(3_300);
    assert!(!place_for(&mut dispatcher, later, "large", 500), "the limit is reached");
    let small = (0..128)
        .filter(|request| place_for(&mut dispatcher, later, "small", 600 + request))
        .count();
    assert!(large + small >= 127, "{large} and {small}: others may take the other slots");
}

#[test]
fn a_single_digest_contains_the_unloaded_event_interval() {
    let mut fleet = [dispatcher(1, 1, 128), dispatcher(2, 1, 128)];
    run_streams(&mut fleet[0], 0, 10);
    let digest = fleet[0].digest(at(2_000), RouterPhase::Serving);
    let event_intervals = digest
        .stats
        .and_then(|stats| stats.event_intervals)
        .expect("the first digest is a full one");
    assert_eq!(event_intervals.len(), 1);
    assert_eq!(event_intervals[0].unloaded_micros, 10_000);
}

/// Returns the limit after 200 requests of a tenant within its share missed their objective in
/// streams whose events are `gap` milliseconds apart.
fn limit_after_misses(gap: u64) -> u32 {
    let mut dispatcher = dispatcher(1, 1, 128);
    run_streams(&mut dispatcher, 0, 10);
    for step in 0..200 {
        let started = 2_000 + step * 20;
        let placement = place(&mut dispatcher, at(started), 5_000 + step).expect("a free slot");
        dispatcher.on_first_event(at(started + 450), placement.ticket);
        let observed = at(started + 450 + gap * u64::from(EVENTS_PER_OBSERVATION));
        dispatcher.on_events(observed, placement.ticket, EVENTS_PER_OBSERVATION);
        dispatcher.on_end(observed, placement.ticket, Ok(()));
    }
    limit_of(&mut dispatcher, at(6_500))
}

/// Guards against a low limit at an idle engine because of misses that the engine did not cause.
#[test]
fn misses_lower_the_limit_only_where_the_engine_is_slow() {
    let start = ConcurrencyLimit::initial(128) as u32;
    assert!(limit_after_misses(12) >= start, "streams are as fast as without load");
    assert!(limit_after_misses(25) < start, "streams take over twice the time without load");
}

/// Guards against tenants within their share using up the limit for those above it.
#[test]
fn requests_of_tenants_within_their_share_do_not_count_for_the_limit() {
    let mut dispatcher = loaded_by_one_tenant();
    for request in 0..100 {
        assert!(place_for(&mut dispatcher, at(2_010), "small", request), "request {request}");
    }
    let large =
        |request: u64| place_for(&mut dispatcher, at(2_020 + 10 * request), "large", 500 + request);
    let placed = (0..60).map(large).filter(|placed| *placed).count();
    assert!(placed >= 20, "{placed} of 28 free slots");
}
