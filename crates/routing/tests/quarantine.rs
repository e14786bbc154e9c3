//! Requests under which back ends ended: what counts against them, what clears them, and how fast all routers know.

mod support;

use mastbay_routing::{
    BackEndId, EngineKey, Placement, ProbeSlot, Quarantine, QuarantineLimits, QuarantineStatus,
    ROUND_PERIOD, Relaying, RequestFingerprint, RequestIdentity, TerminationReport,
};
use mastbay_types::Timestamp;
use quickcheck::{TestResult, quickcheck};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use support::fleet::{Fleet, address};
use support::{demand, dispatcher, prompt};

const LIMITS: QuarantineLimits = QuarantineLimits { ends: 3, period: Duration::from_secs(600) };

fn request(number: u64) -> RequestFingerprint {
    let body = number.to_be_bytes();
    let target = "/p/1";
    RequestFingerprint::of(&RequestIdentity {
        tenant: Some("a"),
        method: "POST",
        host: "h",
        target,
        body: &body,
    })
}

fn incarnation(number: u64) -> EngineKey {
    EngineKey::from(&BackEndId::from(format!("life-{number}").as_str()))
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(seconds)
}

fn is_quarantined(quarantine: &Quarantine, now: Timestamp, number: u64) -> bool {
    matches!(quarantine.status(now, request(number)), QuarantineStatus::Quarantined { .. })
}

#[test]
fn the_third_life_that_ends_under_a_request_quarantines_it() {
    let mut quarantine = Quarantine::new(LIMITS);
    assert_eq!(quarantine.on_termination(at(0), incarnation(1), request(1)), None);
    assert_eq!(quarantine.on_termination(at(1), incarnation(2), request(1)), None);
    assert_eq!(quarantine.status(at(1), request(1)), QuarantineStatus::Suspect);
    // The same end told again is one end.
    assert_eq!(quarantine.on_termination(at(1), incarnation(2), request(1)), None);
    let quarantined =
        quarantine.on_termination(at(2), incarnation(3), request(1)).expect("quarantined");
    assert_eq!(quarantined.back_ends.len(), 3);
    assert_eq!(quarantine.on_termination(at(3), incarnation(4), request(1)), None, "told once");
    assert_eq!(quarantine.status(at(3), request(2)), QuarantineStatus::Clear);
}

#[test]
fn a_request_that_is_served_is_cleared_of_the_ends_before() {
    let mut quarantine = Quarantine::new(LIMITS);
    for number in 1..=2 {
        quarantine.on_termination(at(0), incarnation(number), request(1));
    }
    quarantine.clear(request(1));
    assert_eq!(quarantine.status(at(0), request(1)), QuarantineStatus::Clear);
    quarantine.on_termination(at(1), incarnation(3), request(1));
    assert_eq!(quarantine.status(at(1), request(1)), QuarantineStatus::Suspect);
    assert_eq!(quarantine.terminations(at(1), request(1)), 1);
}

#[test]
fn an_end_counts_for_its_time_only_wherever_it_was_told() {
    let mut first = Quarantine::new(LIMITS);
    for number in 1..=3 {
        first.on_termination(at(number), incarnation(number), request(1));
    }
    let reports = first.next_reports(at(300));
    let mut second = Quarantine::new(LIMITS);
    // Its own clock began later.
    assert_eq!(second.on_reports(at(0), &reports, Relaying::Nothing).len(), 1);
    let status = second.status(at(0), request(1));
    let left = Duration::from_secs(301);
    assert!(matches!(status, QuarantineStatus::Quarantined { left: told, .. } if told == left));
    assert!(!is_quarantined(&second, at(302), 1));
    // What no longer counts is not told again, so it does not come back.
    first.expire(at(604));
    second.expire(at(304));
    assert!(first.is_empty() && second.is_empty());
}

#[test]
fn what_is_remembered_is_bounded_and_the_worst_stays() {
    let mut quarantine = Quarantine::new(LIMITS);
    for number in 1..=3 {
        quarantine.on_termination(at(0), incarnation(number), request(0));
    }
    for number in 1..=6_000 {
        quarantine.on_termination(Timestamp::from_millis(number), incarnation(10), request(number));
    }
    assert!(is_quarantined(&quarantine, at(6), 0));
    assert_eq!(quarantine.status(at(6), request(6_000)), QuarantineStatus::Suspect);
    assert_eq!(quarantine.status(at(6), request(1)), QuarantineStatus::Clear);
}

