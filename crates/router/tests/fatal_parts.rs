//! Requests that share one part of their prompts and end each back end that begins to answer them,
//! no two of them alike, at any router of a fleet. Routers must refuse the part and go on serving
//! sound requests that share the other parts.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_routing::BackEndList;
use mastbay_testbed::{Behaviour, Crashes, EndingBackEnds, FatalParts, Framing, PartialEvent};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use support::{Answer, Bed, Request, join_all, run, start_routers, until};

/// Time in which routers may learn of a crash.
const CONTACT: Duration = Duration::from_secs(3);
/// Crash from which on the runs of a part are limited.
const COUNTED_CRASH: usize = 5;
/// Runs of a part that are allowed later than [`CONTACT`] after the counted crash.
const MAX_LATE_RUNS: usize = 3;
/// Crashes that a part causes at most.
const MAX_CRASHES: usize = 8;
/// Fraction of sound requests that must begin at the first attempt, of the fraction before.
const MIN_SERVED: f64 = 0.9;
/// Number of routers.
const ROUTERS: usize = 3;
/// Revision of the first list of back ends, above that of the empty one with which routers start.
const FIRST_REVISION: u64 = 2;
/// Number of callers of sound requests.
const CALLERS: usize = 18;
/// Time between two sound requests of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which only sound requests arrive.
const TIME_BEFORE: Duration = Duration::from_millis(1_500);
/// Time for which fatal requests arrive beside them.
const FATAL_TIME: Duration = Duration::from_millis(11_500);
/// Last period in which sound requests are counted in any case, also soon after a late crash.
const LAST_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a back end is down after a crash.
const DOWN_FOR: Duration = Duration::from_millis(1_500);

const PARTS_HEADER: &str = "mastbay-prompt-parts";
const FIRST: &str = "a1";
const SECOND: &str = "b1";
const FATAL_PARTS: [&str; 2] = ["f1", "f2"];

/// The part of a fatal request's prompt that ends back ends.
#[derive(Clone, Copy, PartialEq)]
enum Position {
    First,
    Second,
    /// The second part, one of two by turns.
    TwoByTurns,
}

#[derive(Clone, Copy)]
struct Scenario {
    position: Position,
    framing: Framing,
    partial_event: PartialEvent,
    back_ends: usize,
    /// Time between two fatal requests.
    interval: Duration,
    /// Whether all fatal requests are the same.
    is_same: bool,
}

const SCENARIO: Scenario = Scenario {
    position: Position::Second,
    framing: Framing::Chunked,
    partial_event: PartialEvent::Nothing,
    back_ends: 12,
    interval: Duration::from_millis(150),
    is_same: false,
};

/// A sound request and when it was sent.
struct SoundCall {
    at: Instant,
    /// Whether its answer began at the first attempt.
    has_begun: bool,
}

/// A fleet of routers before back ends that crash and come back as new incarnations.
struct FatalFleet {
    runtime: Runtime,
    beds: Vec<Bed>,
    back_ends: EndingBackEnds,
    revision: Cell<u64>,
    listed: RefCell<Vec<u32>>,
    sound: RefCell<Vec<SoundCall>>,
    sent: Cell<u64>,
}

/// Returns the list of the incarnations that follow on `restarts` of each back end.
fn list(back_ends: &EndingBackEnds, restarts: &[u32], revision: u64) -> BackEndList {
    let listed = back_ends.addresses.iter().zip(restarts).enumerate();
    let listed = listed.map(|(number, (address, restarts))| {
        support::listed(&format!("b{number}-{restarts}"), *address, "plain")
    });
    BackEndList { revision: revision.into(), back_ends: listed.collect() }
}

impl FatalFleet {
    async fn start(runtime: Runtime, scenario: &Scenario) -> Self {
        let fatal_parts = FatalParts {
            header: PARTS_HEADER,
            ids: &FATAL_PARTS,
            framing: scenario.framing,
            partial_event: scenario.partial_event,
        };
        let behaviour = Behaviour {
            id_header: "mastbay-request-id",
            down_for: DOWN_FOR,
            fatal_parts: Some(fatal_parts),
        };
        let back_ends = EndingBackEnds::start(scenario.back_ends, behaviour);
        let restarts = back_ends.restarts();
        let first = list(&back_ends, &restarts, FIRST_REVISION);
        let fleet = Self {
            runtime,
            beds: start_routers(runtime, ROUTERS, &first).await,
            back_ends,
            revision: Cell::new(FIRST_REVISION),
            listed: RefCell::new(restarts),
            sound: RefCell::default(),
            sent: Cell::new(0),
        };
        until(async || fleet.beds.iter().all(|bed| bed.router.fleet_size() == ROUTERS)).await;
        fleet
    }

