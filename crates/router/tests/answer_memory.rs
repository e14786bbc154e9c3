//! What a router holds of whole answers that their callers do not read yet.

mod support;

use mastbay_router::Runtime;
use mastbay_testbed::read_request;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::lock::Mutex;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use support::{Bed, Request, ScriptedBackEnd, header, run};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// The body of each answer: more than all sockets on its way hold.
static BODY: [u8; 2 << 20] = [b'x'; 2 << 20];
const CALLERS: usize = 40;
/// What a connection may take beside its answer, in bytes.
const MOST_EACH: usize = 128 << 10;

async fn answer_large(mut stream: TcpStream) -> std::io::Result<()> {
    while let Some(head) = read_request(&mut stream).await {
        let id = header(&head, "mastbay-request-id").unwrap_or_default();
        let length = BODY.len();
        let head = format!(
            "HTTP/1.1 200 OK\r\nmastbay-request-id: {id}\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&BODY).await?;
    }
    Ok(())
}

/// A back end with large answers, which it writes from memory that is not on the heap.
async fn large_back_end(runtime: Runtime) -> ScriptedBackEnd {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let back_end = ScriptedBackEnd {
        name: "large".to_owned(),
        address: listener.local_addr().expect("bound"),
        heads: Rc::default(),
        connections: Rc::default(),
        closed_by_router: Rc::default(),
    };
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            // A router that closes its connection needs no more of the answer.
            runtime.spawn(async move { answer_large(stream).await.unwrap_or_default() }).detach();
        }
    };
    runtime.spawn(accept).detach();
    back_end
}

/// Reads how an answer begins, and the rest when it is this caller's turn. Gives its status line and the bytes that it has in all.
async fn read_in_turn(mut stream: TcpStream, turn: Rc<Mutex<()>>) -> (String, usize) {
    let mut begin = [0; "HTTP/1.1 200".len()];
    stream.read_exact(&mut begin).await.expect("answered");
    let _turn = turn.lock().await;
    let mut piece = vec![0; 16 << 10];
    let mut read = begin.len();
    while let Ok(length @ 1..) = stream.read(&mut piece).await {
        read += length;
    }
    (String::from_utf8_lossy(&begin).into_owned(), read)
}

// Whole answers of up to 16 MB were held without a bound: ten of them took all the memory of the smallest machines.
#[test]
fn whole_answers_wait_for_memory_and_all_are_delivered() {
    run(async |runtime| {
        let back_end = large_back_end(runtime).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let profiler = dhat::Profiler::builder().testing().build();
        let turn = Rc::new(Mutex::new(()));
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let caller = bed.open(&Request::new(&format!("/safe/{number}"))).await;
            callers.push(runtime.spawn(read_in_turn(caller, turn.clone())));
        }
        for caller in callers {
            let (begin, read) = caller.await;
            assert_eq!(begin, "HTTP/1.1 200");
            assert!(read > BODY.len(), "{read}");
        }
        let held = dhat::HeapStats::get().max_bytes;
        drop(profiler);
        let most = bed.settings.body_bytes() as usize + CALLERS * MOST_EACH;
        assert!(held < most, "{held} bytes held, {most} allowed");
    });
}
