//! An HTTP server with graceful shutdown: it stops accepting connections, completes the requests in
//! progress, and returns when the last connection is closed.

use crate::body::Body;
use crate::handshakes::{HANDSHAKE_GRACE, refuse_handshakes};
use crate::http_stream::http_stream;
use crate::metered::ReadMeter;
use crate::wait::within;
use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::channel::{Receiver, Sender};
use smol::future::{Future, FutureExt, poll_once};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::SmolTimer;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Settings of a [`Server`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerConfig {
    /// Largest number of open connections; further ones are closed when accepted.
    pub max_connections: usize,
    /// Largest head of a request, in bytes.
    pub head_limit: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self { max_connections: 4_096, head_limit: 32 << 10, head_timeout: Duration::from_secs(10) }
    }
}

/// An error from binding a listening address.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {source}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// The cause.
    pub source: std::io::Error,
}

/// Number of open connections, and of refused and malformed ones since the start.
#[derive(Debug, Default)]
struct Counts {
    open: AtomicUsize,
    refused: AtomicU64,
    malformed: AtomicU64,
}

/// A server that listens; it accepts connections once it runs.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    config: ServerConfig,
    stop_sender: Sender<Infallible>,
    stop: Receiver<Infallible>,
    counts: Arc<Counts>,
}

/// A handle that stops a server and reads its counts.
#[derive(Debug, Clone)]
pub struct Stopper {
    stop: Sender<Infallible>,
    counts: Arc<Counts>,
}

impl Stopper {
    /// Starts the graceful shutdown: no new connections are accepted and each open one is closed
    /// when its exchange has ended.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Returns the number of connections refused because too many were open.
    pub fn refused_connections(&self) -> u64 {
        self.counts.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of connections closed for malformed or oversized heads.
    pub fn malformed_requests(&self) -> u64 {
        self.counts.malformed.load(Ordering::Relaxed)
    }
}

impl Server {
    /// Binds a listening address; port 0 picks a free port.
    pub async fn bind(address: SocketAddr, config: ServerConfig) -> Result<Self, BindError> {
        let failed = |source| BindError { address, source };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let (stop_sender, stop) = smol::channel::bounded(1);
        let counts = Arc::default();
        Ok(Self { listener, address, config, stop_sender, stop, counts })
    }

    /// Returns the bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to stop the server.
    pub fn stopper(&self) -> Stopper {
        Stopper { stop: self.stop_sender.clone(), counts: self.counts.clone() }
    }

    /// Serves until stopped and the last connection is closed.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (open, all_ended) = smol::channel::bounded::<Infallible>(1);
        let stopped = async {
            // The channel never carries a value; closing it is the signal.
            let _ = self.stop.recv().await;
        };
        let mut stopped = pin!(stopped);
        self.accept_until(&mut stopped, &handler, &open).await;
        self.accept_remaining(&handler, &open).await;
        drop(open);
        drop(self.listener);
        let _ = all_ended.recv().await;
    }

    /// Accepts connections until `over` completes.
    async fn accept_until<H, F>(
        &self,
        mut over: impl Future<Output = ()> + Unpin,
        handler: &H,
        open: &Sender<Infallible>,
    ) where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        loop {
            let accepted = async { Some(self.listener.accept().await) };
            let over = async {
                (&mut over).await;
                None
            };
            match accepted.or(over).await {
                None => return,
                Some(Ok((stream, peer))) => self.admit(stream, peer, handler, open),
                // Out of file descriptors, or the client aborted the connection.
                Some(Err(_)) => drop(smol::Timer::after(ACCEPT_BACKOFF).await),
            }
        }
    }

    /// Stops new handshakes and accepts the connections that are established or about to be, since
    /// closing the listener would reset them.
    async fn accept_remaining<H, F>(&self, handler: &H, open: &Sender<Infallible>)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        match refuse_handshakes(&self.listener) {
            Ok(()) => {
                let over = async {
                    smol::Timer::after(HANDSHAKE_GRACE).await;
                };
                self.accept_until(pin!(over), handler, open).await;
            }
            // Connections established between the last accept and the close are reset.
            Err(error) => tracing::warn!(event = "handshakes_not_refused", error = %error),
        }
        self.accept_queued(handler, open).await;
    }

    async fn accept_queued<H, F>(&self, handler: &H, open: &Sender<Infallible>)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        while let Some(Ok((stream, peer))) = poll_once(self.listener.accept()).await {
            self.admit(stream, peer, handler, open);
        }
    }

    fn admit<H, F>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        handler: &H,
        open: &Sender<Infallible>,
    ) where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        if self.counts.open.load(Ordering::SeqCst) >= self.config.max_connections {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.counts.open.fetch_add(1, Ordering::SeqCst);
        let guard = OpenConnection { counts: self.counts.clone(), _open: open.clone() };
        let (handler, stop, config) = (handler.clone(), self.stop.clone(), self.config.clone());
        smol::spawn(async move {
            serve_connection(stream, peer, handler, stop, config, &guard.counts).await;
            drop(guard);
        })
        .detach();
    }
}

/// Time for the first request of a connection to arrive after the server was stopped: it may
/// already be on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

struct OpenConnection {
    counts: Arc<Counts>,
    _open: Sender<Infallible>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A signal that a connection has received its first request.
#[derive(Debug, Clone)]
struct FirstRequest {
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Default for FirstRequest {
    fn default() -> Self {
        let (sender, receiver) = smol::channel::bounded(1);
        Self { sender, receiver }
    }
}

impl FirstRequest {
    fn mark_received(&self) {
        self.sender.close();
    }

    /// Waits for the first request, for at most `limit`.
    async fn wait(&self, limit: Duration) {
        // Closing the channel is the signal; the caller proceeds after a timeout too.
        let _ = within(limit, self.receiver.recv()).await;
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: H,
    stop: Receiver<Infallible>,
    config: ServerConfig,
    counts: &Counts,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Disables Nagle's algorithm; the stream works without it too.
    let _ = stream.set_nodelay(true);
    let first_request = FirstRequest::default();
    let service = service_fn({
        let first_request = first_request.clone();
        move |request| {
            first_request.mark_received();
            let answer = handler(request, peer);
            async move { Ok::<_, Infallible>(answer.await) }
        }
    });
    let stream = http_stream(stream, ReadMeter::unlimited());
    let mut connection = pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(config.head_timeout)
            .max_buf_size(config.head_limit)
            .serve_connection(stream, service)
    );
    let ended = async { Some(connection.as_mut().await) };
    let stopped = async {
        let _ = stop.recv().await;
        first_request.wait(FIRST_REQUEST_GRACE).await;
        None
    };
    let result = match ended.or(stopped).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if result.is_err_and(|error| error.is_parse()) {
        counts.malformed.fetch_add(1, Ordering::Relaxed);
    }
}
