//! Preference for back ends to which a router has an idle connection.

mod support;

use mastbay_routing::{
    Admission, BackEndId, BackEndList, Dispatcher, DispatcherLimits, Policy, TicketId,
};
use mastbay_types::Timestamp;
use support::{PLAIN, address, at, back_end, configuration, demand, limits, peer};

fn router(reuse_connections: bool) -> Dispatcher {
    let policy = Policy { reuse_connections, ..Policy::default() };
    let limits = DispatcherLimits { policy, ..limits() };
    let mut router = Dispatcher::new(limits, peer(1), address(1));
    router.on_configuration(&configuration(None));
    let back_ends = (0..6).map(|index| back_end(&format!("p{index}"), PLAIN, 8)).collect();
    router.on_back_ends(Timestamp::ZERO, &BackEndList { revision: 1.into(), back_ends });
    router
}

fn place(router: &mut Dispatcher, millis: u64) -> (BackEndId, TicketId) {
    match router.admit(at(millis), demand(at(millis), None, "t"), 0.5) {
        Admission::Placed(placement) => (placement.back_end.id, placement.ticket),
        other => panic!("{other:?}"),
    }
}

/// Guards against connections that are opened while an equally good back end has an idle one, and
/// against requests that follow connections to busy back ends.
#[test]
fn an_idle_connection_decides_between_equal_back_ends_only() {
    let mut router = router(true);
    let reused = BackEndId::from("p4");
    router.set_idle_connection(&reused, true);
    for millis in 1..40 {
        let (id, ticket) = place(&mut router, millis);
        assert_eq!(id, reused);
        let (other, other_ticket) = place(&mut router, millis);
        assert_ne!(other, reused);
        router.on_end(at(millis), ticket, Ok(()));
        router.on_end(at(millis), other_ticket, Ok(()));
    }
}

/// Guards against a preference that outlives the connection or applies with the switch off.
#[test]
fn without_the_switch_or_the_connection_nothing_changes() {
    let (mut as_before, mut without, mut closed) = (router(false), router(false), router(true));
    without.set_idle_connection(&BackEndId::from("p4"), true);
    closed.set_idle_connection(&BackEndId::from("p4"), true);
    closed.set_idle_connection(&BackEndId::from("p4"), false);
    for millis in 1..40 {
        let (expected, _) = place(&mut as_before, millis);
        assert_eq!(place(&mut without, millis).0, expected);
        assert_eq!(place(&mut closed, millis).0, expected);
    }
}
