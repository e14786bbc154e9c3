//! Memory of a router for buffered answers that callers have not read yet.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_testbed::read_request;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::lock::Mutex;
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::{Bed, Request, ScriptedBackEnd, configuration, header, run};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Body of each answer, larger than all socket buffers on its way.
static BODY: [u8; 2 << 20] = [b'x'; 2 << 20];
const CALLERS: usize = 40;
/// Objective and timeout of the route. Requests wait for a slot for a quarter of the objective,
/// longer than it takes to deliver the answers of all others.
const LONG: Duration = Duration::from_secs(30);
/// Heap bytes allowed for each connection in addition to its answer.
const MAX_PER_CONNECTION: usize = 128 << 10;

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

/// Starts a back end with large answers, which it writes from static memory to keep them off the
/// heap.
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
            // Writing fails when the router closes the connection early.
            runtime.spawn(async move { answer_large(stream).await.unwrap_or_default() }).detach();
        }
    };
    runtime.spawn(accept).detach();
    back_end
}

/// Start of an answer with a status code.
type AnswerStart = [u8; "HTTP/1.1 200".len()];

/// Sends a request and reads the start of its answer.
async fn begin(router: SocketAddr, request: &Request) -> std::io::Result<(TcpStream, AnswerStart)> {
    let mut stream = TcpStream::connect(router).await?;
    stream.write_all(request.text().as_bytes()).await?;
    let mut start = AnswerStart::default();
    stream.read_exact(&mut start).await?;
    Ok((stream, start))
}

/// Reads the status of an answer at once and the rest under the lock `turn`. Returns the status
/// line and the length of the whole answer in bytes. Connects again if the router closes the
/// connection unread, as it may when it gets too little processor time.
async fn read_in_turn(
    router: SocketAddr,
    request: Request,
    turn: Rc<Mutex<()>>,
) -> (String, usize) {
    let (mut stream, start) = loop {
        if let Ok(answered) = begin(router, &request).await {
            break answered;
        }
    };
    let _turn = turn.lock().await;
    let mut buffer = vec![0; 16 << 10];
    let mut read = start.len();
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        read += length;
    }
    (String::from_utf8_lossy(&start).into_owned(), read)
}

// Buffered answers without a bound on their memory exhaust small machines.
#[test]
fn whole_answers_wait_for_memory_and_all_are_delivered() {
    run(async |runtime| {
        let back_end = large_back_end(runtime).await;
        let bed = Bed::start(runtime, &[&back_end]).await;
        let mut patient = configuration(2);
        patient.routes.iter_mut().for_each(|route| {
            route.objective = LONG;
            route.timeout = LONG;
        });
        bed.router.offer_configuration(patient, Origin::Source);
        let profiler = dhat::Profiler::builder().testing().build();
        let turn = Rc::new(Mutex::new(()));
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let request = Request::new(&format!("/safe/{number}"));
            let reading = read_in_turn(bed.settings.callers, request, turn.clone());
            callers.push(runtime.spawn(reading));
        }
        for caller in callers {
            let (start, read) = caller.await;
            assert_eq!(start, "HTTP/1.1 200");
            assert!(read > BODY.len(), "{read}");
        }
        let held = dhat::HeapStats::get().max_bytes;
        drop(profiler);
        let max = bed.settings.body_bytes() as usize + CALLERS * MAX_PER_CONNECTION;
        assert!(held < max, "{held} bytes held, {max} allowed");
    });
}
