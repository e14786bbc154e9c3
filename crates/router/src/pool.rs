//! Connections to back ends: one exchange at a time, kept while clean, bounded over the fleet.

use crate::runtime::Runtime;
use crate::throttled_reader::{Paced, ReadPace};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use mastbay_routing::{BackEnd, BackEndId, ConnectionBounds};
use mastbay_types::Timestamp;
use mastbay_web::{Counted, WriteCount};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for a connection to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Time that a connection is kept where the back end tells none.
const DEFAULT_KEEP: Duration = Duration::from_millis(4_000);
/// Part of the time told by the back end for which a connection is kept.
const KEEP_PART: f64 = 0.6;
/// Read buffer of a connection, in bytes; the least that the HTTP library takes.
const READ_BUFFER: usize = 8 << 10;

/// A connection could not be had; nothing was sent.
#[derive(Debug, Display, Error)]
pub enum PoolError {
    /// The back end cannot be reached.
    #[display("unreachable")]
    Unreachable,
    /// No connection came up in time.
    #[display("connect_timeout")]
    TimedOut,
    /// This router has as many connections there as it may.
    #[display("connection_limit")]
    Exhausted,
}

/// An exchange gave no answer.
#[derive(Debug, Display, Error)]
#[display("{}", if *written { "broke_after_send" } else { "broke_before_send" })]
pub struct ExchangeError {
    /// Whether any byte of the request may have left.
    pub written: bool,
}

/// An open connection. Dropping it closes it at once.
pub struct BackEndConnection {
    sender: SendRequest<Full<Bytes>>,
    written: WriteCount,
    pace: ReadPace,
    keep: Duration,
    _driver: smol::Task<()>,
    _counted: OpenCount,
}

impl BackEndConnection {
    fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let before = self.written.get();
        let answer = self.sender.send_request(request).await;
        answer.map_err(|_| ExchangeError { written: self.written.get() > before })
    }

    /// Reads what comes at intervals from now on, or as it comes.
    pub fn set_pace(&self, interval: Option<Duration>) {
        self.pace.set(interval);
    }

    /// Takes over what the back end tells about how long it keeps the connection.
    pub fn note_headers(&mut self, headers: &HeaderMap) {
        if let Some(kept) = keep_alive_timeout(headers) {
            self.keep = kept.mul_f64(KEEP_PART);
        }
    }
}

/// The time in a `Keep-Alive: timeout=N` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

struct Idle {
    connection: BackEndConnection,
    until: Timestamp,
}

#[derive(Default)]
struct BackEndConnections {
    idle: Vec<Idle>,
    most_resting: u32,
    open: Rc<Cell<u32>>,
}

struct OpenCount(Rc<Cell<u32>>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Connections to all back ends.
pub struct Pool {
    runtime: Runtime,
    back_ends: RefCell<HashMap<BackEndId, BackEndConnections>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(runtime: Runtime) -> Self {
        Self { runtime, back_ends: RefCell::default() }
    }

    /// A connection that is ready for an exchange: the one used last, or a new one.
    pub async fn take(
        &self,
        back_end: &BackEnd,
        bounds: ConnectionBounds,
    ) -> Result<BackEndConnection, PoolError> {
        if let Some(connection) = self.take_idle(&back_end.id) {
            return Ok(connection);
        }
        let counted = self.count_open(&back_end.id, bounds)?;
        self.open(back_end, counted).await
    }

    /// Whether an address refuses connections: nothing listens there. One that is silent or out of reach does not.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let connected = self.runtime.within(CONNECT_LIMIT, TcpStream::connect(address)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Keeps a connection whose exchange ended cleanly, unless as many rest there as may.
    pub fn keep(&self, id: &BackEndId, connection: BackEndConnection) {
        connection.set_pace(None);
        let mut back_ends = self.back_ends.borrow_mut();
        let connections = back_ends.get_mut(id);
        let with_room = connections.filter(|kept| kept.idle.len() < kept.most_resting as usize);
        if let Some(connections) = with_room {
            let until = self.runtime.now() + connection.keep;
            connections.idle.push(Idle { connection, until });
        }
    }

    /// Closes connections that have rested for too long.
    pub fn sweep(&self) {
        let now = self.runtime.now();
        for connections in self.back_ends.borrow_mut().values_mut() {
            connections.idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        }
    }

    /// Closes idle connections to back ends that are no longer listed.
    pub fn remove(&self, gone: &[BackEndId]) {
        let mut back_ends = self.back_ends.borrow_mut();
        gone.iter().for_each(|id| {
            back_ends.remove(id);
        });
    }

    fn take_idle(&self, id: &BackEndId) -> Option<BackEndConnection> {
        let now = self.runtime.now();
        let mut back_ends = self.back_ends.borrow_mut();
        let idle = &mut back_ends.get_mut(id)?.idle;
        while let Some(candidate) = idle.pop() {
            if candidate.until > now && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    fn count_open(&self, id: &BackEndId, bounds: ConnectionBounds) -> Result<OpenCount, PoolError> {
        let mut back_ends = self.back_ends.borrow_mut();
        let connections = back_ends.entry(id.clone()).or_default();
        connections.most_resting = bounds.idle;
        let open = &connections.open;
        if open.get() >= bounds.open {
            return Err(PoolError::Exhausted);
        }
        open.set(open.get() + 1);
        Ok(OpenCount(open.clone()))
    }

    async fn open(
        &self,
        back_end: &BackEnd,
        counted: OpenCount,
    ) -> Result<BackEndConnection, PoolError> {
        let connected =
            self.runtime.within(CONNECT_LIMIT, TcpStream::connect(back_end.address)).await;
        let stream = connected.map_err(|_| PoolError::TimedOut)?;
        let stream = stream.map_err(|_| PoolError::Unreachable)?;
        // A stream that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let written = WriteCount::default();
        let pace = ReadPace::default();
        let paced = Paced::new(Counted::new(stream, written.clone()), self.runtime, pace.clone());
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER);
        let (sender, driver) =
            builder.handshake(FuturesIo::new(paced)).await.map_err(|_| PoolError::Unreachable)?;
        // The driver's own error shows in the exchange that it ends.
        let driver = self.runtime.spawn(async move { driver.await.unwrap_or_default() });
        let keep = DEFAULT_KEEP;
        Ok(BackEndConnection { sender, written, pace, keep, _driver: driver, _counted: counted })
    }
}
