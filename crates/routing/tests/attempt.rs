//! Retries and the reported execution status of an attempt, over any order of events.

use mastbay_routing::{Attempt, AttemptState, ExecutionStatus};
use quickcheck::{Arbitrary, Gen, quickcheck};

#[derive(Debug, Clone, Copy)]
enum Event {
    Send,
    NothingWritten,
    NotRun,
    Answer,
    Lost,
}

impl Arbitrary for Event {
    fn arbitrary(generator: &mut Gen) -> Self {
        let events =
            [Event::Send, Event::NothingWritten, Event::NotRun, Event::Answer, Event::Lost];
        *generator.choose(&events).expect("not empty")
    }
}

/// Applies the events that are valid in their order. Returns how many runs back ends may have
/// started.
fn apply(attempt: &mut Attempt, events: &[Event]) -> u32 {
    let mut runs = 0;
    for event in events {
        let is_sent = attempt.state() == AttemptState::Sent;
        match event {
            Event::Send if attempt.may_send() => attempt.on_send(),
            Event::NothingWritten if is_sent => attempt.on_nothing_written(),
            Event::NotRun if is_sent => attempt.on_not_run(),
            Event::Answer if is_sent => {
                attempt.on_answer();
                runs += 1;
            }
            Event::Lost if is_sent => {
                attempt.on_lost();
                runs += 1;
            }
            _ => {}
        }
    }
    runs
}

quickcheck! {
    fn a_request_that_may_not_be_repeated_runs_once(events: Vec<Event>, max_sends: u32) -> bool {
        apply(&mut Attempt::new(false, max_sends % 5), &events) <= 1
    }

    fn runs_stay_within_the_maximum_of_sends(events: Vec<Event>, max_sends: u32) -> bool {
        apply(&mut Attempt::new(true, max_sends % 5), &events) <= (max_sends % 5).max(1)
    }

    fn not_run_is_reported_only_if_no_back_end_can_have_run_the_request(
        events: Vec<Event>, idempotent: bool, max_sends: u32
    ) -> bool {
        let mut attempt = Attempt::new(idempotent, max_sends % 5);
        let runs = apply(&mut attempt, &events);
        let may_be_running = attempt.state() == AttemptState::Sent;
        attempt.execution_status() != ExecutionStatus::NotRun || (runs == 0 && !may_be_running)
    }
}

#[test]
fn a_request_that_was_not_run_may_go_to_another_back_end() {
    let mut attempt = Attempt::new(false, 1);
    attempt.on_send();
    attempt.on_not_run();
    assert!(attempt.may_send());
    assert_eq!(attempt.execution_status(), ExecutionStatus::NotRun);
}

#[test]
fn not_run_at_one_back_end_does_not_cover_an_earlier_lost_send() {
    let mut attempt = Attempt::new(true, 3);
    attempt.on_send();
    attempt.on_lost();
    attempt.on_send();
    attempt.on_not_run();
    assert_eq!(attempt.execution_status(), ExecutionStatus::MayHaveRun);
}

#[test]
fn a_request_answered_by_one_back_end_may_have_run_even_if_the_next_did_not_run_it() {
    let mut attempt = Attempt::new(true, 2);
    attempt.on_send();
    attempt.on_answer();
    attempt.on_send();
    attempt.on_not_run();
    assert_eq!(attempt.execution_status(), ExecutionStatus::MayHaveRun);
}
