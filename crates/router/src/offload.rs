//! Connection offload: an overloaded router forwards new connections of callers to a peer.
//!
//! Bytes are copied without parsing, which costs a fraction of serving the requests, and answers
//! are copied at intervals. The peer sends a hello before any byte of the caller is forwarded, so a
//! connection that no peer accepts can still be served or closed here. Peers never
//! forward a connection again.
//!
//! Both routers must have the same configuration in force. The peer serves the connection by it,
//! and requests are copied only while it is in force here: callers of one address see one
//! configuration at a time.

use crate::dialect::OwnAnswer;
use crate::listener::StopSignal;
use crate::runtime::Runtime;
use derive_more::{Display, Error};
use mastbay_types::Timestamp;
use smol::future::{FutureExt, yield_now};
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Length of a hello, in bytes.
pub const HELLO_LENGTH: usize = 9;
/// First byte of a hello.
const HELLO_MARKER: u8 = b'+';
/// Timeout for a peer to accept a connection: several round trips between machines of a zone.
const HELLO_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of bytes copied at a time.
const BUFFER_SIZE: usize = 32 << 10;
/// Bytes kept from the start of a request, enough for the head of most.
const MAX_REQUEST_START: usize = 4 << 10;
/// Interval between checks for an overdue answer. Most connections end before the first check.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Reads of an answer that are not delayed, since its head may come before its first event.
const IMMEDIATE_READS: u32 = 2;

/// Returns the first bytes that a peer sends on a connection that it accepts: a plus sign and the
/// version of the configuration that it serves, in eight bytes, big endian.
pub fn hello(version: u64) -> [u8; HELLO_LENGTH] {
    let mut bytes = [HELLO_MARKER; HELLO_LENGTH];
    bytes[1..].copy_from_slice(&version.to_be_bytes());
    bytes
}

/// Returns the configuration version in a hello; `None` if the bytes are not a hello.
fn hello_version(hello: [u8; HELLO_LENGTH]) -> Option<u64> {
    let (first, version) = hello.split_first()?;
    let version = version.try_into().ok().map(u64::from_be_bytes);
    version.filter(|_| *first == HELLO_MARKER)
}

/// The reason why a peer did not accept a connection.
#[derive(Debug, Display, Error)]
pub enum OffloadError {
    /// The peer cannot be reached.
    #[display("unreachable")]
    Unreachable(std::io::Error),
    /// The peer closed the connection without a valid hello: it has no capacity.
    #[display("no_room")]
    NoCapacity,
    /// The peer sent no hello in time.
    #[display("silent")]
    TimedOut,
    /// The peer has another version of the configuration in force.
    #[display("other_configuration")]
    OtherConfiguration {
        /// The version that the peer has in force.
        peer: u64,
    },
}

/// A connection to a peer that has accepted a caller of this router.
pub struct PeerConnection(TcpStream);

/// Connects to a peer and waits for its hello, which must name version `version` of the
/// configuration.
///
/// # Errors
/// If the peer is unreachable, accepts no connection in time, or has another version in force.
pub async fn connect(
    runtime: Runtime,
    peer: SocketAddr,
    version: u64,
) -> Result<PeerConnection, OffloadError> {
    let accepted = async {
        let mut stream = TcpStream::connect(peer).await.map_err(OffloadError::Unreachable)?;
        // The connection works without TCP_NODELAY, too.
        let _ = stream.set_nodelay(true);
        let mut hello = [0; HELLO_LENGTH];
        stream.read_exact(&mut hello).await.map_err(|_| OffloadError::NoCapacity)?;
        // A change reaches routers up to a second apart. Without this check, callers of one address
        // could be served by a newer version and then by an older one.
        match hello_version(hello) {
            Some(peer) if peer == version => Ok(PeerConnection(stream)),
            Some(peer) => Err(OffloadError::OtherConfiguration { peer }),
            None => Err(OffloadError::NoCapacity),
        }
    };
    runtime.within(HELLO_TIMEOUT, accepted).await.unwrap_or(Err(OffloadError::TimedOut))
}

/// What the forwarding router knows about the requests of a forwarded connection.
pub trait ForwardedConnection {
    /// Returns whether the configuration that the peer serves them by is still in force here.
    fn is_current(&self) -> bool;

    /// Returns the time within which the answer to a request must begin; `start` is the first bytes
    /// of the request.
    fn answer_timeout(&self, start: &[u8]) -> Duration;
}

/// The phases of a stop of the forwarding router.
#[derive(Debug, Clone, Default)]
pub struct StopPhases {
    /// Triggered when the router accepts no further requests.
    pub accepts_none: StopSignal,
    /// Triggered shortly before the router ends.
    pub limit: StopSignal,
}

