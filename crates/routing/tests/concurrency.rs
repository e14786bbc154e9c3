//! The adaptive concurrency limit: where it settles, and how routers agree on it.

mod support;

use mastbay_routing::{
    Admission, ConcurrencyLimit, Dispatcher, EVENTS_PER_OBSERVATION, LimitSum, Placement,
    RouterPhase, ServiceLevel, UnloadedEventInterval,
};
use mastbay_types::Timestamp;
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;
use support::{at, configuration, demand, dispatcher, exchange_digests, prompt};

const LIGHT: f64 = 0.2;
const HEAVY: f64 = 9.0;

/// The limit after a minute before an engine that always has as many requests as the limit allows.
fn settled(fixed: f64, per_request: f64, slots: u32) -> f64 {
    let mut limit = ConcurrencyLimit::default();
    for turn in 0..1_200 {
        let now = Timestamp::from_millis(turn * 50);
        let agreed = limit.current(now).unwrap_or_else(|| ConcurrencyLimit::initial(slots));
        let pace = fixed + per_request * agreed;
        limit.observe_event_interval(now, Duration::from_secs_f64(pace / 1e3));
        limit.adjust(now, pace / (2.0 * fixed), agreed, agreed as u32, slots);
    }
    limit.current(Timestamp::from_millis(60_000)).expect("found")
}

quickcheck! {
    fn it_settles_where_streams_take_twice_as_long(fixed: u8, knee: u8) -> TestResult {
        let (fixed, knee) = (f64::from(fixed) + 5.0, f64::from(knee % 100) + 10.0);
        let limit = settled(fixed, fixed / knee, 128);
        TestResult::from_bool((0.75 * knee..=1.15 * knee).contains(&limit))
    }
}

#[test]
fn it_never_leaves_the_slots() {
    assert_eq!(settled(20.0, 0.01, 12), 12.0);
    assert!(settled(20.0, 20.0, 4) <= 4.0);
}

/// Streams of fewer events than a pace needs must not leave the limit where it started.
#[test]
fn without_any_pace_it_rises_while_tenants_within_their_share_are_served_in_time() {
    let mut limit = ConcurrencyLimit::default();
    let mut agreed = ConcurrencyLimit::initial(64);
    for turn in 0..100 {
        limit.observe_first_event(at(turn * 100));
        limit.adjust(at(turn * 100), 0.5, agreed, agreed as u32, 64);
        agreed = limit.current(at(turn * 100)).unwrap_or(agreed);
    }
    assert_eq!(limit.current(at(10_000)), Some(64.0));
}

#[test]
fn a_limit_that_is_not_in_use_does_not_rise() {
    let mut limit = ConcurrencyLimit::default();
    for turn in 0..200 {
        limit.observe_event_interval(at(turn * 50), Duration::from_millis(10));
        limit.adjust(at(turn * 50), LIGHT, 20.0, 3, 128);
    }
    assert_eq!(limit.current(at(10_000)), Some(20.0));
    assert_eq!(limit.current(at(20_000)), None, "no stream was seen for long");
}

#[test]
fn it_falls_at_most_a_tenth_at_a_time_and_not_twice_in_a_moment() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..10 {
        limit.observe_event_interval(at(1_000), Duration::from_secs(5));
    }
    limit.adjust(at(1_000), HEAVY, 50.0, 50, 128);
    assert_eq!(limit.current(at(1_100)), Some(45.0));
    limit.adjust(at(1_050), HEAVY, 45.0, 45, 128);
    assert_eq!(limit.current(at(1_100)), Some(45.0));
}

#[test]
fn one_miss_among_few_requests_moves_the_service_level_little() {
    let mut level = ServiceLevel::default();
    for turn in 0..5 {
        level.on_request(at(turn * 10), turn != 2);
    }
    let few = level.counts(at(50)).miss_rate();
    assert!((0.05..0.1).contains(&few), "{few}");
    for turn in 0..200 {
        level.on_request(at(100 + turn), turn % 2 == 0);
    }
    let many = level.counts(at(300)).miss_rate();
    assert!((0.4..0.55).contains(&many), "{many}");
    assert!(level.counts(at(30_000)).miss_rate() < 0.051, "the past fades");
}

#[test]
fn the_least_pace_is_forgotten_after_minutes() {
    let mut unloaded = UnloadedEventInterval::default();
    unloaded.observe(at(0), Duration::from_millis(10));
    unloaded.observe(at(130_000), Duration::from_millis(30));
    assert_eq!(unloaded.minimum(), Some(Duration::from_millis(10)));
    unloaded.observe(at(260_000), Duration::from_millis(30));
    assert_eq!(unloaded.minimum(), Some(Duration::from_millis(30)));
}

#[test]
fn the_mean_counts_only_those_who_found_a_limit() {
    let mut sum = LimitSum::default();
    assert_eq!(sum.mean_with(None), None);
    sum.add(LimitSum::of(None));
    sum.add(LimitSum::of(Some(30.0)));
    assert_eq!(sum.mean_with(Some(10.0)), Some(20.0));
    sum.remove(LimitSum::of(Some(30.0)));
    sum.remove(LimitSum::of(None));
    assert_eq!(sum.mean_with(Some(10.0)), Some(10.0));
}

fn place(dispatcher: &mut Dispatcher, now: Timestamp, own: u64) -> Option<Placement> {
    match dispatcher.admit(now, demand(now, Some(prompt(1, own, 50)), "t"), 0.5) {
        Admission::Placed(placement) => Some(placement),
        Admission::Waiting(_) | Admission::Refused(_) => None,
    }
}

