//! Requests through the whole path, with real processes.

use mastbay_testbed::{Bed, BedOptions, event_data, expected_answer};

#[test]
fn a_stream_and_a_plain_request_are_answered_through_the_whole_path() {
    smol::block_on(async {
        let bed = Bed::start(BedOptions::default()).await;
        let caller = bed
            .caller(0, "office")
            .with("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
        let prompt = "¿Necesito permiso para pescar con mosca?";
        let streamed = caller.chat(prompt, 20, true).await.expect("an answer");
        assert_eq!((streamed.status.as_u16(), streamed.outcome()), (200, "answered"));
        assert_eq!(event_data(&streamed.body), (expected_answer(prompt, 20), true));
        assert!(streamed.header("traceparent").contains("0af7651916cd43dd8448eb211c80319c"));

        let plain =
            bed.caller(1, "summaries").post("/permits/new", "trout").await.expect("an answer");
        assert_eq!((plain.status.as_u16(), plain.outcome()), (200, "answered"));
        assert_eq!(plain.json()["request"], plain.header("mastbay-request-id"));
        assert_eq!(plain.json()["tenant"], "summaries");
    });
}
