//! How the routers of a fleet divide the burst of the retry budget when they don't hear each other.

mod support;

use mastbay_routing::{
    Admission, BackEndList, BudgetLimits, Dispatcher, DispatcherLimits, ExposureLimits,
    ROUND_PERIOD, RolloutOrder, RolloutState, Rollouts, RouterPhase,
};
use mastbay_types::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use support::{MODEL, PLAIN, address, at, back_end, demand, limits, peer};

/// Number of routers.
const ROUTERS: u8 = 7;
const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), burst: 54.0 };

/// Routers that exchange rounds of messages in virtual time.
struct Fleet {
    now: Timestamp,
    routers: Vec<Dispatcher>,
}

/// A router that may spend its burst from `burst_from`.
fn router(host: u8, burst_from: Timestamp) -> Dispatcher {
    let limits = DispatcherLimits { budget: LIMITS, burst_from, ..limits() };
    Dispatcher::new(limits, peer(host), address(host))
}

impl Fleet {
    /// Creates routers that have not heard of each other.
    fn new() -> Self {
        let routers = (0..ROUTERS).map(|host| router(host, Timestamp::ZERO)).collect();
        Self { now: Timestamp::ZERO, routers }
    }

    fn seeds(host: usize) -> Vec<SocketAddr> {
        (0..3).filter(|seed| usize::from(*seed) != host).map(address).collect()
    }

    /// Runs rounds for `span`. A message arrives if `is_connected` holds for sender and receiver.
    fn run(&mut self, span: Duration, is_connected: impl Fn(usize, usize) -> bool) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ROUND_PERIOD;
            for sender in 0..self.routers.len() {
                let seeds = Self::seeds(sender);
                let phase = RouterPhase::Serving;
                self.routers[sender].next_round(self.now, phase, &seeds);
                self.send_digest(sender, phase, &is_connected);
            }
        }
    }

    fn send_digest(
        &mut self,
        sender: usize,
        phase: RouterPhase,
        is_connected: impl Fn(usize, usize) -> bool,
    ) {
        let digest = self.routers[sender].digest(self.now, phase);
        for receiver in 0..self.routers.len() {
            if receiver != sender && is_connected(sender, receiver) {
                self.routers[receiver].on_digest(self.now, digest.clone());
            }
        }
    }

    /// Returns the number of retries that a router takes at once.
    fn take_all(&mut self, router: usize) -> usize {
        (0..1_000).take_while(|_| self.routers[router].take_retry(self.now, MODEL)).count()
    }

    /// Returns the number of retries that all routers take at once.
    fn take_all_everywhere(&mut self) -> usize {
        (0..self.routers.len()).map(|router| self.take_all(router)).sum()
    }
}

fn assert_within_burst(taken: usize) {
    println!("{taken} retries taken of a burst of {}", LIMITS.burst);
    assert!(taken as f64 <= LIMITS.burst, "{taken} retries of a burst of {}", LIMITS.burst);
}

/// Guards against a share so small that the burst isn't used.
#[test]
fn routers_that_hear_each_other_use_half_of_the_burst_or_more() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(5), |_, _| true);
    let taken = fleet.take_all_everywhere();
    assert_within_burst(taken);
    assert!(taken as f64 >= LIMITS.burst / 2.0, "{taken} retries of a burst of {}", LIMITS.burst);
}

/// Guards against dividing the burst by the routers heard from lately: none, behind a cut.
#[test]
fn routers_that_are_cut_from_each_other_stay_within_the_burst_together() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(5), |_, _| true);
    fleet.run(Duration::from_secs(14), |_, _| false);
    assert_within_burst(fleet.take_all_everywhere());
}

/// Guards against each half of a divided fleet spending the burst of the whole fleet.
#[test]
fn two_halves_of_a_fleet_stay_within_the_burst_together() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(5), |_, _| true);
    fleet.run(Duration::from_secs(14), |sender, receiver| sender % 2 == receiver % 2);
    assert_within_burst(fleet.take_all_everywhere());
}

/// Guards against forgetting all peers when a suspended router goes on.
#[test]
fn routers_that_were_suspended_stay_within_the_burst_together() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(5), |_, _| true);
    fleet.now = fleet.now + Duration::from_secs(20);
    for router in 0..fleet.routers.len() {
        fleet.routers[router].next_round(fleet.now, RouterPhase::Serving, &Fleet::seeds(router));
    }
    assert_within_burst(fleet.take_all_everywhere());
}

/// Guards against a router that takes itself for the whole fleet before the first message.
#[test]
fn routers_that_have_just_started_stay_within_the_burst_together() {
    let mut fleet = Fleet::new();
    fleet.run(ROUND_PERIOD, |_, _| false);
    assert_within_burst(fleet.take_all_everywhere());
}

