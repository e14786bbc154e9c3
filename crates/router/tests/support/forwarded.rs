//! Connections that a router forwards to a scripted peer.

use mastbay_router::Runtime;
use mastbay_router::offload::AcceptedCaller;
use mastbay_router::request_arrivals::AGE_LENGTH;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

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
