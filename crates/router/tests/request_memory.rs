//! Memory of a router for the bodies of requests whose length is not announced.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_routing::BackEndList;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::Duration;
use support::{Answer, Bed, configuration, header, listed, run};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Length of each body, in bytes.
const BODY: usize = 4_000_000;
/// Length of a chunk, in bytes.
const CHUNK: usize = 40_000;
const CALLERS: usize = 20;
/// Pause after each tenth of a body, so that all bodies are in progress at once.
const PAUSE: Duration = Duration::from_millis(100);
/// Delay before the back end reads a body, so that the router holds all bodies that it sends.
const READ_DELAY: Duration = Duration::from_millis(500);
/// Heap bytes allowed for each connection in addition to the budget for bodies.
const MAX_PER_CONNECTION: usize = 256 << 10;

/// Reads a request, discards its body, answers and closes the connection.
async fn discard_and_answer(mut stream: TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut left: usize = length.expect("a length");
    smol::Timer::after(READ_DELAY).await;
    let mut buffer = vec![0; 16 << 10];
    while left > 0 {
        left -= stream.read(&mut buffer).await?.min(left);
    }
    let id = header(&head, "mastbay-request-id").unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nmastbay-request-id: {id}\r\nconnection: close\r\n\
         content-length: 4\r\n\r\ndone"
    );
    stream.write_all(answer.as_bytes()).await
}

/// Starts a back end that holds no bodies. Returns its address.
async fn start_discarding_back_end(runtime: Runtime) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Reading fails when the router closes the connection early.
            let serving = async move { discard_and_answer(stream).await.unwrap_or_default() };
            runtime.spawn(serving).detach();
        }
    };
    runtime.spawn(accept).detach();
    address
}

/// Sends a request whose body comes in chunks, until the router answers.
async fn call(router: SocketAddr) -> Answer {
    let mut stream = TcpStream::connect(router).await.expect("connected");
    let head = "POST /safe/x HTTP/1.1\r\nhost: test\r\nmastbay-request-id: r\r\n\
                connection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut reader = stream.clone();
    let sending = async {
        stream.write_all(head.as_bytes()).await?;
        let chunk = format!("{CHUNK:x}\r\n{}\r\n", "x".repeat(CHUNK));
        for number in 0..BODY / CHUNK {
            stream.write_all(chunk.as_bytes()).await?;
            if number % (BODY / CHUNK / 10) == 0 {
                smol::Timer::after(PAUSE).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await
    };
    let mut bytes = Vec::new();
    let reading = async {
        let mut buffer = vec![0; 4 << 10];
        while let Ok(read @ 1..) = reader.read(&mut buffer).await {
            bytes.extend_from_slice(&buffer[..read]);
        }
    };
    // The router answers and closes before it has read a body for which it has no memory.
    let _ = smol::future::zip(sending, reading).await;
    Answer::new(bytes, true)
}

/// Guards against bodies in chunks that take more memory than their budget holds.
#[test]
fn bodies_of_unknown_length_stay_within_their_memory() {
    run(async |runtime| {
        let address = start_discarding_back_end(runtime).await;
        let bed = Bed::start(runtime, &[]).await;
        let back_ends = vec![listed("b1", address, "plain")];
        bed.router.offer_back_ends(BackEndList { revision: 2.into(), back_ends }, Origin::Source);
        let mut large = configuration(2);
        large.limits.body_bytes = BODY;
        bed.router.offer_configuration(large, Origin::Source);
        let profiler = dhat::Profiler::builder().testing().build();
        let calls: Vec<_> =
            (0..CALLERS).map(|_| runtime.spawn(call(bed.settings.callers))).collect();
        let (mut served, mut rejected) = (0, 0);
        for call in calls {
            let answer = call.await;
            match (answer.status, answer.header("mastbay-outcome").as_deref()) {
                (200, _) => served += 1,
                (503, Some("not-run")) => rejected += 1,
                // The connection was reset while the caller was sending.
                (0, _) => {}
                _ => panic!("{answer:?}"),
            }
        }
        let held = dhat::HeapStats::get().max_bytes;
        drop(profiler);
        println!("{served} served, {rejected} rejected of {CALLERS}, {held} bytes held");
        let max = bed.settings.body_bytes() as usize + CALLERS * MAX_PER_CONNECTION;
        assert!(held < max, "{held} bytes held, {max} allowed");
        assert!(served > 0 && rejected > 0, "{served} served, {rejected} rejected");
    });
}
