//! What a router holds while it hands its list of back ends to many others at once.

mod support;

use mastbay_router::{Origin, SNAPSHOT_PATH};
use mastbay_routing::{BackEnd, BackEndId, BackEndList, BackEndState};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Bed, run};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Back ends of a fleet of a thousand routers.
const BACK_ENDS: u32 = 10_000;
/// Routers that ask at once: those of one aggregator, when all start.
const ASKING: usize = 64;
/// Most that may be held for each of them, in bytes: as much as the kernel holds for a connection.
const MOST_HELD: usize = 128 << 10;

fn back_ends() -> BackEndList {
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
    BackEndList { revision: 2.into(), back_ends: (0..BACK_ENDS).map(back_end).collect() }
}

/// Asks for all that a router knows and reads how the answer begins.
async fn ask(operations: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(operations).await.expect("connected");
    let request = format!("GET {SNAPSHOT_PATH} HTTP/1.1\r\nhost: router\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut begin = [0; 12];
    stream.read_exact(&mut begin).await.expect("answered");
    assert_eq!(&begin, b"HTTP/1.1 200");
    stream
}

// After the loss of all routers of a fleet of 985, one of 160 MB came to 126 MB. Members fetch the list of back ends, 1.4 MB, from those that
// have it, and the HTTP library copied the body of each answer as a whole before it wrote any of it.
#[test]
fn a_list_that_is_handed_to_many_is_held_once() {
    run(async |runtime| {
        let bed = Bed::start(runtime, &[]).await;
        bed.router.offer_back_ends(back_ends(), Origin::Source);
        // The first one has the list encoded.
        let first = ask(bed.settings.operations).await;
        let profiler = dhat::Profiler::builder().testing().build();
        let mut asking = Vec::new();
        for _ in 0..ASKING {
            asking.push(ask(bed.settings.operations).await);
        }
        let held = dhat::HeapStats::get().max_bytes;
        drop(profiler);
        assert!(held < ASKING * MOST_HELD, "{held} bytes for {ASKING} routers");
        drop((first, asking));
    });
}
