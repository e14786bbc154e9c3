//! Accepts HTTP connections within limits and shuts them down gracefully when the router stops.

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use mastbay_web::{MeteredBody, ReadMeter, http_stream};
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use crate::answer_writes::{AnswerWrites, FollowedStream};
use crate::events;
use crate::local_body::LocalBody;
use crate::offload::{AcceptedCaller, HELLO_LENGTH};
use crate::receive_time::record_receive_times;
use crate::request_arrivals::{
    AgeSource, ArrivalStream, ReadDating, ReadDelays, RequestArrivals, SharedArrivals,
};
use crate::runtime::Runtime;
use crate::watched_task::{ConnectionKind, Remote, report_excess, watched};
use crate::write_timeout::WriteTimeoutStream;

/// Limits and options of a listener's connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListenerLimits {
    /// Maximum number of open connections, over all listeners that share one counter. Further ones
    /// are closed unread.
    pub max_connections: usize,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum time between two requests, and for receiving a request's head.
    pub idle_timeout: Duration,
    /// Fraction of new connections, 0 to 1, that are passed to the listener's overflow handler.
    pub overflow_fraction: f64,
    /// Age after which the next answer closes the connection, `None` for no limit.
    pub max_age: Option<Duration>,
    /// Message sent before anything is read, on connections that other routers forward. These send
    /// the age of each request before it.
    pub hello: Option<[u8; HELLO_LENGTH]>,
}

impl ListenerLimits {
    /// Returns how the ages of requests are known.
    fn age_source(&self) -> AgeSource {
        self.hello.map_or(AgeSource::Reading, |_| AgeSource::ForwardingRouter)
    }

    /// Returns how many bytes of a caller may complete neither a head nor a piece of a body.
    fn max_bytes_without_progress(&self) -> u64 {
        MAX_BYTES_WITHOUT_PROGRESS.max(2 * self.head_bytes as u64)
    }
}

/// The result of an [`OverflowHandler`].
pub enum OverflowResult {
    /// The connection was served elsewhere, or closed unread.
    Done,
    /// The listener has to serve the connection itself.
    ServeHere(TcpStream),
}

/// Handles new connections instead of the listener while the router is overloaded.
pub type OverflowHandler =
    Rc<dyn Fn(AcceptedCaller) -> Pin<Box<dyn Future<Output = OverflowResult>>>>;

/// Returns a handler that closes connections without reading from them.
pub fn close_unread() -> OverflowHandler {
    Rc::new(|caller| {
        drop(caller);
        Box::pin(std::future::ready(OverflowResult::Done))
    })
}

/// A one-time signal that wakes all waiting tasks. Clones share the signal.
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
    /// Triggers the signal. Further calls have no effect.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Returns whether the signal was triggered.
    pub fn is_triggered(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits for the signal. Returns at once if it was already triggered.
    pub async fn wait(&self) {
        // Closing the channel is the signal; no value is ever sent.
        let _ = self.receiver.recv().await;
    }
}

/// Delay after closing a connection above the limit. Callers that reconnect at once would otherwise
/// keep the accept loop busy and starve other tasks.
const FULL_BACKOFF: Duration = Duration::from_millis(10);
/// Delay after a failed accept, which otherwise repeats at once while file descriptors are
/// exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8 << 10;
/// How far a request's head may exceed its limit before the connection is closed, in bytes.
const HEAD_SLACK: usize = 2 << 10;

/// How many bytes of a caller may complete nothing, unless the limit of heads asks for more.
const MAX_BYTES_WITHOUT_PROGRESS: u64 = 256 << 10;

/// Length of the accept queue. The usual 128 overflows in bursts, and dropped connection attempts
/// are retried only after a second or more.
const BACKLOG: i32 = 1_024;

/// Send buffer of a socket, in bytes. With automatic sizing it grows to several megabytes, which
/// delays backpressure from a slow caller to the back end.
const SEND_BUFFER: usize = 128 << 10;

