//! Evacuated zones get no new requests and get their prefixes back afterwards.

mod support;

use mastbay_routing::{
    Admission, BackEndId, BackEndList, Dispatcher, EvacuatedZones, Fault, RefusalReason,
};
use mastbay_types::Timestamp;
use std::collections::BTreeSet;
use support::{at, back_end, demand, dispatcher, prompt};

const ZONES: [&str; 3] = ["a", "b", "c"];
const PREFIXES: u64 = 40;

/// Eight engines in each of three zones.
fn engines() -> BackEndList {
    let mut list = BackEndList { revision: 2.into(), back_ends: Vec::new() };
    for zone in ZONES {
        for index in 0..8 {
            let mut engine = back_end(&format!("{zone}{index}"), support::MODEL, 32);
            engine.zone = zone.to_owned();
            list.back_ends.push(engine);
        }
    }
    list
}

fn evacuated(revision: u64, zones: &[&str]) -> EvacuatedZones {
    let zones = zones.iter().map(|zone| (*zone).to_owned());
    EvacuatedZones { revision: revision.into(), zones: zones.collect() }
}

fn router() -> Dispatcher {
    let mut router = dispatcher(1, 0, 32);
    router.on_back_ends(Timestamp::ZERO, &engines());
    router
}

/// Places one request of each prefix. Returns the selected back ends.
fn placements(router: &mut Dispatcher, millis: u64) -> Vec<BackEndId> {
    let place = |prefix| match router.admit(
        at(millis),
        demand(at(millis), Some(prompt(prefix, millis + prefix, 10)), "t"),
        0.5,
    ) {
        Admission::Placed(placement) => {
            router.on_end(at(millis), placement.ticket, Ok(()));
            placement.back_end.id
        }
        other => panic!("not placed: {other:?}"),
    };
    (0..PREFIXES).map(place).collect()
}

fn zones_of(placements: &[BackEndId]) -> BTreeSet<&str> {
    placements.iter().map(|id| &id.name[..1]).collect()
}

#[test]
fn engines_of_an_evacuated_zone_get_no_requests_and_later_their_own_prefixes_again() {
    let mut router = router();
    let before = placements(&mut router, 1_000);
    assert_eq!(zones_of(&before), BTreeSet::from(ZONES));
    router.on_evacuations(&evacuated(5, &["b"]));
    let during = placements(&mut router, 2_000);
    assert_eq!(zones_of(&during), BTreeSet::from(["a", "c"]));
    let moved = before.iter().zip(&during).filter(|(before, during)| before != during);
    assert!(
        moved.clone().all(|(before, _)| before.name.starts_with('b')),
        "only prefixes of the evacuated zone move"
    );
    let fault = router.fault_before_send(at(2_000), &BackEndId::from("b0"));
    assert_eq!(fault, Some(Fault::Replaced));
    router.on_evacuations(&evacuated(6, &[]));
    assert_eq!(placements(&mut router, 3_000), before);
}

#[test]
fn engines_listed_during_an_evacuation_get_no_requests_either() {
    let mut router = dispatcher(1, 0, 32);
    router.on_evacuations(&evacuated(5, &["a", "c"]));
    router.on_back_ends(at(500), &engines());
    assert_eq!(zones_of(&placements(&mut router, 1_000)), BTreeSet::from(["b"]));
}

#[test]
fn requests_are_refused_at_once_if_all_zones_are_evacuated() {
    let mut router = router();
    router.on_evacuations(&evacuated(5, &ZONES));
    let demand = demand(at(1_000), Some(prompt(1, 1, 10)), "t");
    match router.admit(at(1_000), demand, 0.5) {
        Admission::Refused(refusal) => assert_eq!(refusal.reason, RefusalReason::NoBackEnd),
        other => panic!("{other:?}"),
    }
}
