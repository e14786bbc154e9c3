//! Tests of the event stream parser with chunks cut at any position, and of replies.

use crate::event_stream::StreamMeter;
use crate::reply::reply_channel;
use hyper::Response;
use mastbay_types::Cost;
use mastbay_web::streamed;

const STREAM: &str = "data: {\"a\":1}\n\ndata: {\"b\":\"\\n\"}\n\n: comment\n\n\
                      data: {\"usage\":{\"total_tokens\":42}}\n\ndata: [DONE]\n\n";

// Guards against events lost or miscounted when a chunk boundary falls within an event.
#[test]
fn stream_is_metered_for_any_chunk_size() {
    for size in 1..STREAM.len() {
        let mut meter = StreamMeter::default();
        let mut forwarded = Vec::new();
        for chunk in STREAM.as_bytes().chunks(size) {
            assert!(!meter.is_complete());
            forwarded.extend(meter.push(chunk));
        }
        assert_eq!(forwarded, STREAM.as_bytes());
        assert!(meter.is_complete());
        assert_eq!(meter.events(), 3);
        assert_eq!(meter.service(), Cost(42));
    }
}

// Guards against a partial event reaching the caller before the stream is resumed.
#[test]
fn stream_cut_within_an_event_forwards_complete_events_only() {
    let mut meter = StreamMeter::default();
    let forwarded = meter.push(b"data: {\"a\":1}\n\ndata: {\"b\"");
    assert_eq!(forwarded, b"data: {\"a\":1}\n\n");
    meter.drop_partial_event();
    assert_eq!(meter.push(b"data: {\"b\":2}\n\n"), b"data: {\"b\":2}\n\n");
    assert_eq!(meter.events(), 2);
    assert!(!meter.is_complete());
}

// Guards against a stream that keeps its slot until its deadline because its caller disconnected
// between the head of the answer and its delivery.
#[test]
fn a_stream_whose_caller_disconnects_as_it_begins_is_closed() {
    let (reply, pending) = reply_channel();
    let (events, chunks) = smol::channel::bounded(1);
    reply.send(Response::new(streamed(chunks)));
    drop(pending);
    assert!(events.is_closed());
}
