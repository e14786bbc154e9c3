//! Fleets in which aggregators add up the figures of the others: 300 routers in five zones.

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
    let fewest = fleet.routers.values().map(Dispatcher::routers).min();
    assert_eq!(fewest, Some(300));
}

/// On the bench, routers that had just started greeted each other for ten seconds and did little else: every message
/// mentions routers, and each unknown one was greeted every time.
#[test]
fn getting_to_know_a_large_fleet_takes_few_greetings() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(25);
    let by_router = fleet.datagrams / 300;
    assert!(by_router <= 2 * 300, "{by_router} datagrams a router in the first two seconds");
}

#[test]
fn figures_of_a_large_fleet_hold_from_one_message_to_the_next() {
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
fn what_ends_is_known_everywhere_within_four_rounds() {
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
fn what_a_router_sends_does_not_grow_with_the_fleet() {
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
fn members_turn_to_another_aggregator_when_theirs_falls_silent() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    fleet.start_one_request_each(100..140);
    fleet.rounds(5);
    let killed = fleet.aggregators();
    fleet.silent.extend(killed.iter().copied());
    // Each zone finds its next aggregator, and these find each other, before the last sums are too old.
    let mut gaps = 0;
    for _ in 0..25 {
        fleet.round();
        gaps += usize::from(fleet.known_running()[0] < 30);
    }
    assert!(gaps <= 3, "{gaps} rounds in which some router knew little of the others");
    assert_eq!(fleet.known_running(), vec![40; 295]);
    assert!(fleet.aggregators().iter().all(|aggregator| !killed.contains(aggregator)));
}

#[test]
fn members_leave_an_aggregator_whose_sums_do_not_reach_them() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    let cut = fleet.aggregators();
    fleet.dropped_sum_senders.extend(cut.iter().copied());
    fleet.start_one_request_each(100..140);
    fleet.rounds(30);
    let median = fleet.known_running()[150];
    assert!((38..=44).contains(&median), "{median}");
}

#[test]
fn a_paused_aggregator_does_not_bring_back_old_figures() {
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
        let most = fleet.known_running().last().copied();
        assert_eq!(most, Some(0), "at {:?}", fleet.now);
    }
}