/// Opens a listening socket.
///
/// # Errors
/// If the address cannot be bound or an option of the socket cannot be set.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Accepted sockets inherit the size.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_nonblocking(true)?;
    if let Err(error) = record_receive_times(&socket) {
        events::receive_times_unknown(&error);
    }
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener: std::net::TcpListener = socket.into();
    Ok(TcpListener::from(smol::Async::new_nonblocking(listener)?))
}

/// What a listener uses for each of its connections.
pub struct ListenerContext {
    /// Handles the connections that overflow.
    pub overflow: OverflowHandler,
    /// Ends accepting.
    pub stop: StopSignal,
    /// Counts the connections.
    pub open: OpenConnections,
    /// How late bytes are read.
    pub read_delays: ReadDelays,
}

/// Accepts connections until the stop is triggered, then waits until the open ones have finished.
/// `limits` and `handler` are called for each connection, so a new configuration applies to new
/// connections. `handler` gets the address of the remote side, and what it returns gets each request
/// with the time since it began to arrive.
pub async fn serve<H, F>(
    runtime: Runtime,
    listener: TcpListener,
    limits: impl Fn() -> ListenerLimits,
    context: ListenerContext,
    handler: impl Fn(SocketAddr) -> H,
) where
    H: Fn(Request<MeteredBody>, Duration) -> F + 'static,
    F: Future<Output = Response<LocalBody>> + 'static,
{
    let ListenerContext { overflow, stop, open, read_delays } = context;
    // Each connection holds a sender, so the channel closes when the last one has finished.
    let (alive, all_finished) = smol::channel::bounded::<Infallible>(1);
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        match accepted.or(stopped).await {
            None => break,
            // Nothing was read, so the caller can safely retry.
            Some(Ok((stream, _))) if open.count() >= limits().max_connections => {
                drop(stream);
                open.record_refused();
                runtime.sleep(FULL_BACKOFF).await;
            }
            Some(Ok((stream, from))) => {
                let limits = limits();
                let overflows = limits.overflow_fraction > 0.0
                    && rand::random::<f64>() < limits.overflow_fraction;
                let overflow = overflows.then(|| overflow.clone());
                let (handler, alive) = (handler(from), alive.clone());
                let open_guard = OpenGuard::new(&open);
                let remote = Remote { kind: ConnectionKind::Caller, address: from };
                let connected = runtime.now().saturating_sub(read_delays().estimated);
                let caller = AcceptedCaller { stream, connected };
                let serving = ConnectionServer {
                    runtime,
                    remote,
                    limits,
                    stop: stop.clone(),
                    open: open.clone(),
                    read_delays: read_delays.clone(),
                };
                let task = async move {
                    let result = match overflow {
                        None => OverflowResult::ServeHere(caller.stream),
                        Some(overflow) => overflow(caller).await,
                    };
                    if let OverflowResult::ServeHere(stream) = result {
                        serving.serve(AcceptedCaller { stream, connected }, handler).await;
                    }
                    drop(open_guard);
                    drop(alive);
                };
                runtime.spawn(watched(runtime, remote, task)).detach();
            }
            Some(Err(_)) => runtime.sleep(ACCEPT_BACKOFF).await,
        }
    }
    drop(listener);
    drop(alive);
    let _ = all_finished.recv().await;
}

/// Counters of connections, shared by listeners that have a common limit.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections {
    open: Rc<Cell<usize>>,
    refused: Rc<Cell<u32>>,
    write_timeouts: Rc<Cell<u32>>,
}

impl OpenConnections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of connections closed at the limit since the last call.
    pub fn take_refused(&self) -> u32 {
        self.refused.take()
    }

    /// Returns the number of connections closed by a write timeout since the last call.
    pub fn take_write_timeouts(&self) -> u32 {
        self.write_timeouts.take()
    }

    fn record_write_timeout(&self, caller: SocketAddr) {
        self.write_timeouts.set(self.write_timeouts.get().saturating_add(1));
        events::answer_unread(caller);
    }

    fn record_refused(&self) {
        self.refused.set(self.refused.get().saturating_add(1));
    }
}

