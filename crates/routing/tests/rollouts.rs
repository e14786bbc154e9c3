//! Simulated roll-outs in fleets of routers: exposure to a bad version, time to its rollback, and
//! the recorded states.

mod support;

use mastbay_routing::{
    Admission, BackEndList, Demand, Fault, ROUND_PERIOD, RolloutOrder, RolloutState, Rollouts,
    TicketId,
};
use mastbay_types::Timestamp;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use support::fleet::Fleet;
use support::{PLAIN, at, back_end, demand};

/// Time of the order, in milliseconds. By then all routers know each other.
const ORDERED_AT_MILLIS: u64 = 3_000;
const DURATION: Duration = Duration::from_secs(12);
/// Time until all routers know a recorded state.
const PROPAGATION_TIME: Duration = Duration::from_millis(400);
/// Maximum fraction of all requests sent to a bad version.
const MAX_FRACTION: f64 = 0.1;
/// Number of requests allowed beyond that fraction.
const MAX_BURST: f64 = 50.0;
/// Number of bad answers after which the rollback time starts.
const MAX_BAD_ANSWERS: u32 = 50;
/// Maximum time until no more requests are sent to the bad version.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
/// Requests per second of the whole fleet.
const REQUEST_RATE: u64 = 400;
/// Number of routes.
const ROUTES: u32 = 2;
/// Range of service times, in milliseconds.
const SERVICE_MILLIS: (u64, u64) = (30, 90);

/// Behaviour of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Version {
    /// Behaves like the old version.
    Good,
    /// Fails a fraction of its requests from some time after the order on.
    Fails { share: f64, after: Duration, on_one_route: bool },
    /// Takes several times as long.
    Slow { times: u64 },
}

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: usize,
    version: Version,
    /// Fraction of the requests that fail on either version.
    failing_everywhere: f64,
    /// Time after the order at which the recording router is lost and another one takes over.
    recorder_lost: Option<Duration>,
    seed: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    sent: u64,
    sent_to_new: u64,
    bad: u32,
    /// Time of the bad answer that starts the rollback time.
    alarm: Option<Timestamp>,
    last_sent_to_new: Timestamp,
    recorded: Vec<(Timestamp, RolloutState)>,
}

struct Simulation {
    case: Case,
    fleet: Fleet,
    random: ChaCha8Rng,
    order: RolloutOrder,
    due: BTreeMap<(Timestamp, u64), (usize, TicketId, bool, bool)>,
    count: u64,
    /// When all routers know the last recorded state.
    announced_at: Option<Timestamp>,
    outcome: Outcome,
}

fn back_ends() -> BackEndList {
    let mut list = BackEndList { revision: 2.into(), back_ends: Vec::new() };
    for version in ["v1", "v2"] {
        for index in 0..20 {
            let mut one = back_end(&format!("{version}-{index}"), PLAIN, 6);
            one.version = version.into();
            list.back_ends.push(one);
        }
    }
    list
}

fn order() -> RolloutOrder {
    RolloutOrder {
        name: PLAIN.to_owned(),
        service: PLAIN.to_owned(),
        version: "v2".into(),
        number: 9,
        duration: DURATION,
        state: RolloutState::Ordered,
        revision: 10.into(),
    }
}

impl Simulation {
    fn new(case: Case) -> Self {
        let mut fleet = Fleet::new(case.routers);
        let list = back_ends();
        fleet.routers.values_mut().for_each(|router| router.on_back_ends(at(0), &list));
        let random = ChaCha8Rng::seed_from_u64(case.seed);
        let (due, outcome) = (BTreeMap::new(), Outcome::default());
        Self { case, fleet, random, order: order(), due, count: 0, announced_at: None, outcome }
    }

    fn run(mut self) -> Outcome {
        self.fleet.rounds((ORDERED_AT_MILLIS / ROUND_PERIOD.as_millis() as u64) as usize);
        let ordered = self.fleet.now;
        self.announce_orders();
        while self.fleet.now < ordered + DURATION + ROLLBACK_TIME {
            self.round(ordered);
        }
        self.outcome
    }

    fn round(&mut self, ordered: Timestamp) {
        let began = self.fleet.now;
        self.fleet.round();
        let arrivals = REQUEST_RATE * ROUND_PERIOD.as_millis() as u64 / 1_000;
        for arrival in 0..arrivals {
            let now = began + ROUND_PERIOD.mul_f64(arrival as f64 / arrivals as f64);
            self.end_requests(now);
            self.send(now, ordered);
        }
        self.record(ordered);
    }

