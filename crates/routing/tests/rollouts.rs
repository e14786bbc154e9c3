//! Roll-outs over whole fleets in virtual time: what a bad version is sent, how soon it is stopped, and what is recorded.

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

/// When the order is given: all routers know each other by then.
const ORDERED: u64 = 3_000;
const DURATION: Duration = Duration::from_secs(12);
/// Time until an entry is heard by all routers.
const HEARD: Duration = Duration::from_millis(400);
/// Bounds of the operator: part of all requests, requests beyond it, bad answers, and time from the last of these to the last send.
const SHARE: f64 = 0.1;
const BURST: f64 = 50.0;
const MOST_BAD: u32 = 50;
const ROLLBACK: Duration = Duration::from_secs(5);
/// Requests a second over the fleet, on two routes.
const RATE: u64 = 400;
const ROUTES: u32 = 2;
/// Time of an answer, from and to, in milliseconds.
const SERVICE_MILLIS: (u64, u64) = (30, 90);

/// How a version is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Version {
    /// As good as the one before.
    Good,
    /// A part of its answers fails.
    Fails { share: f64, after: Duration, on_one_route: bool },
    /// Its answers take several times as long.
    Slow { times: u64 },
}

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: usize,
    version: Version,
    /// Part of the answers that fail of either version.
    failing_everywhere: f64,
    /// The router that records is gone, and another one has to, from this moment of the order on.
    recorder_lost: Option<Duration>,
    seed: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    sent: u64,
    sent_to_new: u64,
    bad: u32,
    /// When the last of the bad answers came that are allowed.
    alarm: Option<Timestamp>,
    last_sent_to_new: Timestamp,
    recorded: Vec<(Timestamp, RolloutState)>,
}

struct Play {
    case: Case,
    fleet: Fleet,
    random: ChaCha8Rng,
    order: RolloutOrder,
    due: BTreeMap<(Timestamp, u64), (usize, TicketId, bool, bool)>,
    count: u64,
    heard: Option<Timestamp>,
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

impl Play {
    fn new(case: Case) -> Self {
        let mut fleet = Fleet::new(case.routers);
        let list = back_ends();
        fleet.routers.values_mut().for_each(|router| router.on_back_ends(at(0), &list));
        let random = ChaCha8Rng::seed_from_u64(case.seed);
        let (due, outcome) = (BTreeMap::new(), Outcome::default());
        Self { case, fleet, random, order: order(), due, count: 0, heard: None, outcome }
    }

    fn run(mut self) -> Outcome {
        self.fleet.rounds((ORDERED / ROUND_PERIOD.as_millis() as u64) as usize);
        let ordered = self.fleet.now;
        self.tell_orders();
        while self.fleet.now < ordered + DURATION + ROLLBACK {
            self.round(ordered);
        }
        self.outcome
    }

    fn round(&mut self, ordered: Timestamp) {
        let began = self.fleet.now;
        self.fleet.round();
        let arrivals = RATE * ROUND_PERIOD.as_millis() as u64 / 1_000;
        for arrival in 0..arrivals {
            let now = began + ROUND_PERIOD.mul_f64(arrival as f64 / arrivals as f64);
            self.end_due(now);
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
        let (least, most) = SERVICE_MILLIS;
        let mut millis = self.random.random_range(least..most);
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

    fn end_due(&mut self, now: Timestamp) {
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
                if self.outcome.bad == MOST_BAD {
                    self.outcome.alarm = Some(end);
                }
            }
        }
    }

    /// What one of the routers that follow the source does: it judges, and writes on a condition.
    fn record(&mut self, ordered: Timestamp) {
        let now = self.fleet.now;
        if self.heard.is_some_and(|heard| now >= heard) {
            self.heard = None;
            self.tell_orders();
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
            self.heard = Some(now + HEARD);
        }
    }

    fn tell_orders(&mut self) {
        let now = self.fleet.now;
        let orders = Rollouts { revision: self.order.revision, orders: vec![self.order.clone()] };
        self.fleet.routers.values_mut().for_each(|router| router.on_rollouts(now, &orders));
    }
}

fn check(case: Case) -> Outcome {
    let outcome = Play::new(case).run();
    let states: Vec<RolloutState> = outcome.recorded.iter().map(|(_, state)| *state).collect();
    let is_good = case.version == Version::Good;
    let last = if is_good { RolloutState::Completed } else { RolloutState::Reverted };
    // A version may be found bad before anything was recorded.
    let is_in_order = states == [RolloutState::InProgress, last] || (!is_good && states == [last]);
    assert!(is_in_order, "{case:?} {outcome:?}");
    let ended = outcome.recorded[states.len() - 1].0;
    assert!(ended.since(at(ORDERED)) < DURATION, "{case:?} ended at {ended:?}");
    if !is_good {
        let most = outcome.sent as f64 * SHARE + BURST;
        assert!(outcome.sent_to_new as f64 <= most, "{case:?} {outcome:?}");
        if let Some(alarm) = outcome.alarm {
            assert!(outcome.last_sent_to_new <= alarm + ROLLBACK, "{case:?} {outcome:?}");
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

#[test]
fn a_good_version_takes_all_before_the_order_ends() {
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
fn badness_on_one_route_or_late_is_found() {
    for version in [fails(0.7, 0, true), fails(0.6, 6, false)] {
        check(case(8, version));
    }
}

/// A bad day of everyone is no bad version.
#[test]
fn failures_of_both_versions_are_not_held_against_the_new_one() {
    check(Case { failing_everywhere: 0.3, ..case(8, Version::Good) });
}

#[test]
fn another_router_records_where_one_is_lost() {
    for after in [0, 5_000, 10_000] {
        let recorder_lost = Some(Duration::from_millis(after));
        check(Case { recorder_lost, ..case(8, Version::Good) });
        check(Case { recorder_lost, ..case(8, fails(0.5, 4, false)) });
    }
}

/// A restored source may have lost that the order came to its end: it stays so, and is recorded again.
#[test]
fn an_end_that_the_source_lost_is_not_taken_back() {
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
fn whatever_the_version_and_the_fleet_the_bounds_hold() {
    fn holds(case: Case) -> bool {
        check(case);
        true
    }
    QuickCheck::new().tests(40).quickcheck(holds as fn(Case) -> bool);
}
