//! Back ends announce in their answers that they drain or ask for a backoff. A router must act on
//! that at once, also while the source of back ends is unavailable.

mod support;

use mastbay_router::Runtime;
use std::time::{Duration, Instant};
use support::{Answer, Bed, Request, ScriptedBackEnd, Step, answer, run};

/// Requests sent after a back end announced that it drains.
const REQUESTS: usize = 60;

/// Writes a complete answer that announces draining.
fn draining_answer() -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\nmastbay-request-id: ID\r\nmastbay-draining: 1";
    vec![Step::Write(format!("{head}\r\ncontent-length: 5\r\n\r\nhello"))]
}

/// Backoff that rejecting back ends ask for.
const BACKOFF: Duration = Duration::from_secs(2);
/// Requests of one router that may reach a back end during its backoff, since they were under way.
const MAX_IN_BACKOFF: usize = 2;

/// Rejects the request and asks for a backoff; `outcome` is an optional header line with the
/// outcome.
fn backoff_rejection(outcome: &str) -> Vec<Step> {
    let seconds = BACKOFF.as_secs();
    let head = format!(
        "HTTP/1.1 503 Full\r\nmastbay-request-id: ID\r\nretry-after: {seconds}\r\n{outcome}"
    );
    vec![Step::Write(format!("{head}content-length: 0\r\n\r\n"))]
}

const NOT_RUN: &str = "mastbay-outcome: not-run\r\n";

/// Sends calls one after the other until shortly before a backoff that starts now ends.
async fn call_through_backoff(bed: &Bed) -> Vec<Answer> {
    let until = Instant::now() + BACKOFF.mul_f64(0.9);
    let mut answers = Vec::new();
    while Instant::now() < until {
        answers.push(bed.call(&Request::new("/safe/x")).await);
    }
    answers
}

/// Starts a router with two back ends, of which the first plays `first` for each request.
async fn start_with_two_back_ends(
    runtime: Runtime,
    first: Vec<Step>,
) -> (Bed, [ScriptedBackEnd; 2]) {
    let first = ScriptedBackEnd::start(runtime, "b1", vec![first]).await;
    let second = ScriptedBackEnd::start(runtime, "b2", vec![answer("hello")]).await;
    let bed = Bed::start(runtime, &[&first, &second]).await;
    (bed, [first, second])
}

/// Sends calls until the back end has received a request.
async fn call_until_reached(bed: &Bed, back_end: &ScriptedBackEnd) {
    while back_end.arrivals() == 0 {
        bed.call(&Request::new("/safe/x")).await;
    }
}

#[test]
fn a_back_end_that_announces_draining_gets_no_more_requests() {
    run(async |runtime| {
        let (bed, [draining, other]) = start_with_two_back_ends(runtime, draining_answer()).await;
        call_until_reached(&bed, &draining).await;
        for revision in 2..4 {
            for _ in 0..REQUESTS / 2 {
                assert_eq!(bed.call(&Request::new("/safe/x")).await.status, 200);
            }
            // A list from before the back end reported to its source still has it as ready.
            bed.set_back_ends(revision, &[&draining, &other]);
        }
        assert_eq!(draining.arrivals(), 1);
        assert!(other.arrivals() >= REQUESTS);
    });
}

/// An answer with the id of another request is not evidence about the back end that sent it.
#[test]
fn an_answer_to_another_request_does_not_drain_a_back_end() {
    run(async |runtime| {
        let foreign = "HTTP/1.1 200 OK\r\nmastbay-request-id: other\r\nmastbay-draining: 1";
        let steps = vec![Step::Write(format!("{foreign}\r\ncontent-length: 0\r\n\r\n"))];
        let back_end = ScriptedBackEnd::start(runtime, "b1", vec![steps, answer("hello")]).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        bed.call(&Request::new("/unsafe/x")).await;
        assert_eq!(bed.call(&Request::new("/unsafe/x")).await.status, 200);
        assert_eq!(back_end.arrivals(), 2);
    });
}

#[test]
fn a_back_end_that_asks_for_a_backoff_gets_no_requests() {
    for outcome in [NOT_RUN, ""] {
        run(async |runtime| {
            let (bed, [full, _]) =
                start_with_two_back_ends(runtime, backoff_rejection(outcome)).await;
            call_until_reached(&bed, &full).await;
            let answers = call_through_backoff(&bed).await;
            assert!(answers.iter().all(|answer| answer.status == 200));
            let further = full.arrivals() - 1;
            assert!(further <= MAX_IN_BACKOFF, "{further} of {}, {outcome:?}", answers.len());
        });
    }
}

/// When all back ends of a service are in a backoff, callers get the time until the first backoff
/// ends, also the caller whose request was rejected.
#[test]
fn a_caller_gets_retry_after_when_all_back_ends_are_in_a_backoff() {
    run(async |runtime| {
        let rejection = || vec![backoff_rejection(NOT_RUN)];
        let first = ScriptedBackEnd::start(runtime, "b1", rejection()).await;
        let second = ScriptedBackEnd::start(runtime, "b2", rejection()).await;
        let third = ScriptedBackEnd::start(runtime, "b3", rejection()).await;
        let bed = Bed::start(runtime, &[&first, &second, &third]).await;
        let mut answers = vec![bed.call(&Request::new("/safe/x")).await];
        let rejected_at = Instant::now();
        answers.push(bed.call(&Request::new("/safe/x")).await);
        let left = BACKOFF.saturating_sub(rejected_at.elapsed()).as_secs_f64();
        assert_eq!(first.arrivals() + second.arrivals() + third.arrivals(), 3);
        for answer in answers {
            assert_eq!(answer.header("mastbay-outcome").as_deref(), Some("not-run"));
            let retry_after = answer
                .header("retry-after")
                .and_then(|retry_after| retry_after.parse::<f64>().ok());
            assert!(
                retry_after.is_some_and(|retry_after| retry_after >= left),
                "{retry_after:?} of {left}"
            );
        }
    });
}
