//! Requests run at most once, and those reported as "not run" never ran. The record of the plain
//! service, in a file that outlives its process, is the evidence.

use mastbay_testbed::{Answer, Bed, BedOptions, CallError, wait_until};
use serde_json::json;
use std::time::{Duration, Instant};

const PERMITS: usize = 0;
const CONFIRMATIONS: usize = 2;

fn options() -> BedOptions {
    BedOptions { engines: 0, ..BedOptions::default() }
}

fn run(test: impl AsyncFnOnce(Bed)) {
    smol::block_on(async {
        let bed = Bed::start(options()).await;
        test(bed).await;
    });
}

/// Checks that requests reported as "not run" have no run in the record, and that none ran twice.
fn check_against_record(bed: &Bed, application: usize, answers: &[Result<Answer, CallError>]) {
    let runs = bed.runs(application);
    for answer in answers.iter().flatten() {
        let request = answer.header("mastbay-request-id");
        let count = runs.of_request(request);
        match answer.outcome() {
            "not-run" => assert_eq!(count, 0, "{request} was reported as not-run"),
            "answered" => assert_eq!(count, 1, "{request} was answered"),
            outcome => assert_eq!(outcome, "unknown", "{:?}", answer.headers),
        }
    }
    assert!(runs.by_request.values().all(|count| *count == 1), "{runs:?}");
    assert!(runs.by_key.values().all(|count| *count == 1), "{runs:?}");
}

async fn wait_for_runs(bed: &Bed, application: usize, count: u32) {
    wait_until(Duration::from_secs(10), &format!("{count} runs"), || async {
        bed.runs(application).total() >= count
    })
    .await;
}

#[test]
fn a_back_end_killed_while_it_runs_a_permit_leaves_the_outcome_unknown() {
    run(async |mut bed| {
        let caller = bed.caller(0, "office").with("stand-in-work-ms", "60000");
        let call = smol::spawn(async move { caller.post("/permits/new", "trout").await });
        wait_for_runs(&bed, PERMITS, 1).await;
        bed.applications[PERMITS].kill();
        let answer = call.await;
        let received = answer.as_ref().expect("an answer");
        assert_eq!((received.outcome(), received.code().as_str()), ("unknown", "backend_failed"));
        // The service is restarted: the request must not be sent to it again.
        bed.applications[PERMITS] = bed.start_application(PERMITS).expect("started");
        let next = bed.caller(1, "office").post("/permits/new", "salmon").await;
        check_against_record(&bed, PERMITS, &[answer, next]);
    });
}

#[test]
fn a_gateway_killed_while_a_permit_waits_or_runs_does_not_run_it_again() {
    run(async |mut bed| {
        let mut calls = Vec::new();
        for number in 0..12 {
            let caller = bed
                .caller(0, "office")
                .with("stand-in-work-ms", "400")
                .with("idempotency-key", &format!("permit-{number}"));
            calls.push(smol::spawn(async move { caller.post("/permits/new", "trout").await }));
        }
        wait_for_runs(&bed, PERMITS, 4).await;
        bed.gateways[0].kill();
        let mut answers = Vec::new();
        for call in calls {
            answers.push(call.await);
        }
        // Every caller retries its request with the same key at another gateway.
        for number in 0..12 {
            let caller =
                bed.caller(1, "office").with("idempotency-key", &format!("permit-{number}"));
            answers.push(caller.post("/permits/new", "trout").await);
        }
        check_against_record(&bed, PERMITS, &answers);
    });
}

#[test]
fn the_same_key_at_two_gateways_at_once_runs_once() {
    run(async |bed| {
        let mut answers = Vec::new();
        for number in 0..8 {
            let calls: Vec<_> = (0..3)
                .map(|gateway| {
                    let key = format!("boat-{number}");
                    let caller = bed.caller(gateway, "office").with("idempotency-key", &key);
                    smol::spawn(async move { caller.post("/permits/new", "boat").await })
                })
                .collect();
            for call in calls {
                answers.push(call.await);
            }
        }
        check_against_record(&bed, PERMITS, &answers);
        let answered =
            answers.iter().flatten().filter(|answer| answer.outcome() == "answered").count();
        assert_eq!(answered, 8, "one of three callers gets the answer");
        let rejected = answers.iter().flatten().filter(|answer| answer.status.as_u16() == 409);
        assert_eq!(rejected.count(), 16, "the others get a conflict with the earlier request");
    });
}

