//! Ranking of engines by speed, and the choice among them under load.

mod support;

use mastbay_routing::{
    Admission, BackEndId, Dispatcher, PerformanceEstimate, Policy, RankScore, RankingPolicy,
    RouterPhase, TicketId,
};
use mastbay_types::mixed_hash;
use quickcheck::quickcheck;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::{address, at, configuration, demand, limits, list, peer, prompt};

const ENGINES: usize = 12;
const SLOTS: u32 = 12;

/// Every fourth engine is fast. Streams of 25 events pause too long at three in ten of the others.
fn estimate(engine: usize) -> PerformanceEstimate {
    let is_fast = engine.is_multiple_of(4);
    let pause_rate = if is_fast { 0.0 } else { 1.0 - 0.7_f64.powf(1.0 / 25.0) };
    let speed = if is_fast { 2.0 } else { 0.64 };
    PerformanceEstimate { pause_rate, speed, ..PerformanceEstimate::default() }
}

fn name(engine: usize) -> BackEndId {
    BackEndId::from(format!("e{engine}").as_str())
}

fn router(ranking: RankingPolicy, engines: usize) -> Dispatcher {
    let policy = Policy { ranking, ..Policy::default() };
    let limits = mastbay_routing::DispatcherLimits { policy, ..limits() };
    let mut router = Dispatcher::new(limits, peer(1), address(1));
    router.on_configuration(&configuration(None));
    router.on_back_ends(at(0), &list(1, engines, SLOTS));
    router
}

fn set_speeds(router: &mut Dispatcher, from: u64) {
    (0..ENGINES).for_each(|engine| router.fix_performance(&name(engine), estimate(engine)));
    router.next_round(at(from), RouterPhase::Serving, &[]);
}

/// Returns the engine chosen for each of 200 prefixes.
fn chosen(router: &mut Dispatcher, from: u64) -> Vec<BackEndId> {
    let choose = |prefix: u64| {
        let now = at(from + prefix * 10);
        match router.admit(now, demand(now, Some(prompt(prefix, prefix, 20)), "t"), 0.5) {
            Admission::Placed(placement) => {
                router.on_end(now, placement.ticket, Ok(()));
                placement.back_end.id
            }
            other => panic!("{other:?}"),
        }
    };
    (0..200).map(choose).collect()
}

quickcheck! {
    /// Guards against a change of the order where nothing is known of speeds.
    fn equal_weights_give_the_order_of_hashes(hashes: BTreeSet<u64>, weight: u8) -> bool {
        let weight = 0.1 + f64::from(weight) / 20.0;
        let mut sorted: Vec<u64> = hashes.into_iter().collect();
        sorted.sort_by_key(|hash| Reverse(*hash));
        let scores: Vec<RankScore> =
            sorted.iter().map(|hash| RankScore::weighted(*hash, weight)).collect();
        scores.is_sorted()
    }
}

/// Guards against a change of one engine's weight that moves prefixes between others.
#[test]
fn a_heavier_engine_takes_prefixes_in_proportion_and_moves_no_others() {
    let first = |prefix: u64, weight: f64| {
        let weight = |engine| if engine == 0 { weight } else { 1.0 };
        let score =
            |engine: &u64| RankScore::weighted(mixed_hash(prefix, *engine), weight(*engine));
        (0..10_u64).min_by_key(score).expect("engines")
    };
    let moved: Vec<u64> = (0..20_000).filter(|p| first(*p, 3.0) != first(*p, 1.0)).collect();
    assert!(moved.iter().all(|prefix| first(*prefix, 3.0) == 0));
    let share = (0..20_000).filter(|prefix| first(*prefix, 3.0) == 0).count() as f64 / 20_000.0;
    assert!((share - 3.0 / 12.0).abs() < 0.015, "{share}");
}

/// Guards against cached rankings by outdated speeds: a router that has them and one that starts
/// must choose alike. A new incarnation under an old name has the speed of the mean engine. With
/// the switch off, speeds have no effect.
#[test]
fn changed_speeds_take_effect_in_cached_rankings() {
    let weighted = || router(RankingPolicy::Weighted, ENGINES);
    let (mut cached, mut started, mut plain) =
        (weighted(), weighted(), router(RankingPolicy::Plain, ENGINES));
    let before = chosen(&mut cached, 1_000);
    [&mut cached, &mut started, &mut plain]
        .into_iter()
        .for_each(|router| set_speeds(router, 4_000));
    assert_eq!(chosen(&mut plain, 5_000), before);
    let by_speed = chosen(&mut started, 5_000);
    assert_ne!(by_speed, before);
    assert_eq!(chosen(&mut cached, 5_000), by_speed);
    let mut restarted = list(2, ENGINES, SLOTS);
    restarted.back_ends.iter_mut().for_each(|back_end| back_end.id.incarnation = 7);
    cached.on_back_ends(at(8_000), &restarted);
    let names = |ids: Vec<BackEndId>| ids.into_iter().map(|id| id.name).collect::<Vec<_>>();
    assert_eq!(names(chosen(&mut cached, 9_000)), names(before));
}

