//! Quarantine of prompt parts: what counts against one, what clears it, and which requests that
//! hold one are refused.

mod support;

use mastbay_routing::{
    EngineKey, PeerMessage, ProbeSlot, PromptPart, Quarantine, QuarantineStatus, ROUND_PERIOD,
    Relaying, RequestFingerprint, Suspect, TerminationReport,
};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use serde::Serialize;
use std::time::Duration;
use support::fleet::address;
use support::quarantined_fleet::{LIMITS, QuarantinedFleet, incarnation, request};

const FATAL: Suspect = Suspect::PromptPart(0xf1);
const SHARED: Suspect = Suspect::PromptPart(0xa1);
const NOW: Timestamp = Timestamp::ZERO;

/// Back ends end under all of `suspects`.
fn end_under(
    quarantine: &mut Quarantine,
    ends: std::ops::RangeInclusive<u64>,
    suspects: &[Suspect],
) {
    for end in ends {
        for suspect in suspects {
            quarantine.on_termination(NOW, incarnation(end), *suspect);
        }
    }
}

fn is_refused(quarantine: &Quarantine, suspects: &[Suspect]) -> bool {
    matches!(quarantine.status_of(NOW, suspects), QuarantineStatus::Quarantined { .. })
}

/// Guards against requests that are never alike escaping the limit.
#[test]
fn a_part_is_refused_in_each_request_that_holds_it() {
    let mut quarantine = Quarantine::new(LIMITS);
    for number in 1..=3 {
        end_under(&mut quarantine, number..=number, &[request(number), FATAL]);
    }
    assert!(is_refused(&quarantine, &[request(4), FATAL]));
    assert!(is_refused(&quarantine, &[request(5), SHARED, FATAL]));
    assert_eq!(quarantine.status_of(NOW, &[request(4), SHARED]), QuarantineStatus::Clear);
}

/// Guards against refusing a popular part that is in flight wherever a fatal one ends a back end.
#[test]
fn a_part_that_back_ends_bear_is_not_held_against_its_requests() {
    let mut quarantine = Quarantine::new(LIMITS);
    quarantine.on_survival(SHARED);
    end_under(&mut quarantine, 1..=3, &[SHARED, FATAL]);
    assert_eq!(quarantine.status_of(NOW, &[request(1), SHARED]), QuarantineStatus::Clear);
    assert!(is_refused(&quarantine, &[request(1), SHARED, FATAL]));
}

/// Guards against taking a part for sound forever that becomes fatal.
#[test]
fn a_part_that_becomes_fatal_is_refused() {
    let mut quarantine = Quarantine::new(LIMITS);
    quarantine.on_survival(FATAL);
    end_under(&mut quarantine, 1..=8, &[FATAL]);
    assert!(!is_refused(&quarantine, &[request(1), FATAL]));
    end_under(&mut quarantine, 9..=9, &[FATAL]);
    assert!(is_refused(&quarantine, &[request(1), FATAL]));
}

/// Guards against refusing a part whenever an end and a survival cross.
#[test]
fn a_survival_clears_a_part_whether_ends_are_known_before_or_after() {
    for is_survival_first in [true, false] {
        let mut quarantine = Quarantine::new(LIMITS);
        if is_survival_first {
            quarantine.on_survival(SHARED);
        }
        end_under(&mut quarantine, 1..=4, &[SHARED]);
        if !is_survival_first {
            quarantine.on_survival(SHARED);
        }
        assert_eq!(quarantine.status_of(NOW, &[SHARED]), QuarantineStatus::Clear);
    }
}

/// Guards against refusing requests with one of two parts that were in flight together, where the
/// other one, which the request doesn't hold, explains all ends.
#[test]
fn a_part_that_another_one_explains_is_let_through_without_it() {
    let mut quarantine = Quarantine::new(LIMITS);
    end_under(&mut quarantine, 1..=4, &[SHARED, FATAL]);
    assert_eq!(quarantine.status_of(NOW, &[request(1), SHARED]), QuarantineStatus::Suspect);
    assert!(is_refused(&quarantine, &[request(1), SHARED, FATAL]));
    // A run of the fatal part alone ends a back end that nothing else explains.
    end_under(&mut quarantine, 5..=5, &[FATAL]);
    assert!(is_refused(&quarantine, &[request(2), FATAL]));
    assert_eq!(quarantine.status_of(NOW, &[request(1), SHARED]), QuarantineStatus::Suspect);
}

