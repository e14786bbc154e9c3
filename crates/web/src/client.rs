//! HTTP client for calls between processes, with a pool of idle connections.

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
    /// Timeout for opening a connection.
    pub connect_limit: Duration,
    /// Largest response body accepted, in bytes.
    pub body_limit: usize,
    /// Largest number of idle connections kept for each address.
    pub idle_per_address: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self { connect_limit: Duration::from_millis(500), body_limit: 8 << 20, idle_per_address: 2 }
    }
}

/// An error of a call that got no complete reply.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    #[display("{_0}")]
    Connect(ConnectError),
    /// The exchange failed before the head of the response.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The response body could not be read.
    #[display("{_0}")]
    Body(ReadBodyError),
    /// No complete reply arrived in time; the call may have taken effect.
    #[display("no reply in time")]
    TimedOut,
}

/// A response whose body has been read.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// An HTTP client that reuses connections.
#[derive(Debug)]
pub struct Client {
    config: ClientConfig,
    idle: IdleConnections,
}

impl Client {
    /// Creates a client with an empty pool of connections.
    pub fn new(config: ClientConfig) -> Self {
        let idle = IdleConnections::new(config.idle_per_address);
        Self { config, idle }
    }

    /// Sends a request and reads the whole reply within `limit`. The request is retried once, on a
    /// new connection, only if a pooled connection failed before any byte was written.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        match within(limit, self.call_without_timeout(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut),
        }
    }

    async fn call_without_timeout(
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
