//! Early messages about slots that become free at full engines.

mod support;

use mastbay_routing::{Admission, Dispatcher, TicketId};
use support::{at, demand, dispatcher, exchange_digests, prompt};

fn admit(dispatcher: &mut Dispatcher, millis: u64, request: u64) -> Admission {
    let demand = demand(at(millis), Some(prompt(1, request, 50)), "t");
    dispatcher.admit(at(millis), demand, 0.5)
}

fn place(dispatcher: &mut Dispatcher, millis: u64, request: u64) -> TicketId {
    match admit(dispatcher, millis, request) {
        Admission::Placed(placement) => placement.ticket,
        other => panic!("{other:?}"),
    }
}

/// Guards against slots that stay empty for a round while requests wait for them at other routers.
#[test]
fn a_slot_that_becomes_free_at_a_full_engine_is_reported_early() {
    let mut fleet = [dispatcher(1, 1, 2), dispatcher(2, 1, 2)];
    let first = place(&mut fleet[0], 0, 1);
    place(&mut fleet[0], 0, 2);
    exchange_digests(at(10), &mut fleet);
    assert!(matches!(admit(&mut fleet[1], 20, 3), Admission::Waiting(_)));
    assert!(!fleet[0].has_unreported_slots());
    fleet[0].on_end(at(30), first, Ok(()));
    assert!(fleet[0].has_unreported_slots());
    exchange_digests(at(31), &mut fleet);
    assert!(!fleet[0].has_unreported_slots(), "it was reported");
    assert!(matches!(fleet[1].poll(at(32), 0.5)[..], [(_, Ok(_))]));
}

/// Guards against messages that nobody waits for.
#[test]
fn a_slot_that_others_know_to_be_free_or_that_is_taken_again_is_not_reported_early() {
    let mut router = dispatcher(1, 1, 2);
    let first = place(&mut router, 0, 1);
    router.on_end(at(1), first, Ok(()));
    assert!(!router.has_unreported_slots(), "another slot was free");
    let second = place(&mut router, 2, 2);
    place(&mut router, 2, 3);
    assert!(matches!(admit(&mut router, 3, 4), Admission::Waiting(_)));
    router.on_end(at(4), second, Ok(()));
    assert!(matches!(router.poll(at(4), 0.5)[..], [(_, Ok(_))]));
    assert!(!router.has_unreported_slots(), "its own request took the slot");
}