/// Guards against a hostile caller whose invented parts push out what is known of others.
#[test]
fn invented_parts_do_not_push_out_fatal_or_popular_ones() {
    let mut quarantine = Quarantine::new(LIMITS);
    end_under(&mut quarantine, 1..=3, &[FATAL]);
    for invented in 0..20_000 {
        if invented % 1_000 == 0 {
            quarantine.on_survival(SHARED);
        }
        quarantine.on_survival(Suspect::PromptPart(0x1_0000 + invented));
        let back_end = incarnation(100);
        quarantine.on_termination(NOW, back_end, Suspect::PromptPart(0x10_0000 + invented));
    }
    assert!(is_refused(&quarantine, &[FATAL]));
    assert!(quarantine.has_survived(SHARED));
}

/// Guards against routers that disagree on a part: those at which back ends bear it tell the others.
#[test]
fn routers_at_which_a_part_is_borne_clear_it_everywhere() {
    for routers in [3, 7, 85] {
        let mut simulation = QuarantinedFleet::new(routers, 0.1);
        for quarantine in simulation.quarantines.values_mut().skip(1).step_by(2) {
            quarantine.on_survival(SHARED);
        }
        let now = simulation.fleet.now;
        let first = simulation.quarantines.get_mut(&address(0)).expect("a router");
        for number in 1..=3 {
            first.on_termination(now, incarnation(number), SHARED);
        }
        let is_refused = |quarantine: &Quarantine, now: Timestamp| {
            matches!(quarantine.status(now, SHARED), QuarantineStatus::Quarantined { .. })
        };
        let mut rounds = 0;
        loop {
            simulation.round();
            rounds += 1;
            let now = simulation.fleet.now;
            if !simulation.quarantines.values().any(|quarantine| is_refused(quarantine, now)) {
                break;
            }
        }
        let elapsed = ROUND_PERIOD * rounds;
        println!("{routers} routers: {elapsed:?}");
        assert!(elapsed <= Duration::from_secs(1), "{routers} routers: {elapsed:?}");
    }
}

/// A report as routers of the version before prompt parts encode it.
#[derive(Serialize)]
struct EarlierReport {
    request: RequestFingerprint,
    back_end: EngineKey,
    counts_for_ms: u32,
    is_cleared: bool,
}

#[derive(Serialize)]
enum EarlierMessage {
    Ends(Vec<EarlierReport>),
}

/// Guards against routers of two versions that don't understand each other during a roll-out.
#[test]
fn reports_are_encoded_like_those_of_the_version_before_prompt_parts() {
    let fingerprint: RequestFingerprint =
        "0123456789abcdef0123456789abcdef".parse().expect("a fingerprint");
    let back_end = incarnation(1);
    let report =
        |suspect| TerminationReport { suspect, back_end, counts_for_ms: 5, is_cleared: true };
    let earlier = |request| EarlierReport { request, back_end, counts_for_ms: 5, is_cleared: true };
    for suspect in [Suspect::Request(fingerprint), FATAL] {
        let message = PeerMessage::Ends(vec![report(suspect)]);
        let earlier = EarlierMessage::Ends(vec![earlier(suspect.into())]);
        let bytes = rmp_serde::to_vec(&message).expect("encoded");
        assert_eq!(bytes, rmp_serde::to_vec(&earlier).expect("encoded"));
        let decoded: PeerMessage = rmp_serde::from_slice(&bytes).expect("decoded");
        assert_eq!(decoded, message);
    }
}

quickcheck! {
    fn suspects_are_named_uniquely(id: u64) -> bool {
        let part = Suspect::PromptPart(id);
        let name = part.to_string();
        name.len() == 32 && name.parse() == Ok(part)
    }
}

