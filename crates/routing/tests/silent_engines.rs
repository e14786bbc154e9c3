//! Engines that accept requests and answer none: what routers tell each other of them, and where
//! requests go meanwhile.

mod support;

use mastbay_routing::{
    Admission, BackEndId, Dispatcher, PeerMessage, RouterPhase, SilenceFinding, SilenceReport,
};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use std::time::Duration;
use support::{at, demand, dispatcher, exchange_digests, prompt};

const ROUTERS: u8 = 6;
const ENGINES: usize = 4;
/// Slots of each engine, more than a test needs.
const SLOTS: u32 = 200;
/// Time without an answer after which a router finds an engine silent.
const SILENCE: Duration = Duration::from_millis(800);
/// Requests of different prompts that reach each engine, unless it is excluded.
const REQUESTS: u64 = 40;

fn fleet() -> Vec<Dispatcher> {
    let mut fleet: Vec<Dispatcher> =
        (1..=ROUTERS).map(|host| dispatcher(host, ENGINES, SLOTS)).collect();
    exchange_digests(at(1), &mut fleet);
    fleet
}

fn engine(number: usize) -> BackEndId {
    BackEndId::from(format!("e{number}").as_str())
}

/// Delivers the messages of one round of each router to all others.
fn round(now: Timestamp, fleet: &mut [Dispatcher]) {
    for sender in 0..fleet.len() {
        let messages = fleet[sender].next_round(now, RouterPhase::Serving, &[]);
        let findings =
            messages.into_iter().filter(|sent| matches!(sent.message, PeerMessage::Silence(_)));
        for sent in findings {
            for (_, peer) in fleet.iter_mut().enumerate().filter(|(peer, _)| *peer != sender) {
                peer.on_message(now, sent.message.clone());
            }
        }
    }
}

/// Returns how many of [`REQUESTS`] a router places at an engine, and releases their slots.
fn placed_at(now: Timestamp, router: &mut Dispatcher, id: &BackEndId) -> usize {
    let mut placed = 0;
    for request in 0..REQUESTS {
        let demand = demand(now, Some(prompt(request, request, 50)), "t");
        let Admission::Placed(placement) = router.admit(now, demand, 0.5) else { continue };
        placed += usize::from(placement.back_end.id == *id);
        router.on_end(now, placement.ticket, Err(None));
    }
    placed
}

fn find_silent(router: &mut Dispatcher, sent: Timestamp, id: &BackEndId) {
    assert!(router.on_unanswered(sent + SILENCE, id, sent));
}

/// Guards against routers that each find out by a request of their own.
#[test]
fn no_router_uses_an_engine_that_one_has_found_silent() {
    let (mut fleet, silent) = (fleet(), engine(0));
    assert!(fleet.iter_mut().all(|router| placed_at(at(100), router, &silent) > 0));
    find_silent(&mut fleet[2], at(100), &silent);
    let now = at(100) + SILENCE;
    round(now, &mut fleet);
    for router in &mut fleet {
        assert_eq!(placed_at(now, router, &silent), 0);
    }
}

/// Guards against routers that all try a silent engine again at the same time.
#[test]
fn routers_try_a_silent_engine_again_one_after_the_other() {
    let (mut fleet, silent) = (fleet(), engine(0));
    find_silent(&mut fleet[0], at(100), &silent);
    let found = at(100) + SILENCE;
    round(found, &mut fleet);
    let mut first_tries: Vec<u64> = fleet
        .iter_mut()
        .filter_map(|router| {
            let mut moments = (0..8_000).step_by(100);
            moments
                .find(|after| placed_at(found + Duration::from_millis(*after), router, &silent) > 0)
        })
        .collect();
    first_tries.sort_unstable();
    assert_eq!(first_tries, [400, 1_200, 2_000, 2_800, 3_600, 3_600]);
}

/// A trial without an answer excludes the engine for longer, at the peers as well.
#[test]
fn an_engine_that_stays_silent_is_tried_less_and_less_often() {
    let (mut fleet, silent) = (fleet(), engine(0));
    let mut sent = at(100);
    for exclusion in [400, 800, 1_600, 3_000, 3_000].map(Duration::from_millis) {
        find_silent(&mut fleet[0], sent, &silent);
        let found = sent + SILENCE;
        round(found, &mut fleet);
        for router in &mut fleet {
            let before = found + (exclusion - Duration::from_millis(1));
            assert_eq!(placed_at(before, router, &silent), 0, "{exclusion:?}");
        }
        sent = found + exclusion;
        assert!(fleet.iter_mut().any(|router| placed_at(sent, router, &silent) > 0));
    }
}

