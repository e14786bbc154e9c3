//! Back ends that leave a large fleet: all routers stop using them in time, whatever else happens to
//! the fleet and to the source.

mod support;

use mastbay_routing::BackEndState;
use mastbay_types::stable_hash;
use std::time::Duration;
use support::fleet::address;
use support::sourced_fleet::SourcedFleet;

/// Returns the time after which no router of a fleet of `size` sends requests to a back end that has
/// left. Larger fleets are allowed more.
fn drain_limit(size: usize) -> Duration {
    Duration::from_secs(if size <= 120 { 3 } else { 4 })
}

/// Time after which a test gives up.
const TEST_LIMIT: Duration = Duration::from_secs(30);
/// Delay of the fetches of routers that hear of changes late.
const LATE_FETCH: Duration = Duration::from_millis(1_200);

/// Returns a fleet that knows all back ends.
fn running_fleet(size: usize) -> SourcedFleet {
    let mut fleet = SourcedFleet::new(size, 8);
    fleet.rounds(60);
    fleet.rounds_until(TEST_LIMIT, SourcedFleet::is_up_to_date);
    fleet
}

/// Lets each fifth router hear of changes late.
fn delay_some(fleet: &mut SourcedFleet, size: usize) {
    fleet.slow_fetchers = (0..size).step_by(5).map(|index| (address(index), LATE_FETCH)).collect();
}

/// Guards against the silence of a fleet that starts being taken for an outage of the source: a
/// back end whose entry went was used for a grace period in addition to the delay of the news.
#[test]
fn a_back_end_that_leaves_after_a_restart_of_all_routers_gets_no_requests_later_than_allowed() {
    for (size, watch) in [(7, 1_000), (62, 400), (62, 1_000), (85, 1_000), (300, 1_000)] {
        for departure in [1_600, 2_400, 3_200] {
            let mut fleet = running_fleet(size);
            delay_some(&mut fleet, size);
            fleet.first_watch_time = Duration::from_millis(watch);
            fleet.restart(0..size);
            fleet.rounds(departure / 80);
            fleet.remove(&["e0"]);
            let took = fleet.rounds_until(TEST_LIMIT, |fleet| fleet.using("e0").is_empty());
            assert!(took <= drain_limit(size), "{size}, {watch} ms, {departure} ms: {took:?}");
        }
    }
}

/// Guards against the same belief by itself: at a start, and when the routers that call the source
/// terminate.
#[test]
fn a_source_that_answers_all_calls_is_never_taken_for_lost() {
    for (size, watch) in [(7, 1_000), (62, 1_000), (85, 1_000), (85, 80), (300, 1_000)] {
        let mut fleet = running_fleet(size);
        fleet.first_watch_time = Duration::from_millis(watch);
        fleet.restart(0..size);
        for round in 0..80 {
            fleet.round();
            assert_eq!(fleet.recovering(), 0, "{size}, {watch} ms, round {round} after a restart");
        }
        let watching = fleet.watching();
        fleet.fleet.silent.extend(watching);
        for round in 0..80 {
            fleet.round();
            assert_eq!(fleet.recovering(), 0, "{size}, {watch} ms, round {round} after a kill");
        }
    }
}

/// Time after the return of the source at which back ends that are still missing have left: living
/// ones are back within two seconds, and it takes routers some time to notice the return.
const RETURN_LIMIT: Duration = Duration::from_millis(3_000);
/// Time after which routers whose fetches are delayed know of a change.
const LATE_NEWS: Duration = Duration::from_millis(1_600);

/// Guards against each router counting the grace period from when it hears of a missing back end.
#[test]
fn back_ends_that_stay_missing_after_an_outage_are_given_up_by_all_routers_in_time() {
    for size in [7, 62, 85, 300] {
        for delay in [0, 800, 1_600] {
            let mut fleet = running_fleet(size);
            delay_some(&mut fleet, size);
            fleet.is_source_down = true;
            fleet.rounds(50);
            fleet.is_source_down = false;
            fleet.rounds(delay / 80);
            fleet.remove(&["e0", "e1"]);
            let unused =
                |fleet: &SourcedFleet| fleet.using("e0").is_empty() && fleet.using("e1").is_empty();
            let delay = Duration::from_millis(delay as u64);
            let took = fleet.rounds_until(TEST_LIMIT, unused) + delay;
            let limit = RETURN_LIMIT.max(delay + LATE_NEWS);
            assert!(took <= limit, "{size}, {delay:?} after the return: {took:?}");
        }
    }
}

/// Entries of living back ends expire during an outage. They must stay in use until they are
/// renewed.
#[test]
fn back_ends_that_register_again_after_an_outage_are_never_unused() {
    for size in [7, 62, 85] {
        let mut fleet = running_fleet(size);
        fleet.is_source_down = true;
        fleet.rounds(50);
        fleet.remove(&["e0", "e1"]);
        fleet.is_source_down = false;
        for round in 0..120 {
            if round == 23 {
                fleet.put("e0", BackEndState::Ready);
                fleet.put("e1", BackEndState::Ready);
            }
            fleet.round();
            assert_eq!(fleet.using("e0").len(), size, "{size}, round {round}");
            assert_eq!(fleet.using("e1").len(), size, "{size}, round {round}");
        }
    }
}

/// Guards against a delayed write of an earlier entry making a draining back end usable again.
#[test]
fn a_draining_back_end_that_is_listed_as_ready_again_gets_no_requests() {
    let mut fleet = running_fleet(62);
    fleet.put("e0", BackEndState::Draining);
    fleet.rounds_until(TEST_LIMIT, |fleet| fleet.using("e0").is_empty());
    fleet.put("e0", BackEndState::Ready);
    for _ in 0..50 {
        fleet.round();
        assert_eq!(fleet.using("e0").len(), 0);
    }
}

/// Returns whether a router terminates, for a fraction in hundredths.
fn terminates(seed: u64, router: usize, hundredths: u64) -> bool {
    let draw = stable_hash(&[&seed.to_be_bytes(), &(router as u64).to_be_bytes()]);
    draw % 100 < hundredths
}

/// Guards against routers that wait for one terminated aggregator after the other. The other half
/// of the limit is left for routers that are short of processor time.
#[test]
fn a_back_end_that_leaves_as_many_routers_terminate_is_unused_within_half_of_the_limit() {
    for (size, hundredths) in [(62, 60), (62, 80), (85, 30), (85, 60), (85, 80), (300, 60)] {
        for (seed, rounds) in [(0, 0), (1, 2), (2, 4), (3, 6)] {
            let mut fleet = running_fleet(size);
            fleet.first_watch_time = Duration::from_millis(80);
            let terminated = (0..size).filter(|router| terminates(seed, *router, hundredths));
            fleet.fleet.silent = terminated.map(address).collect();
            fleet.rounds(rounds);
            fleet.remove(&["e0"]);
            let silent = fleet.fleet.silent.clone();
            let is_unused = |fleet: &SourcedFleet| fleet.using("e0").is_subset(&silent);
            let took = fleet.rounds_until(TEST_LIMIT, is_unused);
            assert!(took <= drain_limit(size) / 2, "{size}, {hundredths}, {seed}: {took:?}");
        }
    }
}
