//! Transfer of prompt prefixes between engines: which engine is the source, what a transfer changes
//! in the placement, and what happens when the source fails.

mod support;

use mastbay_routing::{
    Admission, AllowedRegions, BackEnd, BackEndList, BackEndState, Demand, Dispatcher, EngineKey,
    EvacuatedZones, Fault, Placement, Prompt, PromptPart, Suspect, TransferLimits,
};
use mastbay_types::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use support::{MODEL, at, back_end, configuration, demand, limits, peer};

const ENGINES: u16 = 8;
const SLOTS: u32 = 4;
/// The engines of the deployment G.
const LIMITS: TransferLimits = TransferLimits { bytes_per_token: 18_432, bandwidth_mbps: 370_000 };

fn engines(revision: u64) -> BackEndList {
    list_of(revision, ENGINES)
}

fn list_of(revision: u64, count: u16) -> BackEndList {
    let engine = |index: u16| BackEnd {
        address: SocketAddr::from(([10, 0, 1, 1], 7000 + index)),
        zone: format!("z{}", index % 2),
        ..back_end(&format!("e{index}"), MODEL, SLOTS)
    };
    BackEndList { revision: revision.into(), back_ends: (0..count).map(engine).collect() }
}

fn router(prefix_transfer: bool, transfer: Option<TransferLimits>) -> Dispatcher {
    router_of(1, prefix_transfer, transfer)
}

fn router_of(host: u8, prefix_transfer: bool, transfer: Option<TransferLimits>) -> Dispatcher {
    let mut limits = limits();
    limits.policy.prefix_transfer = prefix_transfer;
    limits.regions = (0..2).map(|zone| (format!("z{zone}"), format!("r{zone}"))).collect();
    let mut configuration = configuration(None);
    for engine in configuration.services.iter_mut().filter_map(|service| service.engine.as_mut()) {
        engine.transfer = transfer;
    }
    let mut router = Dispatcher::new(limits, peer(host), support::address(host));
    router.on_configuration(&configuration);
    router.on_back_ends(Timestamp::ZERO, &engines(1));
    router
}

/// A prompt with a shared prefix that is expensive to prefill for few generated tokens.
fn large_prompt(prefix: u64, request: u64) -> Prompt {
    let parts = vec![
        PromptPart { id: prefix, tokens: 8_000 },
        PromptPart { id: 1_000_000 + request, tokens: 50 },
    ];
    Prompt { parts, input_tokens: 8_050, max_output_tokens: 60, output_hint: None }
}

fn request(now: Timestamp, prefix: u64, request: u64) -> Demand {
    demand(now, Some(large_prompt(prefix, request)), "t")
}

fn admit(router: &mut Dispatcher, now: Timestamp, demand: Demand) -> Option<Placement> {
    match router.admit(now, demand, 0.5) {
        Admission::Placed(placement) => Some(placement),
        Admission::Waiting(_) | Admission::Refused(_) => None,
    }
}

/// Sends requests with one prefix until its first engine is full. Returns the last placement there.
fn fill_first(router: &mut Dispatcher, now: Timestamp) -> Placement {
    let placed =
        (0..u64::from(SLOTS)).filter_map(|number| admit(router, now, request(now, 1, number)));
    let mut placed: Vec<Placement> = placed.collect();
    assert_eq!(placed.len(), SLOTS as usize);
    assert!(placed.iter().all(|one| one.back_end.id == placed[0].back_end.id));
    placed.remove(0)
}

