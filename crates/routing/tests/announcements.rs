//! Drain announcements and backoffs that back ends send in their answers override all other
//! sources.

mod support;

use mastbay_routing::{
    Admission, BackEnd, BackEndDirectory, BackEndId, BackEndList, BackEndState, Dispatcher,
    EvacuatedZones, ExcludedBackEnds, Fault, Placement, Refusal, RefusalReason, Revision,
    UsableChanges,
};
use mastbay_types::Timestamp;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::fleet::{Fleet, address};
use support::{PLAIN, at, back_end, demand, dispatcher, list, prompt};

const NAMES: [&str; 4] = ["e0", "e1", "e2", "e3"];
const INCARNATIONS: u8 = 3;
/// Time between two events.
const STEP: Duration = Duration::from_millis(700);

/// Time for which back ends are kept that are missing after an outage.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// An event at a router; events come in any order.
#[derive(Debug, Clone)]
enum Event {
    /// A list of the source with the name, incarnation and readiness of each entry. A new era
    /// starts if `is_later_era`.
    List { entries: Vec<(u8, u8, bool)>, is_later_era: bool, is_recovering: bool },
    /// An incarnation announces that it drains: in an answer or, if `name` is odd, reported by
    /// another router.
    Draining { name: u8, incarnation: u8 },
    /// An incarnation rejects a request and asks for a backoff in tenths of a second.
    Backoff { name: u8, incarnation: u8, tenths: u8 },
    /// The evacuation of the zone of all back ends begins or ends.
    Evacuation { is_evacuated: bool },
    /// Time passes.
    TimePasses,
}

impl Arbitrary for Event {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 9 {
            0..=3 => Event::List {
                entries: Vec::arbitrary(random),
                is_later_era: u8::arbitrary(random).is_multiple_of(4),
                is_recovering: bool::arbitrary(random),
            },
            4 | 5 => {
                Event::Draining { name: u8::arbitrary(random), incarnation: u8::arbitrary(random) }
            }
            6 => Event::Backoff {
                name: u8::arbitrary(random),
                incarnation: u8::arbitrary(random),
                tenths: u8::arbitrary(random) % 40,
            },
            7 => Event::Evacuation { is_evacuated: bool::arbitrary(random) },
            _ => Event::TimePasses,
        }
    }
}

fn id(name: u8, incarnation: u8) -> BackEndId {
    BackEndId::new(
        NAMES[usize::from(name) % NAMES.len()],
        1 + u64::from(incarnation % INCARNATIONS),
    )
}

/// A router with its directory of back ends.
struct Router {
    dispatcher: Dispatcher,
    directory: BackEndDirectory,
    revision: Revision,
}

impl Router {
    fn new() -> Self {
        Self {
            dispatcher: dispatcher(1, 0, 8),
            directory: BackEndDirectory::default(),
            revision: Revision::new(0, 1),
        }
    }

    fn on_event(&mut self, now: Timestamp, event: &Event) {
        let expired = self.directory.expire(now);
        self.apply_changes(now, expired);
        match event {
            Event::List { entries, is_later_era, is_recovering } => {
                let era = self.revision.era + u64::from(*is_later_era);
                self.revision = Revision::new(era, self.revision.number + 1);
                let back_ends = entries.iter().map(|(name, incarnation, is_ready)| BackEnd {
                    id: id(*name, *incarnation),
                    state: if *is_ready { BackEndState::Ready } else { BackEndState::Draining },
                    ..back_end("", PLAIN, 8)
                });
                let list = BackEndList { revision: self.revision, back_ends: back_ends.collect() };
                let changes = self.directory.apply(
                    now,
                    is_recovering.then_some(now + GRACE_PERIOD),
                    list.into(),
                );
                self.apply_changes(now, changes);
            }
            Event::Draining { name, incarnation } if name % 2 == 0 => {
                self.dispatcher.on_draining(now, &id(*name, *incarnation));
            }
            Event::Draining { name, incarnation } => {
                self.dispatcher.on_draining_reported(now, &id(*name, *incarnation));
            }
            Event::Backoff { name, incarnation, tenths } => {
                let backoff = Duration::from_millis(u64::from(*tenths) * 100);
                self.dispatcher.on_backoff(now, &id(*name, *incarnation), backoff);
            }
            Event::Evacuation { is_evacuated } => {
                let zones = if *is_evacuated { vec!["a".to_owned()] } else { Vec::new() };
                let revision = self.revision;
                let zones = EvacuatedZones { revision, zones: zones.into_iter().collect() };
                self.dispatcher.on_evacuations(&zones);
            }
            Event::TimePasses => {}
        }
    }

