//! Connection offload: a router with more to do than it carries hands new connections of callers to a peer.
//!
//! The connection is copied byte by byte and not read, which costs a fraction of serving its requests, and what comes
//! back is copied at intervals. The peer greets before the first byte of the caller goes out, so a connection that no
//! peer takes is whole and can still be served or closed here. Connections that a peer was handed go no further.
//!
//! Both routers have the same configuration in force when a connection is handed on, the peer serves it by that one, and it
//! carries one request: whatever comes in force later at either of them, callers of one address meet one configuration.

use crate::runtime::Runtime;
use derive_more::{Display, Error};
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
pub const GREETING_LENGTH: usize = 9;
/// What a greeting begins with.
const TAKEN: u8 = b'+';
/// Time for a peer to take a connection: several times a round trip between machines of a zone.
const GREETING_LIMIT: Duration = Duration::from_millis(150);
/// Bytes copied at a time.
const BUFFER_SIZE: usize = 32 << 10;
/// Reads of an answer that are not delayed: its head may come before its first event.
const PROMPT_READS: u32 = 2;

/// What a peer sends first on a connection that it takes: a plus sign and the version of the configuration that it serves it by,
/// in eight bytes, the highest first.
pub fn greeting(version: u64) -> [u8; GREETING_LENGTH] {
    let mut greeting = [TAKEN; GREETING_LENGTH];
    greeting[1..].copy_from_slice(&version.to_be_bytes());
    greeting
}

/// The version that a greeting tells; nothing if it is none.
fn greeted_version(greeting: [u8; GREETING_LENGTH]) -> Option<u64> {
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
    NoRoom,
    /// It was silent.
    #[display("silent")]
    Silent,
    /// It has another version of the configuration in force.
    #[display("other_configuration")]
    OtherConfiguration {
        /// That version.
        peer: u64,
    },
}

/// A connection to a peer that has taken one of this router's callers.
pub struct Offloaded(TcpStream);

/// Asks a peer to take a connection, which it must serve by version `version` of the configuration.
///
/// # Errors
/// If it does not.
pub async fn ask(
    runtime: Runtime,
    peer: SocketAddr,
    version: u64,
) -> Result<Offloaded, OffloadError> {
    let greeted = async {
        let mut stream = TcpStream::connect(peer).await.map_err(OffloadError::Unreachable)?;
        // A stream that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let mut greeting = [0; GREETING_LENGTH];
        stream.read_exact(&mut greeting).await.map_err(|_| OffloadError::NoRoom)?;
        // A change reaches routers up to a second apart. Without this callers of one address were answered by a newer version and
        // 0.29 s later by an older one, as 85 processes with changes in series showed.
        match greeted_version(greeting) {
            Some(peer) if peer == version => Ok(Offloaded(stream)),
            Some(peer) => Err(OffloadError::OtherConfiguration { peer }),
            None => Err(OffloadError::NoRoom),
        }
    };
    runtime.within(GREETING_LIMIT, greeted).await.unwrap_or(Err(OffloadError::Silent))
}

impl Offloaded {
    /// Copies both ways until either side closes, for `limit` at most. Answers are copied at `interval` after their beginning.
    pub async fn copy(
        self,
        runtime: Runtime,
        caller: TcpStream,
        interval: Duration,
        limit: Duration,
    ) -> Copied {
        // A stream that refuses the option still works.
        let _ = caller.set_nodelay(true);
        // A task of its own: polled together, each piece of an answer would cost a vain read of the caller's side. With
        // one shared buffer and fewer prompt reads this raised what a router of 0.12 core hands on from 430 to 820
        // connections a second, counted by the router.
        let progress = Progress::default();
        let requests = copy_requests(caller.clone(), self.0.clone(), progress.clone());
        let requests = runtime.spawn(requests);
        let answers = copy_answers(runtime, self.0, caller.clone(), interval, &progress);
        // A peer that stands still neither answers nor closes: its callers got no answer until it went on, 0.38 s after the time-out
        // of a route of 1 s on 85 processes, and for as long as the peer stood still where it took longer.
        let copied = runtime.within(limit, answers).await;
        drop(requests);
        let loss = match copied {
            Ok(Err(BrokenSide::Caller)) => return Copied::Ended,
            Ok(Ok(()) | Err(BrokenSide::Peer)) => Loss::PeerGone,
            Err(_) => Loss::PeerSilent,
        };
        // Without a word each caller would see its connection close. With four requests lost so at one moment a router that is
        // well counts as one that drops requests.
        if progress.is_answer_due() { Copied::Unanswered { caller, loss } } else { Copied::Ended }
    }
}

/// How the copying of a connection ended.
#[derive(Debug)]
pub enum Copied {
    /// By either side, and no answer was due, or it had begun.
    Ended,
    /// The peer gave no byte of an answer to a request, and the caller waits.
    Unanswered {
        /// The caller.
        caller: TcpStream,
        /// Why there was none.
        loss: Loss,
    },
}

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Loss {
    /// Its connection ended.
    #[display("gone")]
    PeerGone,
    /// It was silent for as long as the request may take.
    #[display("silent")]
    PeerSilent,
}

/// How far a connection that is copied unread has come.
#[derive(Debug, Clone, Default)]
struct Progress(Rc<ProgressCells>);

#[derive(Debug, Default)]
struct ProgressCells {
    /// Bytes of a request were copied.
    is_asked: Cell<bool>,
    /// Bytes of its answer were copied.
    is_answered: Cell<bool>,
    /// The caller has closed and waits for nothing.
    has_left: Cell<bool>,
}

impl Progress {
    fn on_request(&self) {
        self.0.is_asked.set(true);
    }

    fn on_answer(&self) {
        self.0.is_answered.set(true);
    }

    fn on_caller_closed(&self) {
        self.0.has_left.set(true);
    }

    fn is_answer_due(&self) -> bool {
        self.0.is_asked.get() && !self.0.is_answered.get() && !self.0.has_left.get()
    }
}

/// Which side of a connection broke while answers were copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BrokenSide {
    Peer,
    Caller,
}

/// Copies requests until the caller closes; then the peer learns of it.
async fn copy_requests(mut caller: TcpStream, mut peer: TcpStream, progress: Progress) {
    let mut goes_on = Ok(true);
    while let Ok(true) = goes_on {
        goes_on = copy_requests_once(&mut caller, &mut peer, &progress).await;
    }
    if let Ok(false) = goes_on {
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
                progress.on_answer();
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

/// The same for requests. A caller that has closed by the time its request is read wants no answer, so its request
/// goes nowhere: a late router would send on requests of callers that left long ago.
async fn copy_requests_once(
    caller: &mut TcpStream,
    peer: &mut TcpStream,
    progress: &Progress,
) -> std::io::Result<bool> {
    let (goes_on, unwritten) = poll_fn(|context| {
        BUFFER.with_borrow_mut(|buffer| {
            let mut length = ready!(Pin::new(&mut *caller).poll_read(context, buffer))?;
            while length > 0 && length < buffer.len() {
                match Pin::new(&mut *caller).poll_read(context, &mut buffer[length..])? {
                    Poll::Ready(0) => length = 0,
                    Poll::Ready(more) => length += more,
                    Poll::Pending => break,
                }
            }
            if length > 0 {
                progress.on_request();
            }
            let unwritten = write_some(peer, context, &buffer[..length])?;
            Poll::Ready(std::io::Result::Ok((length > 0, unwritten)))
        })
    })
    .await?;
    peer.write_all(&unwritten).await?;
    Ok(goes_on)
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
