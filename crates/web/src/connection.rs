//! One client connection, which knows whether a failed exchange wrote anything.

use crate::counted::{Counted, WriteCount};
use crate::wait::within;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection could not be opened; nothing was sent.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// Refused or unreachable.
    #[display("cannot connect to {address}: {source}")]
    Refused {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// No answer in time.
    #[display("cannot connect to {address} in time")]
    TimedOut {
        /// The address.
        address: SocketAddr,
    },
    /// The HTTP state could not be set up.
    #[display("cannot start HTTP with {address}: {source}")]
    Handshake {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
}

/// An exchange gave no response.
#[derive(Debug, Display, Error)]
#[display("{}: {source}", if *written { "broke after bytes were sent" } else { "nothing was sent" })]
pub struct ExchangeError {
    /// Whether any byte of the request may have left.
    pub written: bool,
    /// The cause.
    pub source: hyper::Error,
}

/// An open connection to a server. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: WriteCount,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ConnectError> {
        let stream = match within(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(source)) => return Err(ConnectError::Refused { address, source }),
            Err(_) => return Err(ConnectError::TimedOut { address }),
        };
        // Without this small messages wait for the acknowledgement of earlier ones; a stream that
        // refuses the option still works.
        let _ = stream.set_nodelay(true);
        let written = WriteCount::default();
        let counted = Counted::new(stream, written.clone());
        let (sender, connection) = handshake(FuturesIo::new(counted))
            .await
            .map_err(|source| ConnectError::Handshake { address, source })?;
        // The driver's own error shows in the exchange that it ends.
        smol::spawn(async move { connection.await.ok() }).detach();
        Ok(Self { sender, written })
    }

    /// Whether a new exchange may begin: the last one has ended cleanly.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let before = self.written.get();
        self.sender
            .send_request(request)
            .await
            .map_err(|source| ExchangeError { written: self.written.get() > before, source })
    }

    /// Bytes written over the connection's life.
    pub fn bytes_written(&self) -> u64 {
        self.written.get()
    }
}
