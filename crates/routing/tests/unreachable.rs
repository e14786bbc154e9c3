//! Requests whose back ends cannot be connected to.

mod support;

use mastbay_routing::{Admission, Dispatcher, Fault, Refusal, RefusalReason, TicketId};
use std::time::Duration;
use support::{at, demand, dispatcher, prompt};

fn admit(dispatcher: &mut Dispatcher, millis: u64, request: u64) -> Admission {
    let demand = demand(at(millis), Some(prompt(1, request, 50)), "t");
    dispatcher.admit(at(millis), demand, 1.0)
}

fn place(dispatcher: &mut Dispatcher, millis: u64, request: u64) -> TicketId {
    match admit(dispatcher, millis, request) {
        Admission::Placed(placement) => placement.ticket,
        other => panic!("{other:?}"),
    }
}

fn refuse(dispatcher: &mut Dispatcher, millis: u64, request: u64) -> Refusal {
    match admit(dispatcher, millis, request) {
        Admission::Refused(refusal) => refusal,
        other => panic!("{other:?}"),
    }
}

/// Guards against keeping callers that nothing can serve, with a reason that is not the cause and a
/// delay far beyond the next attempt to connect.
#[test]
fn callers_are_told_at_once_when_no_back_end_can_be_reached() {
    let mut dispatcher = dispatcher(1, 2, 8);
    for request in 1..=2 {
        let ticket = place(&mut dispatcher, 0, request);
        dispatcher.on_end(at(1), ticket, Err(Some(Fault::Unreachable)));
    }
    let refusal = refuse(&mut dispatcher, 10, 3);
    assert_eq!(refusal.reason, RefusalReason::Unreachable);
    assert!(refusal.retry_after >= Duration::from_millis(390), "{:?}", refusal.retry_after);
    assert!(refusal.retry_after <= Duration::from_millis(500), "{:?}", refusal.retry_after);
    place(&mut dispatcher, 10 + refusal.retry_after.as_millis() as u64, 4);
}

/// Guards against refusing callers for which a back end is only full or is tried again soon.
#[test]
fn callers_wait_for_a_back_end_that_is_full_or_is_tried_again_soon() {
    let mut dispatcher = dispatcher(1, 2, 1);
    let unreachable = place(&mut dispatcher, 0, 1);
    dispatcher.on_end(at(1), unreachable, Err(Some(Fault::Unreachable)));
    let running = place(&mut dispatcher, 2, 2);
    assert!(matches!(admit(&mut dispatcher, 3, 3), Admission::Waiting(_)), "one is only full");
    dispatcher.on_end(at(4), running, Err(Some(Fault::Unreachable)));
    assert!(matches!(admit(&mut dispatcher, 350, 4), Admission::Waiting(_)), "tried again soon");
}