/// Counts one open connection until it is dropped.
struct OpenGuard(OpenConnections);

impl OpenGuard {
    fn new(open: &OpenConnections) -> Self {
        open.open.set(open.count() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.count().saturating_sub(1));
    }
}

/// Serves one connection.
struct ConnectionServer {
    runtime: Runtime,
    remote: Remote,
    limits: ListenerLimits,
    stop: StopSignal,
    open: OpenConnections,
    read_delays: ReadDelays,
}

impl ConnectionServer {
    async fn serve<H, F>(self, caller: AcceptedCaller, handler: H)
    where
        H: Fn(Request<MeteredBody>, Duration) -> F + 'static,
        F: Future<Output = Response<LocalBody>> + 'static,
    {
        let Self { runtime, remote, limits, .. } = self;
        let arrivals = RequestArrivals::new(limits.age_source());
        let arrivals: SharedArrivals = Rc::new(RefCell::new(arrivals));
        let meter = ReadMeter::new(limits.max_bytes_without_progress());
        let stream = self.monitored_stream(caller, &arrivals);
        let connection = Connection { stream, meter: meter.clone(), arrivals };
        serve_connection(runtime, connection, limits, self.stop, handler).await;
        report_excess(runtime, remote, &meter);
    }

    /// Returns the stream of a caller with all that watches it.
    fn monitored_stream(
        &self,
        caller: AcceptedCaller,
        arrivals: &SharedArrivals,
    ) -> MonitoredStream {
        let AcceptedCaller { stream, connected } = caller;
        // The connection works without the option.
        let _ = stream.set_nodelay(true);
        let (recorder, from) = (self.open.clone(), self.remote.address);
        let on_write_timeout = Rc::new(move || recorder.record_write_timeout(from));
        let receive_times = Box::new(stream.clone());
        let stream = WriteTimeoutStream::new(stream, self.runtime, on_write_timeout);
        let dating = ReadDating::new(connected, self.read_delays.clone(), receive_times);
        ArrivalStream::new(stream, self.runtime, dating, arrivals.clone())
    }
}

/// The stream of a caller with all that watches it.
type MonitoredStream = ArrivalStream<WriteTimeoutStream<TcpStream>>;

/// A connection of a caller with the records of what is read from it.
struct Connection {
    stream: MonitoredStream,
    meter: ReadMeter,
    arrivals: SharedArrivals,
}

async fn serve_connection<H, F>(
    runtime: Runtime,
    connection: Connection,
    limits: ListenerLimits,
    stop: StopSignal,
    handler: H,
) where
    H: Fn(Request<MeteredBody>, Duration) -> F + 'static,
    F: Future<Output = Response<LocalBody>> + 'static,
{
    let Connection { mut stream, meter, arrivals } = connection;
    if let Some(hello) = limits.hello
        && stream.write_all(&hello).await.is_err()
    {
        return;
    }
    let body_meter = meter.clone();
    let writes = AnswerWrites::default();
    let service_writes = writes.clone();
    let close_after = limits.max_age.map(|age| runtime.now() + age);
    let service = service_fn(move |request: Request<Incoming>| {
        let now = runtime.now();
        let began = arrivals.borrow_mut().take_next().unwrap_or(now);
        let (method, writes) = (request.method().clone(), service_writes.clone());
        let request = request.map(|body| MeteredBody::new(body, body_meter.clone()));
        let answer = handler(request, now.since(began));
        async move {
            let mut answer = answer.await;
            if close_after.is_some_and(|close_after| runtime.now() >= close_after) {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(writes.follow(&method, answer))
        }
    });
    let stream = http_stream(FollowedStream::new(stream, writes), meter);
    let connection = http1::Builder::new()
        .timer(runtime.http_timer())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.head_bytes + HEAD_SLACK).max(MIN_BUFFER))
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let finished = async {
        // There is nothing left to do after a connection error.
        let _ = connection.as_mut().await;
        true
    };
    let stopped = async {
        stop.wait().await;
        false
    };
    if !finished.or(stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
