//! Back ends that crash under fatal requests: all their connections break, new ones are refused,
//! and after a while they listen again at the same address.

use crate::fatal_parts::{CrashRecord, FatalParts};
use crate::raw::{header, read_request};
use smol::channel::{Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Task};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Part of the path of a fatal request, which ends the back end that runs it.
pub const FATAL: &str = "fatal";
/// Additional part of the path of a request that is fatal only for its first three runs.
pub const THRICE: &str = "thrice";
/// Parts of the path of a fatal request whose stream starts before the back end ends.
const STREAMS: [&str; 2] = ["stream", "resumable"];
/// Time from the start of a fatal request to the end of the back end.
const END_DELAY: Duration = Duration::from_millis(20);
/// Time that any other request takes.
const WORK_TIME: Duration = Duration::from_millis(30);
/// Interval between checks whether all back ends are to end.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Body of the answer to any other request: one event.
const ANSWER: &str = "id: 1\ndata: served\n\n";

/// Back ends on their own thread, stopped when dropped.
pub struct EndingBackEnds {
    /// Address of each back end.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

/// Behaviour of the back ends.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Header with the id of a request, echoed in the answer.
    pub id_header: &'static str,
    /// Time from the end of a back end to its restart.
    pub down_for: Duration,
    /// Parts of prompts that end back ends, if any.
    pub fatal_parts: Option<FatalParts>,
}

impl Behaviour {
    /// Creates the behaviour of back ends that only end under fatal requests.
    pub const fn new(id_header: &'static str, down_for: Duration) -> Self {
        Self { id_header, down_for, fatal_parts: None }
    }
}

/// State shared between the thread of the back ends and the test.
#[derive(Debug)]
struct Shared {
    fatal_runs: AtomicU32,
    /// Number of restarts of each back end.
    restarts: Vec<AtomicU32>,
    /// Number of times that all back ends were ended at once.
    ends_of_all: AtomicU32,
    record: Mutex<CrashRecord>,
}

impl Shared {
    fn new(count: usize) -> Self {
        Self {
            fatal_runs: AtomicU32::default(),
            restarts: (0..count).map(|_| AtomicU32::default()).collect(),
            ends_of_all: AtomicU32::default(),
            record: Mutex::default(),
        }
    }

    fn record(&self, update: impl FnOnce(&mut CrashRecord)) {
        update(&mut self.record.lock().expect("not poisoned"));
    }
}

impl EndingBackEnds {
    /// Starts `count` back ends.
    ///
    /// # Panics
    /// Panics if no port is free.
    pub fn start(count: usize, behaviour: Behaviour) -> Self {
        let shared = Arc::new(Shared::new(count));
        let (stop, stopped) = smol::channel::bounded(1);
        let (started, addresses) = smol::channel::bounded(1);
        let of_thread = shared.clone();
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let serving = async {
                let mut bound = Vec::new();
                let mut tasks = Vec::new();
                for number in 0..count {
                    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
                    bound.push(listener.local_addr().expect("bound"));
                    let (executor, shared) = (executor.clone(), of_thread.clone());
                    let back_end = RestartingBackEnd { number, executor, behaviour, shared };
                    tasks.push(back_end.executor.clone().spawn(back_end.run(listener)));
                }
                started.send(bound).await.expect("awaited");
                // Ends on a message and also when the sender is dropped.
                let _ = stopped.recv().await;
            };
            smol::block_on(executor.run(serving));
        });
        let addresses = addresses.recv_blocking().expect("started");
        Self { addresses, shared, stop, thread: Some(thread) }
    }

    /// Returns the number of fatal runs on all back ends.
    pub fn fatal_runs(&self) -> u32 {
        self.shared.fatal_runs.load(Ordering::SeqCst)
    }

    /// Returns the number of restarts of each back end.
    pub fn restarts(&self) -> Vec<u32> {
        self.shared.restarts.iter().map(|restarts| restarts.load(Ordering::SeqCst)).collect()
    }

    /// Ends all back ends at once.
    pub fn end_all(&self) {
        self.shared.ends_of_all.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns what happened under fatal parts so far.
    ///
    /// # Panics
    /// Panics if the thread of the back ends panicked.
    pub fn crash_record(&self) -> CrashRecord {
        self.shared.record.lock().expect("not poisoned").clone()
    }
}