/// Guards against work per request and per round that grows with the fleet.
#[test]
fn overflow_and_speed_checks_examine_a_bounded_number_of_engines() {
    let examined = [250, 2_000].map(|engines| {
        let mut router = router(RankingPolicy::Weighted, engines);
        let before = router.engines_examined();
        for request in 0..400 {
            let now = at(1_000 + request);
            router.admit(now, demand(now, Some(prompt(1, request, 20)), "t"), 0.5);
        }
        router.next_round(at(2_000), RouterPhase::Serving, &[]);
        router.engines_examined() - before
    });
    assert!(examined[1] < examined[0] * 2, "{examined:?}");
}

/// What became of the requests of a load.
#[derive(Debug, Default)]
struct Results {
    served: f64,
    /// Expected number of streams with a pause that makes them late.
    paused: f64,
    refused: f64,
    /// Refusals while an engine ran under three quarters of its slots.
    refused_with_room: f64,
    /// Requests at each fast engine at the first refusal.
    fast_running_at_refusal: Option<f64>,
}

impl Results {
    fn add(&mut self, engine: Option<usize>, running: &[u32; ENGINES]) {
        let Some(engine) = engine else {
            self.refused += 1.0;
            let has_room = running.iter().any(|running| running * 4 < SLOTS * 3);
            self.refused_with_room += f64::from(u8::from(has_room));
            let fast = f64::from(running[0] + running[4] + running[8]) / 3.0;
            self.fast_running_at_refusal.get_or_insert(fast);
            return;
        };
        self.served += 1.0;
        self.paused += estimate(engine).pause_probability(25);
    }
}

/// Sends requests for ten seconds to 3 fast and 9 slow engines: streams of 25 events with 60 shared
/// prefixes, which take 0.7 s at fast engines and 2.1 s at the others. The fast ones can serve 51 a
/// second, all together 102. Two of 30 tenants send `large` of three requests. Returns the results
/// of the small and of the large tenants.
fn run_load(ranking: RankingPolicy, rate: u64, large: u64) -> [Results; 2] {
    let mut router = router(ranking, ENGINES);
    router.on_configuration(&configuration(Some(102 * 1_320)));
    set_speeds(&mut router, 0);
    let mut running = [0; ENGINES];
    let mut ends: BTreeMap<(u64, TicketId), usize> = BTreeMap::new();
    let mut waiting: BTreeMap<TicketId, usize> = BTreeMap::new();
    let mut results = [Results::default(), Results::default()];
    let mut sent = 0;
    for millis in 1_000..11_000 {
        let now = at(millis);
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= millis) {
            router.on_end(now, entry.key().1, Ok(()));
            running[entry.remove()] -= 1;
        }
        let polled = router.poll(now, 0.5).into_iter();
        let mut outcomes: Vec<_> =
            polled.map(|(ticket, one)| (waiting[&ticket], one.ok())).collect();
        if (millis - 1_000) * rate / 1_000 > sent {
            sent += 1;
            let class = usize::from(sent % 3 < large);
            let tenant = [format!("small-{}", sent / 3 % 28), format!("large-{}", sent % 3)];
            let prompt = prompt(mixed_hash(sent, 1) % 60, sent, 20);
            let mut demand = demand(now, Some(prompt), &tenant[class]);
            demand.pause_objective = Some(Duration::from_millis(300));
            router.on_request(now, &demand);
            match router.admit(now, demand, 0.5) {
                Admission::Placed(placement) => outcomes.push((class, Some(placement))),
                Admission::Refused(_) => outcomes.push((class, None)),
                Admission::Waiting(ticket) => drop(waiting.insert(ticket, class)),
            }
        }
        for (class, placement) in outcomes {
            let engine = placement.map(|placement| {
                let id = placement.back_end.id;
                let engine = (0..ENGINES).find(|one| name(*one) == id).expect("known");
                router.on_first_event(now + placement.predicted, placement.ticket);
                let duration = if estimate(engine).speed > 1.0 { 700 } else { 2_100 };
                ends.insert((millis + duration, placement.ticket), engine);
                running[engine] += 1;
                engine
            });
            results[class].add(engine, &running);
        }
    }
    results
}

/// Guards against streams that pause at slow engines while fast ones have capacity: one in five
/// did.
#[test]
fn few_streams_pause_while_fast_engines_can_serve_the_load() {
    let [results, _] = run_load(RankingPolicy::Weighted, 40, 0);
    assert!(results.paused <= results.served / 20.0, "{results:?}");
    assert!(results.refused <= 0.02 * results.served, "{results:?}");
}

/// Guards against refusals while engines have empty slots, in a load above the capacity, and against
/// tenants above their share taking the capacity of those within it.
#[test]
fn only_tenants_above_their_share_are_refused_before_engines_are_full() {
    let [results, _] = run_load(RankingPolicy::Weighted, 130, 0);
    assert!(results.refused > 100.0, "{results:?}");
    assert!(results.fast_running_at_refusal.is_some_and(|running| running > 10.0), "{results:?}");
    assert!(results.refused_with_room <= 0.02 * results.refused, "{results:?}");
    let [small, large] = run_load(RankingPolicy::Weighted, 130, 2);
    assert!(small.refused <= 0.02 * small.served && large.refused > 100.0, "{small:?} {large:?}");
}
