//! Requests on a connection that is forwarded to a peer, when the forwarding router stops or another
//! configuration comes into force there.

mod support;

use mastbay_router::Runtime;
use mastbay_router::offload::{
    CopyOutcome, EndReason, ForwardedConnection, Interruption, PeerConnection, Stage, StopPhases,
};
use mastbay_router::receive_time::ReadDelay;
use mastbay_router::request_arrivals::{AgeSource, RequestArrivals};
use mastbay_types::Timestamp;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::forwarded::{accepted_caller, connect_to_scripted_peer};
use support::{Request, STREAM_END, STREAM_HEAD, events, run, until};

const INTERVAL: Duration = Duration::from_millis(40);
/// Time-out for the start of an answer, long enough not to matter.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which bytes that are copied at all arrive, also on a busy machine.
const COPY_TIME: Duration = Duration::from_millis(300);
const VERSION: u64 = 1;
const SHORT_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// Scripted state of the router that forwards a connection.
struct ScriptedForwarding {
    is_current: Cell<bool>,
    answer_timeout: Cell<Duration>,
    interruptions: RefCell<Vec<(EndReason, Stage)>>,
}

impl ForwardedConnection for ScriptedForwarding {
    fn is_current(&self) -> bool {
        self.is_current.get()
    }

    fn answer_timeout(&self, _start: &[u8]) -> Duration {
        self.answer_timeout.get()
    }

    fn read_delay(&self) -> ReadDelay {
        ReadDelay::default()
    }

    fn on_interruption(&self, interruption: &Interruption<'_>) {
        let Interruption { reason, stage, request_start, answering, .. } = interruption;
        let has_request = request_start.starts_with(b"POST /unsafe/x HTTP/1.1\r\n");
        assert!(has_request || *stage == Stage::Idle);
        assert_eq!(answering.is_some(), *stage == Stage::WithinAnswer);
        self.interruptions.borrow_mut().push((*reason, *stage));
    }
}

/// A connection that is forwarded to a scripted peer.
struct Forwarded {
    caller: TcpStream,
    /// What the caller has received.
    received: String,
    /// The peer's side.
    peer: TcpStream,
    /// What the peer has received.
    copied: Rc<RefCell<String>>,
    /// The connection to the peer has been closed.
    is_closed: Rc<Cell<bool>>,
    forwarding: Rc<ScriptedForwarding>,
    stop: StopPhases,
    _reading: smol::Task<()>,
    _copying: smol::Task<()>,
}

impl Forwarded {
    async fn start(runtime: Runtime) -> Self {
        let (connection, peer) = connect_to_scripted_peer(runtime, VERSION).await;
        let (callers, address) = listener().await;
        let caller = TcpStream::connect(address).await.expect("connected");
        let (accepted, _) = callers.accept().await.expect("accepted");
        let (copied, is_closed) = (Rc::default(), Rc::default());
        let reading = read_all(peer.clone(), Rc::clone(&copied), Rc::clone(&is_closed));
        let forwarding = Rc::new(ScriptedForwarding {
            is_current: Cell::new(true),
            answer_timeout: Cell::new(ANSWER_TIMEOUT),
            interruptions: RefCell::default(),
        });
        let stop = StopPhases::default();
        let copying = copy(runtime, connection, accepted, forwarding.clone(), stop.clone());
        Self {
            caller,
            received: String::new(),
            peer,
            copied,
            is_closed,
            forwarding,
            stop,
            _reading: runtime.spawn(reading),
            _copying: runtime.spawn(copying),
        }
    }

    async fn send(&mut self, text: &str) {
        self.caller.write_all(text.as_bytes()).await.expect("sent");
    }

    async fn answer(&mut self, text: &str) {
        self.peer.write_all(text.as_bytes()).await.expect("answered");
    }

    async fn until_copied(&self, text: &str) {
        until(async || self.copied.borrow().ends_with(text)).await;
    }

    /// Reads until the caller has received `text` at the end.
    async fn until_received(&mut self, text: &str) {
        while !self.received.ends_with(text) {
            let mut buffer = [0; 4_096];
            let length = self.caller.read(&mut buffer).await.expect("not reset");
            assert!(length > 0, "closed after {}", self.received);
            self.received.push_str(&String::from_utf8_lossy(&buffer[..length]));
        }
    }

