//! Requests that meet the end of a forwarded connection.

mod support;

use mastbay_router::Runtime;
use mastbay_router::offload::{CopyOutcome, ForwardedConnection, PeerConnection, StopPhases};
use mastbay_router::receive_time::ReadDelay;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;
use support::forwarded::{accepted_caller, connect_to_scripted_peer, read_copied};
use support::{Request, run};

const INTERVAL: Duration = Duration::from_millis(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which bytes that are copied at all arrive, also on a busy machine.
const COPY_TIME: Duration = Duration::from_millis(300);
/// Time within which an answer that is not read ends; direct callers have 5 s.
const UNREAD_LIMIT: Duration = Duration::from_secs(7);
const VERSION: u64 = 1;
const SHORT_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

struct ScriptedForwarding(Cell<bool>);

impl ForwardedConnection for ScriptedForwarding {
    fn is_current(&self) -> bool {
        self.0.get()
    }

    fn answer_timeout(&self, _start: &[u8]) -> Duration {
        ANSWER_TIMEOUT
    }

    fn read_delay(&self) -> ReadDelay {
        ReadDelay::default()
    }
}

/// A connection that is forwarded to a scripted peer.
struct Forwarded {
    caller: TcpStream,
    peer: TcpStream,
    forwarding: Rc<ScriptedForwarding>,
    stop: StopPhases,
    copying: smol::Task<()>,
}

impl Forwarded {
    async fn start(runtime: Runtime) -> Self {
        Self::start_with(runtime, true, "").await
    }

    /// Starts while the configuration is current or not, after the caller has sent `sent`.
    async fn start_with(runtime: Runtime, is_current: bool, sent: &str) -> Self {
        let (connection, peer) = connect_to_scripted_peer(runtime, VERSION).await;
        let callers = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = callers.local_addr().expect("an address");
        let mut caller = TcpStream::connect(address).await.expect("connected");
        let (accepted, _) = callers.accept().await.expect("accepted");
        caller.write_all(sent.as_bytes()).await.expect("sent");
        let forwarding = Rc::new(ScriptedForwarding(Cell::new(is_current)));
        let stop = StopPhases::default();
        let copying = copy(runtime, connection, accepted, forwarding.clone(), stop.clone());
        Self { caller, peer, forwarding, stop, copying: runtime.spawn(copying) }
    }

    /// A first request and its whole answer.
    async fn exchange(&mut self) {
        let text = request();
        self.caller.write_all(text.as_bytes()).await.expect("sent");
        read_copied(&mut self.peer, text.len()).await;
        self.answer().await;
    }

    async fn answer(&mut self) {
        self.peer.write_all(SHORT_ANSWER.as_bytes()).await.expect("answered");
        let mut answer = vec![0; SHORT_ANSWER.len()];
        self.caller.read_exact(&mut answer).await.expect("not reset");
        assert_eq!(answer, SHORT_ANSWER.as_bytes());
    }

    /// Reads until the connection ends.
    async fn end(mut self) -> End {
        let mut text = String::new();
        let is_reset = self.caller.read_to_string(&mut text).await.is_err();
        self.copying.await;
        End { text, is_reset }
    }
}

/// What a caller received until its connection ended.
#[derive(Debug)]
struct End {
    text: String,
    is_reset: bool,
}

impl End {
    /// Returns whether the caller knows that its request was not run: it was told, or the connection
    /// was closed with the request unread, which the operating system reports as a reset.
    fn tells_not_run(&self) -> bool {
        self.text.starts_with("HTTP/1.1 503") || (self.text.is_empty() && self.is_reset)
    }
}

fn request() -> String {
    Request::new("/unsafe/x").body("question").keep_alive().text()
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

// A request that is read after the peer has closed an idle connection was passed to nobody. Told 502,
// a caller can't repeat it.
#[test]
fn a_request_read_after_the_peer_closed_is_told_as_not_run() {
    run(async |runtime| {
        let mut told_unknown = 0;
        for _ in 0..20 {
            let mut forwarded = Forwarded::start(runtime).await;
            forwarded.exchange().await;
            // Nothing else runs in between, so the router notices both at once.
            forwarded.caller.write_all(request().as_bytes()).await.expect("sent");
            forwarded.peer.shutdown(Shutdown::Write).expect("closed");
            let end = forwarded.end().await;
            told_unknown += u32::from(end.text.starts_with("HTTP/1.1 502"));
        }
        assert_eq!(told_unknown, 0, "of 20 requests were told 502");
    });
}

// A configuration applies to a request that ends after it came into force, as on direct connections:
// by then the peer would serve it by the older one.
#[test]
fn a_request_that_ends_after_a_configuration_change_is_not_passed_on() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        let text = request();
        let (start, rest) = text.split_at(text.len() - 3);
        forwarded.caller.write_all(start.as_bytes()).await.expect("sent");
        read_copied(&mut forwarded.peer, start.len()).await;
        forwarded.forwarding.0.set(false);
        smol::Timer::after(COPY_TIME).await;
        forwarded.caller.write_all(rest.as_bytes()).await.expect("sent");
        smol::Timer::after(COPY_TIME).await;
        let mut peer = forwarded.peer.clone();
        let mut more = vec![0; rest.len()];
        let passed_on =
            smol::future::or(async { peer.read(&mut more).await.expect("read") }, async {
                smol::Timer::after(COPY_TIME).await;
                0
            });
        assert_eq!(passed_on.await, 0, "bytes were passed on");
        let end = forwarded.end().await;
        assert!(end.tells_not_run(), "{end:?}");
    });
}