#[test]
fn with_the_platform_down_each_service_follows_its_claims_setting() {
    run(async |bed| {
        bed.set_faults(json!({ "down": true })).await;
        let began = Instant::now();
        let caller = bed.caller(0, "office").with("idempotency-key", "outage");
        let rejected = caller.post("/permits/new", "trout").await;
        let received = rejected.as_ref().expect("an answer");
        assert_eq!(
            (received.outcome(), received.code().as_str()),
            ("not-run", "claims_unavailable")
        );
        assert!(!received.header("retry-after").is_empty());
        assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
        let served = caller.post("/confirmations/new", "boat").await;
        assert_eq!(served.as_ref().expect("an answer").outcome(), "answered");
        check_against_record(&bed, PERMITS, &[rejected]);
        check_against_record(&bed, CONFIRMATIONS, &[served]);
        // After the platform recovers, the released key can be claimed again.
        bed.set_faults(json!({})).await;
        wait_until(Duration::from_secs(20), "the key is free again", || async {
            let again = caller.post("/permits/new", "trout").await;
            again.is_ok_and(|answer| answer.outcome() == "answered")
        })
        .await;
        assert_eq!(bed.runs(PERMITS).of_key("outage"), 1);
    });
}

#[test]
fn lost_answers_and_a_slow_platform_neither_duplicate_nor_reject_a_permit() {
    run(async |bed| {
        for (number, faults) in
            [json!({ "lose_answers": 1 }), json!({ "delay_ms": 200 })].into_iter().enumerate()
        {
            bed.set_faults(faults).await;
            let key = format!("permit-{number}");
            let caller = bed.caller(0, "office").with("idempotency-key", &key);
            let first = caller.post("/permits/new", "trout").await;
            assert_eq!(first.as_ref().expect("an answer").outcome(), "answered");
            let caller = bed.caller(1, "office").with("idempotency-key", &key);
            let second = caller.post("/permits/new", "trout").await;
            assert_eq!(second.as_ref().expect("an answer").status.as_u16(), 409);
            check_against_record(&bed, PERMITS, &[first, second]);
            assert_eq!(bed.runs(PERMITS).of_key(&key), 1);
        }
    });
}

#[test]
fn a_frozen_back_end_answers_too_late_and_runs_once() {
    run(async |bed| {
        bed.applications[PERMITS].freeze();
        let caller = bed.caller(0, "office").with("mastbay-deadline-ms", "700");
        let late = caller.post("/permits/new", "trout").await;
        let received = late.as_ref().expect("an answer");
        assert_eq!(received.outcome(), "unknown", "{}", received.code());
        bed.applications[PERMITS].wake();
        let next = bed.caller(0, "office").post("/permits/new", "salmon").await;
        assert_eq!(next.as_ref().expect("an answer").outcome(), "answered");
        check_against_record(&bed, PERMITS, &[late, next]);
    });
}

#[test]
fn a_frozen_gateway_sends_nothing_after_its_deadline_when_it_wakes() {
    run(async |bed| {
        // Long requests take all eight slots, so the next request waits.
        let busy: Vec<_> = (0..8)
            .map(|_| {
                let caller = bed.caller(1, "summaries").with("stand-in-work-ms", "3000");
                smol::spawn(async move { caller.post("/permits/new", "busy").await })
            })
            .collect();
        wait_for_runs(&bed, PERMITS, 8).await;
        let caller = bed.caller(0, "office").with("mastbay-deadline-ms", "1000");
        let waiting = smol::spawn(async move { caller.post("/permits/new", "late").await });
        let status = bed.machines[0].gateway_admin;
        wait_until(Duration::from_secs(5), "the request waits", || async {
            bed.get(status, "/status").await["demand"][0]["waiting"] == 1
        })
        .await;
        bed.gateways[0].freeze();
        for call in busy {
            assert_eq!(call.await.expect("an answer").outcome(), "answered");
        }
        bed.gateways[0].wake();
        let answer = waiting.await;
        let received = answer.as_ref().expect("an answer");
        assert_eq!((received.outcome(), received.code().as_str()), ("not-run", "deadline_passed"));
        check_against_record(&bed, PERMITS, &[answer]);
    });
}

#[test]
fn a_request_to_a_service_without_back_ends_is_answered_by_its_deadline_as_not_run() {
    run(async |mut bed| {
        bed.applications[PERMITS].kill();
        let caller = bed.caller(0, "office").with("mastbay-deadline-ms", "1500");
        let answer = caller.post("/permits/new", "trout").await;
        let received = answer.as_ref().expect("an answer");
        assert_eq!(received.outcome(), "not-run", "{}", received.code());
        assert!(!received.header("retry-after").is_empty());
        check_against_record(&bed, PERMITS, &[answer]);
    });
}