impl PeerConnection {
    /// Copies both ways until either side closes, an answer is overdue or this router ends. After
    /// the first reads, answers are copied at `interval`.
    pub async fn copy(
        self,
        runtime: Runtime,
        caller: TcpStream,
        interval: Duration,
        forwarded: Rc<dyn ForwardedConnection>,
        stop: StopPhases,
    ) -> CopyOutcome {
        // The connection works without TCP_NODELAY, too.
        let _ = caller.set_nodelay(true);
        // A separate task: polled together, each chunk of an answer would cost a futile read of the
        // caller's side.
        let progress = Progress::default();
        let copying = copy_requests(
            runtime,
            caller.clone(),
            self.0.clone(),
            progress.clone(),
            forwarded.clone(),
        );
        let requests = runtime.spawn(copying);
        let answers = async {
            match copy_answers(runtime, self.0, caller.clone(), interval, &progress).await {
                Ok(()) | Err(BrokenSide::Peer) => Some(PeerFailure::Disconnected),
                Err(BrokenSide::Caller) => None,
            }
        };
        // A stalled peer neither answers nor closes the connection.
        let overdue = async {
            wait_until_overdue(runtime, &progress, &*forwarded).await;
            Some(PeerFailure::TimedOut)
        };
        let stopped = async {
            stop.limit.wait().await;
            // An answer that has begun goes on for as long as this router runs.
            if !progress.is_answer_pending() {
                std::future::pending::<()>().await;
            }
            Some(PeerFailure::Stopped)
        };
        let failure = answers.or(overdue).or(stopped).await;
        drop(requests);
        // The caller gets an answer from this router; a connection that just closes would look like
        // a failure of this router.
        match failure.filter(|_| progress.is_answer_pending()) {
            Some(failure) => CopyOutcome::Unanswered {
                caller,
                failure,
                answer: failure.answer(),
                request_start: progress.0.request_start.take(),
            },
            None => CopyOutcome::Ended,
        }
    }
}

/// Returns once an answer has not begun within its timeout.
async fn wait_until_overdue(
    runtime: Runtime,
    progress: &Progress,
    forwarded: &dyn ForwardedConnection,
) {
    loop {
        runtime.sleep(OVERDUE_CHECK_INTERVAL).await;
        while let Some(since) = progress.pending_since() {
            let due = since + forwarded.answer_timeout(&progress.0.request_start.borrow());
            let now = runtime.now();
            if now >= due {
                return;
            }
            runtime.sleep(OVERDUE_CHECK_INTERVAL.min(due.since(now))).await;
        }
    }
}

/// The outcome of copying a connection.
#[derive(Debug)]
pub enum CopyOutcome {
    /// Either side closed, and no answer was pending or it had begun.
    Ended,
    /// The peer sent no byte of an answer to a request, and the caller is waiting.
    Unanswered {
        /// The connection of the caller.
        caller: TcpStream,
        /// The reason why there was no answer.
        failure: PeerFailure,
        /// The answer for the caller.
        answer: OwnAnswer,
        /// The first bytes of the request.
        request_start: Vec<u8>,
    },
}

/// The reason why a peer sent no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PeerFailure {
    /// The connection to the peer closed.
    #[display("gone")]
    Disconnected,
    /// This router ends before the peer has answered.
    #[display("stop_limit")]
    Stopped,
    /// The peer sent nothing for as long as the request may take.
    #[display("silent")]
    TimedOut,
}

impl PeerFailure {
    /// Returns the answer for a caller whose request the peer did not answer. The request may have
    /// run.
    fn answer(self) -> OwnAnswer {
        match self {
            Self::Disconnected | Self::Stopped => OwnAnswer::UnknownOutcome,
            Self::TimedOut => OwnAnswer::OutOfTime,
        }
    }
}

/// Tracks the requests and answers of a copied connection.
#[derive(Debug, Clone, Default)]
struct Progress(Rc<ProgressState>);

#[derive(Debug, Default)]
struct ProgressState {
    /// When the first bytes of a request were copied whose answer has not begun.
    pending_since: Cell<Option<Timestamp>>,
    /// The first bytes of the last request.
    request_start: RefCell<Vec<u8>>,
    /// The last answer closes the connection, so the peer reads no further request.
    closes_connection: Cell<bool>,
}

/// The header of an answer that closes its connection, as routers write it.
const CONNECTION_CLOSE: &[u8] = b"\r\nconnection: close\r\n";

impl Progress {
    fn pending_since(&self) -> Option<Timestamp> {
        self.0.pending_since.get()
    }

    fn on_request(&self, now: Timestamp, bytes: &[u8]) {
        if self.pending_since().is_none() {
            self.0.pending_since.set(Some(now));
            let mut start = self.0.request_start.borrow_mut();
            start.clear();
            start.extend_from_slice(&bytes[..bytes.len().min(MAX_REQUEST_START)]);
        }
    }

    fn on_answer(&self, bytes: &[u8]) {
        if self.0.pending_since.take().is_some() {
            let mut windows = bytes.windows(CONNECTION_CLOSE.len());
            self.0.closes_connection.set(windows.any(|window| window == CONNECTION_CLOSE));
        }
    }

    fn on_caller_closed(&self) {
        self.0.pending_since.set(None);
    }

