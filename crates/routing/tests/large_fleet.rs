//! Large fleets, in which aggregators distribute sums of the load statistics of all routers.

mod support;

use mastbay_routing::{
    Admission, BackEndId, Dispatcher, EngineKey, EngineLoad, EngineServiceLevel, LimitSum, Load,
    LoadStats, OutageDetector, PeerMessage, RouterPhase, ServiceLevelCounts, SourceContact,
};
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use support::fleet::{ENGINES, Fleet, SLOTS, ZONES, address, router, zone};
use support::{demand, list, prompt};

#[test]
fn all_routers_of_a_large_fleet_know_each_other_soon_after_their_start() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(25);
    let min_known = fleet.routers.values().map(Dispatcher::routers).min();
    assert_eq!(min_known, Some(300));
}

/// Guards against a hello for every mention of a router that is not known yet.
#[test]
fn discovery_of_a_large_fleet_takes_few_hellos() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(25);
    let datagrams_per_router = fleet.datagrams / 300;
    assert!(
        datagrams_per_router <= 2 * 300,
        "{datagrams_per_router} datagrams a router in the first two seconds"
    );
}

#[test]
fn load_stats_of_a_large_fleet_stay_constant_between_messages() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(30);
    fleet.start_one_request_each(0..60);
    fleet.rounds(6);
    for _ in 0..40 {
        fleet.round();
        assert_eq!(fleet.known_running(), vec![60; 300], "at {:?}", fleet.now);
    }
}

#[test]
fn ended_requests_are_known_everywhere_within_four_rounds() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(30);
    let tickets = fleet.start_requests(250, 5);
    fleet.rounds(4);
    assert_eq!(fleet.known_running(), vec![5; 300]);
    let now = fleet.now;
    for ticket in tickets {
        fleet.router(250).on_end(now, ticket, Ok(()));
    }
    fleet.rounds(4);
    assert_eq!(fleet.known_running(), vec![0; 300]);
}

#[test]
fn datagrams_per_router_do_not_grow_with_the_fleet() {
    let datagrams_per_router = |size: usize| {
        let mut fleet = Fleet::new(size);
        fleet.rounds(60);
        fleet.datagrams = 0;
        fleet.rounds(25);
        fleet.datagrams as f64 / size as f64 / 25.0
    };
    let (at_60, at_300) = (datagrams_per_router(60), datagrams_per_router(300));
    assert!(at_300 <= at_60 * 1.1, "{at_300} a round with 300 routers, {at_60} with 60");
    assert!(at_300 < 5.0, "{at_300} datagrams a round");
}

#[test]
fn each_zone_has_one_aggregator_and_it_is_a_large_router() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    let aggregators = fleet.aggregators();
    assert_eq!(aggregators.len(), ZONES);
    let large: BTreeSet<SocketAddr> = (0..3 * ZONES).map(address).collect();
    assert!(aggregators.iter().all(|aggregator| large.contains(aggregator)), "{aggregators:?}");
}

#[test]
fn members_switch_to_another_aggregator_when_theirs_falls_silent() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    fleet.start_one_request_each(100..140);
    fleet.rounds(5);
    let silenced = fleet.aggregators();
    fleet.silent.extend(silenced.iter().copied());
    // Each zone elects its next aggregator, and these find each other, before the last sums expire.
    let mut gaps = 0;
    for _ in 0..25 {
        fleet.round();
        gaps += usize::from(fleet.known_running()[0] < 30);
    }
    assert!(gaps <= 3, "{gaps} rounds in which some router knew little of the others");
    assert_eq!(fleet.known_running(), vec![40; 295]);
    assert!(fleet.aggregators().iter().all(|aggregator| !silenced.contains(aggregator)));
}

#[test]
fn members_leave_an_aggregator_whose_sums_do_not_reach_them() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    let unreachable = fleet.aggregators();
    fleet.dropped_sum_senders.extend(unreachable.iter().copied());
    fleet.start_one_request_each(100..140);
    fleet.rounds(30);
    let median = fleet.known_running()[150];
    assert!((38..=44).contains(&median), "{median}");
}