// The answer did not say that the connection closes, so a caller may send at once. A request that is
// read and dropped can't be repeated by its caller.
#[test]
fn a_request_that_follows_the_last_answer_of_a_stop_is_not_dropped_silently() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        let text = request();
        forwarded.caller.write_all(text.as_bytes()).await.expect("sent");
        read_copied(&mut forwarded.peer, text.len()).await;
        forwarded.stop.accepts_none.trigger();
        forwarded.answer().await;
        // Fails if the connection is closed by now.
        let _ = forwarded.caller.write_all(text.as_bytes()).await;
        let end = forwarded.end().await;
        assert!(end.tells_not_run(), "{end:?}");
    });
}

// A configuration may come into force while the router waits for the peer's hello. The caller has
// sent its request by then and got no answer before.
#[test]
fn a_first_request_is_not_dropped_silently_when_the_configuration_has_changed() {
    run(async |runtime| {
        let forwarded = Forwarded::start_with(runtime, false, &request()).await;
        let end = forwarded.end().await;
        assert!(end.tells_not_run(), "{end:?}");
    });
}

// Waiting for a signal that was already triggered returns at once: a loop around it would keep the
// router's only thread.
#[test]
fn bytes_that_no_request_asked_for_do_not_block_the_thread_during_a_stop() {
    let (sender, done) = mpsc::channel();
    std::thread::spawn(move || {
        run(async |runtime| {
            let mut forwarded = Forwarded::start(runtime).await;
            forwarded.exchange().await;
            forwarded.peer.write_all(b"HTTP/1.1 ").await.expect("sent");
            smol::Timer::after(COPY_TIME).await;
            forwarded.stop.accepts_none.trigger();
            smol::Timer::after(COPY_TIME).await;
            // Fails if the test has given up.
            let _ = sender.send(());
        });
    });
    done.recv_timeout(Duration::from_secs(5)).expect("the thread goes on");
}

// A caller that neither reads nor leaves would hold a connection of this router for good: its peer
// gives up after a time, which a router that waits to write doesn't notice.
#[test]
fn an_answer_that_its_caller_does_not_read_ends() {
    run(async |runtime| {
        let mut forwarded = Forwarded::start(runtime).await;
        forwarded.caller.write_all(request().as_bytes()).await.expect("sent");
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 100000000\r\n\r\n";
        forwarded.peer.write_all(head.as_bytes()).await.expect("answered");
        // As many bytes as the buffers on the way hold.
        let block = vec![b'x'; 64 << 10];
        let mut peer = forwarded.peer.clone();
        let fill = async { while peer.write_all(&block).await.is_ok() {} };
        assert!(mastbay_web::within(Duration::from_secs(2), fill).await.is_err(), "not blocked");
        forwarded.peer.shutdown(Shutdown::Both).expect("closed");
        let ended = mastbay_web::within(UNREAD_LIMIT, forwarded.copying).await;
        assert!(ended.is_ok(), "open with an answer that is not read");
    });
}
