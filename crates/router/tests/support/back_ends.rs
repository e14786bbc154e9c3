//! Back ends that play scripted reactions, and the texts of their answers.

use super::{header, until};
use mastbay_router::Runtime;
use mastbay_routing::{BackEnd, BackEndId, BackEndState};
use mastbay_testbed::read_request;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What a back end does with a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// Writes the text with each `ID` replaced by the id of the request.
    Write(String),
    /// Pauses, which simulates a back end that is slow.
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Waits until the router closes the connection.
    UntilClosed,
}

/// Back end that plays one scripted reaction per request and repeats the last one.
#[derive(Clone)]
pub struct ScriptedBackEnd {
    pub name: String,
    pub address: SocketAddr,
    /// Heads of the requests received.
    pub heads: Rc<RefCell<Vec<String>>>,
    /// Connections accepted.
    pub connections: Rc<Cell<u32>>,
    /// Connections that the router closed during a [`Step::UntilClosed`].
    pub closed_by_router: Rc<Cell<u32>>,
}

/// Whether a back end accepts connections; closing it leaves them in the accept queue.
#[derive(Clone)]
pub struct AcceptGate(Rc<Cell<bool>>);

impl AcceptGate {
    pub fn open(&self) {
        self.0.set(true);
    }

    pub fn close(&self) {
        self.0.set(false);
    }
}

impl ScriptedBackEnd {
    pub async fn start(runtime: Runtime, name: &str, reactions: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        Self::start_gated(runtime, name, listener, reactions).0
    }

    /// Starts a back end that accepts connections of `listener` while its gate is open.
    pub fn start_gated(
        runtime: Runtime,
        name: &str,
        listener: TcpListener,
        reactions: Vec<Vec<Step>>,
    ) -> (Self, AcceptGate) {
        let gate = AcceptGate(Rc::new(Cell::new(true)));
        let back_end = Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("bound"),
            heads: Rc::default(),
            connections: Rc::default(),
            closed_by_router: Rc::default(),
        };
        let (serving, is_open) = (back_end.clone(), gate.0.clone());
        let accept = async move {
            loop {
                until(async || is_open.get()).await;
                let Ok((stream, _)) = listener.accept().await else { return };
                serving.connections.set(serving.connections.get() + 1);
                runtime.spawn(serving.clone().serve(stream, reactions.clone())).detach();
            }
        };
        runtime.spawn(accept).detach();
        (back_end, gate)
    }

    /// Returns a back end at an address that refuses connections.
    pub async fn start_refusing(name: &str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("bound"),
            heads: Rc::default(),
            connections: Rc::default(),
            closed_by_router: Rc::default(),
        }
    }

    async fn serve(self, mut stream: TcpStream, reactions: Vec<Vec<Step>>) {
        while let Some(head) = read_request(&mut stream).await {
            let nth = self.heads.borrow().len();
            let id = header(&head, "mastbay-request-id").unwrap_or_default();
            self.heads.borrow_mut().push(head);
            for step in &reactions[nth.min(reactions.len() - 1)] {
                match step {
                    Step::Write(text) => {
                        let bytes = text.replace("ID", &id);
                        if stream.write_all(bytes.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                    Step::Pause(span) => {
                        smol::Timer::after(*span).await;
                    }
                    Step::Close => return,
                    Step::UntilClosed => {
                        let mut byte = [0];
                        let _ = stream.read(&mut byte).await;
                        self.closed_by_router.set(self.closed_by_router.get() + 1);
                        return;
                    }
                }
            }
        }
    }

    /// Number of requests received.
    pub fn arrivals(&self) -> usize {
        self.heads.borrow().len()
    }

    /// Entry of this back end in a list, as a member of `service`.
    pub fn listed(&self, service: &str) -> BackEnd {
        listed(&self.name, self.address, service)
    }
}

/// Entry of a ready back end in a list.
pub fn listed(id: &str, address: SocketAddr, service: &str) -> BackEnd {
    BackEnd {
        id: BackEndId::from(id),
        service: service.to_owned(),
        address,
        zone: "a".to_owned(),
        version: "1".into(),
        slots: 8,
        state: BackEndState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// Writes a complete answer with a `content-length`.
pub fn answer(body: &str) -> Vec<Step> {
    vec![Step::Write(answer_text("ID", body))]
}

/// Returns a complete answer to the request `id` with a `content-length`.
pub fn answer_text(id: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nmastbay-request-id: {id}\r\ncontent-length: {length}");
    format!("{head}\r\n\r\n{body}")
}

/// Rejects the request and reports that it was not run.
pub fn not_run() -> Vec<Step> {
    let head = "HTTP/1.1 503 Full\r\nmastbay-request-id: ID\r\nmastbay-outcome: not-run";
    vec![Step::Write(format!("{head}\r\ncontent-length: 0\r\n\r\n"))]
}

pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nmastbay-request-id: ID\r\ntransfer-encoding: chunked\r\n\r\n";

/// Encodes `text` as one chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Encodes the events numbered `first..=last`, one in each chunk.
pub fn events(first: u64, last: u64) -> String {
    (first..=last).map(|number| chunk(&format!("id: {number}\ndata: x\n\n"))).collect()
}

pub const STREAM_END: &str = "0\r\n\r\n";
