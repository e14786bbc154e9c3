//! Fixture for router tests: a router on loopback, scripted back ends and plain callers, all on the
//! thread of the test.
#![allow(dead_code, missing_docs)]

pub mod lists;

use mastbay_router::native_dialect::NativeDialect;
use mastbay_router::{Dialects, Origin, Router, RouterMetrics, RouterSettings, Runtime};
use mastbay_routing::{
    AllowedRegions, BackEnd, BackEndId, BackEndList, BackEndState, BudgetLimits, Digest,
    EngineLimits, EvacuatedZones, Limits, PeerId, PeerMessage, QuarantineLimits, Route, RouteKind,
    RouterPhase, RouterState, RoutingConfiguration, Service, SourceContact, Target, Tenant,
    WarmupLimits,
};
pub use mastbay_testbed::header;
use mastbay_testbed::{PortBlock, read_request};
use prometheus_client::registry::Registry;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Time limit of a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

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
        BackEnd {
            id: BackEndId::from(self.name.as_str()),
            service: service.to_owned(),
            address: self.address,
            zone: "a".to_owned(),
            version: "1".into(),
            slots: 8,
            state: BackEndState::Ready,
            cold_for: Duration::ZERO,
        }
    }
}

/// Writes a complete answer with a `content-length`.
pub fn answer(body: &str) -> Vec<Step> {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nmastbay-request-id: ID\r\ncontent-length: {length}");
    vec![Step::Write(format!("{head}\r\n\r\n{body}"))]
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

fn route(prefix: &str, kind: RouteKind, service: &str, resumable: bool, timeout: u64) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "test".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(400),
        pause_objective: None,
        priority: 1,
        targets: vec![Target { service: service.to_owned(), weight: 1 }],
        max_attempts: 2,
        public: prefix != "/keyed/",
        resumable,
        regions: AllowedRegions::default(),
    }
}

pub fn configuration(version: u64) -> RoutingConfiguration {
    let engine =
        EngineLimits { batch: 8, memory_tokens: 1_000_000, tokens_per_event: 1, transfer: None };
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        max_connections: 100,
        cold_rate: None,
        engine,
    };
    RoutingConfiguration {
        version,
        routes: vec![
            route("/safe/", RouteKind::Safe, "plain", false, 10_000),
            route("/unsafe/", RouteKind::Unsafe, "plain", false, 10_000),
            route("/keyed/", RouteKind::Safe, "plain", false, 10_000),
            route("/brief/", RouteKind::Unsafe, "plain", false, 150),
            route("/stream/", RouteKind::Streaming, "plain", false, 10_000),
            route("/resumable/", RouteKind::Streaming, "plain", true, 10_000),
        ],
        services: vec![service("plain", None), service("model", Some(engine))],
        tenants: vec![Tenant {
            name: "tenant-a".to_owned(),
            keys: vec!["key-a".to_owned()],
            priority: None,
            regions: AllowedRegions::default(),
        }],
        limits: Limits { body_bytes: 10_000, ..Limits::default() },
    }
}

/// Router under test, listening on loopback.
pub struct Bed {
    pub router: Rc<Router>,
    pub runtime: Runtime,
    pub settings: RouterSettings,
}

/// Runs a test on the current thread and panics if it takes longer than [`TEST_TIMEOUT`].
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Runtime) -> F) {
    let runtime = Runtime::leaked();
    let bounded = mastbay_web::within(TEST_TIMEOUT, test(runtime));
    smol::block_on(runtime.run(bounded)).expect("the test ends in time");
}

/// Zone of a router unless the test sets another.
pub const ZONE: &str = "a";
/// Zones with the region of each.
const ZONE_REGIONS: [(&str, &str); 3] = [(ZONE, "north"), ("b", "north"), ("c", "south")];

pub fn settings(ports: &mut PortBlock) -> RouterSettings {
    RouterSettings {
        regions: ZONE_REGIONS
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into_iter()
            .collect(),
        evacuations: true,
        exposure: None,
        name: "test".to_owned(),
        zone: ZONE.to_owned(),
        callers: ports.next_address(),
        readiness: ports.next_address(),
        operations: ports.next_address(),
        descriptors: 1_000,
        memory_megabytes: 100,
        most_waiting: 100,
        stop_limit: Duration::from_secs(4),
        share_window: Duration::from_secs(4),
        processor: 1.0,
        event_delay: Duration::from_millis(120),
        propagation: Duration::from_secs(2),
        first_start: true,
        digests: ports.next_address(),
        seeds: Vec::new(),
        budget: BudgetLimits::default(),
        quarantine: QuarantineLimits::default(),
        warmup: WarmupLimits::default(),
        policy: mastbay_routing::Policy::default(),
        log: "info".to_owned(),
    }
}

impl Bed {
    /// Starts a router with [`configuration`] version 1 and `back_ends` in the service `plain`.
    pub async fn start(runtime: Runtime, back_ends: &[&ScriptedBackEnd]) -> Self {
        Self::start_in(ZONE, runtime, back_ends).await
    }

    /// Like [`Self::start`], in `zone`.
    pub async fn start_in(zone: &str, runtime: Runtime, back_ends: &[&ScriptedBackEnd]) -> Self {
        let bed = Self::start_unconfigured_in(zone, runtime).await;
        bed.router.offer_configuration(configuration(1), Origin::Source);
        bed.router.offer_evacuations(
            EvacuatedZones { revision: 1.into(), ..EvacuatedZones::default() },
            Origin::Source,
        );
        bed.set_back_ends(1, back_ends);
        bed
    }

