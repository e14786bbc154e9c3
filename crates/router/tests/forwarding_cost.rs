//! Processor time that copying a forwarded connection takes. Started by hand.

mod support;

use mastbay_router::Runtime;
use mastbay_router::offload::{AcceptedCaller, StopPhases, connect, hello};
use mastbay_router::request_arrivals::AGE_LENGTH;
use rustix::time::{ClockId, clock_gettime};
use smol::net::{TcpListener, TcpStream};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::forwarded::Current;

const VERSION: u64 = 1;
/// Number of measurements of each case.
const REPEATS: usize = 5;

/// Copies `requests` requests with `answer` each and returns the processor time of the copying
/// thread.
fn copy(request: &'static [u8], answer: &'static [u8], requests: usize) -> Duration {
    let peers = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let peer_address = peers.local_addr().expect("an address");
    let (sender, address) = std::sync::mpsc::channel::<SocketAddr>();
    let peer = std::thread::spawn(move || {
        let (mut peer, _) = peers.accept().expect("accepted");
        peer.set_nodelay(true).expect("set");
        peer.write_all(&hello(VERSION)).expect("hello");
        let mut received = vec![0; AGE_LENGTH + request.len()];
        for _ in 0..requests {
            peer.read_exact(&mut received).expect("read");
            peer.write_all(answer).expect("written");
        }
    });
    let caller = std::thread::spawn(move || {
        let mut caller = std::net::TcpStream::connect(address.recv().expect("sent")).expect("open");
        caller.set_nodelay(true).expect("set");
        let mut received = vec![0; answer.len()];
        for _ in 0..requests {
            caller.write_all(request).expect("written");
            caller.read_exact(&mut received).expect("read");
        }
    });
    let copying = std::thread::spawn(move || {
        let runtime = Runtime::leaked();
        smol::block_on(runtime.run(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            sender.send(listener.local_addr().expect("an address")).expect("awaited");
            let (accepted, _): (TcpStream, _) = listener.accept().await.expect("accepted");
            let connection = connect(runtime, peer_address, VERSION).await.expect("taken");
            let caller = AcceptedCaller { stream: accepted, connected: runtime.now() };
            let began = processor_time();
            let stop = StopPhases::default();
            connection.copy(runtime, caller, Duration::ZERO, Rc::new(Current), stop).await;
            processor_time() - began
        }))
    });
    peer.join().expect("the peer ends");
    caller.join().expect("the caller ends");
    copying.join().expect("copying ends")
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        time.tv_sec.try_into().expect("positive"),
        time.tv_nsec.try_into().expect("small"),
    )
}

fn measure(name: &str, request: Vec<u8>, answer: Vec<u8>, requests: usize) {
    let (request, answer) = (request.leak(), answer.leak());
    let mut times: Vec<Duration> = (0..REPEATS).map(|_| copy(request, answer, requests)).collect();
    times.sort();
    println!(
        "{name}: {:.1?} (from {:.1?} to {:.1?})",
        times[REPEATS / 2],
        times[0],
        times[REPEATS - 1]
    );
}

#[test]
#[ignore = "a measurement"]
fn processor_time_of_copying() {
    let head = "POST /s/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: 4711\r\ndeadline-ms: 4000\r\n\
                authorization: Token k1\r\n";
    let short = format!("{head}content-length: 0\r\n\r\n");
    let small_answer = "HTTP/1.1 200 OK\r\nattempt-id: 4711\r\nkeep-alive: timeout=1\r\n\
                        content-length: 5\r\n\r\nwhole";
    measure("20,000 short requests", short.clone().into(), small_answer.into(), 20_000);
    let stream = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let event = "15\r\nid: 1234567\ndata: a\n\n\r\n";
    let stream = stream + &event.repeat(1_000_000) + "0\r\n\r\n";
    measure("1,000,000 small chunks (26 MB)", short.clone().into(), stream.into(), 4);
    let mut large = b"HTTP/1.1 200 OK\r\ncontent-length: 268435456\r\n\r\n".to_vec();
    large.resize(large.len() + 268_435_456, b'x');
    measure("answer of 256 MB", short.into(), large, 1);
    let mut body = format!("{head}content-length: 268435456\r\n\r\n").into_bytes();
    body.resize(body.len() + 268_435_456, b'x');
    measure("request of 256 MB", body, small_answer.into(), 1);
}
