//! Quarantine of requests under which back ends terminated: counting, clearing, probing, and the
//! time until all routers know.

mod support;

use mastbay_routing::{
    BackEndId, EngineKey, Placement, ProbeSlot, Quarantine, QuarantineStatus, ROUND_PERIOD,
    Relaying, TerminationReport,
};
use mastbay_types::Timestamp;
use quickcheck::{TestResult, quickcheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::fleet::address;
use support::quarantined_fleet::{LIMITS, QuarantinedFleet, incarnation, is_quarantined, request};
use support::{demand, dispatcher, prompt};

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(seconds)
}

#[test]
fn the_third_incarnation_that_terminates_under_a_request_quarantines_it() {
    let mut quarantine = Quarantine::new(LIMITS);
    assert_eq!(quarantine.on_termination(at(0), incarnation(1), request(1)), None);
    assert_eq!(quarantine.on_termination(at(1), incarnation(2), request(1)), None);
    assert_eq!(quarantine.status(at(1), request(1)), QuarantineStatus::Suspect);
    // A repeated report of a termination counts once.
    assert_eq!(quarantine.on_termination(at(1), incarnation(2), request(1)), None);
    let quarantined =
        quarantine.on_termination(at(2), incarnation(3), request(1)).expect("quarantined");
    assert_eq!(quarantined.back_ends.len(), 3);
    assert_eq!(quarantine.on_termination(at(3), incarnation(4), request(1)), None, "returned once");
    assert_eq!(quarantine.status(at(3), request(2)), QuarantineStatus::Clear);
}

#[test]
fn a_served_request_is_cleared_of_earlier_terminations() {
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
fn a_termination_counts_for_its_period_at_every_router() {
    let mut first = Quarantine::new(LIMITS);
    for number in 1..=3 {
        first.on_termination(at(number), incarnation(number), request(1));
    }
    let reports = first.next_reports(at(300));
    let mut second = Quarantine::new(LIMITS);
    // Its clock started later.
    assert_eq!(second.on_reports(at(0), &reports, Relaying::Nothing).len(), 1);
    let status = second.status(at(0), request(1));
    let left = Duration::from_secs(301);
    assert!(
        matches!(status, QuarantineStatus::Quarantined { left: reported, .. } if reported == left)
    );
    assert!(!is_quarantined(&second, at(302), 1));
    // Expired terminations are not reported again, so they don't reappear.
    first.expire(at(604));
    second.expire(at(304));
    assert!(first.is_empty() && second.is_empty());
}

#[test]
fn the_number_of_requests_is_bounded_and_quarantined_ones_are_kept() {
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

/// Returns the times, in tenths of a second after the last termination, at which one of two routers
/// probes a request that is never served.
fn probes(quarantine: &mut Quarantine, index: u64, until: u64) -> Vec<u64> {
    let slot = ProbeSlot { index, routers: 2 };
    let mut probed = Vec::new();
    for tenth in 0..until {
        let now = at(1) + Duration::from_millis(100 * tenth);
        if quarantine.take_probe(now, request(1), slot) {
            probed.push(tenth);
        }
    }
    probed
}

#[test]
fn routers_probe_in_turn_and_back_off_after_a_further_termination() {
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

/// Builds reports from numbers for the request, the incarnation and whether it was cleared. The
/// ranges are small so that reports concern the same requests.
fn reports_from(numbers: &[(u8, u8, bool)]) -> Vec<TerminationReport> {
    let report = |(number, terminated, is_cleared): &(u8, u8, bool)| TerminationReport {
        suspect: request(u64::from(number % 4)),
        back_end: incarnation(u64::from(terminated % 5)),
        counts_for_ms: 60_000,
        is_cleared: *is_cleared,
    };
    numbers.iter().map(report).collect()
}

quickcheck! {
    fn reports_merge_in_any_order_and_number(numbers: Vec<(u8, u8, bool)>, seed: u64) -> bool {
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

    fn a_request_is_quarantined_by_three_uncleared_terminations(numbers: Vec<(u8, u8, bool)>) -> TestResult {
        let reports = reports_from(&numbers);
        let mut quarantine = Quarantine::new(LIMITS);
        quarantine.on_reports(at(0), &reports, Relaying::All);
        let expected = |number: u64| {
            let of_request = || reports.iter().filter(move |report| report.suspect == request(number));
            let cleared: BTreeSet<EngineKey> =
                of_request().filter(|report| report.is_cleared).map(|report| report.back_end).collect();
            let all: BTreeSet<EngineKey> = of_request().map(|report| report.back_end).collect();
            all.difference(&cleared).count() >= LIMITS.ends
        };
        let all_as_expected = (0..4).all(|number| is_quarantined(&quarantine, at(0), number) == expected(number));
        TestResult::from_bool(all_as_expected)
    }
}

/// Routers have at least 3 s to learn of the third termination; the bound leaves two thirds of that
/// for detecting it.
#[test]
fn all_routers_know_terminations_within_a_second() {
    for (routers, loss_rate) in [(3, 0.1), (7, 0.1), (26, 0.1), (85, 0.1), (295, 0.1), (295, 0.3)] {
        let mut simulation = QuarantinedFleet::new(routers, loss_rate);
        for (router, terminated) in [(0, 1), (1, 2), (2, 3)] {
            simulation.terminate(router, terminated, 1);
        }
        let rounds = simulation.rounds_until_all(1);
        let elapsed = ROUND_PERIOD * rounds;
        println!("{routers} routers, {loss_rate} lost: {elapsed:?}");
        assert!(
            elapsed <= Duration::from_secs(1),
            "{routers} routers, {loss_rate} lost: {elapsed:?}"
        );
    }
}

/// A restarted router has missed the reports and must learn of the quarantine from reminders.
#[test]
fn a_restarted_router_is_reminded_of_quarantined_requests() {
    for routers in [7, 85] {
        let mut simulation = QuarantinedFleet::new(routers, 0.1);
        for terminated in 1..=3 {
            simulation.terminate(0, terminated, 1);
        }
        simulation.rounds_until_all(1);
        (0..20).for_each(|_| simulation.round());
        simulation.quarantines.insert(address(3), Quarantine::new(LIMITS));
        let rounds = simulation.rounds_until_all(1);
        let elapsed = ROUND_PERIOD * rounds;
        println!("{routers} routers: {elapsed:?}");
        assert!(elapsed <= Duration::from_secs(3), "{routers} routers: {elapsed:?}");
    }
}

/// Reports are sent a few times only, so routers without new terminations send nothing.
#[test]
fn nothing_is_sent_if_nothing_is_quarantined() {
    let mut simulation = QuarantinedFleet::new(85, 0.0);
    simulation.terminate(0, 1, 1);
    (0..20).for_each(|_| simulation.round());
    let now = simulation.fleet.now;
    for quarantine in simulation.quarantines.values_mut() {
        assert!(
            quarantine.next_reports(now).is_empty() && quarantine.next_reminder(now).is_empty()
        );
    }
}

/// Suspects that were in flight at the same back end are placed at different ones, so that the next
/// termination identifies the cause. All routers place the same suspect at the same back end.
#[test]
fn suspects_are_separated_and_copies_of_one_are_placed_together() {
    let now = Timestamp::ZERO;
    let place = |number: u64, router: u64| -> Placement {
        let mut demand = demand(now, Some(prompt(1, number, 100)), "t");
        demand.suspect = Some(request(number));
        let mut dispatcher = dispatcher(router as u8 + 1, 12, 48);
        match dispatcher.admit(now, demand, 0.5) {
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