    /// Lists the current incarnations at all routers if any back end was restarted.
    fn update_list(&self) {
        let restarts = self.back_ends.restarts();
        if *self.listed.borrow() == restarts {
            return;
        }
        self.revision.set(self.revision.get() + 1);
        let list = list(&self.back_ends, &restarts, self.revision.get());
        for bed in &self.beds {
            bed.router.offer_back_ends(list.clone(), Origin::Source);
        }
        self.listed.replace(restarts);
    }

    fn request(&self, parts: &[&str], own: u64) -> Request {
        let shared: Vec<String> = parts.iter().map(|part| format!("{part}:100")).collect();
        let parts = format!("{},{:x}:50", shared.join(","), 0x1_0000 + own);
        Request::new("/resumable/prompt")
            .with(PARTS_HEADER, &parts)
            .with("mastbay-tokens", "250,20")
            .body(&format!("prompt {own}"))
    }

    /// Sends sound requests until `end`.
    async fn call_sound(&self, caller: usize, end: Instant) {
        let bed = &self.beds[caller % self.beds.len()];
        while Instant::now() < end {
            self.sent.set(self.sent.get() + 1);
            let at = Instant::now();
            let answer = bed.call(&self.request(&[FIRST, SECOND], self.sent.get())).await;
            let has_begun = answer.status == 200 && answer.body.contains("served");
            self.sound.borrow_mut().push(SoundCall { at, has_begun });
            smol::Timer::after(CALL_INTERVAL).await;
        }
    }

    fn fatal_request(&self, scenario: &Scenario, number: usize) -> Request {
        let own = if scenario.is_same { 0 } else { 0x10_0000 + number as u64 };
        match scenario.position {
            Position::First => self.request(&[FATAL_PARTS[0], SECOND], own),
            Position::Second => self.request(&[FIRST, FATAL_PARTS[0]], own),
            Position::TwoByTurns => self.request(&[FIRST, FATAL_PARTS[number % 2]], own),
        }
    }

    /// Sends fatal requests until `end`, without waiting for their answers.
    async fn send_fatal(&self, scenario: &Scenario, begin: Instant, end: Instant) {
        smol::Timer::at(begin).await;
        let mut number = 0;
        while Instant::now() < end {
            let callers = self.beds[number % self.beds.len()].settings.callers;
            let request = self.fatal_request(scenario, number);
            self.runtime
                .spawn(async move {
                    let _: Answer = support::call_at(callers, &request).await;
                })
                .detach();
            number += 1;
            smol::Timer::after(scenario.interval).await;
        }
    }

    async fn keep_listed(&self, end: Instant) {
        while Instant::now() < end {
            self.update_list();
            smol::Timer::after(Duration::from_millis(10)).await;
        }
    }

    /// Returns the fraction of sound requests sent in a period that began at the first attempt.
    fn served(&self, from: Instant, to: Instant) -> f64 {
        let calls = self.sound.borrow();
        let calls: Vec<&SoundCall> =
            calls.iter().filter(|call| call.at >= from && call.at < to).collect();
        assert!(calls.len() >= 20, "{} sound requests", calls.len());
        calls.iter().filter(|call| call.has_begun).count() as f64 / calls.len() as f64
    }
}

/// Returns the number of runs later than allowed after the counted crash.
fn late_runs(crashes: &Crashes) -> usize {
    let Some(counted) = crashes.ends.get(COUNTED_CRASH - 1) else { return 0 };
    crashes.runs.iter().filter(|run| **run > *counted + CONTACT).count()
}

