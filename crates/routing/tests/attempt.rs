//! What may be sent again and what a caller may be told, over any order of events.

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

/// Plays events that can follow each other, and counts the runs that a back end may have begun.
fn play(attempt: &mut Attempt, events: &[Event]) -> u32 {
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
    fn a_request_that_may_not_be_repeated_runs_once(events: Vec<Event>, most: u32) -> bool {
        play(&mut Attempt::new(false, most % 5), &events) <= 1
    }

    fn runs_stay_within_the_most_sends(events: Vec<Event>, most: u32) -> bool {
        play(&mut Attempt::new(true, most % 5), &events) <= (most % 5).max(1)
    }

    fn not_run_is_told_only_of_what_no_back_end_can_have_run(
        events: Vec<Event>, idempotent: bool, most: u32
    ) -> bool {
        let mut attempt = Attempt::new(idempotent, most % 5);
        let runs = play(&mut attempt, &events);
        let may_be_running = attempt.state() == AttemptState::Sent;
        attempt.execution_status() != ExecutionStatus::NotRun || (runs == 0 && !may_be_running)
    }
}

#[test]
fn a_request_that_nobody_ran_may_go_to_another_back_end() {
    let mut attempt = Attempt::new(false, 1);
    attempt.on_send();
    attempt.on_not_run();
    assert!(attempt.may_send());
    assert_eq!(attempt.execution_status(), ExecutionStatus::NotRun);
}

#[test]
fn the_word_of_one_back_end_says_nothing_of_another() {
    let mut attempt = Attempt::new(true, 3);
    attempt.on_send();
    attempt.on_lost();
    attempt.on_send();
    attempt.on_not_run();
    assert_eq!(attempt.execution_status(), ExecutionStatus::MayHaveRun);
}

#[test]
fn a_request_that_failed_at_one_back_end_has_run_whatever_the_next_says() {
    let mut attempt = Attempt::new(true, 2);
    attempt.on_send();
    attempt.on_answer();
    attempt.on_send();
    attempt.on_not_run();
    assert_eq!(attempt.execution_status(), ExecutionStatus::MayHaveRun);
}