    /// Reads until the connection ends, at most for a second. Returns whether it ended.
    async fn has_ended(&mut self) -> bool {
        let mut bytes = Vec::new();
        let reading = async {
            // A reset ends the connection, too.
            let _ = self.caller.read_to_end(&mut bytes).await;
            true
        };
        let limit = async {
            smol::Timer::after(Duration::from_secs(1)).await;
            false
        };
        let has_ended = reading.or(limit).await;
        self.received.push_str(&String::from_utf8_lossy(&bytes));
        has_ended
    }

    /// A first request and its whole answer.
    async fn exchange(&mut self) {
        let text = request();
        self.send(&text).await;
        self.until_copied(&text).await;
        self.answer(SHORT_ANSWER).await;
        self.until_received(SHORT_ANSWER).await;
        self.received.clear();
    }

    /// A request whose answer, a stream, has begun.
    async fn begin_stream(&mut self) {
        let text = request();
        self.send(&text).await;
        self.until_copied(&text).await;
        let start = STREAM_HEAD.to_owned() + &events(1, 1);
        self.answer(&start).await;
        self.until_received(&start).await;
    }
}

fn request() -> String {
    Request::new("/unsafe/x").body("question").keep_alive().text()
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn read_all(mut peer: TcpStream, copied: Rc<RefCell<String>>, is_closed: Rc<Cell<bool>>) {
    let mut buffer = [0; 4_096];
    let mut arrivals = RequestArrivals::new(AgeSource::ForwardingRouter);
    while let Ok(length @ 1..) = peer.read(&mut buffer).await {
        let length = arrivals.on_read(Timestamp::ZERO, &mut buffer[..length]);
        copied.borrow_mut().push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    is_closed.set(true);
}

/// Copies a connection, and writes the status of the answer for a caller that the peer gave none.
async fn copy(
    runtime: Runtime,
    connection: PeerConnection,
    caller: TcpStream,
    forwarding: Rc<ScriptedForwarding>,
    stop: StopPhases,
) {
    let outcome = connection
        .copy(runtime, accepted_caller(runtime, caller), INTERVAL, forwarding, stop)
        .await;
    if let CopyOutcome::Unanswered { mut caller, answer, .. } = outcome {
        let text = format!("HTTP/1.1 {}\r\ncontent-length: 0\r\n\r\n", answer.status());
        // The caller may have closed the connection.
        let _ = caller.write_all(text.as_bytes()).await;
    }
}

// A caller that sends its next request early must not lose the stream under way when a configuration
// that concerns neither comes into force.
#[test]
fn a_stream_survives_a_configuration_change_and_a_request_within_it() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.begin_stream().await;
        forwarded.forwarding.is_current.set(false);
        let copied = forwarded.copied.borrow().clone();
        forwarded.send(&request()).await;
        smol::Timer::after(COPY_TIME).await;
        assert!(!forwarded.is_closed.get(), "cut within the stream");
        let rest = events(2, 3) + STREAM_END;
        forwarded.answer(&rest).await;
        assert!(forwarded.has_ended().await);
        let (_, after) = forwarded.received.split_once(&rest).expect("the whole stream");
        assert!(after.starts_with("HTTP/1.1 503"), "{after}");
        assert_eq!(*forwarded.copied.borrow(), copied);
    });
}

// The peer does not know that the forwarding router stops, so a request that it copies afterwards is
// cut when that router ends.
#[test]
fn no_request_is_copied_after_the_router_stopped_accepting() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.exchange().await;
        let copied = forwarded.copied.borrow().clone();
        forwarded.stop.accepts_none.trigger();
        // Fails if the router has closed the connection by then.
        let _ = forwarded.caller.write_all(request().as_bytes()).await;
        let has_ended = forwarded.has_ended().await;
        assert_eq!(*forwarded.copied.borrow(), copied);
        assert!(has_ended && forwarded.received.is_empty(), "{}", forwarded.received);
    });
}

// A caller that uses its connection late would meet the end of the router.
#[test]
fn an_idle_connection_is_closed_when_the_router_stops_accepting() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.exchange().await;
        forwarded.stop.accepts_none.trigger();
        assert!(forwarded.has_ended().await);
        until(async || forwarded.is_closed.get()).await;
    });
}