    fn apply_changes(&mut self, now: Timestamp, changes: Option<UsableChanges>) {
        if let Some(changes) = changes {
            self.dispatcher.on_back_end_changes(now, &changes);
        }
    }

    /// Returns the back ends chosen for a number of requests.
    fn choices(&mut self, now: Timestamp, requests: usize) -> Vec<BackEndId> {
        let mut chosen = Vec::new();
        for _ in 0..requests {
            match self.dispatcher.admit(now, demand(now, None, "t"), 0.5) {
                Admission::Placed(placement) => chosen.push(placement.back_end.id),
                Admission::Waiting(ticket) => {
                    self.dispatcher.on_end(now, ticket, Err(None));
                }
                Admission::Refused(_) => {}
            }
        }
        chosen
    }
}

quickcheck! {
    /// No list, expired and listed entry, restored source or evacuation shortens a backoff.
    fn an_incarnation_in_backoff_is_not_chosen(events: Vec<Event>) -> TestResult {
        let mut router = Router::new();
        let mut backoff_ends = BTreeMap::new();
        let mut now = at(0);
        for event in &events {
            now = now + STEP;
            router.on_event(now, event);
            if let Event::Backoff { name, incarnation, tenths } = event {
                let end = now + Duration::from_millis(u64::from(*tenths) * 100);
                let latest = backoff_ends.entry(id(*name, *incarnation)).or_insert(end);
                *latest = end.max(*latest);
            }
            let chosen = router.choices(now, 6);
            let is_early = |id: &BackEndId| backoff_ends.get(id).is_some_and(|end| now < *end);
            if chosen.iter().any(is_early) {
                return TestResult::error(format!(
                    "{chosen:?} at {now:?}, backoffs until {backoff_ends:?}"
                ));
            }
        }
        TestResult::passed()
    }

    /// No list, expired and listed entry, restored source or evacuation makes a draining
    /// incarnation usable again.
    fn an_incarnation_that_announced_draining_is_never_chosen_again(
        events: Vec<Event>
    ) -> TestResult {
        let mut router = Router::new();
        let mut draining = BTreeSet::new();
        let mut now = at(0);
        for event in &events {
            now = now + STEP;
            router.on_event(now, event);
            if let Event::Draining { name, incarnation } = event {
                draining.insert(id(*name, *incarnation));
            }
            let chosen = router.choices(now, 6);
            if chosen.iter().any(|id| draining.contains(id)) {
                return TestResult::error(format!(
                    "{chosen:?} after {draining:?} announced draining"
                ));
            }
        }
        TestResult::passed()
    }
}

/// A drain announcement holds for one incarnation, not for the next one of the same name.
#[test]
fn a_later_incarnation_takes_requests() {
    let mut router = Router::new();
    let list = |incarnation| Event::List {
        entries: vec![(0, incarnation, true)],
        is_later_era: false,
        is_recovering: false,
    };
    router.on_event(at(0), &list(0));
    router.on_event(at(100), &Event::Draining { name: 0, incarnation: 0 });
    assert!(router.choices(at(200), 1).is_empty());
    router.on_event(at(300), &list(1));
    assert_eq!(router.choices(at(400), 1), [id(0, 1)]);
}

/// Backoff that a back end asks for.
const BACKOFF: Duration = Duration::from_secs(3);

/// A router before a number of engines, of which the first asked for a backoff.
fn after_backoff_of_first(engines: usize) -> Dispatcher {
    let mut router = dispatcher(1, engines, 8);
    assert!(router.on_backoff(at(0), &BackEndId::from("e0"), BACKOFF));
    router
}

