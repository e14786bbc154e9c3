//! What back ends say of themselves in their answers binds every choice, whatever else is told of them.

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
const LIVES: u8 = 3;
/// Time between two events.
const STEP: Duration = Duration::from_millis(700);

/// Something that a router hears, in any order.
#[derive(Debug, Clone)]
enum Heard {
    /// A list of the source: a life for each name that it holds, and whether it is ready. `later` begins an era.
    List { entries: Vec<(u8, u8, bool)>, is_later_era: bool, is_recovering: bool },
    /// A life says that it ends soon, in an answer or, if its name is odd, by another router.
    Draining { name: u8, incarnation: u8 },
    /// A life turns a request away and wants no more for some tenths of a second.
    Backoff { name: u8, incarnation: u8, tenths: u8 },
    /// The zone of all back ends is evacuated, or no longer.
    Evacuation { is_evacuated: bool },
    /// Time passes.
    Silence,
}

impl Arbitrary for Heard {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 9 {
            0..=3 => Heard::List {
                entries: Vec::arbitrary(random),
                is_later_era: u8::arbitrary(random).is_multiple_of(4),
                is_recovering: bool::arbitrary(random),
            },
            4 | 5 => {
                Heard::Draining { name: u8::arbitrary(random), incarnation: u8::arbitrary(random) }
            }
            6 => Heard::Backoff {
                name: u8::arbitrary(random),
                incarnation: u8::arbitrary(random),
                tenths: u8::arbitrary(random) % 40,
            },
            7 => Heard::Evacuation { is_evacuated: bool::arbitrary(random) },
            _ => Heard::Silence,
        }
    }
}

fn id(name: u8, incarnation: u8) -> BackEndId {
    BackEndId::new(NAMES[usize::from(name) % NAMES.len()], 1 + u64::from(incarnation % LIVES))
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

    fn hear(&mut self, now: Timestamp, heard: &Heard) {
        let expired = self.directory.expire(now);
        self.take(now, expired);
        match heard {
            Heard::List { entries, is_later_era, is_recovering } => {
                let era = self.revision.era + u64::from(*is_later_era);
                self.revision = Revision::new(era, self.revision.number + 1);
                let back_ends = entries.iter().map(|(name, incarnation, is_ready)| BackEnd {
                    id: id(*name, *incarnation),
                    state: if *is_ready { BackEndState::Ready } else { BackEndState::Draining },
                    ..back_end("", PLAIN, 8)
                });
                let list = BackEndList { revision: self.revision, back_ends: back_ends.collect() };
                let changes = self.directory.apply(now, *is_recovering, list.into());
                self.take(now, changes);
            }
            Heard::Draining { name, incarnation } if name % 2 == 0 => {
                self.dispatcher.on_draining(now, &id(*name, *incarnation));
            }
            Heard::Draining { name, incarnation } => {
                self.dispatcher.on_draining_reported(now, &id(*name, *incarnation));
            }
            Heard::Backoff { name, incarnation, tenths } => {
                let backoff = Duration::from_millis(u64::from(*tenths) * 100);
                self.dispatcher.on_backoff(now, &id(*name, *incarnation), backoff);
            }
            Heard::Evacuation { is_evacuated } => {
                let zones = if *is_evacuated { vec!["a".to_owned()] } else { Vec::new() };
                let revision = self.revision;
                let zones = EvacuatedZones { revision, zones: zones.into_iter().collect() };
                self.dispatcher.on_evacuations(&zones);
            }
            Heard::Silence => {}
        }
    }

    fn take(&mut self, now: Timestamp, changes: Option<UsableChanges>) {
        if let Some(changes) = changes {
            self.dispatcher.on_back_end_changes(now, &changes);
        }
    }

    /// Where so many requests would go now.
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
    /// No list, lapsed and listed entry, restored source or evacuation shortens a backoff.
    fn a_life_that_wants_no_requests_is_not_chosen(heard: Vec<Heard>) -> TestResult {
        let mut router = Router::new();
        let mut until = BTreeMap::new();
        let mut now = at(0);
        for one in &heard {
            now = now + STEP;
            router.hear(now, one);
            if let Heard::Backoff { name, incarnation, tenths } = one {
                let over = now + Duration::from_millis(u64::from(*tenths) * 100);
                let known = until.entry(id(*name, *incarnation)).or_insert(over);
                *known = over.max(*known);
            }
            let chosen = router.choices(now, 6);
            let is_early = |id: &BackEndId| until.get(id).is_some_and(|until| now < *until);
            if chosen.iter().any(is_early) {
                return TestResult::error(format!("{chosen:?} at {now:?} of {until:?}"));
            }
        }
        TestResult::passed()
    }

    /// No list, lapsed and listed entry, restored source or evacuation brings a life back into use that said that it ends.
    fn a_life_that_said_it_drains_is_never_chosen_again(heard: Vec<Heard>) -> TestResult {
        let mut router = Router::new();
        let mut said = BTreeSet::new();
        let mut now = at(0);
        for one in &heard {
            now = now + STEP;
            router.hear(now, one);
            if let Heard::Draining { name, incarnation } = one {
                said.insert(id(*name, *incarnation));
            }
            let chosen = router.choices(now, 6);
            if chosen.iter().any(|id| said.contains(id)) {
                return TestResult::error(format!("{chosen:?} after {said:?} said that they end"));
            }
        }
        TestResult::passed()
    }
}