/// Guards against leaving engines empty while requests of a hot prefix wait for the two engines
/// that hold it. The load: 24 requests with one prefix in 24 ms at engines of 4 slots.
#[test]
fn a_hot_prefix_uses_engines_beyond_its_ranks() {
    let place_all = |prefix_transfer| {
        let mut router = router(prefix_transfer, Some(LIMITS));
        let requests = (0..24).map(|number| (at(number), request(at(number), 1, number)));
        let placed = requests.filter_map(|(now, demand)| admit(&mut router, now, demand));
        placed.collect::<Vec<Placement>>()
    };
    let placed = place_all(true);
    assert!(placed.len() >= 20, "{}", placed.len());
    let mut holders = BTreeSet::from([placed[0].back_end.address]);
    for placement in &placed {
        match placement.prefix_source {
            Some(source) => {
                assert!(holders.contains(&source) && source != placement.back_end.address);
                assert_eq!(placement.transferred, 8_000);
                assert!(placement.uncached < 8_050, "{}", placement.uncached);
            }
            None => assert!(holders.contains(&placement.back_end.address)),
        }
        holders.insert(placement.back_end.address);
    }
    assert!(holders.len() >= 5, "{}", holders.len());
    let without = place_all(false);
    assert!(without.iter().all(|placement| placement.prefix_source.is_none()));
    assert!(without.len() < placed.len());
}

/// Guards against changed decisions where transfers are off or not possible.
#[test]
fn decisions_without_transfers_are_as_before() {
    let decisions = |prefix_transfer, transfer| {
        let mut router = router(prefix_transfer, transfer);
        let mut decided = Vec::new();
        for number in 0..120 {
            let now = at(number * 7);
            let placement = admit(&mut router, now, request(now, number % 5, number));
            decided.push(placement.as_ref().map(|placement| {
                assert_eq!(placement.prefix_source, None);
                (placement.back_end.id.clone(), placement.predicted, placement.uncached)
            }));
            if let Some(placement) = placement.filter(|_| number % 3 > 0) {
                router.on_first_event(now + Duration::from_millis(60), placement.ticket);
                router.on_end(now + Duration::from_millis(90), placement.ticket, Ok(()));
            }
        }
        decided
    };
    let before = decisions(false, None);
    assert_eq!(decisions(false, Some(LIMITS)), before);
    assert_eq!(decisions(true, None), before);
}

/// Guards against transfers from engines that cannot serve them, and against losing the memory of
/// draining ones.
#[test]
fn only_engines_that_are_alive_and_reachable_are_sources() {
    let is_used_after = |change: fn(&mut Dispatcher, &Placement)| {
        let mut router = router(true, Some(LIMITS));
        let first = fill_first(&mut router, at(1));
        change(&mut router, &first);
        let placement = admit(&mut router, at(10), request(at(10), 1, 99)).expect("placed");
        assert_ne!(placement.back_end.id, first.back_end.id);
        placement.prefix_source == Some(first.back_end.address)
    };
    assert!(is_used_after(|_, _| ()));
    assert!(is_used_after(|router, first| {
        let mut list = engines(2);
        let changed = list.back_ends.iter_mut().find(|one| one.id == first.back_end.id);
        changed.expect("listed").state = BackEndState::Draining;
        router.on_back_ends(at(5), &list);
    }));
    assert!(!is_used_after(|router, first| {
        router.on_back_end_ended(at(5), EngineKey::from(&first.back_end.id));
    }));
    assert!(!is_used_after(|router, first| {
        router.on_backoff(at(5), &first.back_end.id, Duration::from_secs(1));
    }));
    assert!(!is_used_after(|router, first| {
        router.on_end(at(5), first.ticket, Err(Some(Fault::Unreachable)));
    }));
    assert!(!is_used_after(|router, first| {
        let zones = BTreeSet::from([first.back_end.zone.clone()]);
        router.on_evacuations(&EvacuatedZones { zones, ..EvacuatedZones::default() });
    }));
    assert!(!is_used_after(|router, first| {
        let mut list = engines(2);
        list.back_ends.retain(|one| one.id != first.back_end.id);
        router.on_back_ends(at(5), &list);
    }));
}

/// Guards against sources that must not receive the request's data, or that already failed it.
#[test]
fn regions_suspects_and_earlier_attempts_exclude_sources() {
    let restrict = |demand: &mut Demand, first: &BackEnd| {
        let other = if first.zone == "z0" { "r1" } else { "r0" };
        demand.regions = AllowedRegions::only([other.to_owned()]);
    };
    let suspect = |demand: &mut Demand, _: &BackEnd| {
        demand.suspect = "0123456789abcdef0123456789abcdef".parse::<Suspect>().ok();
        assert!(demand.suspect.is_some());
    };
    let retry = |demand: &mut Demand, first: &BackEnd| demand.tried = vec![first.id.clone()];
    let changes: [fn(&mut Demand, &BackEnd); 3] = [restrict, suspect, retry];
    for change in changes {
        let mut router = router(true, Some(LIMITS));
        let first = fill_first(&mut router, at(1));
        let mut demand = request(at(10), 1, 99);
        change(&mut demand, &first.back_end);
        let placement = admit(&mut router, at(10), demand).expect("placed");
        assert_eq!(placement.prefix_source, None);
    }
}