/// Plays a scenario and checks the runs of the fatal parts and the service of sound requests.
fn play(scenario: Scenario) {
    run(async |runtime| {
        let fleet = FatalFleet::start(runtime, &scenario).await;
        let began = Instant::now();
        let fatal_from = began + TIME_BEFORE;
        let end = fatal_from + FATAL_TIME;
        let sound = join_all((0..CALLERS).map(|caller| fleet.call_sound(caller, end)));
        let fatal = fleet.send_fatal(&scenario, fatal_from, end);
        smol::future::zip(smol::future::zip(sound, fatal), fleet.keep_listed(end)).await;
        let record = fleet.back_ends.crash_record();
        let before = fleet.served(began, fatal_from);
        let mut settled = fatal_from;
        for part in FATAL_PARTS {
            let crashes = record.of(part);
            let (ends, late) = (crashes.ends.len(), late_runs(&crashes));
            println!("{part}: {} runs, {ends} ends, {late} late runs", crashes.runs.len());
            let counted = crashes.ends.iter().take(COUNTED_CRASH).next_back();
            settled = settled.max(counted.map_or(settled, |crash| *crash + 2 * CONTACT));
        }
        let after = fleet.served(settled.min(end - LAST_PERIOD), end);
        println!("sound requests served: {before:.2} before, {after:.2} then");
        for part in FATAL_PARTS {
            let crashes = record.of(part);
            assert!(late_runs(&crashes) <= MAX_LATE_RUNS, "{part}: {} late", late_runs(&crashes));
            assert!(crashes.ends.len() <= MAX_CRASHES, "{part}: {} ends", crashes.ends.len());
        }
        assert!(after >= MIN_SERVED * before, "served {after:.2}, before {before:.2}");
    });
}

/// Guards against counting crashes for whole requests only, where those that share a part are never
/// alike.
#[test]
fn requests_that_share_a_fatal_second_part_stop_crashing_back_ends() {
    play(SCENARIO);
}

/// Guards against refusing sound requests that share all but the fatal first part.
#[test]
fn requests_that_share_a_fatal_first_part_stop_crashing_back_ends() {
    play(Scenario { position: Position::First, ..SCENARIO });
}

/// Guards against mixing up two fatal parts that crash the same back ends.
#[test]
fn two_fatal_parts_by_turns_stop_crashing_back_ends() {
    play(Scenario { position: Position::TwoByTurns, ..SCENARIO });
}

/// Guards against taking the end of a crashed back end's connection for the end of its answer.
#[test]
fn crashes_before_the_first_event_of_unmarked_streams_are_counted() {
    play(Scenario { framing: Framing::Unmarked, ..SCENARIO });
}

/// Guards against clearing sound parts only by answers whose ends are marked.
#[test]
fn crashes_inside_an_event_of_unmarked_streams_are_counted() {
    let partial_event = PartialEvent::Beginning;
    play(Scenario { framing: Framing::Unmarked, partial_event, ..SCENARIO });
}

/// Guards against missing the crashes of a single request whose answers are unmarked.
#[test]
fn one_fatal_request_with_unmarked_streams_stops_crashing_back_ends() {
    play(Scenario { framing: Framing::Unmarked, is_same: true, ..SCENARIO });
}

/// Guards against losing sound requests where few back ends are left to bear them.
#[test]
fn a_fatal_part_before_five_back_ends_stops_crashing_them() {
    let interval = Duration::from_millis(300);
    play(Scenario { back_ends: 5, interval, ..SCENARIO });
}

/// Guards against sending each rare request to a second back end before it is known that the first
/// one crashed.
#[test]
fn rare_requests_that_share_a_fatal_part_stop_crashing_back_ends() {
    play(Scenario { interval: Duration::from_millis(700), ..SCENARIO });
}

/// Guards against refusing popular parts after crashes of all back ends that no part caused.
#[test]
fn sound_parts_are_served_after_all_back_ends_crash_at_once() {
    run(async |runtime| {
        let fleet = FatalFleet::start(runtime, &SCENARIO).await;
        let began = Instant::now();
        let first_crash = began + TIME_BEFORE;
        let last_crash = first_crash + 2 * Duration::from_secs(4);
        let end = last_crash + DOWN_FOR + CONTACT;
        let sound = join_all((0..CALLERS).map(|caller| fleet.call_sound(caller, end)));
        let crashes = async {
            for number in 0..3 {
                smol::Timer::at(first_crash + number * Duration::from_secs(4)).await;
                fleet.back_ends.end_all();
            }
        };
        smol::future::zip(smol::future::zip(sound, crashes), fleet.keep_listed(end)).await;
        let before = fleet.served(began, first_crash);
        let after = fleet.served(last_crash + DOWN_FOR + Duration::from_secs(1), end);
        println!("sound requests served: {before:.2} before, {after:.2} afterwards");
        assert!(after >= MIN_SERVED * before, "served {after:.2}, before {before:.2}");
    });
}
