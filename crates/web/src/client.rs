//! Calls between processes, over connections kept open.

use crate::body::{ReadBodyError, read_limited};
use crate::connection::{ConnectError, Connection, ExchangeError};
use crate::idle::IdleConnections;
use crate::wait::within;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a [`Client`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    /// Time to open a connection.
    pub connect_limit: Duration,
    /// Largest response body accepted, in bytes.
    pub body_limit: usize,
    /// Idle connections kept for each address.
    pub idle_per_address: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self { connect_limit: Duration::from_millis(500), body_limit: 8 << 20, idle_per_address: 2 }
    }
}

/// Why a call gave no reply.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection; nothing was sent.
    #[display("{_0}")]
    Connect(ConnectError),
    /// The exchange failed.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The response body could not be read.
    #[display("{_0}")]
    Body(ReadBodyError),
    /// No reply in time; the call may have taken effect.
    #[display("no reply in time")]
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

/// A client that keeps connections open.
#[derive(Debug)]
pub struct Client {
    config: ClientConfig,
    idle: IdleConnections,
}

impl Client {
    /// A client without connections.
    pub fn new(config: ClientConfig) -> Self {
        let idle = IdleConnections::new(config.idle_per_address);
        Self { config, idle }
    }

    /// Makes a call. It is sent a second time only if the first certainly sent nothing.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        match within(limit, self.call_unbounded(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut),
        }
    }

    async fn call_unbounded(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, CallError> {
        if let Some(connection) = self.idle.take(address) {
            match self.exchange(address, connection, request.clone()).await {
                Err(CallError::Exchange(error)) if !error.written => {}
                result => return result,
            }
        }
        let opened = Connection::open(address, self.config.connect_limit).await;
        self.exchange(address, opened.map_err(CallError::Connect)?, request).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, CallError> {
        let response = connection.exchange(request).await.map_err(CallError::Exchange)?;
        let (head, body) = response.into_parts();
        let body = read_limited(body, self.config.body_limit).await.map_err(CallError::Body)?;
        self.idle.keep(address, connection);
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}