    fn send(&mut self, now: Timestamp, ordered: Timestamp) {
        let index = self.random.random_range(0..self.case.routers);
        let route = self.random.random_range(0..ROUTES);
        let demand = Demand { route, ..demand(now, None, "t") };
        let admission = self.fleet.router(index).admit(now, demand, 0.5);
        let Admission::Placed(placement) = admission else { return };
        let is_new = &*placement.back_end.version == "v2";
        let (min, max) = SERVICE_MILLIS;
        let mut millis = self.random.random_range(min..max);
        let mut fails = self.random.random_bool(self.case.failing_everywhere);
        if is_new {
            match self.case.version {
                Version::Good => {}
                Version::Slow { times } => millis *= times,
                Version::Fails { share, after, on_one_route } => {
                    let is_bad = now >= ordered + after && (route == 0 || !on_one_route);
                    fails |= is_bad && self.random.random_bool(share);
                }
            }
        }
        let is_bad = fails || matches!(self.case.version, Version::Slow { .. });
        self.count += 1;
        let end = now + Duration::from_millis(millis);
        self.due.insert((end, self.count), (index, placement.ticket, fails, is_bad && is_new));
        if now < ordered + DURATION {
            self.outcome.sent += 1;
            self.outcome.sent_to_new += u64::from(is_new);
        }
        if is_new {
            self.outcome.last_sent_to_new = now;
        }
    }

    fn end_requests(&mut self, now: Timestamp) {
        while let Some(first) = self.due.first_entry() {
            if first.key().0 > now {
                return;
            }
            let ((end, _), (index, ticket, fails, is_bad)) = first.remove_entry();
            let router = self.fleet.router(index);
            if !fails {
                router.on_first_event(end, ticket);
            }
            router.on_end(end, ticket, if fails { Err(Some(Fault::Failure)) } else { Ok(()) });
            if is_bad {
                self.outcome.bad += 1;
                if self.outcome.bad == MAX_BAD_ANSWERS {
                    self.outcome.alarm = Some(end);
                }
            }
        }
    }

    /// Evaluates roll-outs on all routers and records the results of one that watches the source,
    /// by conditional writes.
    fn record(&mut self, ordered: Timestamp) {
        let now = self.fleet.now;
        if self.announced_at.is_some_and(|announced_at| now >= announced_at) {
            self.announced_at = None;
            self.announce_orders();
        }
        let is_lost = self.case.recorder_lost.is_some_and(|after| now >= ordered + after);
        let recorder = if is_lost { 1 } else { 0 };
        let indexes = 0..self.case.routers;
        let records: Vec<_> =
            indexes.map(|index| self.fleet.router(index).evaluate_rollouts(now)).collect();
        for record in records[recorder.min(self.case.routers - 1)].clone() {
            if record.order.revision != self.order.revision {
                continue;
            }
            self.order.state = record.state;
            self.order.revision.number += 1;
            self.outcome.recorded.push((now, record.state));
            self.announced_at = Some(now + PROPAGATION_TIME);
        }
    }

    fn announce_orders(&mut self) {
        let now = self.fleet.now;
        let orders = Rollouts { revision: self.order.revision, orders: vec![self.order.clone()] };
        self.fleet.routers.values_mut().for_each(|router| router.on_rollouts(now, &orders));
    }
}

fn check(case: Case) -> Outcome {
    let outcome = Simulation::new(case).run();
    let states: Vec<RolloutState> = outcome.recorded.iter().map(|(_, state)| *state).collect();
    let is_good = case.version == Version::Good;
    let last = if is_good { RolloutState::Completed } else { RolloutState::Reverted };
    // A version may be reverted before any progress is recorded.
    let is_in_order = states == [RolloutState::InProgress, last] || (!is_good && states == [last]);
    assert!(is_in_order, "{case:?} {outcome:?}");
    let ended = outcome.recorded[states.len() - 1].0;
    assert!(ended.since(at(ORDERED_AT_MILLIS)) < DURATION, "{case:?} ended at {ended:?}");
    if !is_good {
        let max = outcome.sent as f64 * MAX_FRACTION + MAX_BURST;
        assert!(outcome.sent_to_new as f64 <= max, "{case:?} {outcome:?}");
        if let Some(alarm) = outcome.alarm {
            assert!(outcome.last_sent_to_new <= alarm + ROLLBACK_TIME, "{case:?} {outcome:?}");
        }
    }
    outcome
}