#[test]
fn a_paused_aggregator_does_not_bring_back_old_load_stats() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    let tickets = fleet.start_requests(100, 5);
    fleet.rounds(5);
    let paused = fleet.aggregators();
    fleet.silent.extend(paused.iter().copied());
    fleet.rounds(25);
    let now = fleet.now;
    for ticket in tickets {
        fleet.router(100).on_end(now, ticket, Ok(()));
    }
    fleet.rounds(6);
    fleet.silent.clear();
    for _ in 0..30 {
        fleet.round();
        let max_running = fleet.known_running().last().copied();
        assert_eq!(max_running, Some(0), "at {:?}", fleet.now);
    }
}

#[test]
fn a_restarted_fleet_discards_the_earlier_incarnations() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    fleet.start_one_request_each(0..100);
    fleet.rounds(5);
    for index in 0..300 {
        *fleet.router(index) = router(index, 2);
    }
    fleet.rounds(25);
    assert_eq!(fleet.known_running(), vec![0; 300]);
    assert_eq!(fleet.routers.values().map(Dispatcher::routers).min(), Some(300));
}

#[test]
fn few_routers_of_a_large_fleet_watch_the_source() {
    let mut fleet = Fleet::new(300);
    for _ in 0..60 {
        fleet.round();
        let now = fleet.now;
        for router in fleet.routers.values_mut() {
            let watches_source = router.watches_source(now);
            let contact =
                if watches_source { SourceContact::Answered } else { SourceContact::Idle };
            router.on_source_contact(contact);
        }
    }
    for _ in 0..60 {
        fleet.round();
        let now = fleet.now;
        let watching = fleet.routers.values().filter(|router| router.watches_source(now)).count();
        assert_eq!(watching, 3, "at {now:?}");
        assert!(fleet.routers.values().all(|router| router.is_source_answering(now)));
    }
}

#[test]
fn members_that_join_are_counted_once() {
    let mut fleet = Fleet::new(60);
    fleet.rounds(40);
    for index in 60..300 {
        fleet.routers.insert(address(index), router(index, 1));
    }
    fleet.rounds(12);
    for index in 0..300 {
        assert_eq!(fleet.start_requests(index, 1).len(), 1, "router {index}");
    }
    fleet.rounds(30);
    assert_eq!(fleet.known_running(), vec![300; 300]);
}

/// Guards against dividing the retry budget by the few peers that a router knows right after its
/// start instead of by the fleet size that they report.
#[test]
fn a_new_router_takes_its_share_of_the_retry_budget_of_the_whole_fleet() {
    let mut seed = router(0, 1).hello(RouterPhase::Serving);
    seed.router.routers = 300;
    let mut new_router = router(7, 1);
    new_router.on_digest(Timestamp::from_millis(5), seed);
    let left = new_router.retries_left(Timestamp::from_millis(10), support::MODEL);
    assert_eq!(left, 0, "retries of a burst of 10 for 300 routers");
}

/// Service levels are sent in one report of eight; the other reports must not remove and add them
/// again.
#[test]
fn service_levels_missing_in_a_report_are_kept_and_are_no_change() {
    let key = |name: &str| EngineKey::from(&BackEndId::from(name));
    let load =
        |running| EngineLoad { engine: key("e0"), load: Load { running, ..Load::default() } };
    let level = EngineServiceLevel {
        engine: key("e0"),
        limits: LimitSum::of(Some(7.0)),
        level: ServiceLevelCounts::default(),
    };
    let mut stats = LoadStats { service_levels: Some(vec![level]), ..LoadStats::default() };
    let replaced = stats.replace(LoadStats { loads: vec![load(3)], ..LoadStats::default() });
    assert_eq!(replaced, LoadStats::default(), "no level is replaced");
    assert_eq!(
        (stats.loads.as_slice(), stats.service_levels.as_deref()),
        ([load(3)].as_slice(), Some([level].as_slice()))
    );
    let replaced =
        stats.replace(LoadStats { service_levels: Some(Vec::new()), ..LoadStats::default() });
    assert_eq!((replaced.loads, replaced.service_levels), (vec![load(3)], Some(vec![level])));
}