#[test]
fn an_answer_to_one_router_ends_the_exclusion_everywhere() {
    let (mut fleet, silent) = (fleet(), engine(0));
    find_silent(&mut fleet[0], at(100), &silent);
    let found = at(100) + SILENCE;
    round(found, &mut fleet);
    let answered = found + Duration::from_millis(50);
    assert!(fleet[3].on_answer_head(answered, &silent));
    round(answered, &mut fleet);
    for router in &mut fleet {
        assert!(placed_at(answered, router, &silent) > 0);
    }
}

/// A router with few requests may take an engine for silent that answers all the time.
#[test]
fn a_router_that_has_answers_of_an_engine_contradicts() {
    let (mut fleet, alive) = (fleet(), engine(0));
    let mut tickets = Vec::new();
    for request in 0..REQUESTS {
        let demand = demand(at(100), Some(prompt(request, request, 50)), "t");
        if let Admission::Placed(placement) = fleet[1].admit(at(100), demand, 0.5) {
            tickets.push(placement.ticket);
        }
    }
    for ticket in tickets {
        fleet[1].on_first_event(at(500), ticket);
    }
    find_silent(&mut fleet[0], at(100), &alive);
    let found = at(100) + SILENCE;
    round(found, &mut fleet);
    round(found, &mut fleet);
    for router in &mut fleet {
        assert!(placed_at(found, router, &alive) > 0);
    }
}

/// A finding is sent in several rounds. Each router that contradicts each of them would answer it with
/// several messages to all others.
#[test]
fn a_finding_that_arrives_again_is_contradicted_once() {
    let mut router = dispatcher(1, ENGINES, SLOTS);
    let new = demand(at(100), Some(prompt(1, 1, 50)), "t");
    let Admission::Placed(placement) = router.admit(at(100), new, 0.5) else { panic!("no place") };
    router.on_first_event(at(500), placement.ticket);
    let mut contradictions = 0;
    for moment in (600..1_600).step_by(100) {
        let report = SilenceReport {
            back_end: placement.back_end.id.clone(),
            finding: SilenceFinding::Silent,
            age_ms: moment - 100,
        };
        router.on_silence_reported(at(u64::from(moment)), &report);
        let messages = router.next_round(at(u64::from(moment)), RouterPhase::Serving, &[]);
        contradictions +=
            messages.iter().filter(|sent| matches!(sent.message, PeerMessage::Silence(_))).count();
    }
    assert_eq!(contradictions, 3, "rounds in which one finding is sent");
}

/// When most engines are silent, new requests go where they may be answered first, but none is sent
/// again to another silent engine.
#[test]
fn requests_are_sent_again_only_to_engines_that_are_not_silent() {
    let mut router = dispatcher(1, ENGINES, SLOTS);
    for number in 0..ENGINES {
        find_silent(&mut router, at(100), &engine(number));
    }
    let now = at(100) + SILENCE;
    let new = demand(now, Some(prompt(1, 1, 50)), "t");
    assert!(matches!(router.admit(now, new.clone(), 0.5), Admission::Placed(_)));
    let mut left = new;
    left.tried = vec![engine(0)];
    assert!(router.admit_at_once(now, &left).is_none());
}

/// Reports are sent several times and arrive in any order.
#[test]
fn a_report_from_before_an_answer_changes_nothing() {
    fn holds(ages: Vec<u16>) -> bool {
        let mut router = dispatcher(1, ENGINES, SLOTS);
        let (silent, now) = (engine(0), at(100_000));
        find_silent(&mut router, now.saturating_sub(SILENCE * 100), &silent);
        router.on_answer_head(now, &silent);
        for age in ages {
            let report = SilenceReport {
                back_end: silent.clone(),
                finding: SilenceFinding::Silent,
                age_ms: u32::from(age),
            };
            if router.on_silence_reported(now, &report) {
                return false;
            }
        }
        placed_at(now, &mut router, &silent) > 0
    }
    quickcheck(holds as fn(Vec<u16>) -> bool);
}
