//! A pool of HTTP/1.1 connections to back ends, with one exchange at a time on each. A connection
//! is reused only after a complete exchange. The number of connections per back end is limited.

use crate::chunked_body::ChunkedBody;
use crate::connect_gate::ConnectGate;
use crate::runtime::Runtime;
use crate::throttled_reader::{ReadInterval, ThrottledReader};
use crate::watched_task::{ConnectionKind, Remote, spawn_driver};
use derive_more::{Display, Error};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use mastbay_routing::{BackEnd, BackEndId, ConnectionBounds};
use mastbay_types::Timestamp;
use mastbay_web::{Counted, MeteredBody, ReadMeter, WriteCount, http_stream};
use prometheus_client::metrics::counter::Counter;
use smol::net::TcpStream;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle timeout of connections whose back end sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Fraction of a back end's `Keep-Alive` timeout after which an idle connection is closed, to avoid
/// a race with its close on the other side.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Read buffer of a connection, in bytes; the minimum that hyper accepts.
const READ_BUFFER: usize = 8 << 10;
/// How many bytes of a back end may complete neither a head nor a piece of a body: many times what is
/// read ahead of a slow caller.
const MAX_BYTES_WITHOUT_PROGRESS: u64 = 8 * READ_BUFFER as u64;

/// Why no connection is available. Nothing was sent.
#[derive(Debug, Display, Error)]
pub enum PoolError {
    /// Connecting failed.
    #[display("unreachable")]
    Unreachable,
    /// Connecting timed out.
    #[display("connect_timeout")]
    TimedOut,
    /// This router's limit of connections to the back end is reached.
    #[display("connection_limit")]
    Exhausted,
}

/// An exchange that failed before the head of an answer.
#[derive(Debug, Display, Error)]
#[display("{}", if *written { "broke_after_send" } else { "broke_before_send" })]
pub struct ExchangeError {
    /// Whether any byte of the request may have been sent.
    pub written: bool,
    /// Whether the back end sent too many bytes that completed nothing.
    pub is_excessive: bool,
}

/// An open connection. Dropping it closes it immediately. If it still waits for the head of an
/// answer then, it is reset: otherwise the kernel would go on delivering a request that nobody waits
/// for, seconds later where a link was cut.
pub struct BackEndConnection {
    /// The connection's socket, shared with the driver.
    socket: TcpStream,
    /// Whether a request was sent and the head of its answer has not arrived.
    awaits_head: bool,
    sender: SendRequest<ChunkedBody>,
    written: WriteCount,
    meter: ReadMeter,
    interval: ReadInterval,
    idle_timeout: Duration,
    _driver: smol::Task<()>,
    _open: OpenGuard,
}

impl BackEndConnection {
    fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn exchange(
        &mut self,
        request: Request<ChunkedBody>,
    ) -> Result<Response<MeteredBody>, ExchangeError> {
        let before = self.written.get();
        self.meter.on_progress();
        self.awaits_head = true;
        let answer = self.sender.send_request(request).await;
        self.awaits_head = false;
        let answer = answer.map_err(|_| ExchangeError {
            written: self.written.get() > before,
            is_excessive: self.has_excess_bytes(),
        })?;
        Ok(answer.map(|body| MeteredBody::new(body, self.meter.clone())))
    }

    /// Returns whether reading has failed because the back end sent too many bytes that completed
    /// nothing.
    pub fn has_excess_bytes(&self) -> bool {
        self.meter.excess().is_some()
    }

    /// Sets the interval between reads. With `None`, bytes are read as they arrive.
    pub fn set_read_interval(&self, interval: Option<Duration>) {
        self.interval.set(interval);
    }

    /// Adjusts the idle timeout to the `Keep-Alive` header of an answer.
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.idle_timeout = timeout.mul_f64(KEEP_ALIVE_FRACTION);
        }
    }
}