/// Digests of a full mesh carry tenants and service levels once in four rounds.
#[test]
fn rounds_of_a_mesh_carry_tenants_in_one_digest_of_four() {
    let mut router = router(0, 1);
    let has_tenants = |round: u64| {
        let now = Timestamp::from_millis(80 * round);
        let messages = router.next_round(now, RouterPhase::Serving, &[address(1)]);
        let stats = messages.into_iter().find_map(|outgoing| match outgoing.message {
            PeerMessage::Digest(digest) => digest.stats,
            PeerMessage::Sum(_)
            | PeerMessage::SumForZone(_)
            | PeerMessage::Ends(_)
            | PeerMessage::Draining(_)
            | PeerMessage::Silence(_)
            | PeerMessage::Registry(_)
            | PeerMessage::Origin(_) => None,
        });
        stats.is_some_and(|stats| stats.service_levels.is_some() && stats.tenants.is_some())
    };
    let with_tenants: Vec<bool> = (0..8).map(has_tenants).collect();
    assert_eq!(with_tenants, [true, false, false, false, true, false, false, false]);
}

#[test]
fn load_stats_tolerate_the_loss_of_one_datagram_in_twenty() {
    let mut fleet = Fleet::new(120);
    fleet.rounds(40);
    fleet.start_one_request_each(0..60);
    fleet.rounds(6);
    // A prime, so that the drops affect another target in each round.
    fleet.drop_every = 19;
    for _ in 0..100 {
        fleet.round();
        let known_running = fleet.known_running();
        let median = known_running[60];
        assert!((58..=63).contains(&median), "{median} at {:?}", fleet.now);
    }
}

#[test]
fn repeated_datagrams_count_once() {
    let mut fleet = Fleet::new(120);
    fleet.duplicates = true;
    fleet.rounds(40);
    fleet.start_one_request_each(0..60);
    fleet.rounds(6);
    assert_eq!(fleet.known_running(), vec![60; 120]);
}

/// Guards against requests counted twice or not at all when the fleet crosses the size from which
/// it uses aggregators.
#[test]
fn a_fleet_that_grows_and_shrinks_switches_between_mesh_and_aggregators() {
    let mut fleet = Fleet::new(24);
    fleet.rounds(30);
    fleet.start_one_request_each(0..24);
    fleet.rounds(4);
    assert_eq!(fleet.known_running(), vec![24; 24]);
    for index in 24..40 {
        fleet.routers.insert(address(index), router(index, 1));
    }
    fleet.rounds(30);
    assert_eq!(fleet.known_running(), vec![24; 40]);
    assert!(!fleet.aggregators().is_empty());
    fleet.silent = (24..40).map(address).collect();
    // Peers expire after 12 s of silence.
    fleet.rounds(12 * 13 + 20);
    assert_eq!(fleet.known_running(), vec![24; 24]);
    assert!(fleet.aggregators().is_empty());
}

#[test]
fn when_all_large_routers_of_a_zone_fall_silent_small_ones_aggregate() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    fleet.start_one_request_each(100..140);
    fleet.rounds(5);
    fleet.silent = (0..3 * ZONES).map(address).collect();
    fleet.rounds(35);
    assert_eq!(fleet.known_running(), vec![40; 285]);
    assert_eq!(fleet.aggregators().len(), ZONES);
}

/// Guards against sums that do not fit a datagram, as one over 3,000 engines.
#[test]
fn sums_over_thousands_of_engines_are_split() {
    let mut fleet = Fleet::with_engines(60, 3_000);
    fleet.rounds(30);
    let mut placed = 0;
    for prefix in 0..1_500 {
        let now = fleet.now;
        let router = fleet.router(prefix as usize % 60);
        let request = demand(now, Some(prompt(prefix, prefix, 10)), "t");
        placed += u32::from(matches!(router.admit(now, request, 0.5), Admission::Placed(_)));
    }
    assert_eq!(placed, 1_500);
    fleet.rounds(6);
    for _ in 0..20 {
        fleet.round();
        assert_eq!(fleet.known_running(), vec![1_500; 60], "at {:?}", fleet.now);
    }
    assert!(fleet.max_engines_per_sum > 200, "{}", fleet.max_engines_per_sum);
    assert!(fleet.max_engines_per_sum < 1_000, "{}", fleet.max_engines_per_sum);
}

