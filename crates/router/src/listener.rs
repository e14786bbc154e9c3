//! Accepting connections, and ending them when the router stops.

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use mastbay_web::BodyError;
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use crate::events;
use crate::offload::HELLO_LENGTH;
use crate::runtime::Runtime;
use crate::write_timeout::UnreadGuard;

/// The body of an answer; it need not leave the router's thread.
pub type LocalBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// A body known in full.
pub fn full(bytes: impl Into<Bytes>) -> LocalBody {
    full_with_guard((), bytes)
}

/// A body known in full that keeps `holder` until its last byte is given away.
pub fn full_with_guard<T: Unpin + 'static>(holder: T, bytes: impl Into<Bytes>) -> LocalBody {
    Box::pin(WholeBody { left: bytes.into(), _holder: holder })
}

/// Bytes of a known body that are given away at a time. The HTTP library copies what it is given before it writes any of it: given whole, a
/// list of 0.6 MB that 64 routers fetch at once took 40.8 MB more of the heap.
const PIECE: usize = 32 << 10;

/// A body known in full, in pieces.
struct WholeBody<T> {
    left: Bytes,
    _holder: T,
}

impl<T: Unpin> Body for WholeBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.left.len().min(PIECE);
        let piece = self.left.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}

/// Bounds on connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListenerLimits {
    /// Most connections open at a time.
    pub max_connections: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest time that a connection rests, or that a head takes.
    pub idle_timeout: Duration,
    /// Part of the new connections that are not served but left to the listener's [`Overflow`].
    pub overflow_fraction: f64,
    /// Time after which the next answer ends a connection, if there is any.
    pub max_age: Option<Duration>,
    /// What is sent before anything is read, to routers that hand a connection on.
    pub hello: Option<[u8; HELLO_LENGTH]>,
}

/// What became of a connection that a listener does not serve itself.
pub enum OverflowResult {
    /// It was served elsewhere, or closed unread: its caller then knows that nothing was read.
    Done,
    /// It is served here after all.
    ServeHere(TcpStream),
}

/// Takes connections that a listener does not serve itself.
pub type Overflow = Rc<dyn Fn(TcpStream) -> Pin<Box<dyn Future<Output = OverflowResult>>>>;

/// Closes connections unread.
pub fn close_unread() -> Overflow {
    Rc::new(|stream| {
        drop(stream);
        Box::pin(std::future::ready(OverflowResult::Done))
    })
}

/// Closed once: wakes all that wait for it.
#[derive(Debug, Clone)]
pub struct StopSignal {
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Default for StopSignal {
    fn default() -> Self {
        let (sender, receiver) = smol::channel::bounded(1);
        Self { sender, receiver }
    }
}

impl StopSignal {
    /// Gives the signal.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        // The channel carries nothing; it only closes.
        let _ = self.receiver.recv().await;
    }
}

/// Pause after a connection that finds the listener full. Without it a router with 1,600 open connections took no turn
/// for 3 s, by its own lateness, while callers came back at once.
const FULL_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;
/// What a head may take beyond its limit before the connection is ended, in bytes.
const HEAD_SLACK: usize = 2 << 10;

/// Connections that the operating system holds until they are accepted. The usual 128 overflow when
/// many callers come at once, and those that are dropped try again only seconds later.
const BACKLOG: i32 = 1_024;

/// What the operating system holds of an answer that its caller does not read, in bytes. It grows to some megabytes otherwise, and a
/// back end learns only then that nobody reads; at round trips of 3 ms it carries 40 MB a second.
const SEND_BUFFER: usize = 128 << 10;

/// Opens a listening address.
///
/// # Errors
/// If the operating system refuses it.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Connections that are accepted have the same.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener: std::net::TcpListener = socket.into();
    Ok(TcpListener::from(smol::Async::new_nonblocking(listener)?))
}

