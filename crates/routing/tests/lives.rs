//! Back ends that start again under the name that they had.

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

/// The list in which all back ends have a life.
fn list_of_life(revision: u64, incarnation: u64) -> BackEndList {
    let mut listed = list(revision, ENGINES, SLOTS);
    for back_end in &mut listed.back_ends {
        back_end.id = BackEndId::new(&back_end.id.name, incarnation);
    }
    listed
}

fn admit(dispatcher: &mut Dispatcher, now: Timestamp, own: u64) -> Option<Placement> {
    match dispatcher.admit(now, demand(now, Some(prompt(1, own, 400)), "t"), 0.5) {
        Admission::Placed(placement) => Some(placement),
        Admission::Waiting(ticket) => {
            dispatcher.on_end(now, ticket, Err(None));
            None
        }
        Admission::Refused(_) => None,
    }
}

/// What a router believes of the engines 100 ms after they came back.
#[derive(Debug, PartialEq)]
struct Belief {
    running: u32,
    pending_prefill: u64,
    /// Prompt tokens that the first one placed there is taken to read; nothing if it is not placed.
    uncached: Option<u64>,
}

/// Engines with requests of two routers end and come back; the lists of both routers name them with a life.
fn belief_after_return(incarnation: u64) -> Belief {
    let mut fleet = [dispatcher(1, ENGINES, SLOTS), dispatcher(2, ENGINES, SLOTS)];
    for router in &mut fleet {
        router.on_back_ends(at(0), &list_of_life(2, 1_000));
    }
    let own: Vec<Placement> = (0..4).filter_map(|own| admit(&mut fleet[0], at(10), own)).collect();
    assert_eq!(own.len(), 4);
    assert!(admit(&mut fleet[1], at(10), 50).is_some());
    exchange_digests(at(20), &mut fleet);
    // It breaks under one request, and is then found unreachable by as many as it takes to pause it for long.
    for placement in &own[..3] {
        fleet[0].on_end(at(30), placement.ticket, Err(Some(Fault::Unreachable)));
    }
    fleet[0].on_back_ends(at(40), &list_of_life(3, incarnation));
    let running = fleet[0].loads().map(|load| load.running).sum();
    let pending_prefill = fleet[0].loads().map(|load| load.prefill.tokens).sum();
    let placed = admit(&mut fleet[0], at(140), 99);
    Belief { running, pending_prefill, uncached: placed.map(|placement| placement.uncached) }
}

/// What an earlier life said, held, had under way and failed counts for nothing.
#[test]
fn nothing_is_believed_of_a_back_end_that_is_back_under_its_name() {
    let as_before = belief_after_return(1_000);
    println!("the life that is over: {as_before:?}");
    assert!(as_before.running > 0 && as_before.uncached.is_none(), "{as_before:?}");
    let renewed = belief_after_return(2_000);
    println!("a later life: {renewed:?}");
    assert_eq!((renewed.running, renewed.pending_prefill), (0, 0));
    assert!(renewed.uncached.is_some());
}

/// Messages that were on their way when it ended name the earlier life.
#[test]
fn late_news_of_an_earlier_life_count_for_nothing() {
    let mut fleet = [dispatcher(1, ENGINES, SLOTS), dispatcher(2, ENGINES, SLOTS)];
    for router in &mut fleet {
        router.on_back_ends(at(0), &list_of_life(2, 1_000));
    }
    let ended = admit(&mut fleet[1], at(10), 1).expect("placed");
    fleet[0].on_back_ends(at(20), &list_of_life(3, 2_000));
    exchange_digests(at(30), &mut fleet);
    assert_eq!(fleet[0].loads().map(|load| load.running).sum::<u32>(), 0);
    fleet[0].on_back_end_ended(at(40), EngineKey::from(&ended.back_end.id));
    assert!(admit(&mut fleet[0], at(50), 2).is_some(), "a report of the earlier life's end");
}

/// Whoever hears that a back end ended sends nothing there, and takes it up again under a later life.
#[test]
fn a_back_end_that_ended_gets_nothing_until_it_has_a_later_life() {
    let mut router = dispatcher(1, ENGINES, SLOTS);
    let first = list_of_life(2, 1_000);
    router.on_back_ends(at(0), &first);
    for back_end in &first.back_ends {
        router.on_back_end_ended(at(10), EngineKey::from(&back_end.id));
    }
    assert!(admit(&mut router, at(500), 1).is_none());
    router.on_back_ends(at(600), &list_of_life(3, 2_000));
    assert!(admit(&mut router, at(601), 2).is_some());
    // One that was only believed to have ended gets work again.
    for back_end in &list_of_life(3, 2_000).back_ends {
        router.on_back_end_ended(at(700), EngineKey::from(&back_end.id));
    }
    assert!(admit(&mut router, at(9_000), 3).is_none());
    assert!(admit(&mut router, at(11_000), 4).is_some());
}

#[test]
fn a_later_life_takes_the_place_of_one_whose_entry_lapsed() {
    let mut usable = DirectoryView::default();
    assert!(usable.apply(at(0), true, list_of_life(1, 1_000)));
    assert!(usable.apply(at(0), true, BackEndList { revision: 2.into(), back_ends: Vec::new() }));
    assert_eq!(usable.back_ends.len(), ENGINES);
    assert!(usable.apply(at(0), true, list_of_life(3, 2_000)));
    assert!(usable.back_ends.keys().all(|id| id.incarnation == 2_000));
    assert_eq!(usable.back_ends.len(), ENGINES);
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
    /// Whatever lists come, none names a life earlier than one that any list before it named.
    fn no_list_goes_back_to_an_earlier_life(lists: Vec<Vec<(u8, u8)>>) -> TestResult {
        let mut usable = DirectoryView::default();
        let mut latest = [0_u64; 3];
        for (revision, entries) in (1_u64..).zip(&lists) {
            let back_ends = entries.iter().map(|(name, incarnation)| entry(*name, *incarnation)).collect();
            let list = BackEndList { revision: revision.into(), back_ends };
            usable.apply(at(revision), false, list);
            for id in usable.back_ends.keys() {
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
