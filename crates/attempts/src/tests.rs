use crate::{
    Exchange, Failure, NotRunReason, Outcome, RequestPolicy, RetryBudget, Stage, Step,
    UnknownReason,
};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;

const DEADLINE: Timestamp = Timestamp::from_millis(1_000);

fn exchange(repeatable: bool, claim: bool) -> Exchange {
    Exchange::new(RequestPolicy {
        repeatable,
        claim,
        claim_required: true,
        deadline: DEADLINE,
        max_attempts: 3,
    })
}

fn sent(repeatable: bool) -> Exchange {
    let mut exchange = exchange(repeatable, false);
    exchange.start();
    exchange.granted();
    assert!(exchange.may_send(Timestamp::ZERO));
    exchange
}

#[test]
fn a_request_that_is_not_repeatable_is_not_sent_twice() {
    let mut exchange = sent(false);
    let step = exchange.failed(Timestamp::ZERO, Failure::Broken, &mut RetryBudget::default());
    assert_eq!(step, Step::Finish(Outcome::Unknown(UnknownReason::BackendFailed)));
    assert!(!exchange.may_send(Timestamp::ZERO));
}

#[test]
fn a_repeatable_request_is_retried_up_to_the_maximum() {
    let mut exchange = sent(true);
    let budget = &mut RetryBudget::default();
    for _ in 0..2 {
        assert_eq!(exchange.failed(Timestamp::ZERO, Failure::Broken, budget), Step::Queue);
        exchange.granted();
        assert!(exchange.may_send(Timestamp::ZERO));
    }
    let step = exchange.failed(Timestamp::ZERO, Failure::Broken, budget);
    assert_eq!(step, Step::Finish(Outcome::Unknown(UnknownReason::BackendFailed)));
}

#[test]
fn a_retried_request_that_then_fails_to_connect_is_still_unknown() {
    let mut exchange = sent(true);
    let budget = &mut RetryBudget::default();
    exchange.failed(Timestamp::ZERO, Failure::Broken, budget);
    exchange.granted();
    let step = exchange.failed(DEADLINE, Failure::Connect, budget);
    assert_eq!(step, Step::Finish(Outcome::Unknown(UnknownReason::BackendFailed)));
}

#[test]
fn a_request_of_which_no_byte_was_written_is_retried() {
    let mut exchange = sent(false);
    exchange.nothing_written();
    let budget = &mut RetryBudget::default();
    assert_eq!(exchange.failed(Timestamp::ZERO, Failure::Broken, budget), Step::Queue);
}

#[test]
fn a_resumed_process_does_not_send_after_the_deadline() {
    let mut exchange = exchange(false, false);
    exchange.start();
    exchange.granted();
    assert!(!exchange.may_send(DEADLINE));
    let step = exchange.failed(DEADLINE, Failure::Deadline, &mut RetryBudget::default());
    assert_eq!(step, Step::Finish(Outcome::NotRun(NotRunReason::DeadlinePassed)));
}

#[test]
fn without_its_claim_a_request_does_not_run() {
    let mut exchange = exchange(false, true);
    assert_eq!(exchange.start(), Step::TakeClaim);
    let step = exchange.claim_unavailable();
    assert_eq!(step, Step::Finish(Outcome::NotRun(NotRunReason::ClaimsUnavailable)));
    assert!(exchange.claimed(), "the write may still take effect, so the claim must be released");
}

#[test]
fn a_request_with_a_partial_answer_is_not_retried() {
    let mut exchange = sent(true);
    exchange.answer_begun();
    let step = exchange.failed(Timestamp::ZERO, Failure::Broken, &mut RetryBudget::default());
    assert_eq!(step, Step::Finish(Outcome::Unknown(UnknownReason::BackendFailed)));
}

#[test]
fn retries_are_limited_to_a_tenth_of_requests() {
    let mut budget = RetryBudget::default();
    let retries = (0..10_000)
        .filter(|_| {
            budget.record_request();
            budget.take_retry()
        })
        .count();
    assert!((1_000..=1_010).contains(&retries), "{retries}");
}

quickcheck! {
    /// For any sequence of events, a request is sent at most once unless it is repeatable, and "not
    /// run" is only reported if nothing was sent.
    fn not_run_is_never_wrong_and_requests_are_sent_at_most_once(events: Vec<u8>, repeatable: bool) -> bool {
        let mut exchange = exchange(repeatable, false);
        let mut budget = RetryBudget::default();
        let mut sent_count = 0;
        let mut step = exchange.start();
        for event in events {
            let now = Timestamp::from_millis(u64::from(event));
            step = match event % 6 {
                0 if exchange.stage() == Stage::Queued => exchange.granted(),
                1 => {
                    sent_count += u32::from(exchange.may_send(now));
                    step
                }
                2 if exchange.stage() == Stage::Sent => {
                    exchange.answer_begun();
                    step
                }
                3 if exchange.stage() != Stage::Over => {
                    exchange.failed(now, Failure::Broken, &mut budget)
                }
                4 if exchange.stage() != Stage::Over => {
                    exchange.failed(now, Failure::Connect, &mut budget)
                }
                _ => step,
            };
        }
        let reported_not_run = matches!(step, Step::Finish(Outcome::NotRun(_)));
        (repeatable || sent_count <= 1) && !(reported_not_run && sent_count > 0)
    }
}