/// Serves connections until the stop is signalled, then until the last has ended. `limits` are asked for
/// each connection, since a configuration may change them, and so is `handler`, by the address that connects.
pub async fn serve<H, F>(
    runtime: Runtime,
    listener: TcpListener,
    limits: impl Fn() -> ListenerLimits,
    overflow: Overflow,
    stop: StopSignal,
    open: OpenConnections,
    handler: impl Fn(SocketAddr) -> H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<LocalBody>> + 'static,
{
    let (alive, all_ended) = smol::channel::bounded::<Infallible>(1);
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        match accepted.or(stopped).await {
            None => break,
            // Dropped unread: its caller knows that nothing was read. Callers that come back at once would otherwise
            // keep this loop busy, and nothing else would run.
            Some(Ok((stream, _))) if open.count() >= limits().max_connections => {
                drop(stream);
                open.note_refused();
                runtime.sleep(FULL_PAUSE).await;
            }
            Some(Ok((stream, from))) => {
                let limits = limits();
                let overflows = limits.overflow_fraction > 0.0
                    && rand::random::<f64>() < limits.overflow_fraction;
                let overflow = overflows.then(|| overflow.clone());
                let (handler, stop, alive) = (handler(from), stop.clone(), alive.clone());
                let counted = Counted::new(&open);
                let noting = open.clone();
                let on_unread = Rc::new(move || noting.note_unread(from));
                let task = runtime.spawn(async move {
                    let here = match overflow {
                        None => OverflowResult::ServeHere(stream),
                        Some(overflow) => overflow(stream).await,
                    };
                    if let OverflowResult::ServeHere(stream) = here {
                        // A stream that refuses the option still works.
                        let _ = stream.set_nodelay(true);
                        let stream = UnreadGuard::new(stream, runtime, on_unread);
                        serve_connection(runtime, stream, limits, stop, handler).await;
                    }
                    drop(counted);
                    drop(alive);
                });
                task.detach();
            }
            Some(Err(_)) => runtime.sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    drop(alive);
    let _ = all_ended.recv().await;
}

/// Connections that are open at listeners, and those that found them full.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections {
    open: Rc<Cell<usize>>,
    refused: Rc<Cell<u32>>,
    unread: Rc<Cell<u32>>,
}

impl OpenConnections {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.open.get()
    }

    /// The number of connections closed unread since the last call, because as many as may be open were open.
    pub fn take_refused(&self) -> u32 {
        self.refused.take()
    }

    /// The number of connections ended since the last call, because their callers did not read what they asked for.
    pub fn take_write_timeouts(&self) -> u32 {
        self.unread.take()
    }

    fn note_unread(&self, caller: SocketAddr) {
        self.unread.set(self.unread.get().saturating_add(1));
        events::answer_unread(caller);
    }

    fn note_refused(&self) {
        self.refused.set(self.refused.get().saturating_add(1));
    }
}

struct Counted(OpenConnections);

impl Counted {
    fn new(open: &OpenConnections) -> Self {
        open.open.set(open.count() + 1);
        Self(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.set(self.0.count().saturating_sub(1));
    }
}

async fn serve_connection<H, F>(
    runtime: Runtime,
    mut stream: UnreadGuard<TcpStream>,
    limits: ListenerLimits,
    stop: StopSignal,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<LocalBody>> + 'static,
{
    if let Some(hello) = limits.hello
        && stream.write_all(&hello).await.is_err()
    {
        return;
    }
    let ends = limits.max_age.map(|life| runtime.now() + life);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move {
            let mut answer = answer.await;
            if ends.is_some_and(|ends| runtime.now() >= ends) {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(runtime.http_timer())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.head_bytes + HEAD_SLACK).max(LEAST_BUFFER))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = async {
        // A connection that its caller broke needs no answer.
        let _ = connection.as_mut().await;
        true
    };
    let stopped = async {
        stop.wait().await;
        false
    };
    if !ended.or(stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
