//! A client for calls to peers and to sources, on the router's thread. A connection that gave no whole
//! reply is never used again.

use crate::runtime::Runtime;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, StatusCode};
use mastbay_web::read_limited;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest reply, in bytes.
const REPLY_LIMIT: usize = 32 << 20;
/// Longest time for a connection to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);

/// Why a call gave no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// No connection came up; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// The connection broke; the call may have taken effect.
    #[display("broken")]
    Broken,
    /// No whole reply came in time; the call may have taken effect.
    #[display("timed_out")]
    TimedOut,
}

/// A whole reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

struct Open {
    sender: SendRequest<Full<Bytes>>,
    _driver: smol::Task<()>,
}

/// Calls to one address, one at a time, over a connection that is kept.
pub struct LocalClient {
    runtime: Runtime,
    address: SocketAddr,
    kept: RefCell<Option<Open>>,
}

impl LocalClient {
    /// A client without a connection.
    pub fn new(runtime: Runtime, address: SocketAddr) -> Self {
        Self { runtime, address, kept: RefCell::default() }
    }

    /// Makes a call and waits `limit` at most for its whole reply.
    ///
    /// # Errors
    /// If no whole reply came.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        self.runtime.within(limit, self.exchange(request)).await.unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let kept = self.kept.borrow_mut().take();
        let mut open = match kept.filter(|open| open.sender.is_ready()) {
            Some(open) => open,
            None => self.open().await?,
        };
        let answer = open.sender.send_request(request).await.map_err(|_| CallError::Broken)?;
        let (head, body) = answer.into_parts();
        let body = read_limited(body, REPLY_LIMIT).await;
        let body = body.map_err(|_| CallError::Broken)?;
        *self.kept.borrow_mut() = Some(open);
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    async fn open(&self) -> Result<Open, CallError> {
        let connected = self.runtime.within(CONNECT_LIMIT, TcpStream::connect(self.address)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(CallError::Unreachable)?;
        // A stream that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let opened = handshake(FuturesIo::new(stream)).await;
        let (sender, driver) = opened.map_err(|_| CallError::Unreachable)?;
        // The driver's own error shows in the call that it ends.
        let driver = self.runtime.spawn(async move { driver.await.unwrap_or_default() });
        Ok(Open { sender, _driver: driver })
    }
}
