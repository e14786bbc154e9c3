//! The work per request and per round of messages is independent of the number of back ends.

mod support;

use mastbay_routing::{Admission, BackEndList, Dispatcher, RouterPhase};
use mastbay_types::Timestamp;
use std::collections::BTreeSet;
use support::{MODEL, PLAIN, at, back_end, demand, dispatcher, prompt};

/// Numbers of back ends of each of two services.
const SIZES: [usize; 4] = [250, 500, 1_000, 2_000];
const REQUESTS: u64 = 40;
const ROUNDS: u64 = 50;

fn back_ends(count: usize) -> BackEndList {
    let mut list = BackEndList { revision: 2.into(), back_ends: Vec::new() };
    for service in [MODEL, PLAIN] {
        for index in 0..count {
            let mut one = back_end(&format!("{service}-{index}"), service, 8);
            one.zone = ["a", "b", "c", "d", "e"][index % 5].to_owned();
            list.back_ends.push(one);
        }
    }
    list
}

fn router(count: usize) -> Dispatcher {
    let mut router = dispatcher(1, 0, 8);
    router.on_back_ends(Timestamp::ZERO, &back_ends(count));
    router
}

/// Returns the number of back ends that `work` examines.
fn count_examined(router: &mut Dispatcher, work: impl FnOnce(&mut Dispatcher)) -> u64 {
    let before = router.engines_examined();
    work(router);
    router.engines_examined() - before
}

fn admit_all(router: &mut Dispatcher, is_plain: bool) {
    for request in 0..REQUESTS {
        let now = at(1_000 + request);
        let prompt = (!is_plain).then(|| prompt(request, request, 40));
        router.admit(now, demand(now, prompt, "t"), 0.5);
    }
}

#[test]
fn requests_examine_as_many_back_ends_in_a_fleet_of_any_size() {
    for is_plain in [true, false] {
        let examined = SIZES
            .map(|count| count_examined(&mut router(count), |router| admit_all(router, is_plain)));
        assert!(examined.iter().all(|count| *count <= examined[0] + REQUESTS), "{examined:?}");
    }
}

/// Examining all back ends in each round would take much of the CPU of a small machine.
#[test]
fn rounds_examine_only_back_ends_that_this_router_uses() {
    let examined = SIZES.map(|count| {
        let mut router = router(count);
        admit_all(&mut router, false);
        count_examined(&mut router, |router| {
            for round in 0..ROUNDS {
                router.next_round(at(2_000 + round * 80), RouterPhase::Serving, &[]);
            }
        })
    });
    assert!(examined.iter().all(|count| *count <= ROUNDS * REQUESTS * 2), "{examined:?}");
}

/// Routers that don't know each other's requests yet must not select the same plain back ends.
#[test]
fn plain_requests_spread_over_many_back_ends() {
    let mut used = BTreeSet::new();
    let list = back_ends(SIZES[1]);
    let routers = 60_u8;
    for host in 1..=routers {
        let mut router = dispatcher(host, 0, 8);
        router.on_back_ends(Timestamp::ZERO, &list);
        for request in 0..4 {
            let now = at(1_000 + 37 * u64::from(host) + request);
            if let Admission::Placed(placement) = router.admit(now, demand(now, None, "t"), 0.5) {
                used.insert(placement.back_end.id);
            }
        }
    }
    assert!(used.len() > usize::from(routers), "{} of {}", used.len(), list.back_ends.len() / 2);
}