/// Guards against prefilling again at a router that has not sent the prefix itself. The first engine
/// in the prefix's order is the same at all routers.
#[test]
fn the_first_engine_of_a_prefix_is_a_source_for_routers_that_never_sent_it() {
    let mut fleet = [router(true, Some(LIMITS)), router_of(2, true, Some(LIMITS))];
    let first = fill_first(&mut fleet[0], at(1));
    support::exchange_digests(at(2), &mut fleet);
    let placement = admit(&mut fleet[1], at(10), request(at(10), 1, 99)).expect("placed");
    assert_ne!(placement.back_end.id, first.back_end.id);
    assert_eq!(placement.prefix_source, Some(first.back_end.address));
}

/// Guards against repeated attempts to fetch from an engine that has evicted the prefix.
#[test]
fn a_source_that_saves_no_time_is_avoided_for_some_seconds() {
    let mut router = router(true, Some(LIMITS));
    let first = fill_first(&mut router, at(1));
    let mut sources = Vec::new();
    for number in 0..5 {
        let now = at(100 + number * 300);
        let demand = request(now, 1, 100 + number);
        // A request that still waits would make all later ones wait.
        router.poll(now, 0.5);
        let Some(placement) = admit(&mut router, now, demand) else { continue };
        sources.push(placement.prefix_source == Some(first.back_end.address));
        router.on_first_event(now + Duration::from_millis(250), placement.ticket);
        // Forgets that the target holds the prefix.
        router.on_end(
            now + Duration::from_millis(251),
            placement.ticket,
            Err(Some(Fault::Replaced)),
        );
    }
    assert_eq!(sources[..3], [true; 3]);
    assert!(sources[3..].iter().all(|is_first| !is_first), "{sources:?}");
    let now = at(8_000);
    router.poll(now, 0.5);
    let later = admit(&mut router, now, request(now, 1, 999));
    assert_eq!(later.and_then(|placed| placed.prefix_source), Some(first.back_end.address));
}

/// Guards against an estimate that ignores the size, the zones or the queue at the source.
#[test]
fn the_time_depends_on_tokens_zones_and_transfers_in_progress() {
    let time = |tokens, is_same_zone, in_progress| {
        LIMITS.time(tokens, is_same_zone, in_progress).as_micros()
    };
    assert_eq!(time(4_870, true, 0), 6_940);
    assert_eq!(time(4_870, false, 0), 13_881);
    assert_eq!(time(4_870, true, 2), 20_822);
    for nonsense in [None, Some(0.0), Some(-1.0), Some(0.4), Some(f64::NAN), Some(f64::INFINITY)] {
        assert_eq!(TransferLimits::from_numbers(nonsense, Some(1.0)), None);
        assert_eq!(TransferLimits::from_numbers(Some(1.0), nonsense), None);
    }
}

/// Guards against work per request that grows with the number of engines.
#[test]
fn requests_with_transfers_examine_as_many_engines_in_a_fleet_of_any_size() {
    let examined = [250, 2_000].map(|count| {
        let mut router = router(true, Some(LIMITS));
        router.on_back_ends(Timestamp::ZERO, &list_of(2, count));
        let before = router.engines_examined();
        let requests = (0..20).map(|number| (at(number), request(at(number), 1, number)));
        let placed = requests.filter_map(|(now, demand)| admit(&mut router, now, demand));
        assert!(placed.filter(|placement| placement.prefix_source.is_some()).count() > 0);
        router.engines_examined() - before
    });
    assert!(examined[1] <= examined[0] + 20, "{examined:?}");
}