/// Guards against a source that nobody watches while it rejects all aggregators.
#[test]
fn members_watch_the_source_while_it_rejects_all_aggregators() {
    for (size, reject_every) in [(62, 3), (300, 3), (62, 2)] {
        let mut fleet = Fleet::new(size);
        fleet.rounds(40);
        let aggregators = fleet.aggregators();
        let mut connects = 0;
        let mut answered_from = None;
        let mut silent_rounds = 0;
        let started = fleet.now;
        for round in 0..110 {
            for index in 0..size {
                let now = fleet.now;
                let rejected = aggregators.contains(&address(index)) || index % reject_every == 0;
                let router = fleet.router(index);
                let contact = match (router.watches_source(now), rejected) {
                    (false, _) => SourceContact::Idle,
                    (true, true) => SourceContact::Lost,
                    (true, false) => SourceContact::Answered,
                };
                let connects_now =
                    contact != SourceContact::Idle && !aggregators.contains(&address(index));
                connects += u32::from(connects_now && router.source_contact() != contact);
                router.on_source_contact(contact);
                if contact == SourceContact::Answered {
                    answered_from.get_or_insert(fleet.now);
                }
            }
            let is_answered = (0..size)
                .any(|index| fleet.router(index).source_contact() == SourceContact::Answered);
            silent_rounds += u32::from(!is_answered && round >= 20);
            fleet.round();
        }
        let waited = answered_from.map(|answered| answered.since(started));
        assert!(waited.is_some_and(|waited| waited.as_millis() < 1_600), "{size}: {waited:?}");
        assert!(
            silent_rounds <= 25,
            "{size}: no router is answered in {silent_rounds} of 90 rounds"
        );
        assert!(connects <= 40, "{size}: {connects} members connected in nine seconds");
    }
}

#[test]
fn members_leave_the_source_to_aggregators_that_reach_it() {
    let mut fleet = Fleet::new(62);
    fleet.rounds(40);
    let aggregators = fleet.aggregators();
    // Until the aggregators contact the source for the first time, members may act as fallback.
    const SETTLING_ROUNDS: usize = 80;
    for round in 0..SETTLING_ROUNDS + 60 {
        for index in 0..62 {
            let now = fleet.now;
            let router = fleet.router(index);
            let watches_source = router.watches_source(now);
            let may_watch = round < SETTLING_ROUNDS || aggregators.contains(&address(index));
            assert!(!watches_source || may_watch, "router {index} in round {round}");
            router.on_source_contact(if watches_source {
                SourceContact::Answered
            } else {
                SourceContact::Idle
            });
        }
        fleet.round();
    }
}

/// Guards against a number of datagrams that grows with the listed engines instead of those in use.
#[test]
fn sums_are_split_by_the_engines_that_they_contain() {
    let datagrams = [1_000, 4_000].map(|engines| {
        let mut fleet = Fleet::with_engines(60, engines);
        fleet.rounds(30);
        for prefix in 0..200 {
            let now = fleet.now;
            let request = demand(now, Some(prompt(prefix, prefix, 10)), "t");
            fleet.router(prefix as usize % 60).admit(now, request, 0.5);
        }
        fleet.rounds(10);
        let before = fleet.datagrams;
        fleet.rounds(20);
        assert_eq!(fleet.known_running(), vec![200; 60]);
        fleet.datagrams - before
    });
    assert!(datagrams[1] <= datagrams[0] + datagrams[0] / 50, "{datagrams:?} datagrams");
}

/// Guards against every aggregator sending its sums to all aggregators of other zones.
#[test]
fn sums_between_zones_do_not_grow_with_the_square_of_the_aggregators() {
    for size in [350, 700] {
        let mut fleet = Fleet::new(size);
        fleet.rounds(70);
        let aggregators = fleet.aggregators().len();
        assert!(aggregators > ZONES, "{aggregators} of {size}");
        fleet.cross_zone_sums = 0;
        fleet.rounds(10);
        let by_aggregator = fleet.cross_zone_sums as f64 / aggregators as f64 / 10.0;
        assert!(by_aggregator <= (ZONES - 1) as f64, "{by_aggregator} of {size}");
    }
}

#[test]
fn load_stats_of_other_zones_reach_every_aggregator_of_a_zone() {
    let mut fleet = Fleet::new(350);
    fleet.rounds(70);
    fleet.start_one_request_each(0..60);
    fleet.rounds(6);
    for _ in 0..20 {
        fleet.round();
        assert_eq!(fleet.known_running(), vec![60; 350], "at {:?}", fleet.now);
    }
}

