//! Connection offload: a router with more to do than it carries hands new connections of callers to a peer.
//!
//! The connection is copied byte by byte and not read, which costs a fraction of serving its requests, and what comes
//! back is copied at intervals. The peer greets before the first byte of the caller goes out, so a connection that no
//! peer takes is whole and can still be served or closed here. Connections that a peer was handed go no further.
//!
//! Both routers have the same configuration in force when a connection is handed on. The peer serves it by that one, and requests
//! are copied only while it is in force here: callers of one address meet one configuration at a time.

use crate::runtime::Runtime;
use derive_more::{Display, Error};
use mastbay_types::Timestamp;
use smol::future::FutureExt;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Length of a greeting, in bytes.
pub const HELLO_LENGTH: usize = 9;
/// What a greeting begins with.
const TAKEN: u8 = b'+';
/// Time for a peer to take a connection: several times a round trip between machines of a zone.
const GREETING_LIMIT: Duration = Duration::from_millis(150);
/// Bytes copied at a time.
const BUFFER_SIZE: usize = 32 << 10;
/// Bytes that are kept of how a request begins: its head, of most.
const START_KEPT: usize = 4 << 10;
/// Time between two looks at whether an answer is overdue. Most connections have ended before the first.
const SILENCE_PERIOD: Duration = Duration::from_millis(400);
/// Reads of an answer that are not delayed: its head may come before its first event.
const PROMPT_READS: u32 = 2;

/// What a peer sends first on a connection that it takes: a plus sign and the version of the configuration that it serves it by,
/// in eight bytes, the highest first.
pub fn hello(version: u64) -> [u8; HELLO_LENGTH] {
    let mut greeting = [TAKEN; HELLO_LENGTH];
    greeting[1..].copy_from_slice(&version.to_be_bytes());
    greeting
}

/// The version that a greeting tells; nothing if it is none.
fn greeted_version(greeting: [u8; HELLO_LENGTH]) -> Option<u64> {
    let (first, version) = greeting.split_first()?;
    let version = version.try_into().ok().map(u64::from_be_bytes);
    version.filter(|_| *first == TAKEN)
}

/// Why a peer did not take a connection.
#[derive(Debug, Display, Error)]
pub enum OffloadError {
    /// It cannot be reached.
    #[display("unreachable")]
    Unreachable(std::io::Error),
    /// It closed the connection: it has no room itself.
    #[display("no_room")]
    NoCapacity,
    /// It was silent.
    #[display("silent")]
    TimedOut,
    /// It has another version of the configuration in force.
    #[display("other_configuration")]
    OtherConfiguration {
        /// That version.
        peer: u64,
    },
}

/// A connection to a peer that has taken one of this router's callers.
pub struct PeerConnection(TcpStream);

/// Asks a peer to take a connection, which it must serve by version `version` of the configuration.
///
/// # Errors
/// If it does not.
pub async fn connect(
    runtime: Runtime,
    peer: SocketAddr,
    version: u64,
) -> Result<PeerConnection, OffloadError> {
    let greeted = async {
        let mut stream = TcpStream::connect(peer).await.map_err(OffloadError::Unreachable)?;
        // A stream that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let mut greeting = [0; HELLO_LENGTH];
        stream.read_exact(&mut greeting).await.map_err(|_| OffloadError::NoCapacity)?;
        // A change reaches routers up to a second apart. Without this callers of one address were answered by a newer version and
        // 0.29 s later by an older one, as 85 processes with changes in series showed.
        match greeted_version(greeting) {
            Some(peer) if peer == version => Ok(PeerConnection(stream)),
            Some(peer) => Err(OffloadError::OtherConfiguration { peer }),
            None => Err(OffloadError::NoCapacity),
        }
    };
    runtime.within(GREETING_LIMIT, greeted).await.unwrap_or(Err(OffloadError::TimedOut))
}

/// What the router that hands a connection on knows of its requests.
pub trait ForwardedConnection {
    /// Whether the configuration that the peer serves them by is still in force here.
    fn is_current(&self) -> bool;

    /// Time within which the answer to a request must have begun to come; `start` is how its bytes begin.
    fn answer_timeout(&self, start: &[u8]) -> Duration;
}

impl PeerConnection {
    /// Copies both ways until either side closes. Answers are copied at `interval` after their beginning.
    pub async fn copy(
        self,
        runtime: Runtime,
        caller: TcpStream,
        interval: Duration,
        handed_on: Rc<dyn ForwardedConnection>,
    ) -> CopyOutcome {
        // A stream that refuses the option still works.
        let _ = caller.set_nodelay(true);
        // A task of its own: polled together, each piece of an answer would cost a vain read of the caller's side. With
        // one shared buffer and fewer prompt reads this raised what a router of 0.12 core hands on from 430 to 820
        // connections a second, counted by the router.
        let progress = Progress::default();
        let requests = copy_requests(
            runtime,
            caller.clone(),
            self.0.clone(),
            progress.clone(),
            handed_on.clone(),
        );
        let requests = runtime.spawn(requests);
        let answers = async {
            match copy_answers(runtime, self.0, caller.clone(), interval, &progress).await {
                Ok(()) | Err(BrokenSide::Peer) => Some(PeerFailure::Disconnected),
                Err(BrokenSide::Caller) => None,
            }
        };
        // A peer that stands still neither answers nor closes: callers got no answer until it went on, 0.38 s after the time-out
        // of a route of 1 s on 85 processes, and for as long as it stood still where that was longer.
        let silence = async {
            watch_silence(runtime, &progress, &*handed_on).await;
            Some(PeerFailure::TimedOut)
        };
        let loss = answers.or(silence).await;
        drop(requests);
        // Without a word each caller would see its connection close. With four requests lost so at one moment a router that is
        // well counts as one that drops requests.
        match loss.filter(|_| progress.is_answer_due()) {
            Some(failure) => {
                CopyOutcome::Unanswered { caller, failure, request_start: progress.0.start.take() }
            }
            None => CopyOutcome::Ended,
        }
    }
}