    fn is_answer_pending(&self) -> bool {
        self.pending_since().is_some() && !self.0.closes_connection.get()
    }
}

/// The side of a connection that failed while answers were copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BrokenSide {
    Peer,
    Caller,
}

/// Copies requests until the caller closes, or until another configuration is in force and no
/// answer is pending; further requests stay unread. Then closes the connection to the peer.
async fn copy_requests(
    runtime: Runtime,
    mut caller: TcpStream,
    mut peer: TcpStream,
    progress: Progress,
    forwarded: Rc<dyn ForwardedConnection>,
) {
    let mut state = Ok(RequestCopyState::Continue);
    while let Ok(RequestCopyState::Continue) = state {
        state = copy_requests_once(runtime, &mut caller, &mut peer, &progress, &*forwarded).await;
        // A caller that sends without pause must not keep the thread.
        yield_now().await;
    }
    if let Ok(RequestCopyState::CallerClosed) = state {
        progress.on_caller_closed();
    }
    // The connection may be closed already.
    let _ = peer.shutdown(Shutdown::Both);
}

async fn copy_answers(
    runtime: Runtime,
    mut peer: TcpStream,
    mut caller: TcpStream,
    interval: Duration,
    progress: &Progress,
) -> Result<(), BrokenSide> {
    let mut reads = 0;
    while copy_answers_once(&mut peer, &mut caller, progress).await? {
        reads += 1;
        if reads >= IMMEDIATE_READS {
            runtime.sleep(interval).await;
        }
    }
    Ok(())
}

thread_local! {
    /// One buffer for all connections: bytes are written as soon as they are read.
    static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; BUFFER_SIZE].into_boxed_slice());
}

/// Waits for bytes to read and copies them. Returns false at the end of the stream.
async fn copy_answers_once(
    peer: &mut TcpStream,
    caller: &mut TcpStream,
    progress: &Progress,
) -> Result<bool, BrokenSide> {
    let (length, unwritten) = poll_fn(|context| {
        BUFFER.with_borrow_mut(|buffer| {
            let length = ready!(Pin::new(&mut *peer).poll_read(context, buffer));
            let length = length.map_err(|_| BrokenSide::Peer)?;
            if length > 0 {
                progress.on_answer(&buffer[..length]);
            }
            let unwritten = write_some(caller, context, &buffer[..length]);
            let unwritten = unwritten.map_err(|_| BrokenSide::Caller)?;
            Poll::Ready(Ok((length, unwritten)))
        })
    })
    .await?;
    caller.write_all(&unwritten).await.map_err(|_| BrokenSide::Caller)?;
    Ok(length > 0)
}

/// The state after a step of copying requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestCopyState {
    /// More bytes may follow.
    Continue,
    /// The caller has closed its connection.
    CallerClosed,
    /// Another configuration is in force, so no further request is copied.
    ConfigurationChanged,
}

/// Waits for bytes of a request and copies them, unless the caller has closed by then: an
/// overloaded router would otherwise forward requests of callers that left long ago.
async fn copy_requests_once(
    runtime: Runtime,
    caller: &mut TcpStream,
    peer: &mut TcpStream,
    progress: &Progress,
    forwarded: &dyn ForwardedConnection,
) -> std::io::Result<RequestCopyState> {
    let (next, unwritten) = poll_fn(|context| {
        // Bytes that come while no answer is pending begin a request.
        if progress.pending_since().is_none() && !forwarded.is_current() {
            return Poll::Ready(Ok((RequestCopyState::ConfigurationChanged, Vec::new())));
        }
        BUFFER.with_borrow_mut(|buffer| {
            let mut length = ready!(Pin::new(&mut *caller).poll_read(context, buffer))?;
            while length > 0 && length < buffer.len() {
                match Pin::new(&mut *caller).poll_read(context, &mut buffer[length..])? {
                    Poll::Ready(0) => length = 0,
                    Poll::Ready(more) => length += more,
                    Poll::Pending => break,
                }
            }
            if length == 0 {
                return Poll::Ready(std::io::Result::Ok((
                    RequestCopyState::CallerClosed,
                    Vec::new(),
                )));
            }
            progress.on_request(runtime.now(), &buffer[..length]);
            let unwritten = write_some(peer, context, &buffer[..length])?;
            Poll::Ready(Ok((RequestCopyState::Continue, unwritten)))
        })
    })
    .await?;
    peer.write_all(&unwritten).await?;
    Ok(next)
}

/// Writes what the connection accepts without blocking and returns the rest.
fn write_some(
    to: &mut TcpStream,
    context: &mut Context<'_>,
    bytes: &[u8],
) -> std::io::Result<Vec<u8>> {
    if bytes.is_empty() {
        return Ok(Vec::new());
    }
    match Pin::new(to).poll_write(context, bytes)? {
        Poll::Ready(written) => Ok(bytes[written..].to_vec()),
        Poll::Pending => Ok(bytes.to_vec()),
    }
}