/// Guards against zones left without load statistics when the aggregator that relayed them dies.
#[test]
fn the_death_of_an_aggregator_leaves_no_zone_without_the_load_stats_of_others() {
    let mut fleet = Fleet::new(700);
    fleet.rounds(70);
    fleet.start_one_request_each(300..340);
    fleet.rounds(6);
    let mut dying = BTreeMap::new();
    dying.extend(fleet.aggregators().into_iter().map(|aggregator| (zone(aggregator), aggregator)));
    assert_eq!(dying.len(), ZONES);
    fleet.silent.extend(dying.into_values());
    let mut gaps = 0;
    for _ in 0..25 {
        fleet.round();
        gaps += usize::from(fleet.known_running()[0] < 30);
    }
    assert!(gaps <= 3, "{gaps} rounds in which some router knew little of the others");
    assert_eq!(fleet.known_running(), vec![40; 695]);
}

#[test]
fn load_stats_of_other_zones_tolerate_the_loss_of_one_datagram_in_twenty() {
    let mut fleet = Fleet::new(350);
    fleet.rounds(70);
    fleet.start_one_request_each(0..60);
    fleet.rounds(6);
    fleet.drop_every = 19;
    for _ in 0..50 {
        fleet.round();
        let median = fleet.known_running()[175];
        assert!((58..=63).contains(&median), "{median} at {:?}", fleet.now);
    }
}

/// Guards against every router of a zone fetching the lists from another zone when a fleet starts.
#[test]
fn members_wait_for_a_router_of_their_zone_to_have_the_newest_snapshot() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    let now = fleet.now;
    let aggregators = fleet.aggregators();
    let updated = fleet.routers.get_mut(&aggregators[0]).expect("known");
    updated.on_back_ends(now, &list(2, ENGINES, SLOTS));
    // For a quarter of a second, only aggregators fetch from other zones.
    for _ in 0..3 {
        fleet.round();
        let fetching = fleet.fetching_from_other_zones();
        assert!(fetching.iter().all(|router| aggregators.contains(router)), "{fetching:?}");
    }
    assert_eq!(fleet.fetching_from_other_zones().len(), aggregators.len() - 1);
    // No aggregator receives the new revision, so the members fetch it themselves.
    fleet.rounds(6);
    assert!(fleet.fetching_from_other_zones().len() > aggregators.len());
}

/// Returns the result of a router's contact with a source that rejects it if `rejected`.
fn contact_of(router: &Dispatcher, now: Timestamp, rejected: bool) -> SourceContact {
    match (router.watches_source(now), rejected) {
        (false, _) => SourceContact::Idle,
        (true, true) => SourceContact::Lost,
        (true, false) => SourceContact::Answered,
    }
}

/// Guards against an outage detected by all routers while the source rejects only some of them:
/// during an outage, routers keep back ends whose entries are gone.
#[test]
fn a_source_that_rejects_some_routers_is_not_taken_for_lost() {
    for answering in [0, 40] {
        for (size, reject_every, first) in [
            (62, 3, 0),
            (62, 3, 1),
            (62, 3, 2),
            (62, 2, 1),
            (91, 3, 0),
            (91, 3, 1),
            (91, 2, 0),
            (120, 3, 2),
            (300, 3, 0),
        ] {
            let is_rejected = |index| index % reject_every == first;
            let outages = count_outages(size, answering, is_rejected);
            assert_eq!(outages, 0, "{size}, one in {reject_every} from {first}, {answering}");
        }
    }
}

/// Rounds in which the source rejects routers.
const REJECTING_ROUNDS: usize = 160;

/// Returns how often routers detect an outage of a source that answers all of them for `answering`
/// rounds and then rejects the aggregators of that time and some other routers.
fn count_outages(size: usize, answering: usize, is_rejected: impl Fn(usize) -> bool) -> usize {
    let mut fleet = Fleet::new(size);
    fleet.rounds(40);
    let mut detectors = vec![OutageDetector::default(); size];
    let mut aggregators = Vec::new();
    let mut outages = 0;
    for round in 0..answering + REJECTING_ROUNDS {
        if round == answering {
            aggregators = fleet.aggregators();
        }
        for (index, detector) in detectors.iter_mut().enumerate() {
            let rejected =
                round >= answering && (aggregators.contains(&address(index)) || is_rejected(index));
            let now = fleet.now;
            let router = fleet.router(index);
            let contact = contact_of(router, now, rejected);
            router.on_source_contact(contact);
            detector.observe(now, router.source_availability(now));
            outages += usize::from(detector.is_recovering(now));
        }
        fleet.round();
    }
    outages
}