/// Ends once an answer has not begun to come within its time.
async fn watch_silence(runtime: Runtime, progress: &Progress, handed_on: &dyn ForwardedConnection) {
    loop {
        runtime.sleep(SILENCE_PERIOD).await;
        while let Some(asked) = progress.asked() {
            let due = asked + handed_on.answer_timeout(&progress.0.start.borrow());
            let now = runtime.now();
            if now >= due {
                return;
            }
            runtime.sleep(SILENCE_PERIOD.min(due.since(now))).await;
        }
    }
}

/// How the copying of a connection ended.
#[derive(Debug)]
pub enum CopyOutcome {
    /// By either side, and no answer was due, or it had begun.
    Ended,
    /// The peer gave no byte of an answer to a request, and the caller waits.
    Unanswered {
        /// The caller.
        caller: TcpStream,
        /// Why there was none.
        failure: PeerFailure,
        /// How the bytes of the request begin.
        request_start: Vec<u8>,
    },
}

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PeerFailure {
    /// Its connection ended.
    #[display("gone")]
    Disconnected,
    /// It was silent for as long as the request may take.
    #[display("silent")]
    TimedOut,
}

/// How far a connection that is copied unread has come.
#[derive(Debug, Clone, Default)]
struct Progress(Rc<ProgressCells>);

#[derive(Debug, Default)]
struct ProgressCells {
    /// When the first bytes of a request were copied of whose answer no byte has come.
    asked: Cell<Option<Timestamp>>,
    /// How the bytes of the last request begin.
    start: RefCell<Vec<u8>>,
    /// The last answer ends the connection: what the caller sends after it is not read.
    ends: Cell<bool>,
}

/// The header of an answer that ends its connection, as routers write it.
const ENDS_CONNECTION: &[u8] = b"\r\nconnection: close\r\n";

impl Progress {
    fn asked(&self) -> Option<Timestamp> {
        self.0.asked.get()
    }

    fn on_request(&self, now: Timestamp, bytes: &[u8]) {
        if self.asked().is_none() {
            self.0.asked.set(Some(now));
            let mut start = self.0.start.borrow_mut();
            start.clear();
            start.extend_from_slice(&bytes[..bytes.len().min(START_KEPT)]);
        }
    }

    fn on_answer(&self, bytes: &[u8]) {
        if self.0.asked.take().is_some() {
            let mut windows = bytes.windows(ENDS_CONNECTION.len());
            self.0.ends.set(windows.any(|window| window == ENDS_CONNECTION));
        }
    }

    fn on_caller_closed(&self) {
        self.0.asked.set(None);
    }

    fn is_answer_due(&self) -> bool {
        self.asked().is_some() && !self.0.ends.get()
    }
}

/// Which side of a connection broke while answers were copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BrokenSide {
    Peer,
    Caller,
}

/// Copies requests until the caller closes, or a further one comes when another configuration is in force; then the peer learns of
/// it. That request stays unread.
async fn copy_requests(
    runtime: Runtime,
    mut caller: TcpStream,
    mut peer: TcpStream,
    progress: Progress,
    handed_on: Rc<dyn ForwardedConnection>,
) {
    let mut copied = Ok(Requests::GoOn);
    while let Ok(Requests::GoOn) = copied {
        copied = copy_requests_once(runtime, &mut caller, &mut peer, &progress, &*handed_on).await;
    }
    if let Ok(Requests::CallerClosed) = copied {
        progress.on_caller_closed();
    }
    // A connection that is closed already needs no further close.
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
        if reads >= PROMPT_READS {
            runtime.sleep(interval).await;
        }
    }
    Ok(())
}

thread_local! {
    /// One buffer for all connections: what is read is written at once, so nothing stays in it.
    static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; BUFFER_SIZE].into_boxed_slice());
}

/// Copies what there is to read, once there is any. Gives whether there was: none comes after the end.
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

/// What follows the bytes of a caller that were copied last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Requests {
    /// More of them.
    GoOn,
    /// None: the caller has closed.
    CallerClosed,
    /// None is copied: another configuration is in force.
    Superseded,
}

/// The same for requests. A caller that has closed by the time its request is read wants no answer, so its request
/// goes nowhere: a late router would send on requests of callers that left long ago.
async fn copy_requests_once(
    runtime: Runtime,
    caller: &mut TcpStream,
    peer: &mut TcpStream,
    progress: &Progress,
    handed_on: &dyn ForwardedConnection,
) -> std::io::Result<Requests> {
    let (next, unwritten) = poll_fn(|context| {
        // Whatever comes while no answer is due begins a request.
        if progress.asked().is_none() && !handed_on.is_current() {
            return Poll::Ready(Ok((Requests::Superseded, Vec::new())));
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
                return Poll::Ready(std::io::Result::Ok((Requests::CallerClosed, Vec::new())));
            }
            progress.on_request(runtime.now(), &buffer[..length]);
            let unwritten = write_some(peer, context, &buffer[..length])?;
            Poll::Ready(Ok((Requests::GoOn, unwritten)))
        })
    })
    .await?;
    peer.write_all(&unwritten).await?;
    Ok(next)
}

/// Writes what the connection takes at once and gives the rest.
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