fn place(router: &mut Dispatcher, now: Timestamp, request: u64) -> Option<Placement> {
    match router.admit(now, demand(now, Some(prompt(1, request, 10)), "t"), 0.5) {
        Admission::Placed(placement) => Some(placement),
        Admission::Waiting(ticket) => {
            router.on_end(now, ticket, Err(None));
            None
        }
        Admission::Refused(_) => None,
    }
}

#[test]
fn after_a_backoff_one_request_is_sent_until_it_is_answered() {
    let mut router = after_backoff_of_first(1);
    assert!(place(&mut router, at(2_999), 1).is_none());
    let probe = place(&mut router, at(3_000), 2).expect("the first one");
    assert!(place(&mut router, at(3_001), 3).is_none());
    router.on_end(at(3_050), probe.ticket, Err(Some(Fault::Full)));
    let probe = place(&mut router, at(3_200), 4).expect("the next one");
    assert!(place(&mut router, at(3_201), 5).is_none());
    router.on_first_event(at(3_250), probe.ticket);
    let served = (6..12).filter_map(|request| place(&mut router, at(3_251), request)).count();
    assert_eq!(served, 6);
}

#[test]
fn a_probe_without_an_answer_delays_other_requests_for_a_second() {
    let mut router = after_backoff_of_first(1);
    assert!(place(&mut router, at(3_000), 1).is_some());
    assert!(place(&mut router, at(3_999), 2).is_none());
    assert!(place(&mut router, at(4_000), 3).is_some());
}

/// An answer to a request sent before the backoff says nothing about the end of the backoff.
#[test]
fn an_earlier_request_that_is_answered_does_not_end_a_backoff() {
    let mut router = dispatcher(1, 1, 8);
    let earlier = place(&mut router, at(0), 1).expect("placed");
    router.on_backoff(at(10), &BackEndId::from("e0"), BACKOFF);
    router.on_first_event(at(500), earlier.ticket);
    router.on_end(at(900), earlier.ticket, Ok(()));
    assert!(place(&mut router, at(1_000), 2).is_none());
}

#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut router = after_backoff_of_first(1);
    assert!(!router.on_backoff(at(100), &BackEndId::from("e0"), Duration::from_millis(50)));
    assert!(place(&mut router, at(2_900), 1).is_none());
    assert_eq!(router.fault_before_send(at(2_900), &BackEndId::from("e0")), Some(Fault::Full));
    assert_eq!(router.fault_before_send(at(3_000), &BackEndId::from("e0")), None);
}

/// Guards against a burst at an engine when its backoff ends at the same time for twelve routers.
#[test]
fn each_router_sends_one_request_to_an_engine_after_its_backoff() {
    let sent: usize = (1..=12)
        .map(|host| {
            let mut router = dispatcher(host, 1, 8);
            router.on_backoff(at(0), &BackEndId::from("e0"), BACKOFF);
            (0..8).filter_map(|request| place(&mut router, at(3_000), request)).count()
        })
        .sum();
    assert_eq!(sent, 12);
}

/// A prompt goes to another engine at once while all engines preferred for its prefix back off.
#[test]
fn a_prompt_is_served_while_all_its_preferred_engines_back_off() {
    let mut router = dispatcher(1, 12, 8);
    let mut backing_off = BTreeSet::new();
    for request in 0..11 {
        let placed = place(&mut router, at(100 * request), request).expect("others serve");
        assert!(backing_off.insert(placed.back_end.id.clone()), "{:?} again", placed.back_end.id);
        router.on_backoff(at(100 * request), &placed.back_end.id, Duration::from_secs(60));
        router.on_end(at(100 * request), placed.ticket, Err(Some(Fault::Full)));
    }
}

fn refusal(router: &mut Dispatcher, now: Timestamp, draw: f64) -> Option<Refusal> {
    match router.admit(now, demand(now, Some(prompt(1, 1, 10)), "t"), draw) {
        Admission::Refused(refusal) => Some(refusal),
        Admission::Waiting(ticket) => {
            router.on_end(now, ticket, Err(None));
            None
        }
        Admission::Placed(placement) => panic!("placed: {placement:?}"),
    }
}

