//! Placement of requests that resume a stream: only at the version that began it.

mod support;

use mastbay_routing::{
    Admission, BackEndList, Demand, Dispatcher, Refusal, RefusalReason, RolloutOrder, RolloutState,
    Rollouts,
};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use std::time::Duration;
use support::{MODEL, PLAIN, at, back_end, configuration, demand, dispatcher, prompt};

const OLD: &str = "v1";
const NEW: &str = "v2";
/// Back ends of a service; few of them have the old version.
const BACK_ENDS: usize = 200;
const OLD_BACK_ENDS: usize = 2;

fn back_ends(service: &str, count: usize, old: usize) -> BackEndList {
    let versioned = (0..count).map(|index| {
        let mut one = back_end(&format!("{service}-{index}"), service, 4);
        one.version = if index < old { OLD } else { NEW }.into();
        one
    });
    BackEndList { revision: 2.into(), back_ends: versioned.collect() }
}

fn router(service: &str, count: usize, old: usize) -> Dispatcher {
    let mut router = dispatcher(1, 0, 0);
    router.on_configuration(&configuration(None));
    router.on_back_ends(at(0), &back_ends(service, count, old));
    router
}

fn resumed(now: Timestamp, subject: Option<u64>, version: &str) -> Demand {
    let prompt = subject.map(|subject| prompt(subject, subject, 40));
    Demand { version: Some(version.into()), ..demand(now, prompt, "t") }
}

fn refused(admission: Admission) -> Refusal {
    match admission {
        Admission::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn placed_version(admission: &Admission) -> Option<&str> {
    match admission {
        Admission::Placed(placement) => Some(&placement.back_end.version),
        Admission::Refused(_) | Admission::Waiting(_) => None,
    }
}

quickcheck! {
    /// Guards against streams that continue at another version, whatever the load.
    fn a_stream_is_resumed_only_at_its_version(requests: Vec<(u8, Option<bool>)>) -> bool {
        let mut router = router(MODEL, 6, 3);
        requests.into_iter().all(|(subject, is_old)| {
            let version = is_old.map(|is_old| if is_old { OLD } else { NEW });
            let demand = match version {
                Some(version) => resumed(at(10), Some(subject.into()), version),
                None => demand(at(10), Some(prompt(subject.into(), 1, 40)), "t"),
            };
            let admission = router.admit(at(10), demand, 0.5);
            let placed = placed_version(&admission);
            version.is_none_or(|version| placed.is_none_or(|placed| placed == version))
        })
    }
}

/// Guards against streams that are refused although one of many back ends has their version.
#[test]
fn the_few_back_ends_of_a_version_are_found_among_many() {
    for (service, subject) in [(MODEL, Some(7)), (PLAIN, None)] {
        for millis in 10..60 {
            let mut router = router(service, BACK_ENDS, OLD_BACK_ENDS);
            let admission = router.admit(at(millis), resumed(at(millis), subject, OLD), 0.5);
            assert_eq!(placed_version(&admission), Some(OLD), "{service} at {millis}");
        }
    }
}

/// Guards against a resumed stream that is refused because its tenant is above its share, or that
/// leaves a free slot of its version unused because others wait.
#[test]
fn a_resumed_stream_uses_all_slots_of_its_version() {
    let mut router = router(MODEL, 8, 2);
    let slots = 2 * 4;
    let placed = (0..slots).filter(|subject| {
        let admission = router.admit(at(10), resumed(at(10), Some(*subject), OLD), 0.5);
        placed_version(&admission) == Some(OLD)
    });
    assert_eq!(placed.count(), slots as usize);
    let waiting = router.admit(at(10), resumed(at(10), Some(99), OLD), 0.5);
    assert!(matches!(waiting, Admission::Waiting(_)), "{waiting:?}");
}

/// Guards against tenants that get around their share with requests that resume streams.
#[test]
fn resumed_streams_of_a_tenant_above_its_share_are_refused_like_new_ones() {
    let mut router = router(MODEL, 2, 2);
    router.on_configuration(&configuration(Some(10_000)));
    for request in 1..=40 {
        let now = at(request * 100);
        let heavy = demand(now, Some(prompt(9, request, 50)), "heavy");
        router.on_request(now, &heavy);
        match router.admit(now, heavy, 0.5) {
            Admission::Placed(placement) => {
                router.on_end(now, placement.ticket, Ok(()));
            }
            other => panic!("not placed: {other:?}"),
        }
    }
    let now = at(4_100);
    for request in 41..=80 {
        router.on_request(now, &demand(now, Some(prompt(9, request, 50)), "heavy"));
        router.on_request(now, &demand(now, Some(prompt(9, request, 50)), "light"));
    }
    for request in 0..8 {
        let light = Demand { tenant: Some("light".into()), ..resumed(now, Some(request), OLD) };
        assert_eq!(placed_version(&router.admit(now, light, 0.5)), Some(OLD));
    }
    let now = at(4_200);
    let mut reason = |version: Option<&str>| {
        let version = version.map(Into::into);
        let heavy = Demand { version, ..demand(now, Some(prompt(9, 99, 50)), "heavy") };
        refused(router.admit(now, heavy, 0.5)).reason
    };
    assert_eq!(reason(None), RefusalReason::OverShare);
    assert_eq!(reason(Some(OLD)), RefusalReason::OverShare);
}

/// Guards against a caller that waits for a back end although none has its stream's version.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    for (service, subject) in [(MODEL, Some(7)), (PLAIN, None)] {
        let mut router = router(service, 6, 0);
        let refusal = refused(router.admit(at(10), resumed(at(10), subject, OLD), 0.5));
        assert_eq!(refusal.reason, RefusalReason::NoBackEndOfVersion);
    }
}

fn order(state: RolloutState) -> Rollouts {
    let order = RolloutOrder {
        name: PLAIN.to_owned(),
        service: PLAIN.to_owned(),
        version: NEW.into(),
        number: 1,
        duration: Duration::from_secs(10),
        state,
        revision: 1.into(),
    };
    Rollouts { revision: 1.into(), orders: vec![order] }
}

/// Guards against resumed streams that get around the limits of a roll-out.
#[test]
fn a_stream_of_a_reverted_version_continues_nowhere() {
    let mut router = router(PLAIN, 6, 3);
    router.on_rollouts(at(5), &order(RolloutState::Reverted));
    let refusal = refused(router.admit(at(10), resumed(at(10), None, NEW), 0.5));
    assert_eq!(refusal.reason, RefusalReason::NoBackEndOfVersion);
    let admission = router.admit(at(10), resumed(at(10), None, OLD), 0.5);
    assert_eq!(placed_version(&admission), Some(OLD));
}

/// Guards against resumed streams that are not counted as exposed to an unevaluated version.
#[test]
fn streams_resumed_at_a_canary_count_as_exposed() {
    let mut router = router(PLAIN, 40, 20);
    router.on_rollouts(at(0), &order(RolloutState::Ordered));
    let mut sent_to_canary = 0;
    for number in 0..60 {
        let now = at(2_000 + number);
        let admission = router.admit(now, resumed(now, None, NEW), 0.5);
        sent_to_canary += usize::from(placed_version(&admission) == Some(NEW));
    }
    assert!((1..60).contains(&sent_to_canary), "{sent_to_canary}");
}
