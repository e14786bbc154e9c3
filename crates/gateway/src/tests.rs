use crate::event_stream::StreamMeter;
use mastbay_types::Cost;

const STREAM: &str = "data: {\"a\":1}\n\ndata: {\"b\":\"\\n\"}\n\n: comment\n\n\
                      data: {\"usage\":{\"total_tokens\":42}}\n\ndata: [DONE]\n\n";

#[test]
fn a_stream_is_followed_however_it_is_cut() {
    for size in 1..STREAM.len() {
        let mut meter = StreamMeter::default();
        let mut passed_on = Vec::new();
        for chunk in STREAM.as_bytes().chunks(size) {
            assert!(!meter.is_whole());
            passed_on.extend(meter.take(chunk));
        }
        assert_eq!(passed_on, STREAM.as_bytes());
        assert!(meter.is_whole());
        assert_eq!(meter.events(), 3);
        assert_eq!(meter.service(), Cost(42));
    }
}

#[test]
fn a_stream_cut_within_an_event_passes_on_whole_events_only() {
    let mut meter = StreamMeter::default();
    let passed_on = meter.take(b"data: {\"a\":1}\n\ndata: {\"b\"");
    assert_eq!(passed_on, b"data: {\"a\":1}\n\n");
    meter.drop_partial_event();
    assert_eq!(meter.take(b"data: {\"b\":2}\n\n"), b"data: {\"b\":2}\n\n");
    assert_eq!(meter.events(), 2);
    assert!(!meter.is_whole());
}