/// A request is refused at once if all backoffs last longer than it may wait. `retry_after` covers
/// the shortest backoff and is jittered.
#[test]
fn a_request_is_refused_at_once_while_all_back_ends_back_off() {
    let mut router = after_backoff_of_first(2);
    router.on_backoff(at(0), &BackEndId::from("e1"), BACKOFF * 2);
    let mut delays = BTreeSet::new();
    for draw in [0.0, 0.3, 0.6, 0.99] {
        let refusal = refusal(&mut router, at(1_000), draw).expect("refused");
        assert_eq!(refusal.reason, RefusalReason::BackingOff);
        assert!(refusal.retry_after >= Duration::from_secs(2), "{refusal:?}");
        assert!(refusal.retry_after <= BACKOFF, "{refusal:?}");
        delays.insert(refusal.retry_after);
    }
    assert_eq!(delays.len(), 4);
    // The first backoff ends soon enough for the request to wait.
    assert_eq!(refusal(&mut router, at(2_950), 0.5), None);
}

/// A back end that is full and not in backoff may have a free slot soon.
#[test]
fn a_request_waits_while_one_back_end_is_not_in_backoff() {
    let mut router = after_backoff_of_first(2);
    while place(&mut router, at(1_000), 1).is_some() {}
    let waits = refusal(&mut router, at(1_000), 0.5);
    assert!(waits.is_none_or(|refusal| refusal.reason != RefusalReason::BackingOff));
}

/// Returns the number of routers in a fleet that send no requests to an engine.
fn count_avoiding(fleet: &Fleet, engine: &BackEndId) -> usize {
    let now = fleet.now;
    let routers = fleet.routers.values();
    routers.filter(|router| router.fault_before_send(now, engine).is_some()).count()
}

/// Guards against requests to an engine of which another router knows that it drains. Small fleets
/// announce this to all routers, large ones relay it; one datagram in 19 is lost.
#[test]
fn a_draining_engine_known_to_one_router_is_known_to_all_within_a_second() {
    for size in [2, 7, 62, 120] {
        let mut fleet = Fleet::new(size);
        fleet.rounds(40);
        fleet.drop_every = 19;
        let now = fleet.now;
        let engine = BackEndId::from("e3");
        let first = fleet.routers.get_mut(&address(size / 2)).expect("known");
        assert!(first.on_draining(now, &engine));
        assert!(!first.on_draining(now, &engine));
        fleet.rounds(12);
        assert_eq!(count_avoiding(&fleet, &engine), size);
    }
}

/// An engine asks one router for a backoff; the others go on sending requests.
#[test]
fn a_backoff_is_not_announced_to_other_routers() {
    let mut fleet = Fleet::new(7);
    fleet.rounds(10);
    let now = fleet.now;
    let engine = BackEndId::from("e3");
    let first = fleet.routers.get_mut(&address(1)).expect("known");
    first.on_backoff(now, &engine, Duration::from_secs(60));
    fleet.rounds(12);
    assert_eq!(count_avoiding(&fleet, &engine), 1);
}

#[test]
fn a_backoff_of_zero_is_ignored() {
    let mut router = dispatcher(1, 1, 8);
    assert!(!router.on_backoff(at(0), &BackEndId::from("e0"), Duration::ZERO));
    let placed = (0..4).filter_map(|request| place(&mut router, at(0), request)).count();
    assert_eq!(placed, 4);
}

/// A placement counts the listed engines that were excluded because they drain or back off.
#[test]
fn a_placement_counts_excluded_back_ends() {
    let mut router = after_backoff_of_first(4);
    router.on_draining(at(0), &BackEndId::from("e1"));
    router.on_draining(at(0), &BackEndId::from("e2"));
    let excluded = place(&mut router, at(100), 1).expect("the last one serves").excluded;
    assert_eq!(excluded, ExcludedBackEnds { draining: 2, backing_off: 1 });
    let mut listed = list(2, 4, 8);
    listed.back_ends.remove(1);
    router.on_back_ends(at(3_500), &listed);
    let excluded = place(&mut router, at(3_500), 2).expect("served").excluded;
    assert_eq!(excluded, ExcludedBackEnds { draining: 1, backing_off: 0 });
}