/// Lets a router see streams whose events are `gap` milliseconds apart.
fn see_streams(dispatcher: &mut Dispatcher, from: u64, gap: u64) {
    for stream in 0..60 {
        let began = from + stream * 20;
        let placement = place(dispatcher, at(began), from + stream).expect("room");
        dispatcher.on_first_event(at(began + 1), placement.ticket);
        let observed = at(began + 1 + gap * u64::from(EVENTS_PER_OBSERVATION));
        dispatcher.on_events(observed, placement.ticket, EVENTS_PER_OBSERVATION);
        dispatcher.on_end(observed, placement.ticket, Ok(()));
    }
}

/// The limit that a router goes by at its only engine.
fn limit_of(dispatcher: &mut Dispatcher, now: Timestamp) -> u32 {
    place(dispatcher, now, 900_000).expect("room").limit
}

#[test]
fn a_router_that_has_seen_nothing_takes_the_limit_of_its_peers() {
    let mut fleet = [dispatcher(1, 1, 128), dispatcher(2, 1, 128)];
    see_streams(&mut fleet[0], 0, 10);
    see_streams(&mut fleet[0], 5_000, 60);
    exchange_digests(at(7_000), &mut fleet);
    let [first, second] = &mut fleet;
    let (first, second) = (limit_of(first, at(7_010)), limit_of(second, at(7_010)));
    assert!(first < 30, "the slow pace has taken the limit down: {first}");
    assert_eq!(first, second);
}

/// A router with two tenants: one asks for nearly all, the other for little.
fn loaded_by_one_tenant() -> Dispatcher {
    let mut dispatcher = dispatcher(1, 1, 128);
    dispatcher.on_configuration(&configuration(Some(20_000)));
    for turn in 0..200 {
        let now = at(turn * 10);
        dispatcher.on_request(now, &demand(now, Some(prompt(1, turn, 900)), "large"));
    }
    let now = at(2_000);
    dispatcher.on_request(now, &demand(now, Some(prompt(1, 999, 50)), "small"));
    dispatcher
}

fn place_for(dispatcher: &mut Dispatcher, now: Timestamp, tenant: &str, own: u64) -> bool {
    let admission = dispatcher.admit(now, demand(now, Some(prompt(1, own, 50)), tenant), 0.5);
    matches!(admission, Admission::Placed(_))
}

#[test]
fn only_tenants_above_their_share_are_held_to_the_limit() {
    let mut dispatcher = loaded_by_one_tenant();
    let mut place_large = |own| place_for(&mut dispatcher, at(2_010 + 10 * own), "large", own);
    let large = (0..128).filter(|own| place_large(*own)).count();
    assert!((20..=64).contains(&large), "about a quarter of 128 slots: {large}");
    let later = at(3_300);
    assert!(!place_for(&mut dispatcher, later, "large", 500), "the limit is reached");
    let small =
        (0..128).filter(|own| place_for(&mut dispatcher, later, "small", 600 + own)).count();
    assert!(large + small >= 127, "{large} and {small}: others may take the other slots");
}

#[test]
fn a_lone_digest_tells_the_unloaded_pace() {
    let mut fleet = [dispatcher(1, 1, 128), dispatcher(2, 1, 128)];
    see_streams(&mut fleet[0], 0, 10);
    let digest = fleet[0].digest(at(2_000), RouterPhase::Serving);
    let event_intervals = digest
        .stats
        .and_then(|stats| stats.event_intervals)
        .expect("the first digest is a full one");
    assert_eq!(event_intervals.len(), 1);
    assert_eq!(event_intervals[0].unloaded_micros, 10_000);
}

/// Lets `count` requests of a tenant within its share miss their objective while streams are `gap`
/// milliseconds apart, and gives the limit after it.
fn limit_after_misses(gap: u64) -> u32 {
    let mut dispatcher = dispatcher(1, 1, 128);
    see_streams(&mut dispatcher, 0, 10);
    for turn in 0..200 {
        let began = 2_000 + turn * 20;
        let placement = place(&mut dispatcher, at(began), 5_000 + turn).expect("room");
        dispatcher.on_first_event(at(began + 450), placement.ticket);
        let observed = at(began + 450 + gap * u64::from(EVENTS_PER_OBSERVATION));
        dispatcher.on_events(observed, placement.ticket, EVENTS_PER_OBSERVATION);
        dispatcher.on_end(observed, placement.ticket, Ok(()));
    }
    limit_of(&mut dispatcher, at(6_500))
}

/// After all machines had restarted, misses of other causes held engines with next to nothing to do at a
/// limit of six for ten seconds.
#[test]
fn misses_lower_the_limit_only_where_the_engine_is_slow() {
    let start = ConcurrencyLimit::initial(128) as u32;
    assert!(limit_after_misses(12) >= start, "streams are as fast as without load");
    assert!(limit_after_misses(25) < start, "streams take over twice the time without load");
}

/// With a limit on all requests of an engine, tenants within their share could leave one above it nothing.
#[test]
fn requests_of_others_do_not_use_up_the_limit() {
    let mut dispatcher = loaded_by_one_tenant();
    for own in 0..100 {
        assert!(place_for(&mut dispatcher, at(2_010), "small", own), "request {own}");
    }
    let large = |own: u64| place_for(&mut dispatcher, at(2_020 + 10 * own), "large", 500 + own);
    let placed = (0..60).map(large).filter(|placed| *placed).count();
    assert!(placed >= 20, "{placed} of 28 free slots");
}
