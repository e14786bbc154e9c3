//! Every caller gets the whole answer to its own request, or sees that it did not.

use mastbay_testbed::{
    Bed, BedOptions, CallFailed, Load, LoadOptions, Told, event_data, expected_words, wait_until,
};
use std::time::Duration;

const PROMPT: &str = "Summarise the season at the Limay river for the wardens";

fn run(test: impl AsyncFnOnce(Bed)) {
    smol::block_on(async {
        let bed = Bed::start(BedOptions::default()).await;
        test(bed).await;
    });
}

#[test]
fn a_stream_that_breaks_is_gone_on_with_where_it_broke() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "break-after=7");
        let answer = caller.chat(PROMPT, 30, true).await.expect("a whole stream");
        assert_eq!(event_data(&answer.body), (expected_words(PROMPT, 30), true));
    });
}

#[test]
fn a_stream_that_cannot_be_gone_on_with_ends_visibly_broken() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "break-for-good=7");
        let result = caller.chat(PROMPT, 30, true).await;
        assert!(matches!(result, Err(CallFailed::Broken)), "{result:?}");
    });
}

#[test]
fn an_engine_killed_in_mid_stream_leaves_no_stream_short_without_a_sign() {
    run(async |mut bed| {
        let calls: Vec<_> = (0..8)
            .map(|number| {
                let caller = bed.caller(number % 3, "office");
                smol::spawn(async move { caller.chat(PROMPT, 400, true).await })
            })
            .collect();
        let admin = bed.machines[0].gateway_admin;
        wait_until(Duration::from_secs(5), "streams run", || async {
            bed.get(admin, "/status").await["demand"][0]["running"].as_u64() >= Some(2)
        })
        .await;
        bed.engines[0].kill();
        let mut whole = 0;
        for call in calls {
            match call.await {
                Ok(answer) if answer.outcome() == "answered" => {
                    assert_eq!(event_data(&answer.body), (expected_words(PROMPT, 400), true));
                    whole += 1;
                }
                Ok(answer) => assert_eq!(answer.outcome(), "unknown"),
                Err(CallFailed::Broken) => {}
                Err(error) => panic!("{error}"),
            }
        }
        assert!(whole >= 4, "streams of the other engine are whole: {whole}");
    });
}

#[test]
fn an_answer_for_another_request_is_not_passed_on() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "crossed");
        let answer = caller.post("/permits/new", "trout").await.expect("an answer");
        assert_eq!((answer.outcome(), answer.code().as_str()), ("unknown", "answer_mismatch"));
    });
}

#[test]
fn an_answer_that_breaks_off_is_not_passed_on() {
    run(async |bed| {
        let caller = bed.caller(0, "office").with("stand-in-fault", "break-answer");
        let answer = caller.post("/permits/new", "trout").await.expect("an answer");
        assert_eq!((answer.outcome(), answer.code().as_str()), ("unknown", "backend_failed"));
        assert_eq!(bed.runs(0).of_request(answer.header("mastbay-request-id")), 1);
        // Connections that ended so are not used again.
        for _ in 0..5 {
            let next = bed.caller(0, "office").post("/permits/new", "salmon").await;
            assert_eq!(next.expect("an answer").outcome(), "answered");
        }
    });
}

#[test]
fn a_caller_that_goes_away_frees_its_slot() {
    run(async |bed| {
        let callers: Vec<_> = (0..8)
            .map(|_| {
                let caller = bed.caller(0, "summaries");
                smol::spawn(async move { caller.chat(PROMPT, 100_000, true).await })
            })
            .collect();
        let admin = bed.machines[0].gateway_admin;
        wait_until(Duration::from_secs(5), "all slots are taken", || async {
            bed.get(admin, "/status").await["demand"][0]["running"] == 8
        })
        .await;
        // Dropping the tasks closes their connections.
        drop(callers);
        let answer = bed.caller(1, "office").chat(PROMPT, 5, true).await.expect("an answer");
        assert_eq!(event_data(&answer.body), (expected_words(PROMPT, 5), true));
        wait_until(Duration::from_secs(5), "all slots are free", || async {
            bed.get(admin, "/status").await["demand"][0]["running"] == 0
        })
        .await;
    });
}

#[test]
fn many_callers_each_get_their_own_answer() {
    run(async |bed| {
        let load = Load::start(&LoadOptions {
            gateways: bed.machines.iter().map(|machine| machine.callers).collect(),
            callers: vec![("office".to_owned(), 10), ("summaries".to_owned(), 30)],
            tokens: Some(12),
            path: String::new(),
            pause: Duration::ZERO,
        });
        wait_until(Duration::from_secs(30), "300 calls", || async { load.done() >= 300 }).await;
        let observed = load.stop().await;
        let other = observed.iter().find(|call| call.told != Told::Answered);
        assert!(other.is_none(), "{other:?}");
    });
}
