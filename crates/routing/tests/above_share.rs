//! Requests of tenants above their fair share, which are refused instead of waiting.

mod support;

use mastbay_routing::{
    Admission, ConcurrencyPolicy, Dispatcher, DispatcherLimits, Load, Placement, Policy,
    RefusalReason, ServiceLevelCounts, ShareClass, SpareCapacity,
};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use support::{address, at, configuration, demand, limits, list, peer, prompt};

/// Capacity of the service, in tokens per second.
const CAPACITY: u64 = 10_000;

/// Time of the request with a number: late enough for shares to be calculated anew.
fn time_of(request: u64) -> Timestamp {
    at(request * 100)
}

fn admit(dispatcher: &mut Dispatcher, tenant: &str, prefix: u64, request: u64) -> Admission {
    let now = time_of(request);
    let demand = demand(now, Some(prompt(prefix, request, 50)), tenant);
    dispatcher.on_request(now, &demand);
    dispatcher.admit(now, demand, 0.5)
}

fn place(dispatcher: &mut Dispatcher, tenant: &str, prefix: u64, request: u64) -> Placement {
    match admit(dispatcher, tenant, prefix, request) {
        Admission::Placed(placement) => placement,
        other => panic!("{other:?}"),
    }
}

/// Guards against refusing a request although its engine is free, because another request waits for
/// a different engine.
#[test]
fn a_request_for_a_free_engine_is_placed_while_others_wait_for_a_full_one() {
    let policy = Policy { concurrency: ConcurrencyPolicy::Spare, ..Policy::default() };
    let mut dispatcher =
        Dispatcher::new(DispatcherLimits { policy, ..limits() }, peer(1), address(1));
    dispatcher.on_configuration(&configuration(Some(CAPACITY)));
    dispatcher.on_back_ends(at(0), &list(1, 12, 1));
    for request in 1..=40 {
        let served = place(&mut dispatcher, "large", 9, request);
        dispatcher.on_end(time_of(request), served.ticket, Ok(()));
    }
    for request in 41..=80 {
        // Refused or waiting, so that the tenant asks for more than it gets.
        let now = time_of(41);
        dispatcher.on_request(now, &demand(now, Some(prompt(9, request, 50)), "large"));
    }
    let full = place(&mut dispatcher, "small", 1, 42).back_end.id;
    assert!(matches!(admit(&mut dispatcher, "small", 1, 43), Admission::Waiting(_)));
    match admit(&mut dispatcher, "large", 1, 44) {
        Admission::Refused(refusal) => assert_eq!(refusal.reason, RefusalReason::OverShare),
        other => panic!("{other:?}"),
    }
    let other_prefix = (2..40)
        .find(|prefix| {
            let mut empty = support::dispatcher(2, 12, 1);
            place(&mut empty, "small", *prefix, 1).back_end.id != full
        })
        .expect("a prefix with another first engine");
    assert_ne!(place(&mut dispatcher, "large", other_prefix, 45).back_end.id, full);
}

/// Guards against lines of placed requests that do not tell with which class and at which rates a
/// tenant was served.
#[test]
fn placements_and_refusals_tell_the_class_of_their_tenant() {
    let mut dispatcher = support::dispatcher(1, 12, 8);
    dispatcher.on_configuration(&configuration(Some(CAPACITY)));
    let first = place(&mut dispatcher, "large", 9, 1).share.expect("a prompt and a tenant");
    assert_eq!((first.class, first.given), (ShareClass::BelowHalf, 0.0));
    assert!(first.asked > 0.0);
    for request in 100..110 {
        let now = time_of(1);
        dispatcher.on_request(now, &demand(now, Some(prompt(9, request, 50)), "small"));
    }
    let above = (2..12).map(|request| place(&mut dispatcher, "large", request, request).share);
    let above = above.flatten().find(|share| share.class == ShareClass::AboveShare);
    let above = above.expect("it is given more than the fair level");
    assert!(above.given > above.fair_level.expect("more is asked than declared"));
    let refused = (12..200).find_map(|request| match admit(&mut dispatcher, "large", 9, request) {
        Admission::Refused(refusal) => refusal.details,
        Admission::Placed(_) | Admission::Waiting(_) => None,
    });
    assert_eq!(refused.expect("one is refused").class, ShareClass::AboveShare);
}

quickcheck! {
    /// Guards against refusing requests because others missed their objectives, while a quarter of
    /// an engine's slots is free and nothing shows that its streams are slow.
    fn misses_alone_leave_three_quarters_of_the_slots_usable(
        slots: u8, within: u8, above: u8, requests: u16, missed: u16
    ) -> bool {
        let slots = u32::from(slots % 64) + 1;
        let (within, above) = (u32::from(within) % slots, u32::from(above) % slots);
        let load = Load { running: within + above, above_share: above, ..Load::default() };
        let level = ServiceLevelCounts { requests: requests.into(), missed: missed.min(requests).into() };
        let spare = SpareCapacity { slots, load, level, slowdown: None };
        let is_usable = f64::from(load.running) + 1.0 <= f64::from(slots) * 0.75;
        !is_usable || f64::from(above + 1) <= spare.limit(&Policy::default())
    }
}
