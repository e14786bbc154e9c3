use crate::{
    Body, BodyError, Connection, IdleConnections, Server, ServerConfig, Stopper, full,
    read_limited, streamed, within,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(10);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A server whose answers `handler` gives.
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
fn a_connection_knows_that_nothing_was_written_to_a_server_that_had_closed() {
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
fn a_connection_knows_that_bytes_were_written_before_it_broke() {
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
fn a_body_that_breaks_off_is_an_error_and_its_connection_is_not_used_again() {
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
fn a_stopped_server_ends_what_runs_and_serves_a_request_that_was_on_its_way() {
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
