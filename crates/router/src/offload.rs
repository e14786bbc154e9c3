//! Connection offload: a router with more to do than it carries hands new connections of callers to a peer.
//!
//! The connection is copied byte by byte and not read, which costs a fraction of serving its requests, and what comes
//! back is copied at intervals. The peer greets before the first byte of the caller goes out, so a connection that no
//! peer takes is whole and can still be served or closed here. Connections that a peer was handed go no further.

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

/// What a peer sends first on a connection that it takes.
pub const GREETING: &[u8] = b"+";
/// Time for a peer to take a connection: several times a round trip between machines of a zone.
const GREETING_LIMIT: Duration = Duration::from_millis(150);
/// Bytes copied at a time.
const BUFFER_SIZE: usize = 32 << 10;
/// Reads of an answer that are not delayed: its head may come before its first event.
const PROMPT_READS: u32 = 2;

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
}

/// A connection to a peer that has taken one of this router's callers.
pub struct Offloaded(TcpStream);

/// Asks a peer to take a connection.
///
/// # Errors
/// If it does not.
pub async fn ask(runtime: Runtime, peer: SocketAddr) -> Result<Offloaded, OffloadError> {
    let greeted = async {
        let mut stream = TcpStream::connect(peer).await.map_err(OffloadError::Unreachable)?;
        // A stream that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let mut greeting = [0; GREETING.len()];
        stream.read_exact(&mut greeting).await.map_err(|_| OffloadError::NoRoom)?;
        if greeting == GREETING { Ok(Offloaded(stream)) } else { Err(OffloadError::NoRoom) }
    };
    runtime.within(GREETING_LIMIT, greeted).await.unwrap_or(Err(OffloadError::Silent))
}

impl Offloaded {
    /// Copies both ways until either side closes. Answers are copied at `interval` after their beginning. A caller whose
    /// request the peer took and of whose answer no byte came is sent `unanswered`.
    pub async fn copy(
        self,
        runtime: Runtime,
        mut caller: TcpStream,
        interval: Duration,
        unanswered: &[u8],
    ) -> Copied {
        // A stream that refuses the option still works.
        let _ = caller.set_nodelay(true);
        // A task of its own: polled together, each piece of an answer would cost a vain read of the caller's side. With
        // one shared buffer and fewer prompt reads this raised what a router of 0.12 core hands on from 430 to 820
        // connections a second, counted by the router.
        let progress = Progress::default();
        let requests = copy_requests(caller.clone(), self.0.clone(), progress.clone());
        let requests = runtime.spawn(requests);
        let copied = copy_answers(runtime, self.0, caller.clone(), interval, &progress).await;
        drop(requests);
        // The peer has gone, killed most likely: without a word each caller would see its connection close. With four requests
        // lost so at one moment a router that is well counts as one that drops requests.
        if copied != Err(BrokenSide::Caller) && progress.is_answer_due() {
            // A caller that has gone too needs no word. Both connections are closed by dropping them.
            let _ = caller.write_all(unanswered).await;
            return Copied::Unanswered;
        }
        Copied::Whole
    }
}

/// How the copying of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Copied {
    /// By either side, and no answer was due.
    Whole,
    /// The peer gave no answer to a request.
    Unanswered,
}

/// How far a connection that is copied unread has come.
#[derive(Debug, Clone, Default)]
struct Progress(Rc<ProgressCells>);

#[derive(Debug, Default)]
struct ProgressCells {
    /// Bytes of the caller were copied since the last byte of an answer: a request awaits its answer.
    awaits: Cell<bool>,
    /// The last answer ends the connection: what the caller sends after it is not read.
    ends: Cell<bool>,
}

/// The header of an answer that ends its connection, as routers write it.
const ENDS_CONNECTION: &[u8] = b"\r\nconnection: close\r\n";

impl Progress {
    fn on_request(&self) {
        self.0.awaits.set(true);
    }

    fn on_answer(&self, bytes: &[u8]) {
        if self.0.awaits.replace(false) {
            let mut windows = bytes.windows(ENDS_CONNECTION.len());
            self.0.ends.set(windows.any(|window| window == ENDS_CONNECTION));
        }
    }

    fn on_caller_closed(&self) {
        self.0.awaits.set(false);
    }

    fn is_answer_due(&self) -> bool {
        self.0.awaits.get() && !self.0.ends.get()
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