/// A life that said that it ends does not speak for the next one under its name.
#[test]
fn a_later_life_takes_work() {
    let mut router = Router::new();
    let list = |incarnation| Heard::List {
        entries: vec![(0, incarnation, true)],
        is_later_era: false,
        is_recovering: false,
    };
    router.hear(at(0), &list(0));
    router.hear(at(100), &Heard::Draining { name: 0, incarnation: 0 });
    assert!(router.choices(at(200), 1).is_empty());
    router.hear(at(300), &list(1));
    assert_eq!(router.choices(at(400), 1), [id(0, 1)]);
}

/// The time that a back end asked for.
const BACKOFF: Duration = Duration::from_secs(3);

/// A router before engines that hold a prompt, of which the first asks for a backoff.
fn after_backoff_of_first(engines: usize) -> Dispatcher {
    let mut router = dispatcher(1, engines, 8);
    assert!(router.on_backoff(at(0), &BackEndId::from("e0"), BACKOFF));
    router
}

fn place(router: &mut Dispatcher, now: Timestamp, own: u64) -> Option<Placement> {
    match router.admit(now, demand(now, Some(prompt(1, own, 10)), "t"), 0.5) {
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
    let served = (6..12).filter_map(|own| place(&mut router, at(3_251), own)).count();
    assert_eq!(served, 6);
}

#[test]
fn a_request_without_an_answer_holds_the_others_up_for_a_second() {
    let mut router = after_backoff_of_first(1);
    assert!(place(&mut router, at(3_000), 1).is_some());
    assert!(place(&mut router, at(3_999), 2).is_none());
    assert!(place(&mut router, at(4_000), 3).is_some());
}

/// What was answered had been sent before the back end asked for the time.
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

/// Twelve routers were all told the same second by one engine, and have callers that wait.
#[test]
fn routers_do_not_rush_to_an_engine_after_its_backoff() {
    let sent: usize = (1..=12)
        .map(|host| {
            let mut router = dispatcher(host, 1, 8);
            router.on_backoff(at(0), &BackEndId::from("e0"), BACKOFF);
            (0..8).filter_map(|own| place(&mut router, at(3_000), own)).count()
        })
        .sum();
    assert_eq!(sent, 12);
}

/// The engines that come first for a prompt's prefix all want none: it is read again elsewhere, at once.
#[test]
fn a_prompt_is_served_where_none_of_its_preferred_engines_wants_requests() {
    let mut router = dispatcher(1, 12, 8);
    let mut asked = BTreeSet::new();
    for own in 0..11 {
        let placed = place(&mut router, at(100 * own), own).expect("others serve");
        assert!(asked.insert(placed.back_end.id.clone()), "{:?} again", placed.back_end.id);
        router.on_backoff(at(100 * own), &placed.back_end.id, Duration::from_secs(60));
        router.on_end(at(100 * own), placed.ticket, Err(Some(Fault::Full)));
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

/// All want no requests for longer than one may wait: it is refused at once, and told when the first of them takes requests again, some
/// callers a little later than others.
#[test]
fn a_request_that_none_takes_in_time_is_refused_at_once() {
    let mut router = after_backoff_of_first(2);
    router.on_backoff(at(0), &BackEndId::from("e1"), BACKOFF * 2);
    let mut told = BTreeSet::new();
    for draw in [0.0, 0.3, 0.6, 0.99] {
        let refusal = refusal(&mut router, at(1_000), draw).expect("refused");
        assert_eq!(refusal.reason, RefusalReason::BackingOff);
        assert!(refusal.retry_after >= Duration::from_secs(2), "{refusal:?}");
        assert!(refusal.retry_after <= BACKOFF, "{refusal:?}");
        told.insert(refusal.retry_after);
    }
    assert_eq!(told.len(), 4);
    // A tenth of a second before the first is back, it is worth the wait.
    assert_eq!(refusal(&mut router, at(2_950), 0.5), None);
}

/// One that takes requests and has no room now may have some soon.
#[test]
fn a_request_waits_where_one_back_end_takes_requests() {
    let mut router = after_backoff_of_first(2);
    while place(&mut router, at(1_000), 1).is_some() {}
    let waits = refusal(&mut router, at(1_000), 0.5);
    assert!(waits.is_none_or(|refusal| refusal.reason != RefusalReason::BackingOff));
}

/// Routers of a fleet that leave an engine alone.
fn leave_alone(fleet: &Fleet, engine: &BackEndId) -> usize {
    let now = fleet.now;
    let routers = fleet.routers.values();
    routers.filter(|router| router.fault_before_send(now, engine).is_some()).count()
}

/// One router's answer says that the engine ends; the others are spared requests that would break with it. Small fleets tell all, large
/// ones a few that tell on; one datagram in 19 is lost.
#[test]
fn what_one_router_hears_of_an_engine_that_drains_all_know_within_a_second() {
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
        assert_eq!(leave_alone(&fleet, &engine), size);
    }
}

/// That an engine wants no requests for a while is asked of one router alone.
#[test]
fn a_backoff_is_not_told() {
    let mut fleet = Fleet::new(7);
    fleet.rounds(10);
    let now = fleet.now;
    let engine = BackEndId::from("e3");
    let first = fleet.routers.get_mut(&address(1)).expect("known");
    first.on_backoff(now, &engine, Duration::from_secs(60));
    fleet.rounds(12);
    assert_eq!(leave_alone(&fleet, &engine), 1);
}

#[test]
fn a_backoff_of_no_time_is_none() {
    let mut router = dispatcher(1, 1, 8);
    assert!(!router.on_backoff(at(0), &BackEndId::from("e0"), Duration::ZERO));
    let placed = (0..4).filter_map(|own| place(&mut router, at(0), own)).count();
    assert_eq!(placed, 4);
}

/// A choice tells how many engines it left out for what they said, as long as they are listed and it lasts.
#[test]
fn a_choice_tells_what_it_left_out() {
    let mut router = after_backoff_of_first(4);
    router.on_draining(at(0), &BackEndId::from("e1"));
    router.on_draining(at(0), &BackEndId::from("e2"));
    let left_out = place(&mut router, at(100), 1).expect("the last one serves").excluded;
    assert_eq!(left_out, ExcludedBackEnds { draining: 2, backing_off: 1 });
    let mut listed = list(2, 4, 8);
    listed.back_ends.remove(1);
    router.on_back_ends(at(3_500), &listed);
    let left_out = place(&mut router, at(3_500), 2).expect("served").excluded;
    assert_eq!(left_out, ExcludedBackEnds { draining: 1, backing_off: 0 });
}
