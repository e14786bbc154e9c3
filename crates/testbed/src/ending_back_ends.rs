//! Back ends that end as processes do: all their connections break, they refuse new ones, and a while later they are back at the
//! same address.

use crate::raw::{header, read_request};
use smol::channel::{Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Task};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// What the path of a request holds that ends the back end which runs it.
pub const FATAL: &str = "fatal";
/// What such a path holds besides if it is fatal three times only.
pub const THRICE: &str = "thrice";
/// What such a path holds besides if a stream begins before the end.
const STREAMS: [&str; 2] = ["stream", "resumable"];
/// Time from a fatal request's begin to the back end's end.
const TIME_TO_END: Duration = Duration::from_millis(20);
/// Work on any other request.
const WORK: Duration = Duration::from_millis(30);
/// The answer to any other request: one event.
const ANSWER: &str = "id: 1\ndata: served\n\n";

/// Back ends on a thread of their own. Dropped, they are gone.
pub struct EndingBackEnds {
    /// Where each of them listens.
    pub addresses: Vec<SocketAddr>,
    fatal_runs: Arc<AtomicU32>,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

/// How the back ends behave.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// The header that names a request, which answers carry too.
    pub id_header: &'static str,
    /// Time for which a back end is down after it ended.
    pub down_for: Duration,
}

impl EndingBackEnds {
    /// Starts `count` back ends.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(count: usize, behaviour: Behaviour) -> Self {
        let fatal_runs: Arc<AtomicU32> = Arc::default();
        let (stop, stopped) = smol::channel::bounded(1);
        let (told, addresses) = smol::channel::bounded(1);
        let counted = fatal_runs.clone();
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let serving = async {
                let mut found = Vec::new();
                let mut lives = Vec::new();
                for _ in 0..count {
                    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
                    found.push(listener.local_addr().expect("bound"));
                    let fatal_runs = counted.clone();
                    let life = Lives { executor: executor.clone(), behaviour, fatal_runs };
                    lives.push(executor.spawn(life.live(listener)));
                }
                told.send(found).await.expect("awaited");
                // Stopped by a word, or since nobody can give it any more.
                let _ = stopped.recv().await;
            };
            smol::block_on(executor.run(serving));
        });
        let addresses = addresses.recv_blocking().expect("started");
        Self { addresses, fatal_runs, stop, thread: Some(thread) }
    }

    /// Runs of requests that end back ends.
    pub fn fatal_runs(&self) -> u32 {
        self.fatal_runs.load(Ordering::SeqCst)
    }
}

impl Drop for EndingBackEnds {
    fn drop(&mut self) {
        // A thread that has ended already needs no word.
        let _ = self.stop.try_send(());
        let ended = self.thread.take().map(JoinHandle::join);
        assert!(std::thread::panicking() || ended.is_some_and(|ended| ended.is_ok()));
    }
}

/// The lives of one back end.
#[derive(Clone)]
struct Lives {
    executor: Rc<LocalExecutor<'static>>,
    behaviour: Behaviour,
    fatal_runs: Arc<AtomicU32>,
}

impl Lives {
    async fn live(self, mut listener: TcpListener) {
        let address = listener.local_addr().expect("bound");
        loop {
            let (end, ended) = smol::channel::bounded(1);
            self.serve_until(listener, end, ended).await;
            smol::Timer::after(self.behaviour.down_for).await;
            listener = TcpListener::bind(address).await.expect("its own address");
        }
    }

    /// Serves until a request ends it; all connections go with it.
    async fn serve_until(&self, listener: TcpListener, end: Sender<()>, ended: Receiver<()>) {
        let connections: RefCell<Vec<Task<()>>> = RefCell::default();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = self.clone().serve(stream, end.clone());
                connections.borrow_mut().push(self.executor.spawn(serving));
            }
        };
        let until_ended = async {
            // The other end is held here.
            let _ = ended.recv().await;
        };
        smol::future::or(accept, until_ended).await;
    }

    async fn serve(self, mut stream: TcpStream, end: Sender<()>) {
        while let Some(head) = read_request(&mut stream).await {
            let id = header(&head, self.behaviour.id_header).unwrap_or_default();
            let target = head.split(' ').nth(1).unwrap_or_default();
            let is_borne = target.contains(THRICE) && self.fatal_runs.load(Ordering::SeqCst) >= 3;
            if target.contains(FATAL) && !is_borne {
                self.fatal_runs.fetch_add(1, Ordering::SeqCst);
                self.begin_fatal(&mut stream, &head, &id).await;
                // It ends once, whichever of several requests ends it first.
                let _ = end.try_send(());
                std::future::pending::<()>().await;
            }
            smol::Timer::after(WORK).await;
            let length = ANSWER.len();
            let answer = format!("{}content-length: {length}\r\n\r\n{ANSWER}", self.head(&id));
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn head(&self, id: &str) -> String {
        format!("HTTP/1.1 200 OK\r\n{}: {id}\r\n", self.behaviour.id_header)
    }

    /// Streams begin before the end.
    async fn begin_fatal(&self, stream: &mut TcpStream, head: &str, id: &str) {
        if STREAMS.iter().any(|streams| head.contains(streams)) {
            let after = header(head, "last-event-id").and_then(|last| last.parse().ok());
            let event = format!("id: {}\ndata: x\n\n", after.unwrap_or(0_u64) + 1);
            let head = self.head(id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let begun = format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}");
            // A router that has gone needs no answer.
            let _ = stream.write_all(begun.as_bytes()).await;
        }
        smol::Timer::after(TIME_TO_END).await;
    }
}
