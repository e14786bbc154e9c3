//! Back ends that restart under the same name.

mod support;

use mastbay_routing::{
    Admission, BackEnd, BackEndId, BackEndList, BackEndState, Dispatcher, EngineKey, Fault,
    Placement,
};
use mastbay_types::Timestamp;
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;
use support::directory_view::DirectoryView;
use support::{demand, dispatcher, exchange_digests, list, prompt};

const ENGINES: usize = 1;
const SLOTS: u32 = 8;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns the list in which all back ends have the given incarnation.
fn list_of_incarnation(revision: u64, incarnation: u64) -> BackEndList {
    let mut listed = list(revision, ENGINES, SLOTS);
    for back_end in &mut listed.back_ends {
        back_end.id = BackEndId::new(&back_end.id.name, incarnation);
    }
    listed
}

fn admit(dispatcher: &mut Dispatcher, now: Timestamp, suffix: u64) -> Option<Placement> {
    match dispatcher.admit(now, demand(now, Some(prompt(1, suffix, 400)), "t"), 0.5) {
        Admission::Placed(placement) => Some(placement),
        Admission::Waiting(ticket) => {
            dispatcher.on_end(now, ticket, Err(None));
            None
        }
        Admission::Refused(_) => None,
    }
}

/// Load that a router assumes for the engines 100 ms after their restart.
#[derive(Debug, PartialEq)]
struct EngineState {
    running: u32,
    pending_prefill: u64,
    /// Uncached prompt tokens of the first request placed after the restart; `None` if it is not
    /// placed.
    uncached: Option<u64>,
}

/// Fails engines with requests of two routers in flight and lists them again with `incarnation`.
/// Returns the state that the first router assumes then.
fn state_after_restart(incarnation: u64) -> EngineState {
    let mut fleet = [dispatcher(1, ENGINES, SLOTS), dispatcher(2, ENGINES, SLOTS)];
    for router in &mut fleet {
        router.on_back_ends(at(0), &list_of_incarnation(2, 1_000));
    }
    let placements: Vec<Placement> =
        (0..4).filter_map(|suffix| admit(&mut fleet[0], at(10), suffix)).collect();
    assert_eq!(placements.len(), 4);
    assert!(admit(&mut fleet[1], at(10), 50).is_some());
    exchange_digests(at(20), &mut fleet);
    // As many requests find it unreachable as exclude it for a long time.
    for placement in &placements[..3] {
        fleet[0].on_end(at(30), placement.ticket, Err(Some(Fault::Unreachable)));
    }
    fleet[0].on_back_ends(at(40), &list_of_incarnation(3, incarnation));
    let running = fleet[0].loads().map(|load| load.running).sum();
    let pending_prefill = fleet[0].loads().map(|load| load.prefill.tokens).sum();
    let placed = admit(&mut fleet[0], at(140), 99);
    EngineState { running, pending_prefill, uncached: placed.map(|placement| placement.uncached) }
}

/// Reports, cached prefixes, requests in flight and failures of an earlier incarnation are dropped.
#[test]
fn state_of_an_earlier_incarnation_is_dropped_at_a_restart() {
    let unchanged = state_after_restart(1_000);
    println!("the failed incarnation: {unchanged:?}");
    assert!(unchanged.running > 0 && unchanged.uncached.is_none(), "{unchanged:?}");
    let restarted = state_after_restart(2_000);
    println!("a later incarnation: {restarted:?}");
    assert_eq!((restarted.running, restarted.pending_prefill), (0, 0));
    assert!(restarted.uncached.is_some());
}

/// Messages that were in flight when a back end terminated name the earlier incarnation.
#[test]
fn late_reports_on_an_earlier_incarnation_are_ignored() {
    let mut fleet = [dispatcher(1, ENGINES, SLOTS), dispatcher(2, ENGINES, SLOTS)];
    for router in &mut fleet {
        router.on_back_ends(at(0), &list_of_incarnation(2, 1_000));
    }
    let ended = admit(&mut fleet[1], at(10), 1).expect("placed");
    fleet[0].on_back_ends(at(20), &list_of_incarnation(3, 2_000));
    exchange_digests(at(30), &mut fleet);
    assert_eq!(fleet[0].loads().map(|load| load.running).sum::<u32>(), 0);
    fleet[0].on_back_end_ended(at(40), EngineKey::from(&ended.back_end.id));
    assert!(
        admit(&mut fleet[0], at(50), 2).is_some(),
        "a report that the earlier incarnation terminated"
    );
}

/// A report that a back end terminated excludes it until a later incarnation is listed.
#[test]
fn a_terminated_back_end_gets_no_requests_until_a_later_incarnation() {
    let mut router = dispatcher(1, ENGINES, SLOTS);
    let first = list_of_incarnation(2, 1_000);
    router.on_back_ends(at(0), &first);
    for back_end in &first.back_ends {
        router.on_back_end_ended(at(10), EngineKey::from(&back_end.id));
    }
    assert!(admit(&mut router, at(500), 1).is_none());
    router.on_back_ends(at(600), &list_of_incarnation(3, 2_000));
    assert!(admit(&mut router, at(601), 2).is_some());
    // The exclusion ends after a while in case the report was wrong.
    for back_end in &list_of_incarnation(3, 2_000).back_ends {
        router.on_back_end_ended(at(700), EngineKey::from(&back_end.id));
    }
    assert!(admit(&mut router, at(9_000), 3).is_none());
    assert!(admit(&mut router, at(11_000), 4).is_some());
}

#[test]
fn a_later_incarnation_replaces_one_whose_entry_expired() {
    let mut view = DirectoryView::default();
    assert!(view.apply(at(0), Some(at(2_000)), list_of_incarnation(1, 1_000)));
    assert!(view.apply(
        at(0),
        Some(at(2_000)),
        BackEndList { revision: 2.into(), back_ends: Vec::new() }
    ));
    assert_eq!(view.back_ends.len(), ENGINES);
    assert!(view.apply(at(0), Some(at(2_000)), list_of_incarnation(3, 2_000)));
    assert!(view.back_ends.keys().all(|id| id.incarnation == 2_000));
    assert_eq!(view.back_ends.len(), ENGINES);
}

fn entry(name: u8, incarnation: u8) -> BackEnd {
    BackEnd {
        id: BackEndId::new(&format!("e{}", name % 3), u64::from(incarnation)),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        version: "1".into(),
        slots: 1,
        state: BackEndState::Ready,
        cold_for: Duration::ZERO,
    }
}

quickcheck! {
    /// No sequence of lists makes an incarnation usable that is older than one listed before.
    fn no_list_reverts_to_an_earlier_incarnation(lists: Vec<Vec<(u8, u8)>>) -> TestResult {
        let mut view = DirectoryView::default();
        let mut latest = [0_u64; 3];
        for (revision, entries) in (1_u64..).zip(&lists) {
            let back_ends = entries.iter().map(|(name, incarnation)| entry(*name, *incarnation)).collect();
            let list = BackEndList { revision: revision.into(), back_ends };
            view.apply(at(revision), None, list);
            for id in view.back_ends.keys() {
                let name: usize = id.name[1..].parse().expect("a number");
                if id.incarnation < latest[name] {
                    return TestResult::failed();
                }
                latest[name] = id.incarnation;
            }
        }
        TestResult::passed()
    }
}