// A caller whose connection idles under an older configuration would have its next request reset.
#[test]
fn an_idle_connection_is_closed_when_the_configuration_changes() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.exchange().await;
        forwarded.forwarding.is_current.set(false);
        assert!(forwarded.has_ended().await);
    });
}

// The peer closes a connection that idles for two seconds. A request that crosses that has not run,
// but the forwarding router can't know it.
#[test]
fn an_idle_connection_is_closed_before_the_peer_closes_it() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.exchange().await;
        smol::Timer::after(Duration::from_millis(850)).await;
        assert!(forwarded.has_ended().await);
    });
}

// Callers are told that they may reuse a connection that has rested for a second.
#[test]
fn a_connection_that_rested_for_a_second_takes_a_request() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.exchange().await;
        smol::Timer::after(Duration::from_millis(1_050)).await;
        forwarded.exchange().await;
    });
}

/// Sends the first `length` bytes of a request, stops the router, and sends the rest.
async fn stop_within_request(runtime: Runtime, text: &str, length: usize) {
    let mut forwarded = Forwarded::start(runtime).await;
    let (start, rest) = text.split_at(length);
    forwarded.send(start).await;
    forwarded.until_copied(start).await;
    forwarded.stop.accepts_none.trigger();
    smol::Timer::after(COPY_TIME).await;
    forwarded.send(rest).await;
    assert!(forwarded.has_ended().await);
    assert_eq!(*forwarded.copied.borrow(), start);
    assert!(forwarded.received.starts_with("HTTP/1.1 503"), "{}", forwarded.received);
    until(async || forwarded.is_closed.get()).await;
}

// A request whose head or body is slow would be served seconds into the stop and cut at its limit.
#[test]
fn a_head_that_ends_after_the_router_stopped_accepting_is_not_passed_on() {
    run(async |runtime| stop_within_request(runtime, &request(), 20).await);
}

#[test]
fn a_body_that_ends_after_the_router_stopped_accepting_is_not_passed_on() {
    run(async |runtime| {
        let text = request();
        stop_within_request(runtime, &text, text.len() - 3).await;
    });
}

#[test]
fn a_chunked_body_that_ends_after_the_router_stopped_accepting_is_not_passed_on() {
    run(async |runtime| {
        let text = "POST /unsafe/x HTTP/1.1\r\nhost: test\r\nmastbay-request-id: r\r\n\
                    transfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n";
        stop_within_request(runtime, text, text.len() - 3).await;
    });
}

// A request that the peer has read whole is worth all the time that is left.
#[test]
fn a_request_that_was_copied_before_the_stop_is_answered() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        let text = request();
        forwarded.send(&text).await;
        forwarded.until_copied(&text).await;
        forwarded.stop.accepts_none.trigger();
        smol::Timer::after(COPY_TIME).await;
        forwarded.answer(SHORT_ANSWER).await;
        forwarded.until_received(SHORT_ANSWER).await;
        assert!(forwarded.has_ended().await, "open after its last answer");
    });
}

#[test]
fn an_answer_under_way_goes_on_when_the_router_stops_accepting() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.begin_stream().await;
        forwarded.stop.accepts_none.trigger();
        let copied = forwarded.copied.borrow().clone();
        forwarded.send(&request()).await;
        smol::Timer::after(COPY_TIME).await;
        let rest = events(2, 3) + STREAM_END;
        forwarded.answer(&rest).await;
        assert!(forwarded.has_ended().await);
        let (_, after) = forwarded.received.split_once(&rest).expect("the whole stream");
        assert!(after.starts_with("HTTP/1.1 503"), "{after}");
        assert_eq!(*forwarded.copied.borrow(), copied);
    });
}

#[test]
fn requests_that_come_within_an_answer_are_served_in_turn() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.begin_stream().await;
        let next = request();
        forwarded.send(&(next.clone() + &next)).await;
        forwarded.answer(&(events(2, 3) + STREAM_END)).await;
        forwarded.until_received(STREAM_END).await;
        for _ in 0..2 {
            forwarded.until_copied(&next).await;
            forwarded.answer(SHORT_ANSWER).await;
            forwarded.until_received(SHORT_ANSWER).await;
            forwarded.received.clear();
        }
    });
}