/// Guards against parts whose reports come from another router before this one has a run of them.
#[test]
fn reports_on_a_part_that_is_borne_here_are_answered() {
    let mut quarantine = Quarantine::new(LIMITS);
    quarantine.on_survival(SHARED);
    let report = TerminationReport {
        suspect: SHARED,
        back_end: incarnation(1),
        counts_for_ms: 1_000,
        is_cleared: false,
    };
    quarantine.on_reports(NOW, &[report], Relaying::Nothing);
    let answered = quarantine.next_reports(NOW);
    assert_eq!(answered, [TerminationReport { is_cleared: true, ..report }]);
}

/// Guards against taking a shared part for the request's own because the last one can't be read.
#[test]
fn parts_that_cannot_be_read_keep_their_position() {
    let read = PromptPart::read_list("a1:100, 00112233445566778899aabbccddeeff:7,zz,b2:x");
    assert_eq!(read.len(), 4);
    assert_eq!(read[0], PromptPart { id: 0xa1, tokens: 100 });
    assert_eq!((read[1].tokens, read[2].tokens), (7, 0));
    assert_eq!(read[3], PromptPart { id: 0xb2, tokens: 0 });
    assert_ne!(read[1].id, read[2].id);
    assert_eq!(PromptPart::read_list(""), []);
}

/// Guards against probing a fatal part again soon after each restart of a router.
#[test]
fn a_router_that_starts_learns_how_often_a_part_was_probed() {
    let mut earlier = Quarantine::new(LIMITS);
    end_under(&mut earlier, 1..=5, &[FATAL]);
    let mut started = Quarantine::new(LIMITS);
    started.on_reports(NOW, &earlier.reports_for_new_peer(NOW), Relaying::Nothing);
    let retry_after = |quarantine: &Quarantine| quarantine.status(NOW, FATAL).retry_after();
    assert_eq!(retry_after(&started), retry_after(&earlier));
    assert!(retry_after(&started) >= Some(Duration::from_secs(300)));
}

/// Guards against a probe of a fatal part right after its quarantine.
#[test]
fn a_part_is_not_probed_for_half_a_minute() {
    let mut quarantine = Quarantine::new(LIMITS);
    end_under(&mut quarantine, 1..=3, &[FATAL]);
    let slot = ProbeSlot { index: 0, routers: 1 };
    let takes = |quarantine: &mut Quarantine, milliseconds: u64| {
        quarantine.take_probe(Timestamp::from_millis(milliseconds), FATAL, slot)
    };
    assert!((0..300).all(|tenth| !takes(&mut quarantine, 100 * tenth)));
    assert!((300..313).any(|tenth| takes(&mut quarantine, 100 * tenth)));
}

/// Bytes that a router may send a second for control.
const MAX_BYTES: u64 = 15_000;

/// Guards against reports of a single end that burden the peers: 40 requests of three shared parts
/// each were in flight, an eighth of them had just begun, and half of the routers know the parts.
#[test]
fn the_end_of_a_back_end_costs_each_router_little() {
    for routers in [7, 85, 295] {
        let mut simulation = QuarantinedFleet::new(routers, 0.1);
        let now = simulation.fleet.now;
        let parts = |number: u64| {
            (0..3).map(move |part| Suspect::PromptPart(0x100 + 3 * (number % 8) + part))
        };
        for quarantine in simulation.quarantines.values_mut().step_by(2) {
            (0..8).flat_map(parts).for_each(|part| quarantine.on_survival(part));
        }
        for number in 0..40 {
            let router = address(number as usize % routers);
            let quarantine = simulation.quarantines.get_mut(&router).expect("a router");
            quarantine.on_termination(now, incarnation(1), request(number));
            if number % 8 == 0 {
                parts(number).for_each(|part| {
                    quarantine.on_termination(now, incarnation(1), part);
                });
            }
        }
        (0..30).for_each(|_| simulation.round());
        let (datagrams, bytes) = (simulation.datagrams, simulation.bytes);
        let each = bytes / routers as u64;
        println!("{routers} routers: {datagrams} datagrams, {bytes} bytes, {each} bytes each");
        assert!(each <= MAX_BYTES, "{routers} routers: {each} bytes each");
    }
}