    /// Starts a router without a configuration or a list of back ends.
    pub async fn start_unconfigured(runtime: Runtime) -> Self {
        Self::start_unconfigured_in(ZONE, runtime).await
    }

    async fn start_unconfigured_in(zone: &str, runtime: Runtime) -> Self {
        let mut ports = PortBlock::take();
        let settings = RouterSettings { zone: zone.to_owned(), ..settings(&mut ports) };
        // The listeners stay open until the process exits, so the ports must stay reserved.
        std::mem::forget(ports);
        let dialects =
            Dialects { callers: Box::new(NativeDialect), back_ends: Box::new(NativeDialect) };
        let mut registry = Registry::default();
        let metrics = RouterMetrics::register(&mut registry);
        let router = Router::new(settings.clone(), dialects, runtime, metrics);
        let bed = Self { router, runtime, settings };
        let running = mastbay_router::run(bed.router.clone(), Rc::new(registry), || {});
        runtime.spawn(async move { running.await.expect("runs") }).detach();
        bed.until_listening().await;
        bed
    }

    /// Replaces the back ends of the service `plain`, as the source would.
    pub fn set_back_ends(&self, revision: u64, back_ends: &[&ScriptedBackEnd]) {
        let back_ends = back_ends.iter().map(|back_end| back_end.listed("plain")).collect();
        self.router
            .offer_back_ends(BackEndList { revision: revision.into(), back_ends }, Origin::Source);
    }

    /// Sends the router a digest of a peer in its zone that serves configuration version 1.
    pub fn announce_peer(&self, digests: SocketAddr, snapshots: SocketAddr) {
        self.announce_peer_in(&self.settings.zone, digests, snapshots);
    }

    /// Like [`Self::announce_peer`], for a peer in `zone`.
    pub fn announce_peer_in(&self, zone: &str, digests: SocketAddr, snapshots: SocketAddr) {
        let router = RouterState {
            id: PeerId { address: digests, incarnation: 1 },
            sequence: 1,
            snapshots,
            zone: zone.to_owned(),
            phase: RouterPhase::Serving,
            processor: 1.0,
            contact: SourceContact::Idle,
            configuration: 1,
            back_ends: 1.into(),
            evacuations: 1.into(),
            rollouts: 0.into(),
            routers: 2,
        };
        let digest = Digest { router, stats: None, is_member: false, peers: Vec::new() };
        let bytes = rmp_serde::to_vec(&PeerMessage::Digest(digest)).expect("encoded");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
        socket.send_to(&bytes, self.settings.digests).expect("sent");
    }

    async fn until_listening(&self) {
        until(|| async { TcpStream::connect(self.settings.callers).await.is_ok() }).await;
    }

    /// Sends a request on a new connection and reads the answer until the router closes it.
    pub async fn call(&self, request: &Request) -> Answer {
        call_at(self.settings.callers, request).await
    }

    /// Sends a request on a new connection and returns the connection.
    pub async fn open(&self, request: &Request) -> TcpStream {
        open_at(self.settings.callers, request).await
    }
}

/// Sends a request to the router at `callers` on a new connection and reads the answer until the
/// router closes it.
pub async fn call_at(callers: SocketAddr, request: &Request) -> Answer {
    let mut stream = open_at(callers, request).await;
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).await.is_ok();
    Answer::new(bytes, ended)
}

async fn open_at(callers: SocketAddr, request: &Request) -> TcpStream {
    let mut stream = TcpStream::connect(callers).await.expect("connected");
    stream.write_all(request.text().as_bytes()).await.expect("sent");
    stream
}

/// Polls until a condition holds.
pub async fn until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    while !condition().await {
        smol::future::yield_now().await;
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// A caller's request.
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
    /// Sends `connection: keep-alive` instead of `close`.
    pub keep_alive: bool,
}

impl Request {
    pub fn new(path: &str) -> Self {
        let id = ("mastbay-request-id", format!("request-{}", rand::random::<u32>()));
        Self {
            method: "POST",
            path: path.to_owned(),
            headers: vec![id],
            body: String::new(),
            keep_alive: false,
        }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }

    pub fn keep_alive(self) -> Self {
        Self { keep_alive: true, ..self }
    }

    pub fn text(&self) -> String {
        let connection = if self.keep_alive { "keep-alive" } else { "close" };
        let headers: String =
            self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let (method, path, length) = (self.method, &self.path, self.body.len());
        format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: {connection}\r\n{headers}\
             content-length: {length}\r\n\r\n{}",
            self.body
        )
    }
}

/// Answer that a caller received.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body ended with its last chunk or has the announced length.
    pub is_complete: bool,
}

impl Answer {
    /// Parses the bytes read from a connection; `ended` is false if reading failed.
    pub fn new(bytes: Vec<u8>, ended: bool) -> Self {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let chunked = header(head, "transfer-encoding").is_some();
        let length = header(head, "content-length").and_then(|value| value.parse().ok());
        let is_complete =
            ended && if chunked { body.ends_with("0\r\n\r\n") } else { length == Some(body.len()) };
        Self { status, head: head.to_owned(), body: body.to_owned(), is_complete }
    }

    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}
