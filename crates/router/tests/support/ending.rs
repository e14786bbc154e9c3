//! Back ends that end as processes do: all their connections break, they refuse new ones, and a while later they are back
//! at the same address.

use super::{STREAM_HEAD, answer, events};
use super::{Step, header};
use mastbay_router::Runtime;
use mastbay_routing::{BackEnd, BackEndId, BackEndState};
use mastbay_testbed::read_request;
use smol::Task;
use smol::channel::{Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What the path of a request holds that ends the back end which runs it.
pub const FATAL: &str = "fatal";
/// Time from a fatal request's begin to the back end's end.
const TIME_TO_END: Duration = Duration::from_millis(20);
/// Work on any other request.
const WORK: Duration = Duration::from_millis(30);

/// Back ends of one service, and what reached them. Clones share their state.
#[derive(Clone)]
pub struct EndingBackEnds {
    runtime: Runtime,
    listed: Vec<BackEnd>,
    /// Requests that ended a back end.
    pub fatal_runs: Rc<Cell<u32>>,
    down_for: Duration,
}

impl EndingBackEnds {
    /// Starts `count` back ends, each of them down for `down_for` after each end.
    pub async fn start(runtime: Runtime, count: usize, down_for: Duration) -> Self {
        let mut all = Self { runtime, listed: Vec::new(), fatal_runs: Rc::default(), down_for };
        for number in 0..count {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
            let address = listener.local_addr().expect("bound");
            all.listed.push(BackEnd {
                id: BackEndId::from(format!("b{number}").as_str()),
                service: "plain".to_owned(),
                address,
                zone: "a".to_owned(),
                slots: 8,
                state: BackEndState::Ready,
                cold_for: Duration::ZERO,
            });
            runtime.spawn(all.clone().live(listener, address)).detach();
        }
        all
    }

    /// The back ends as a source lists them.
    pub fn listed(&self) -> Vec<BackEnd> {
        self.listed.clone()
    }

    /// Lives again and again at one address.
    async fn live(self, mut listener: TcpListener, address: SocketAddr) {
        loop {
            let (end, ended) = smol::channel::bounded(1);
            self.serve_until(listener, end, ended).await;
            smol::Timer::after(self.down_for).await;
            listener = TcpListener::bind(address).await.expect("its own address");
        }
    }

    /// Serves until a request ends it; all connections go with it.
    async fn serve_until(&self, listener: TcpListener, end: Sender<()>, ended: Receiver<()>) {
        let connections: RefCell<Vec<Task<()>>> = RefCell::default();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = self.clone().serve(stream, end.clone());
                connections.borrow_mut().push(self.runtime.spawn(serving));
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
            let id = header(&head, "mastbay-request-id").unwrap_or_default();
            if head.lines().next().is_some_and(|line| line.contains(FATAL)) {
                self.fatal_runs.set(self.fatal_runs.get() + 1);
                self.begin_fatal(&mut stream, &head, &id).await;
                // It ends once, whichever of several requests ends it first.
                let _ = end.try_send(());
                std::future::pending::<()>().await;
            }
            smol::Timer::after(WORK).await;
            for step in answer("served") {
                let Step::Write(text) = step else { return };
                if stream.write_all(text.replace("ID", &id).as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Streams begin before the end.
    async fn begin_fatal(&self, stream: &mut TcpStream, head: &str, id: &str) {
        if head.contains("/stream/") || head.contains("/resumable/") {
            let after = header(head, "last-event-id").and_then(|last| last.parse().ok());
            let next = after.unwrap_or(0) + 1;
            let begun = STREAM_HEAD.replace("ID", id) + &events(next, next);
            // A router that has gone needs no answer.
            let _ = stream.write_all(begun.as_bytes()).await;
        }
        smol::Timer::after(TIME_TO_END).await;
    }
}
