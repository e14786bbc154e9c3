//! A back end said in its answers that it ends soon, while the source of back ends was silent. The router passed these answers on and went
//! on sending: it knew of back ends that leave from its source and its peers alone, and nothing read what an answer says of its back end.
//! Seven routers lost their source between 6.8 and 8.4 s:
//!
//!     event=dependency name=store/servers available=false detail=timed_out
//!
//! From 7.5 s on the back end's answers said that it ends; from 8 to 19 s it got 119 requests, 5 to 14 a second, as many as before, and no
//! router logged a `back_ends_known`. With a line for what the answer says, the line stands there and the requests go on after it, so it
//! was not read, rather than read too late.

//!
//! Four of twelve back ends turned everything away and asked for 3 s without requests, again and again, for nine seconds. In the first four
//! of these they got 939 requests and turned all away; callers whose request had met three of them were told 503 while eight others
//! served. Any refusal paused a back end for the same 50 ms: between two refusals of one back end to one router lay 88 ms in the median,
//! and up to 23 requests of one router reached one back end within its 3 s:
//!
//!     event=try_failed back_end=i-b70e1370f5 fault=Full reason=not_run running=18

mod support;

use mastbay_router::Runtime;
use std::time::{Duration, Instant};
use support::{Answer, Bed, Request, ScriptedBackEnd, Step, answer, run};

/// Requests sent after a back end said something of itself.
const REQUESTS: usize = 60;

/// A whole answer of a back end that ends soon.
fn draining_answer() -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\nmastbay-request-id: ID\r\nmastbay-draining: 1";
    vec![Step::Write(format!("{head}\r\ncontent-length: 5\r\n\r\nhello"))]
}

/// Time for which back ends that turn requests away want no more.
const BACKOFF: Duration = Duration::from_secs(2);
/// Requests of one router that may reach a back end in that time: what was under way when it said so.
const MOST_IN_BACKOFF: usize = 2;

/// A refusal that asks for a backoff. With `outcome`, it says what became of the request.
fn backoff_refusal(outcome: &str) -> Vec<Step> {
    let seconds = BACKOFF.as_secs();
    let head = format!(
        "HTTP/1.1 503 Full\r\nmastbay-request-id: ID\r\nretry-after: {seconds}\r\n{outcome}"
    );
    vec![Step::Write(format!("{head}content-length: 0\r\n\r\n"))]
}

const NOT_RUN: &str = "mastbay-outcome: not-run\r\n";

/// Calls one after the other until shortly before a backoff that begins now is over.
async fn call_through_backoff(bed: &Bed) -> Vec<Answer> {
    let until = Instant::now() + BACKOFF.mul_f64(0.9);
    let mut answers = Vec::new();
    while Instant::now() < until {
        answers.push(bed.call(&Request::new("/safe/x")).await);
    }
    answers
}

/// Two back ends, of which the first answers so.
async fn beside_another(runtime: Runtime, first: Vec<Step>) -> (Bed, [ScriptedBackEnd; 2]) {
    let first = ScriptedBackEnd::start(runtime, "b1", vec![first]).await;
    let second = ScriptedBackEnd::start(runtime, "b2", vec![answer("hello")]).await;
    let bed = Bed::start(runtime, &[&first, &second]).await;
    (bed, [first, second])
}

/// Calls until a back end has had a request.
async fn call_until_reached(bed: &Bed, back_end: &ScriptedBackEnd) {
    while back_end.arrivals() == 0 {
        bed.call(&Request::new("/safe/x")).await;
    }
}

#[test]
fn a_back_end_that_says_it_drains_gets_nothing_more() {
    run(async |runtime| {
        let (bed, [draining, other]) = beside_another(runtime, draining_answer()).await;
        call_until_reached(&bed, &draining).await;
        for revision in 2..4 {
            for _ in 0..REQUESTS / 2 {
                assert_eq!(bed.call(&Request::new("/safe/x")).await.status, 200);
            }
            // A list made before it told its source names it as ready.
            bed.list(revision, &[&draining, &other]);
        }
        assert_eq!(draining.arrivals(), 1);
        assert!(other.arrivals() >= REQUESTS);
    });
}

/// What stands in an answer to another request says nothing of the back end that was asked.
#[test]
fn an_answer_to_another_request_takes_no_back_end_out_of_use() {
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
fn a_back_end_that_asks_for_a_backoff_is_left_alone() {
    for outcome in [NOT_RUN, ""] {
        run(async |runtime| {
            let (bed, [full, _]) = beside_another(runtime, backoff_refusal(outcome)).await;
            call_until_reached(&bed, &full).await;
            let answers = call_through_backoff(&bed).await;
            assert!(answers.iter().all(|answer| answer.status == 200));
            let further = full.arrivals() - 1;
            assert!(further <= MOST_IN_BACKOFF, "{further} of {}, {outcome:?}", answers.len());
        });
    }
}

/// Where all that may serve a request want none, its caller is told when the first of them takes requests again, also the one whose request
/// met the refusal.
#[test]
fn a_caller_whom_nobody_may_serve_is_told_when_to_come_back() {
    run(async |runtime| {
        let refusal = || vec![backoff_refusal(NOT_RUN)];
        let first = ScriptedBackEnd::start(runtime, "b1", refusal()).await;
        let second = ScriptedBackEnd::start(runtime, "b2", refusal()).await;
        let third = ScriptedBackEnd::start(runtime, "b3", refusal()).await;
        let bed = Bed::start(runtime, &[&first, &second, &third]).await;
        let mut answers = vec![bed.call(&Request::new("/safe/x")).await];
        let said = Instant::now();
        answers.push(bed.call(&Request::new("/safe/x")).await);
        let left = BACKOFF.saturating_sub(said.elapsed()).as_secs_f64();
        assert_eq!(first.arrivals() + second.arrivals() + third.arrivals(), 3);
        for answer in answers {
            assert_eq!(answer.header("mastbay-outcome").as_deref(), Some("not-run"));
            let told = answer.header("retry-after").and_then(|told| told.parse::<f64>().ok());
            assert!(told.is_some_and(|told| told >= left), "{told:?} of {left}");
        }
    });
}