impl Drop for BackEndConnection {
    fn drop(&mut self) {
        if self.awaits_head {
            // Without the option, the connection is closed regularly.
            let _ = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Parses a `Keep-Alive: timeout=N` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

struct Idle {
    connection: BackEndConnection,
    expires: Timestamp,
}

#[derive(Default)]
struct BackEndConnections {
    idle: Vec<Idle>,
    max_idle: u32,
    open: Rc<Cell<u32>>,
}

/// Counts one open connection until it is dropped.
struct OpenGuard(Rc<Cell<u32>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// The connections to all back ends.
pub struct Pool {
    runtime: Runtime,
    /// Number of connections opened.
    opened: Counter,
    connecting: ConnectGate,
    back_ends: RefCell<HashMap<BackEndId, BackEndConnections>>,
}

impl Pool {
    /// Creates an empty pool that counts the connections it opens.
    pub fn new(runtime: Runtime, opened: Counter) -> Self {
        Self { runtime, opened, connecting: ConnectGate::default(), back_ends: RefCell::default() }
    }

    /// Returns a connection that is ready for an exchange: the most recently used idle one, or a
    /// new one. While many others are connecting to the same address, waits for them, and times out
    /// with the first of them that does.
    pub async fn acquire(
        &self,
        back_end: &BackEnd,
        bounds: ConnectionBounds,
    ) -> Result<BackEndConnection, PoolError> {
        if let Some(connection) = self.take_idle(&back_end.id) {
            return Ok(connection);
        }
        let open = self.register_open(&back_end.id, bounds)?;
        let waiting_since = self.runtime.now();
        let permit = self.connecting.enter(back_end.address).await;
        if let Some(connection) = self.take_idle(&back_end.id) {
            return Ok(connection);
        }
        if permit.has_timed_out_since(waiting_since) {
            return Err(PoolError::TimedOut);
        }
        let connected = self.connect(back_end, open).await;
        if matches!(connected, Err(PoolError::TimedOut)) {
            permit.on_timeout(self.runtime.now());
        }
        connected
    }

    /// Returns whether connecting to `address` fails with "connection refused". Timeouts and
    /// unreachable networks do not count.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connected = self.runtime.within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Returns a connection after a complete exchange. It is closed if the limit of idle ones is
    /// reached.
    pub fn release(&self, id: &BackEndId, connection: BackEndConnection) {
        connection.set_read_interval(None);
        let mut back_ends = self.back_ends.borrow_mut();
        let connections = back_ends.get_mut(id);
        let with_capacity = connections
            .filter(|connections| connections.idle.len() < connections.max_idle as usize);
        if let Some(connections) = with_capacity {
            let expires = self.runtime.now() + connection.idle_timeout;
            connections.idle.push(Idle { connection, expires });
        }
    }

    /// Returns whether there is an idle connection to a back end.
    pub fn has_idle(&self, id: &BackEndId) -> bool {
        self.back_ends.borrow().get(id).is_some_and(|connections| !connections.idle.is_empty())
    }

    /// Closes idle connections that have expired or that the back end has closed. Returns the back
    /// ends to which none is left.
    pub fn sweep(&self) -> Vec<BackEndId> {
        self.connecting.sweep();
        let now = self.runtime.now();
        let mut without_idle = Vec::new();
        for (id, connections) in self.back_ends.borrow_mut().iter_mut() {
            let had_idle = !connections.idle.is_empty();
            connections
                .idle
                .retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            if had_idle && connections.idle.is_empty() {
                without_idle.push(id.clone());
            }
        }
        without_idle
    }

    /// Removes back ends and closes their idle connections.
    pub fn remove(&self, removed: &[BackEndId]) {
        let mut back_ends = self.back_ends.borrow_mut();
        removed.iter().for_each(|id| {
            back_ends.remove(id);
        });
    }

    fn take_idle(&self, id: &BackEndId) -> Option<BackEndConnection> {
        let now = self.runtime.now();
        let mut back_ends = self.back_ends.borrow_mut();
        let idle = &mut back_ends.get_mut(id)?.idle;
        while let Some(candidate) = idle.pop() {
            if candidate.expires > now && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Counts a connection as open unless the limit is reached.
    fn register_open(
        &self,
        id: &BackEndId,
        bounds: ConnectionBounds,
    ) -> Result<OpenGuard, PoolError> {
        let mut back_ends = self.back_ends.borrow_mut();
        let connections = back_ends.entry(id.clone()).or_default();
        connections.max_idle = bounds.idle;
        let open = &connections.open;
        if open.get() >= bounds.open {
            return Err(PoolError::Exhausted);
        }
        open.set(open.get() + 1);
        Ok(OpenGuard(open.clone()))
    }

    async fn connect(
        &self,
        back_end: &BackEnd,
        open: OpenGuard,
    ) -> Result<BackEndConnection, PoolError> {
        let connected =
            self.runtime.within(CONNECT_TIMEOUT, TcpStream::connect(back_end.address)).await;
        let stream = connected.map_err(|_| PoolError::TimedOut)?;
        let stream = stream.map_err(|_| PoolError::Unreachable)?;
        self.opened.inc();
        // The connection works without the option.
        let _ = stream.set_nodelay(true);
        let written = WriteCount::default();
        let interval = ReadInterval::default();
        let throttled = ThrottledReader::new(
            Counted::new(stream.clone(), written.clone()),
            self.runtime,
            interval.clone(),
        );
        let meter = ReadMeter::new(MAX_BYTES_WITHOUT_PROGRESS);
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER);
        let opened = builder.handshake(http_stream(throttled, meter.clone())).await;
        let (sender, driver) = opened.map_err(|_| PoolError::Unreachable)?;
        let remote = Remote { kind: ConnectionKind::BackEnd, address: back_end.address };
        let driver = spawn_driver(self.runtime, remote, meter.clone(), driver);
        let idle_timeout = DEFAULT_IDLE_TIMEOUT;
        Ok(BackEndConnection {
            socket: stream,
            awaits_head: false,
            sender,
            written,
            meter,
            interval,
            idle_timeout,
            _driver: driver,
            _open: open,
        })
    }
}