/// Guards against a restarted router that finds nobody and takes itself for the whole fleet.
#[test]
fn a_restarted_router_out_of_reach_of_its_peers_adds_no_burst() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(5), |_, _| true);
    fleet.routers[6] = router(6, fleet.now + LIMITS.window);
    fleet.run(Duration::from_secs(14), |sender, receiver| sender < 6 && receiver < 6);
    assert_within_burst(fleet.take_all_everywhere());
}

/// Guards against parts of a fleet that start while they are cut from each other: each one took itself
/// for the whole fleet.
#[test]
fn parts_of_a_fleet_that_have_never_heard_each_other_stay_within_the_burst_together() {
    for parts in [2, 3] {
        let mut fleet = Fleet::new();
        fleet.run(Duration::from_secs(14), |sender, receiver| sender % parts == receiver % parts);
        assert_within_burst(fleet.take_all_everywhere());
    }
}

/// Guards against a share that counts on routers at seeds that have long been gone.
#[test]
fn routers_with_a_stale_seed_use_most_of_their_share() {
    let mut fleet = Fleet::new();
    fleet.routers.remove(2);
    fleet.run(Duration::from_secs(14), |_, _| true);
    let taken = fleet.take_all_everywhere();
    assert_within_burst(taken);
    assert!(taken as f64 >= LIMITS.burst / 3.0, "{taken} retries of a burst of {}", LIMITS.burst);
}

/// Guards against a large fleet whose members never hear the seeds, and so use a part of their shares.
#[test]
fn routers_of_a_large_fleet_divide_the_burst_by_its_size() {
    const LARGE: usize = 200;
    let mut fleet = support::fleet::Fleet::new(LARGE);
    fleet.rounds(200);
    let now = fleet.now + LIMITS.window;
    for index in 0..LARGE {
        let divided_by = fleet.router(index).fleet_count(now).divided_by;
        assert_eq!(divided_by, Some(LARGE), "router {index}");
    }
}

/// Guards against dividing the burst among the routers that are left while those that have just
/// left have spent their shares.
#[test]
fn routers_that_leave_in_series_stay_within_the_burst_together() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(5), |_, _| true);
    let mut taken = 0;
    for leaving in (0..usize::from(ROUTERS)).rev() {
        taken += fleet.take_all(leaving);
        fleet.send_digest(leaving, RouterPhase::Leaving, |_, _| true);
        fleet.routers.truncate(leaving);
        fleet.run(Duration::from_secs(1), |_, _| true);
    }
    assert_within_burst(taken);
}

/// Guards against a lone router whose share of the burst is withheld although no other is configured.
#[test]
fn a_single_router_without_seeds_uses_the_burst() {
    let mut single = router(0, Timestamp::ZERO);
    single.next_round(at(80), RouterPhase::Serving, &[]);
    let taken = (0..1_000).take_while(|_| single.take_retry(at(100), MODEL)).count();
    assert_within_burst(taken);
    assert!(taken as f64 >= LIMITS.burst / 2.0, "{taken} retries of a burst of {}", LIMITS.burst);
}

/// Back ends of two software versions.
fn back_ends_of_two_versions() -> BackEndList {
    let of_version = |version: &str| {
        let mut one = back_end(version, PLAIN, 1_000);
        one.version = version.into();
        one
    };
    BackEndList { revision: 2.into(), back_ends: vec![of_version("v1"), of_version("v2")] }
}

/// Guards against each router exposing callers to a new version as if it were the whole fleet.
#[test]
fn routers_that_are_cut_from_each_other_expose_a_new_version_within_its_burst() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(5), |_, _| true);
    let order = RolloutOrder {
        name: PLAIN.to_owned(),
        service: PLAIN.to_owned(),
        version: "v2".into(),
        number: 1,
        duration: Duration::from_secs(60),
        state: RolloutState::Ordered,
        revision: 10.into(),
    };
    let orders = Rollouts { revision: 10.into(), orders: vec![order] };
    for router in &mut fleet.routers {
        router.on_back_ends(fleet.now, &back_ends_of_two_versions());
        router.on_rollouts(fleet.now, &orders);
    }
    fleet.run(Duration::from_secs(20), |_, _| false);
    let (mut sent, mut exposed) = (0, 0);
    for router in &mut fleet.routers {
        for _ in 0..30 {
            let admission = router.admit(fleet.now, demand(fleet.now, None, "t"), 0.5);
            let Admission::Placed(placement) = admission else { panic!("no place") };
            sent += 1;
            exposed += usize::from(&*placement.back_end.version == "v2");
        }
    }
    let limits = ExposureLimits::default();
    let allowed = limits.share * f64::from(sent) + limits.burst;
    println!("{exposed} of {sent} requests exposed, {allowed} allowed");
    assert!(exposed as f64 <= allowed, "{exposed} requests exposed, {allowed} allowed");
}
