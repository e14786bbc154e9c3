//! Connections that a router forwards to a scripted peer.

use mastbay_router::Runtime;
use mastbay_router::offload::{
    AcceptedCaller, ForwardedConnection, PeerConnection, connect, hello,
};
use mastbay_router::receive_time::ReadDelay;
use mastbay_router::request_arrivals::AGE_LENGTH;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A forwarding router whose configuration stays in force and that is never late.
pub struct Current;

impl ForwardedConnection for Current {
    fn is_current(&self) -> bool {
        true
    }

    fn answer_timeout(&self, _start: &[u8]) -> Duration {
        Duration::from_secs(60)
    }

    fn read_delay(&self) -> ReadDelay {
        ReadDelay::default()
    }
}

/// Connects to a scripted peer that serves this version of the configuration. Returns the forwarding
/// router's side of the connection and the peer's.
pub async fn connect_to_scripted_peer(
    runtime: Runtime,
    version: u64,
) -> (PeerConnection, TcpStream) {
    let peers = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = peers.local_addr().expect("an address");
    let accept = runtime.spawn(async move {
        let (mut peer, _) = peers.accept().await.expect("accepted");
        peer.write_all(&hello(version)).await.expect("hello");
        peer
    });
    let connection = connect(runtime, address, version).await.expect("taken");
    (connection, accept.await)
}

/// A caller whose connection came just now.
pub fn accepted_caller(runtime: Runtime, stream: TcpStream) -> AcceptedCaller {
    AcceptedCaller { stream, connected: runtime.now() }
}

/// Reads a request of `length` bytes after its age.
pub async fn read_copied(peer: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut copied = vec![0; AGE_LENGTH + length];
    peer.read_exact(&mut copied).await.expect("copied");
    copied.split_off(AGE_LENGTH)
}