// An engine must not go on with work for a caller that has left.
#[test]
fn a_caller_that_leaves_within_an_answer_closes_the_connection_to_the_peer() {
    run(async |runtime| {
        for sends_next in [false, true] {
            let mut forwarded = Forwarded::start(runtime).await;
            forwarded.begin_stream().await;
            if sends_next {
                forwarded.send(&request()).await;
            }
            smol::Timer::after(COPY_TIME).await;
            forwarded.caller.shutdown(std::net::Shutdown::Both).expect("closed");
            until(async || forwarded.is_closed.get()).await;
        }
    });
}

impl Forwarded {
    /// Waits for the first interruption and returns it.
    async fn interruption(&self) -> (EndReason, Stage) {
        until(async || !self.forwarding.interruptions.borrow().is_empty()).await;
        self.forwarding.interruptions.borrow()[0]
    }
}

// An on-call must be able to tell the causes of cut or refused requests apart.
#[test]
fn a_request_that_is_held_at_a_configuration_change_is_reported() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.begin_stream().await;
        forwarded.send(&request()).await;
        forwarded.forwarding.is_current.set(false);
        smol::Timer::after(COPY_TIME).await;
        forwarded.answer(STREAM_END).await;
        let reported = forwarded.interruption().await;
        assert_eq!(reported, (EndReason::ConfigurationChanged, Stage::NotPassedOn));
    });
}

#[test]
fn a_request_that_is_incomplete_at_the_stop_is_reported() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        let text = request();
        let (start, rest) = text.split_at(text.len() - 1);
        forwarded.send(start).await;
        forwarded.until_copied(start).await;
        forwarded.stop.accepts_none.trigger();
        forwarded.send(rest).await;
        assert_eq!(forwarded.interruption().await, (EndReason::Stopping, Stage::NotPassedOn));
    });
}

#[test]
fn an_answer_under_way_at_the_stop_limit_is_reported_and_goes_on() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.begin_stream().await;
        forwarded.stop.accepts_none.trigger();
        forwarded.stop.limit.trigger();
        assert_eq!(forwarded.interruption().await, (EndReason::StopLimit, Stage::WithinAnswer));
        forwarded.answer(STREAM_END).await;
        forwarded.until_received(STREAM_END).await;
    });
}

#[test]
fn a_request_without_an_answer_at_the_stop_limit_is_reported() {
    run(async |runtime| {
        for (missing, stage, status) in [(0, Stage::Unanswered, 502), (1, Stage::NotPassedOn, 503)]
        {
            let mut forwarded = Forwarded::start(runtime).await;
            let text = request();
            let start = &text[..text.len() - missing];
            forwarded.send(start).await;
            forwarded.until_copied(start).await;
            forwarded.stop.accepts_none.trigger();
            forwarded.stop.limit.trigger();
            assert_eq!(forwarded.interruption().await, (EndReason::StopLimit, stage));
            assert!(forwarded.has_ended().await);
            let head = format!("HTTP/1.1 {status} ");
            assert!(forwarded.received.starts_with(&head), "{}", forwarded.received);
        }
    });
}

#[test]
fn a_peer_that_goes_is_reported_with_what_it_served() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.begin_stream().await;
        forwarded.peer.shutdown(std::net::Shutdown::Both).expect("closed");
        assert_eq!(forwarded.interruption().await, (EndReason::Disconnected, Stage::WithinAnswer));

        let mut forwarded = Forwarded::start(runtime).await;
        let text = request();
        forwarded.send(&text).await;
        forwarded.until_copied(&text).await;
        forwarded.peer.shutdown(std::net::Shutdown::Both).expect("closed");
        assert_eq!(forwarded.interruption().await, (EndReason::Disconnected, Stage::Unanswered));
    });
}

#[test]
fn an_overdue_answer_is_reported() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.forwarding.answer_timeout.set(COPY_TIME);
        forwarded.send(&request()).await;
        assert_eq!(forwarded.interruption().await, (EndReason::TimedOut, Stage::Unanswered));
    });
}