fn case(routers: usize, version: Version) -> Case {
    Case { routers, version, failing_everywhere: 0.0, recorder_lost: None, seed: 1 }
}

fn fails(share: f64, after_seconds: u64, on_one_route: bool) -> Version {
    Version::Fails { share, after: Duration::from_secs(after_seconds), on_one_route }
}

/// Guards against reverting a good version for a run of failures that all versions have. The counts
/// are tested many times a second, so rare ones come up.
#[test]
fn a_good_version_is_completed_while_one_in_twenty_requests_fails_everywhere() {
    for seed in [38, 1_344, 2_140_993_683_220_105_565] {
        check(Case { failing_everywhere: 0.05, seed, ..case(11, Version::Good) });
    }
}

#[test]
fn a_good_version_gets_all_requests_before_the_order_ends() {
    for routers in [1, 8, 62] {
        let outcome = check(case(routers, Version::Good));
        assert!(outcome.sent_to_new > 100, "{outcome:?}");
    }
}

#[test]
fn a_bad_version_is_reverted_within_its_bounds() {
    for routers in [1, 8, 62] {
        for version in [fails(0.5, 0, false), fails(1.0, 0, false), Version::Slow { times: 5 }] {
            check(case(routers, version));
        }
    }
}

#[test]
fn failures_on_one_route_or_late_are_detected() {
    for version in [fails(0.7, 0, true), fails(0.6, 6, false)] {
        check(case(8, version));
    }
}

/// Failures that affect both versions must not cause a rollback.
#[test]
fn failures_of_both_versions_do_not_revert_the_new_one() {
    check(Case { failing_everywhere: 0.3, ..case(8, Version::Good) });
}

#[test]
fn another_router_takes_over_recording() {
    for after in [0, 5_000, 10_000] {
        let recorder_lost = Some(Duration::from_millis(after));
        check(Case { recorder_lost, ..case(8, Version::Good) });
        check(Case { recorder_lost, ..case(8, fails(0.5, 4, false)) });
    }
}

/// A restored source may have lost the final state of an order. It stays in effect and is recorded
/// again.
#[test]
fn a_final_state_that_the_source_lost_stays_in_effect() {
    let mut fleet = Fleet::new(1);
    fleet.router(0).on_back_ends(at(0), &back_ends());
    let orders = |era: u64, state| {
        let order = RolloutOrder { state, ..order() };
        Rollouts { revision: mastbay_routing::Revision::new(era, 5), orders: vec![order] }
    };
    let router = fleet.router(0);
    router.on_rollouts(at(0), &orders(0, RolloutState::Reverted));
    assert!(router.evaluate_rollouts(at(500)).is_empty());
    router.on_rollouts(at(1_000), &orders(1, RolloutState::InProgress));
    let states = router.evaluate_rollouts(at(1_000)).into_iter().map(|record| record.state);
    assert_eq!(states.collect::<Vec<_>>(), [RolloutState::Reverted]);
    for number in 0..200 {
        match router.admit(at(1_000 + number), demand(at(1_000 + number), None, "t"), 0.5) {
            Admission::Placed(placement) => {
                assert_eq!(&*placement.back_end.version, "v1");
                router.on_end(at(1_000 + number), placement.ticket, Ok(()));
            }
            other => panic!("{other:?}"),
        }
    }
}

impl Arbitrary for Version {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 3 {
            0 => Self::Good,
            1 => Self::Slow { times: 4 + u64::arbitrary(generator) % 5 },
            _ => {
                let share = 0.4 + f64::from(u8::arbitrary(generator)) / 255.0 * 0.6;
                fails(share, u64::arbitrary(generator) % 6, bool::arbitrary(generator))
            }
        }
    }
}

impl Arbitrary for Case {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            routers: 1 + usize::arbitrary(generator) % 12,
            version: Version::arbitrary(generator),
            failing_everywhere: f64::from(u8::arbitrary(generator) % 10) / 100.0,
            recorder_lost: None,
            seed: u64::arbitrary(generator),
        }
    }
}

#[test]
fn bounds_hold_for_any_version_and_fleet() {
    fn holds(case: Case) -> bool {
        check(case);
        true
    }
    QuickCheck::new().tests(40).quickcheck(holds as fn(Case) -> bool);
}
