//! A list of as many back ends as a thousand routers have, and routers that ask for it.

use super::Bed;
use mastbay_router::SNAPSHOT_PATH;
use mastbay_routing::{BackEnd, BackEndId, BackEndList, BackEndState};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

const BACK_ENDS: u32 = 10_000;
/// How an answer begins, to the end of its status.
const STATUS_LINE: usize = "HTTP/1.1 200".len();

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

/// Asks a router for all that it knows, and reads how the answer begins. Gives its status.
pub async fn begin_to_read_list(bed: &Bed) -> (u16, TcpStream) {
    begin_to_read(bed, SNAPSHOT_PATH).await
}

/// The same at any path of the operations address.
pub async fn begin_to_read(bed: &Bed, path: &str) -> (u16, TcpStream) {
    let mut stream = TcpStream::connect(bed.settings.operations).await.expect("connected");
    let request = format!("GET {path} HTTP/1.1\r\nhost: router\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut begin = [0; STATUS_LINE];
    stream.read_exact(&mut begin).await.expect("answered");
    let status = std::str::from_utf8(&begin[STATUS_LINE - 3..]).expect("digits");
    (status.parse().expect("a number"), stream)
}