/// Moments, in tenths of a second from the last end, in which one of two routers probes a request that nobody serves.
fn probes(quarantine: &mut Quarantine, index: u64, until: u64) -> Vec<u64> {
    let turn = ProbeSlot { index, routers: 2 };
    let mut probed = Vec::new();
    for tenth in 0..until {
        let now = at(1) + Duration::from_millis(100 * tenth);
        if quarantine.take_probe(now, request(1), turn) {
            probed.push(tenth);
        }
    }
    probed
}

#[test]
fn routers_probe_a_quarantined_request_in_turn_and_pause_after_a_further_end() {
    let mut quarantine = Quarantine::new(LIMITS);
    for number in 1..=3 {
        quarantine.on_termination(at(1), incarnation(number), request(1));
    }
    assert_eq!(probes(&mut quarantine, 0, 24), [3]);
    let mut other = Quarantine::new(LIMITS);
    for number in 1..=3 {
        other.on_termination(at(1), incarnation(number), request(1));
    }
    assert_eq!(probes(&mut other, 1, 24), [15]);
    other.on_termination(at(1), incarnation(4), request(1));
    assert_eq!(probes(&mut other, 1, 340), [315, 339]);
    other.on_termination(at(1), incarnation(5), request(1));
    assert_eq!(probes(&mut other, 1, 2_900), []);
}

/// What the tests know of a report: request, life and whether it was cleared, from small numbers so that they meet.
fn reports_from(numbers: &[(u8, u8, bool)]) -> Vec<TerminationReport> {
    let report = |(asked, ended, is_cleared): &(u8, u8, bool)| TerminationReport {
        request: request(u64::from(asked % 4)),
        back_end: incarnation(u64::from(ended % 5)),
        counts_for_ms: 60_000,
        is_cleared: *is_cleared,
    };
    numbers.iter().map(report).collect()
}

quickcheck! {
    fn reports_in_any_order_and_number_come_to_the_same(numbers: Vec<(u8, u8, bool)>, seed: u64) -> bool {
        let reports = reports_from(&numbers);
        let mut in_order = Quarantine::new(LIMITS);
        in_order.on_reports(at(0), &reports, Relaying::All);
        let mut shuffled = Quarantine::new(LIMITS);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut left: Vec<TerminationReport> = reports.iter().chain(&reports).copied().collect();
        while !left.is_empty() {
            let drawn = left.swap_remove(random.random_range(0..left.len()));
            shuffled.on_reports(at(0), &[drawn], Relaying::All);
        }
        (0..4).all(|number| in_order.status(at(0), request(number)) == shuffled.status(at(0), request(number)))
    }

    fn a_request_is_quarantined_by_three_ends_that_were_not_cleared(numbers: Vec<(u8, u8, bool)>) -> TestResult {
        let reports = reports_from(&numbers);
        let mut quarantine = Quarantine::new(LIMITS);
        quarantine.on_reports(at(0), &reports, Relaying::All);
        let expected = |number: u64| {
            let of_request = || reports.iter().filter(move |report| report.request == request(number));
            let cleared: BTreeSet<EngineKey> =
                of_request().filter(|report| report.is_cleared).map(|report| report.back_end).collect();
            let all: BTreeSet<EngineKey> = of_request().map(|report| report.back_end).collect();
            all.difference(&cleared).count() >= LIMITS.ends
        };
        let all_as_expected = (0..4).all(|number| is_quarantined(&quarantine, at(0), number) == expected(number));
        TestResult::from_bool(all_as_expected)
    }
}

/// Routers of a fleet in virtual time with what each knows of requests.
struct Spread {
    fleet: Fleet,
    known: BTreeMap<SocketAddr, Quarantine>,
    random: ChaCha8Rng,
    lost: f64,
}

impl Spread {
    fn new(routers: usize, lost: f64) -> Self {
        let mut fleet = Fleet::new(routers);
        fleet.rounds(40);
        let known =
            fleet.routers.keys().map(|address| (*address, Quarantine::new(LIMITS))).collect();
        Self { fleet, known, random: ChaCha8Rng::seed_from_u64(1), lost }
    }

    fn end(&mut self, router: usize, ended: u64, number: u64) {
        let now = self.fleet.now;
        let known = self.known.get_mut(&address(router)).expect("a router");
        known.on_termination(now, incarnation(ended), request(number));
    }

