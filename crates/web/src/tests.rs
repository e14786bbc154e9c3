//! Tests of connections, streamed bodies and the graceful shutdown of the server.

use crate::{
    Body, BodyError, Connection, IdleConnections, MeteredStream, ReadMeter, Server, ServerConfig,
    Stopper, full, read_limited, streamed, within,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(10);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a server that responds with `handler`.
async fn serve(
    handler: impl Fn(Request<Incoming>) -> Response<Body> + Clone + Send + Sync + 'static,
) -> (SocketAddr, Stopper, smol::Task<()>) {
    let server = Server::bind(loopback(), ServerConfig::default()).await.expect("bound");
    let (address, stopper) = (server.address(), server.stopper());
    let running = smol::spawn(server.run(move |request, _| {
        let response = handler(request);
        async move { response }
    }));
    (address, stopper, running)
}

fn request() -> Request<Full<Bytes>> {
    Request::builder().header("host", "test").body(Full::default()).expect("a request")
}

#[test]
fn a_connection_reports_that_nothing_was_written_to_a_server_that_had_closed() {
    smol::block_on(async {
        let listener = TcpListener::bind(loopback()).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let mut connection = Connection::open(address, LIMIT).await.expect("open");
        let (accepted, _) = listener.accept().await.expect("accepted");
        drop(accepted);
        // Wait until the close has arrived.
        while connection.is_ready() {
            smol::future::yield_now().await;
        }
        let error = connection.exchange(request()).await.expect_err("closed");
        assert!(!error.written, "{error}");
        assert_eq!(connection.bytes_written(), 0);
    });
}

#[test]
fn a_connection_reports_that_bytes_were_written_before_it_broke() {
    smol::block_on(async {
        let listener = TcpListener::bind(loopback()).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let server = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            let mut first = [0; 1];
            stream.read_exact(&mut first).await.expect("a byte");
        });
        let mut connection = Connection::open(address, LIMIT).await.expect("open");
        let error = connection.exchange(request()).await.expect_err("broken");
        server.await;
        assert!(error.written, "{error}");
    });
}

#[test]
fn an_aborted_body_is_an_error_and_its_connection_is_not_reused() {
    smol::block_on(async {
        let (sender, chunks) = smol::channel::bounded(2);
        sender.try_send(Ok(Bytes::from("half"))).expect("room");
        let (address, _stopper, _running) =
            serve(move |_| Response::new(streamed(chunks.clone()))).await;
        let mut connection = Connection::open(address, LIMIT).await.expect("open");
        let response = connection.exchange(request()).await.expect("a head");
        sender.try_send(Err(BodyError)).expect("room");
        assert!(read_limited(response.into_body(), 100).await.is_err());
        let idle = IdleConnections::new(4);
        idle.keep(address, connection);
        assert!(idle.take(address).is_none());
    });
}

#[test]
fn a_stopped_server_serves_a_request_on_its_way_and_ends() {
    smol::block_on(async {
        let (address, stopper, running) = serve(|_| Response::new(full("whole"))).await;
        let mut late = TcpStream::connect(address).await.expect("connected");
        stopper.stop();
        late.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("written");
        let mut answer = String::new();
        late.read_to_string(&mut answer).await.expect("read");
        assert!(answer.ends_with("whole"), "{answer}");
        within(LIMIT, running).await.expect("the server ends");
        assert!(TcpStream::connect(address).await.is_err());
    });
}

/// Number of servers that are started and stopped while callers connect.
const STOPS: usize = 60;
/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Connect timeout; an attempt that a stopping server ignores does not count as established.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);

/// Makes calls until `over` is set. Returns the number of established connections that were closed
/// without an answer.
fn call_until(address: SocketAddr, over: &AtomicBool, answered: &AtomicUsize) -> usize {
    let mut broken = 0;
    while !over.load(Ordering::SeqCst) {
        let connected = std::net::TcpStream::connect_timeout(&address, CONNECT_LIMIT);
        let Ok(mut stream) = connected else { continue };
        let asked = stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let mut answer = String::new();
        let read = asked.and_then(|()| stream.read_to_string(&mut answer));
        if read.is_ok() && answer.ends_with("whole") {
            answered.fetch_add(1, Ordering::SeqCst);
        } else {
            broken += 1;
        }
    }
    broken
}

// Guards against resets of connections that are established between the last accept of a stopping
// server and the close of its listener.
#[test]
fn a_stop_resets_no_established_connection() {
    smol::block_on(async {
        let mut broken = 0;
        for _ in 0..STOPS {
            let (address, stopper, running) = serve(|_| Response::new(full("whole"))).await;
            let over = Arc::new(AtomicBool::new(false));
            let answered = Arc::new(AtomicUsize::new(0));
            let caller = || {
                let (over, answered) = (over.clone(), answered.clone());
                smol::unblock(move || call_until(address, &over, &answered))
            };
            let callers: Vec<_> = (0..CALLERS).map(|_| caller()).collect();
            while answered.load(Ordering::SeqCst) < CALLERS {
                smol::future::yield_now().await;
            }
            stopper.stop();
            within(LIMIT, running).await.expect("the server ends");
            over.store(true, Ordering::SeqCst);
            for caller in callers {
                broken += caller.await;
            }
        }
        assert_eq!(broken, 0, "connections that were let in broke in {STOPS} stops");
    });
}

/// Guards against a connection that keeps its thread, and its parser, for as long as the other side
/// sends bytes that complete nothing.
#[test]
fn a_metered_stream_lets_other_tasks_run_and_ends_without_progress() {
    const LIMIT: u64 = 1 << 20;
    let meter = ReadMeter::new(LIMIT);
    let mut stream = MeteredStream::new(smol::io::repeat(b'x'), meter.clone());
    let mut buffer = [0; 4 << 10];
    smol::block_on(async {
        let read_until_pending = async |stream: &mut MeteredStream<_>, buffer: &mut [u8]| {
            let mut bytes = 0;
            while let Some(read) = smol::future::poll_once(stream.read(buffer)).await {
                bytes += read? as u64;
            }
            std::io::Result::Ok(bytes)
        };
        let turn = read_until_pending(&mut stream, &mut buffer).await.expect("within the limit");
        assert!((1..LIMIT / 8).contains(&turn), "{turn} bytes in a turn");
        for _ in 0..2 * LIMIT / turn {
            read_until_pending(&mut stream, &mut buffer).await.expect("within the limit");
            meter.on_progress();
        }
        let mut read = 0;
        while let Ok(bytes) = read_until_pending(&mut stream, &mut buffer).await {
            read += bytes;
        }
        assert!((LIMIT / 2..=LIMIT).contains(&read), "{read} bytes without progress");
        assert!(meter.excess().is_some());
    });
}