impl Drop for EndingBackEnds {
    fn drop(&mut self) {
        // Sending fails if the thread has ended already.
        let _ = self.stop.try_send(());
        let ended = self.thread.take().map(JoinHandle::join);
        assert!(std::thread::panicking() || ended.is_some_and(|ended| ended.is_ok()));
    }
}

/// One back end, restarted after each fatal request.
#[derive(Clone)]
struct RestartingBackEnd {
    number: usize,
    executor: Rc<LocalExecutor<'static>>,
    behaviour: Behaviour,
    shared: Arc<Shared>,
}

impl RestartingBackEnd {
    async fn run(self, mut listener: TcpListener) {
        let address = listener.local_addr().expect("bound");
        loop {
            let (end, ended) = smol::channel::bounded(1);
            self.serve_until(listener, end, ended).await;
            smol::Timer::after(self.behaviour.down_for).await;
            listener = TcpListener::bind(address).await.expect("its own address");
            self.shared.restarts[self.number].fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Serves until a fatal request arrives, then drops the listener and all connections.
    async fn serve_until(&self, listener: TcpListener, end: Sender<()>, ended: Receiver<()>) {
        let connections: RefCell<Vec<Task<()>>> = RefCell::default();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = self.clone().serve(stream, end.clone());
                connections.borrow_mut().push(self.executor.spawn(serving));
            }
        };
        let until_ended = async {
            // `end` stays open in this function, so this returns only on a message.
            let _ = ended.recv().await;
        };
        smol::future::or(accept, smol::future::or(until_ended, self.until_all_end())).await;
    }

    /// Waits until all back ends are to end at once.
    async fn until_all_end(&self) {
        let ends = self.shared.ends_of_all.load(Ordering::SeqCst);
        while self.shared.ends_of_all.load(Ordering::SeqCst) == ends {
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn serve(self, mut stream: TcpStream, end: Sender<()>) {
        while let Some(head) = read_request(&mut stream).await {
            let id = header(&head, self.behaviour.id_header).unwrap_or_default();
            if let Some(fatal) = self.behaviour.fatal_parts {
                let answered = self.serve_prompt(fatal, &mut stream, &head, &id, &end).await;
                if answered.is_err() || fatal.closes_connections() {
                    return;
                }
                continue;
            }
            let target = head.split(' ').nth(1).unwrap_or_default();
            let is_survivable =
                target.contains(THRICE) && self.shared.fatal_runs.load(Ordering::SeqCst) >= 3;
            if target.contains(FATAL) && !is_survivable {
                self.shared.fatal_runs.fetch_add(1, Ordering::SeqCst);
                self.begin_fatal(&mut stream, &head, &id).await;
                // Fails if another fatal request ended the back end first.
                let _ = end.try_send(());
                std::future::pending::<()>().await;
            }
            smol::Timer::after(WORK_TIME).await;
            let length = ANSWER.len();
            let answer = format!("{}content-length: {length}\r\n\r\n{ANSWER}", self.head(&id));
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Answers one request with a stream, or ends the back end if its prompt holds a fatal part.
    ///
    /// # Errors
    /// If the router closed the connection.
    async fn serve_prompt(
        &self,
        fatal: FatalParts,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        end: &Sender<()>,
    ) -> std::io::Result<()> {
        let Some(part) = fatal.find(head) else {
            return fatal.answer(stream, &self.head(id)).await;
        };
        self.shared.record(|record| record.on_run(part));
        // Fails if the router closed the connection; the back end ends nonetheless.
        let _ = fatal.begin_fatal(stream, &self.head(id)).await;
        // Fails if another fatal request ended the back end first.
        if end.try_send(()).is_ok() {
            self.shared.record(|record| record.on_end(part));
        }
        std::future::pending().await
    }

    fn head(&self, id: &str) -> String {
        format!("HTTP/1.1 200 OK\r\n{}: {id}\r\n", self.behaviour.id_header)
    }

    /// Starts the answer if the request is a stream, then waits for [`END_DELAY`].
    async fn begin_fatal(&self, stream: &mut TcpStream, head: &str, id: &str) {
        if STREAMS.iter().any(|streams| head.contains(streams)) {
            let after = header(head, "last-event-id").and_then(|last| last.parse().ok());
            let event = format!("id: {}\ndata: x\n\n", after.unwrap_or(0_u64) + 1);
            let head = self.head(id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let started = format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}");
            // Writing fails if the router closed the connection.
            let _ = stream.write_all(started.as_bytes()).await;
        }
        smol::Timer::after(END_DELAY).await;
    }
}