    /// One round of all routers' reports and reminders.
    fn round(&mut self) {
        self.fleet.now = self.fleet.now + ROUND_PERIOD;
        let now = self.fleet.now;
        let mut sent = Vec::new();
        for (sender, known) in &mut self.known {
            let dispatcher = &self.fleet.routers[sender];
            let reports = known.next_reports(now);
            let targets = dispatcher.gossip_targets(self.random.next_u64());
            sent.extend(targets.into_iter().map(|target| (target, reports.clone())));
            let reminder = known.next_reminder(now);
            sent.extend(
                dispatcher.random_peer(self.random.next_u64()).map(|target| (target, reminder)),
            );
        }
        for (target, reports) in sent {
            if self.random.random::<f64>() < self.lost {
                continue;
            }
            let relaying = self.fleet.routers[&target].relaying();
            let known = self.known.get_mut(&target).expect("a router");
            known.on_reports(now, &reports, relaying);
        }
    }

    fn quarantining(&self, number: u64) -> usize {
        let now = self.fleet.now;
        self.known.values().filter(|known| is_quarantined(known, now, number)).count()
    }

    /// Rounds until all routers quarantine a request.
    fn rounds_until_all(&mut self, number: u64) -> u32 {
        for round in 0..200 {
            if self.quarantining(number) == self.known.len() {
                return round;
            }
            self.round();
        }
        panic!("{} of {} routers quarantine it", self.quarantining(number), self.known.len());
    }
}

/// The routers have 3 s and more to know of the third end. The bound leaves two thirds of that for finding out that a back end ended.
#[test]
fn all_routers_know_within_a_second_of_ends_that_three_of_them_saw() {
    for (routers, lost) in [(3, 0.1), (7, 0.1), (26, 0.1), (85, 0.1), (295, 0.1), (295, 0.3)] {
        let mut spread = Spread::new(routers, lost);
        for (router, ended) in [(0, 1), (1, 2), (2, 3)] {
            spread.end(router, ended, 1);
        }
        let rounds = spread.rounds_until_all(1);
        let taken = ROUND_PERIOD * rounds;
        println!("{routers} routers, {lost} lost: {taken:?}");
        assert!(taken <= Duration::from_secs(1), "{routers} routers, {lost} lost: {taken:?}");
    }
}

/// A router that starts has heard nothing; it is reminded soon, whoever saw the ends.
#[test]
fn a_router_that_starts_anew_is_reminded_of_what_is_quarantined() {
    for routers in [7, 85] {
        let mut spread = Spread::new(routers, 0.1);
        for ended in 1..=3 {
            spread.end(0, ended, 1);
        }
        spread.rounds_until_all(1);
        (0..20).for_each(|_| spread.round());
        spread.known.insert(address(3), Quarantine::new(LIMITS));
        let rounds = spread.rounds_until_all(1);
        let taken = ROUND_PERIOD * rounds;
        println!("{routers} routers: {taken:?}");
        assert!(taken <= Duration::from_secs(3), "{routers} routers: {taken:?}");
    }
}

/// Quiet routers say nothing: what is told is told a few times.
#[test]
fn nothing_is_told_where_nothing_is_quarantined() {
    let mut spread = Spread::new(85, 0.0);
    spread.end(0, 1, 1);
    (0..20).for_each(|_| spread.round());
    let now = spread.fleet.now;
    for known in spread.known.values_mut() {
        assert!(known.next_reports(now).is_empty() && known.next_reminder(now).is_empty());
    }
}

/// All that were under way at the back end that ended go to different ones, so that the next end tells which of them it was.
#[test]
fn suspects_part_and_copies_of_one_meet() {
    let now = Timestamp::ZERO;
    let place = |number: u64, router: u64| -> Placement {
        let mut asked = demand(now, Some(prompt(1, number, 100)), "t");
        asked.suspect = Some(request(number));
        let mut dispatcher = dispatcher(router as u8 + 1, 12, 48);
        match dispatcher.admit(now, asked, 0.5) {
            mastbay_routing::Admission::Placed(placement) => placement,
            other => panic!("{other:?}"),
        }
    };
    let mut at_engine: BTreeMap<BackEndId, u32> = BTreeMap::new();
    for number in 0..120 {
        let first = place(number, 0).back_end.id;
        assert_eq!(first, place(number, 1).back_end.id, "at two routers");
        *at_engine.entry(first).or_default() += 1;
    }
    assert_eq!(at_engine.len(), 12, "{at_engine:?}");
    assert!(at_engine.values().all(|count| *count <= 20), "{at_engine:?}");
}
