//! Back ends that are listed as draining and end while answers without a marked end are on their way.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_routing::{BackEnd, BackEndList, BackEndState};
use mastbay_testbed::read_request;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::time::Duration;
use support::{
    Answer, Bed, Request, STREAM_END, STREAM_HEAD, ScriptedBackEnd, Step, call_at, events, header,
    listed, run, until,
};

/// The events with which a stream begins, not in chunks.
const FIRST_EVENTS: &str = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

/// Time in which the router reads the beginning of an answer. Nothing shows that it has, as a whole
/// answer is passed on at its end.
const READING_TIME: Duration = Duration::from_millis(100);

/// Whether a back end ends together with the connection of its last answer.
#[derive(Clone, Copy, PartialEq)]
enum End {
    WithTheAnswer,
    Later,
}

/// Writes the beginning of an answer whose end is not marked.
async fn begin_unmarked_answer(stream: &mut TcpStream) {
    let head = read_request(stream).await.expect("a request");
    let id = header(&head, "mastbay-request-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\nmastbay-request-id: {id}\r\nconnection: close\r\n\r\n{FIRST_EVENTS}"
    );
    stream.write_all(text.as_bytes()).await.expect("sent");
}

fn set_back_ends(bed: &Bed, revision: u64, back_ends: Vec<BackEnd>) {
    let list = BackEndList { revision: revision.into(), back_ends };
    bed.router.offer_back_ends(list, Origin::Source);
}

/// Sends a request to a back end that is listed as draining once its answer has begun, and whose
/// connection then ends. Returns what the caller got.
async fn call_leaving(runtime: Runtime, path: &str, end: End) -> Answer {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let leaving = listed("b1", listener.local_addr().expect("bound"), "plain");
    let rest = Step::Write(STREAM_HEAD.to_owned() + &events(3, 4) + STREAM_END);
    let other = ScriptedBackEnd::start(runtime, "b2", vec![vec![rest]]).await;
    let bed = Bed::start(runtime, &[]).await;
    set_back_ends(&bed, 2, vec![leaving.clone()]);
    let (callers, request) = (bed.settings.callers, Request::new(path));
    let call = runtime.spawn(async move { call_at(callers, &request).await });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    begin_unmarked_answer(&mut stream).await;
    let draining = BackEnd { state: BackEndState::Draining, ..leaving };
    set_back_ends(&bed, 3, vec![draining, other.listed("plain")]);
    until(async || bed.router.versions().1 == 3.into()).await;
    smol::Timer::after(READING_TIME).await;
    if end == End::WithTheAnswer {
        drop(listener);
        drop(stream);
        return call.await;
    }
    drop(stream);
    let answer = call.await;
    drop(listener);
    answer
}

/// Guards against passing on a stream as complete that was cut by the end of its back end.
#[test]
fn a_stream_cut_by_the_end_of_a_leaving_back_end_is_not_complete() {
    run(async |runtime| {
        let answer = call_leaving(runtime, "/stream/x", End::WithTheAnswer).await;
        assert!(!answer.is_complete, "{answer:?}");
    });
}

/// Guards against breaking off such a stream although it may be resumed.
#[test]
fn a_stream_cut_by_the_end_of_a_leaving_back_end_is_resumed() {
    run(async |runtime| {
        let answer = call_leaving(runtime, "/resumable/x", End::WithTheAnswer).await;
        assert!(answer.is_complete && answer.body.contains("id: 4"), "{answer:?}");
    });
}

/// Guards against passing on a whole answer that was cut by the end of its back end.
#[test]
fn an_answer_cut_by_the_end_of_a_leaving_back_end_is_not_passed_on() {
    run(async |runtime| {
        let answer = call_leaving(runtime, "/unsafe/x", End::WithTheAnswer).await;
        assert_eq!(answer.status, 502, "{answer:?}");
    });
}

/// Guards against breaking off the last streams of a back end that is still there.
#[test]
fn a_stream_of_a_leaving_back_end_that_is_still_there_is_complete() {
    run(async |runtime| {
        let answer = call_leaving(runtime, "/stream/x", End::Later).await;
        assert!(answer.is_complete && answer.body.contains("id: 2"), "{answer:?}");
    });
}
