//! A list with as many back ends as a fleet of a thousand routers has, and requests for it.

use super::Bed;
use mastbay_router::SNAPSHOT_PATH;
use mastbay_routing::{BackEnd, BackEndId, BackEndList, BackEndState};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

const BACK_ENDS: u32 = 10_000;
/// Length of the start of an answer, up to the end of its status code.
const STATUS_LENGTH: usize = "HTTP/1.1 200".len();

pub fn large_list(revision: u64) -> BackEndList {
    let back_end = |index: u32| BackEnd {
        id: BackEndId::from(format!("i-{index:08x}").as_str()),
        service: "model-engines".to_owned(),
        address: SocketAddr::from((index.to_be_bytes(), 8_080)),
        zone: "north-a".to_owned(),
        version: "v1".into(),
        slots: 16,
        state: BackEndState::Ready,
        cold_for: Duration::ZERO,
    };
    BackEndList { revision: revision.into(), back_ends: (0..BACK_ENDS).map(back_end).collect() }
}

/// Requests the full snapshot from a router and reads only the status of the answer.
pub async fn request_list(bed: &Bed) -> (u16, TcpStream) {
    request_operations(bed, SNAPSHOT_PATH).await
}

/// Like [`request_list`], for any path of the operations listener.
pub async fn request_operations(bed: &Bed, path: &str) -> (u16, TcpStream) {
    let mut stream = TcpStream::connect(bed.settings.operations).await.expect("connected");
    let request = format!("GET {path} HTTP/1.1\r\nhost: router\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut start = [0; STATUS_LENGTH];
    stream.read_exact(&mut start).await.expect("answered");
    let status = std::str::from_utf8(&start[STATUS_LENGTH - 3..]).expect("digits");
    (status.parse().expect("a number"), stream)
}
