//! A server whose stop is a phase of its own: it accepts nothing new, lets what runs end, and says
//! when all has ended.

use crate::body::Body;
use crate::handshakes::{HANDSHAKE_TIME, refuse_handshakes};
use crate::wait::within;
use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::channel::{Receiver, Sender};
use smol::future::{Future, FutureExt, poll_once};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Settings of a [`Server`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerConfig {
    /// Most connections open at a time; more are closed at once.
    pub most_connections: usize,
    /// Largest head of a request, in bytes.
    pub head_limit: usize,
    /// Time that the head of a request may take to arrive.
    pub head_time: Duration,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self { most_connections: 4_096, head_limit: 32 << 10, head_time: Duration::from_secs(10) }
    }
}

/// A listening address could not be opened.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {source}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// The cause.
    pub source: std::io::Error,
}

/// Counts of a server since its start.
#[derive(Debug, Default)]
struct Counts {
    open: AtomicUsize,
    refused: AtomicU64,
    malformed: AtomicU64,
}

/// A server that listens but does not accept yet.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    config: ServerConfig,
    stop_sender: Sender<Infallible>,
    stop: Receiver<Infallible>,
    counts: Arc<Counts>,
}

/// Stops a server and tells its counts.
#[derive(Debug, Clone)]
pub struct Stopper {
    stop: Sender<Infallible>,
    counts: Arc<Counts>,
}

impl Stopper {
    /// Accepts no new connection and closes each open one when its exchange has ended.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Connections refused because too many were open.
    pub fn refused_connections(&self) -> u64 {
        self.counts.refused.load(Ordering::Relaxed)
    }

    /// Connections ended for malformed or oversized heads.
    pub fn malformed_requests(&self) -> u64 {
        self.counts.malformed.load(Ordering::Relaxed)
    }
}

impl Server {
    /// Opens the listening address. Port 0 picks a free one.
    pub async fn bind(address: SocketAddr, config: ServerConfig) -> Result<Self, BindError> {
        let failed = |source| BindError { address, source };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let (stop_sender, stop) = smol::channel::bounded(1);
        let counts = Arc::default();
        Ok(Self { listener, address, config, stop_sender, stop, counts })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle to stop it.
    pub fn stopper(&self) -> Stopper {
        Stopper { stop: self.stop_sender.clone(), counts: self.counts.clone() }
    }

    /// Serves until stopped, then until the last connection has ended.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (open, all_ended) = smol::channel::bounded::<Infallible>(1);
        let stopped = async {
            // The channel carries nothing; it only closes.
            let _ = self.stop.recv().await;
        };
        let mut stopped = pin!(stopped);
        self.admit_until(&mut stopped, &handler, &open).await;
        self.admit_last(&handler, &open).await;
        drop(open);
        drop(self.listener);
        let _ = all_ended.recv().await;
    }

    /// Takes connections until `over` ends.
    async fn admit_until<H, F>(
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
                // Out of descriptors or an aborted connection: wait a little, go on.
                Some(Err(_)) => drop(smol::Timer::after(ACCEPT_PAUSE).await),
            }
        }
    }

    /// Takes the connections that the operating system has accepted for us, or is about to: closing the listener would
    /// break them. Without an end of new handshakes first, 9 and 14 connections broke in 60 stops under six callers that
    /// connect all the time.
    async fn admit_last<H, F>(&self, handler: &H, open: &Sender<Infallible>)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        match refuse_handshakes(&self.listener) {
            Ok(()) => {
                let over = async {
                    smol::Timer::after(HANDSHAKE_TIME).await;
                };
                self.admit_until(pin!(over), handler, open).await;
            }
            // What comes between the last look and the close is broken then.
            Err(error) => tracing::warn!(event = "handshakes_not_refused", error = %error),
        }
        self.admit_waiting(handler, open).await;
    }

    async fn admit_waiting<H, F>(&self, handler: &H, open: &Sender<Infallible>)
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
        if self.counts.open.load(Ordering::SeqCst) >= self.config.most_connections {
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

/// Time that a connection without any request yet has for its first one when the server stops: its
/// caller may be sending it just now.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

struct OpenConnection {
    counts: Arc<Counts>,
    _open: Sender<Infallible>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Whether a connection has brought a request.
#[derive(Debug, Clone)]
struct FirstRequest {
    noted: Sender<Infallible>,
    note: Receiver<Infallible>,
}

impl Default for FirstRequest {
    fn default() -> Self {
        let (noted, note) = smol::channel::bounded(1);
        Self { noted, note }
    }
}

impl FirstRequest {
    fn note(&self) {
        self.noted.close();
    }

    /// Waits until a request was brought, `limit` at most.
    async fn wait(&self, limit: Duration) {
        // The channel carries nothing; it only closes. Time running out is the other way to go on.
        let _ = within(limit, self.note.recv()).await;
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
    // See `Connection::open`.
    let _ = stream.set_nodelay(true);
    let first_request = FirstRequest::default();
    let service = service_fn({
        let first_request = first_request.clone();
        move |request| {
            first_request.note();
            let answer = handler(request, peer);
            async move { Ok::<_, Infallible>(answer.await) }
        }
    });
    let mut connection = pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(config.head_time)
            .max_buf_size(config.head_limit)
            .serve_connection(FuturesIo::new(stream), service)
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