#[test]
fn a_fleet_that_starts_anew_forgets_the_earlier_lives() {
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
fn few_routers_of_a_large_fleet_follow_the_source() {
    let mut fleet = Fleet::new(300);
    for _ in 0..60 {
        fleet.round();
        let now = fleet.now;
        for router in fleet.routers.values_mut() {
            let follows = router.watches_source(now);
            let contact = if follows { SourceContact::Answered } else { SourceContact::Idle };
            router.on_source_contact(contact);
        }
    }
    for _ in 0..60 {
        fleet.round();
        let now = fleet.now;
        let follow = fleet.routers.values().filter(|router| router.watches_source(now)).count();
        assert_eq!(follow, 3, "at {now:?}");
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

/// Right after a start, a router knows few of the others; it must not take the fleet's budget for that of a few.
#[test]
fn a_newcomer_takes_its_part_of_the_budget_of_the_whole_fleet() {
    let mut seed = router(0, 1).hello(RouterPhase::Serving);
    seed.router.routers = 300;
    let mut newcomer = router(7, 1);
    newcomer.on_digest(Timestamp::from_millis(5), seed);
    let left = newcomer.retries_left(Timestamp::from_millis(10), support::MODEL);
    assert_eq!(left, 0, "second sends of a burst of 10 for 300 routers");
}

/// Levels are told in one report of eight. Taking those that hold on out and in again with each report was most of an
/// aggregator's work: they are many times as many as the loads.
#[test]
fn what_a_report_leaves_out_holds_on_and_is_no_change() {
    let key = |name: &str| EngineKey::from(&BackEndId::from(name));
    let load =
        |running| EngineLoad { engine: key("e0"), load: Load { running, ..Load::default() } };
    let level = EngineServiceLevel {
        engine: key("e0"),
        limits: LimitSum::of(Some(7.0)),
        level: ServiceLevelCounts::default(),
    };
    let mut held = LoadStats { service_levels: Some(vec![level]), ..LoadStats::default() };
    let replaced = held.replace(LoadStats { loads: vec![load(3)], ..LoadStats::default() });
    assert_eq!(replaced, LoadStats::default(), "no level is replaced");
    assert_eq!(
        (held.loads.as_slice(), held.service_levels.as_deref()),
        ([load(3)].as_slice(), Some([level].as_slice()))
    );
    let replaced =
        held.replace(LoadStats { service_levels: Some(Vec::new()), ..LoadStats::default() });
    assert_eq!((replaced.loads, replaced.service_levels), (vec![load(3)], Some(vec![level])));
}

/// A mesh tells of tenants in one digest of four, through rounds as well as through single digests.
#[test]
fn rounds_of_a_mesh_tell_of_tenants_now_and_then() {
    let mut router = router(0, 1);
    let tells_of_tenants = |round: u64| {
        let now = Timestamp::from_millis(80 * round);
        let messages = router.next_round(now, RouterPhase::Serving, &[address(1)]);
        let stats = messages.into_iter().find_map(|outgoing| match outgoing.message {
            PeerMessage::Digest(digest) => digest.stats,
            PeerMessage::Sum(_)
            | PeerMessage::SumForZone(_)
            | PeerMessage::Ends(_)
            | PeerMessage::Draining(_) => None,
        });
        stats.is_some_and(|stats| stats.service_levels.is_some() && stats.tenants.is_some())
    };
    let told: Vec<bool> = (0..8).map(tells_of_tenants).collect();
    assert_eq!(told, [true, false, false, false, true, false, false, false]);
}

#[test]
fn a_lost_datagram_in_twenty_does_little_harm() {
    let mut fleet = Fleet::new(120);
    fleet.rounds(40);
    fleet.start_one_request_each(0..60);
    fleet.rounds(6);
    // Prime, so that it is not the same target's datagram each round.
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

/// A fleet around the size at which aggregators begin, and one that has shrunk below it, counts all once.
#[test]
fn a_fleet_that_grows_and_shrinks_changes_the_way_it_tells_figures() {
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
    // Peers are taken as gone after 12 s of silence.
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

/// A sum over 3,000 engines does not fit a datagram: none would arrive, and all would take themselves as cut off.
#[test]
fn sums_over_thousands_of_engines_are_split() {
    let mut fleet = Fleet::with_engines(60, 3_000);
    fleet.rounds(30);
    let mut placed = 0;
    for subject in 0..1_500 {
        let now = fleet.now;
        let router = fleet.router(subject as usize % 60);
        let asked = demand(now, Some(prompt(subject, subject, 10)), "t");
        placed += u32::from(matches!(router.admit(now, asked, 0.5), Admission::Placed(_)));
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

/// Found as CONFIG broken (shifted licpat, drawn day): the store turned away the aggregators of all three zones for nine seconds, and
/// no other router asked it.
#[test]
fn members_follow_the_source_while_it_turns_all_aggregators_away() {
    for (size, refused_one_in) in [(62, 3), (300, 3), (62, 2)] {
        let mut fleet = Fleet::new(size);
        fleet.rounds(40);
        let aggregators = fleet.aggregators();
        let mut calls = 0;
        let mut answered_from = None;
        let mut silent_rounds = 0;
        let began = fleet.now;
        for round in 0..110 {
            for index in 0..size {
                let now = fleet.now;
                let is_refused =
                    aggregators.contains(&address(index)) || index % refused_one_in == 0;
                let router = fleet.router(index);
                let contact = match (router.watches_source(now), is_refused) {
                    (false, _) => SourceContact::Idle,
                    (true, true) => SourceContact::Lost,
                    (true, false) => SourceContact::Answered,
                };
                let is_call =
                    contact != SourceContact::Idle && !aggregators.contains(&address(index));
                calls += u32::from(is_call && router.source_contact() != contact);
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
        let waited = answered_from.map(|answered| answered.since(began));
        assert!(waited.is_some_and(|waited| waited.as_millis() < 1_600), "{size}: {waited:?}");
        assert!(silent_rounds <= 25, "{size}: nobody is answered in {silent_rounds} of 90 rounds");
        assert!(calls <= 40, "{size}: {calls} members began to ask in nine seconds");
    }
}

#[test]
fn members_leave_the_source_to_aggregators_that_reach_it() {
    let mut fleet = Fleet::new(62);
    fleet.rounds(40);
    let aggregators = fleet.aggregators();
    // Until they are asked for the first time, members may stand in for them.
    const SETTLED: usize = 80;
    for round in 0..SETTLED + 60 {
        for index in 0..62 {
            let now = fleet.now;
            let router = fleet.router(index);
            let follows = router.watches_source(now);
            let may_follow = round < SETTLED || aggregators.contains(&address(index));
            assert!(!follows || may_follow, "router {index} in round {round}");
            router.on_source_contact(if follows {
                SourceContact::Answered
            } else {
                SourceContact::Idle
            });
        }
        fleet.round();
    }
}

/// What members take in follows from the back ends in use, not from all that are listed.
#[test]
fn sums_are_split_by_what_they_tell() {
    let told = [1_000, 4_000].map(|engines| {
        let mut fleet = Fleet::with_engines(60, engines);
        fleet.rounds(30);
        for subject in 0..200 {
            let now = fleet.now;
            let asked = demand(now, Some(prompt(subject, subject, 10)), "t");
            fleet.router(subject as usize % 60).admit(now, asked, 0.5);
        }
        fleet.rounds(10);
        let before = fleet.datagrams;
        fleet.rounds(20);
        assert_eq!(fleet.known_running(), vec![200; 60]);
        fleet.datagrams - before
    });
    assert!(told[1] <= told[0] + told[0] / 50, "{told:?} datagrams");
}

// A calm day of 985 routers in five zones moved 1.4 GB between zones in a minute. Each of 20 aggregators sent the sums of its members to all
// others, 16 of them in other zones: with twice the fleet there are four times as many of these messages.
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
fn what_other_zones_have_is_known_at_every_aggregator_of_a_zone() {
    let mut fleet = Fleet::new(350);
    fleet.rounds(70);
    fleet.start_one_request_each(0..60);
    fleet.rounds(6);
    for _ in 0..20 {
        fleet.round();
        assert_eq!(fleet.known_running(), vec![60; 350], "at {:?}", fleet.now);
    }
}

/// Zones whose sums an aggregator passed on get them from the others when it dies.
#[test]
fn an_aggregator_that_dies_takes_no_zone_the_figures_of_others() {
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
fn a_lost_datagram_in_twenty_does_little_harm_between_zones() {
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

/// When a fleet starts, each zone gets the lists once or twice, and not once for each of its routers.
#[test]
fn members_wait_a_while_for_a_router_of_their_zone_to_have_what_is_new() {
    let mut fleet = Fleet::new(300);
    fleet.rounds(40);
    let now = fleet.now;
    let aggregators = fleet.aggregators();
    let informed = fleet.routers.get_mut(&aggregators[0]).expect("known");
    informed.on_back_ends(now, &list(2, ENGINES, SLOTS));
    // A quarter of a second.
    for _ in 0..3 {
        fleet.round();
        let asking = fleet.fetching_from_other_zones();
        assert!(asking.iter().all(|router| aggregators.contains(router)), "{asking:?}");
    }
    assert_eq!(fleet.fetching_from_other_zones().len(), aggregators.len() - 1);
    // No aggregator gets it.
    fleet.rounds(6);
    assert!(fleet.fetching_from_other_zones().len() > aggregators.len());
}

/// Whether the source answers a router: it turns away all aggregators and one router in so many.
fn contact_of(router: &Dispatcher, now: Timestamp, is_refused: bool) -> SourceContact {
    match (router.watches_source(now), is_refused) {
        (false, _) => SourceContact::Idle,
        (true, true) => SourceContact::Lost,
        (true, false) => SourceContact::Answered,
    }
}

/// A source that turns some routers away is there for the others and for the back ends, whose entries go when they leave. Found on a day at
/// 91 routers, of which a third was turned away: requests reached back ends 60 ms after the 3,000 ms within which these must have none. The
/// router that stood in for the aggregators ended its five seconds, no other was answered for a while,
///
///     revision=241 until 30.06 s, revision=256 from 30.61 s on
///
/// and where that takes a second, all routers take the source for lost, and keep back ends whose entries went for two seconds more.
#[test]
fn a_source_that_turns_some_routers_away_is_not_taken_for_lost() {
    for answering in [0, 40] {
        for (size, one_in, first) in [
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
            let is_turned_away = |index| index % one_in == first;
            let taken_for_lost = times_taken_for_lost(size, answering, is_turned_away);
            assert_eq!(taken_for_lost, 0, "{size}, one in {one_in} from {first}, {answering}");
        }
    }
}

/// Rounds in which the source turns routers away.
const TURNING_AWAY: usize = 160;

/// How often routers take the source for lost that answers all for so many rounds, and then turns the aggregators of that time and some
/// other routers away.
fn times_taken_for_lost(
    size: usize,
    answering: usize,
    is_turned_away: impl Fn(usize) -> bool,
) -> usize {
    let mut fleet = Fleet::new(size);
    fleet.rounds(40);
    let mut watches = vec![OutageDetector::default(); size];
    let mut aggregators = Vec::new();
    let mut taken_for_lost = 0;
    for round in 0..answering + TURNING_AWAY {
        if round == answering {
            aggregators = fleet.aggregators();
        }
        for (index, watch) in watches.iter_mut().enumerate() {
            let is_refused = round >= answering
                && (aggregators.contains(&address(index)) || is_turned_away(index));
            let now = fleet.now;
            let router = fleet.router(index);
            let contact = contact_of(router, now, is_refused);
            router.on_source_contact(contact);
            if router.is_source_answering(now) {
                watch.on_answer(now);
            } else {
                watch.on_lost(now);
            }
            taken_for_lost += usize::from(watch.is_recovering(now));
        }
        fleet.round();
    }
    taken_for_lost
}
