//! A client connection that reports whether a failed exchange wrote any bytes.

use crate::counted::{Counted, WriteCount};
use crate::http_stream::http_stream;
use crate::metered::ReadMeter;
use crate::wait::within;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

/// An error from opening a connection; nothing was sent.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// The address refused the connection or is unreachable.
    #[display("cannot connect to {address}: {source}")]
    Refused {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The connection was not established in time.
    #[display("cannot connect to {address} in time")]
    TimedOut {
        /// The address.
        address: SocketAddr,
    },
    /// The HTTP connection could not be initialized.
    #[display("cannot start HTTP with {address}: {source}")]
    Handshake {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
}

/// An error of an exchange that got no response head.
#[derive(Debug, Display, Error)]
#[display("{}: {source}", if *written { "broke after bytes were sent" } else { "nothing was sent" })]
pub struct ExchangeError {
    /// Whether any byte of the request was written to the socket.
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
    /// Opens a connection within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ConnectError> {
        let stream = match within(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(source)) => return Err(ConnectError::Refused { address, source }),
            Err(_) => return Err(ConnectError::TimedOut { address }),
        };
        // Disables Nagle's algorithm, which delays small messages; the stream works without it too.
        let _ = stream.set_nodelay(true);
        let written = WriteCount::default();
        let counted = Counted::new(stream, written.clone());
        let stream = http_stream(counted, ReadMeter::unlimited());
        let (sender, connection) = handshake(stream)
            .await
            .map_err(|source| ConnectError::Handshake { address, source })?;
        // An error of the driver is also returned by the exchange in progress.
        smol::spawn(async move { connection.await.ok() }).detach();
        Ok(Self { sender, written })
    }

    /// Returns whether a new exchange can start: the last one has ended cleanly.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
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

    /// Returns the number of bytes written since the connection was opened.
    pub fn bytes_written(&self) -> u64 {
        self.written.get()
    }
}
