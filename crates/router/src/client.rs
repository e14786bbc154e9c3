//! An HTTP client for calls to peers and to the platform, on the router's thread. A connection is
//! reused only after a complete reply.

use crate::body_budget::{BodyBudget, BodyReservation, NO_MEMORY};
use crate::reserved_buffer::{ReserveBodyError, ReservedBody, ReservedBuffer};
use crate::runtime::Runtime;
use crate::watched_task::{ConnectionKind, Remote, spawn_driver};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use mastbay_web::{MeteredBody, ReadMeter, http_stream};
use smol::net::TcpStream;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest read buffer of a connection, in bytes.
const MAX_READ_BUFFER: usize = 64 << 10;
/// How many bytes of a reply may complete neither a head nor a piece of a body.
const MAX_BYTES_WITHOUT_PROGRESS: u64 = 8 * MAX_READ_BUFFER as u64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a call returned no complete reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// Connecting failed or timed out. Nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// The connection failed. The call may have taken effect.
    #[display("broken")]
    Broken,
    /// The reply is larger than allowed. The call may have taken effect.
    #[display("reply_too_large")]
    TooLarge,
    /// Other replies hold the memory for replies. The call may have taken effect.
    #[display("{NO_MEMORY}")]
    NoMemory,
    /// The timeout of the call expired. It may have taken effect.
    #[display("timed_out")]
    TimedOut,
}

impl From<ReserveBodyError> for CallError {
    fn from(error: ReserveBodyError) -> Self {
        match error {
            ReserveBodyError::TooLarge => Self::TooLarge,
            ReserveBodyError::Broken => Self::Broken,
            ReserveBodyError::NoMemory => Self::NoMemory,
        }
    }
}

/// Limits of the replies to a client.
#[derive(Debug, Clone)]
pub struct ReplyLimits {
    /// Maximum size of a reply's body, in bytes.
    pub max_bytes: usize,
    /// What all replies of the router may hold together.
    pub budget: BodyBudget,
}

/// A complete reply.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without any filtering.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The memory that the body holds.
    pub reservation: BodyReservation,
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: ReadMeter,
    _driver: smol::Task<()>,
}

/// A client for one address that keeps at most one idle connection. Calls are meant to be
/// sequential; concurrent ones open further connections.
pub struct LocalClient {
    runtime: Runtime,
    address: SocketAddr,
    limits: ReplyLimits,
    idle: RefCell<Option<OpenConnection>>,
}

impl LocalClient {
    /// Creates a client, which connects at its first call.
    pub fn new(runtime: Runtime, address: SocketAddr, limits: ReplyLimits) -> Self {
        Self { runtime, address, limits, idle: RefCell::default() }
    }

    /// Sends a request and returns the complete reply, whatever its status.
    ///
    /// # Errors
    /// If there is no complete reply within `timeout`, connecting included.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.runtime
            .within(timeout, self.exchange(request))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let idle = self.idle.borrow_mut().take();
        let mut open = match idle.filter(|open| open.sender.is_ready()) {
            Some(open) => open,
            None => self.connect().await?,
        };
        open.meter.on_progress();
        let answer = open.sender.send_request(request).await.map_err(|_| CallError::Broken)?;
        let (head, body) = answer.into_parts();
        let body = self.read(MeteredBody::new(body, open.meter.clone())).await?;
        *self.idle.borrow_mut() = Some(open);
        let ReservedBody { bytes, reservation } = body;
        Ok(Reply { status: head.status, headers: head.headers, body: bytes, reservation })
    }

    async fn read(&self, body: MeteredBody) -> Result<ReservedBody, CallError> {
        let ReplyLimits { max_bytes, budget } = &self.limits;
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > *max_bytes as u64) {
            return Err(CallError::TooLarge);
        }
        let reservation = budget.try_reserve(length).ok_or(CallError::NoMemory)?;
        let buffer = ReservedBuffer::new(*max_bytes, reservation);
        let buffer = buffer.allocate(length.unwrap_or_default() as usize);
        Ok(buffer.read(budget, body).await?)
    }

    async fn connect(&self) -> Result<OpenConnection, CallError> {
        let connected =
            self.runtime.within(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(CallError::Unreachable)?;
        // The connection works without the option.
        let _ = stream.set_nodelay(true);
        let meter = ReadMeter::new(MAX_BYTES_WITHOUT_PROGRESS);
        let stream = http_stream(stream, meter.clone());
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER);
        let opened = builder.handshake(stream).await;
        let (sender, driver) = opened.map_err(|_| CallError::Unreachable)?;
        let remote = Remote { kind: ConnectionKind::Source, address: self.address };
        let driver = spawn_driver(self.runtime, remote, meter.clone(), driver);
        Ok(OpenConnection { sender, meter, _driver: driver })
    }
}
