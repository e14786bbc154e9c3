//! Fixture for router tests: a router on loopback, scripted back ends and plain callers, all on the
//! thread of the test.
#![allow(dead_code, missing_docs)]

pub mod back_ends;
pub mod forwarded;
pub mod lists;
pub mod suspendable;

pub use back_ends::*;

use mastbay_router::dialect::CallerDialect;
use mastbay_router::native_dialect::NativeDialect;
use mastbay_router::{Dialects, Origin, Router, RouterMetrics, RouterSettings, Runtime};
use mastbay_routing::{
    AllowedRegions, BackEndList, BudgetLimits, Digest, EngineLimits, EvacuatedZones, Limits,
    PeerId, PeerMessage, QuarantineLimits, Route, RouteKind, RouterPhase, RouterState,
    RoutingConfiguration, Service, SourceContact, Target, Tenant, WarmupLimits,
};
use mastbay_testbed::PortBlock;
pub use mastbay_testbed::header;
use prometheus_client::registry::Registry;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Time limit of a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

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
        // The routers of tests have no earlier life.
        burst_delay: Duration::ZERO,
        ignored_keys: Vec::new(),
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
        let bed = Self::start_unconfigured_in(zone, runtime, Box::new(NativeDialect)).await;
        bed.configure(back_ends)
    }

    /// Like [`Self::start`], with a dialect of callers.
    pub async fn start_with_callers(
        runtime: Runtime,
        callers: Box<dyn CallerDialect>,
        back_ends: &[&ScriptedBackEnd],
    ) -> Self {
        Self::start_unconfigured_in(ZONE, runtime, callers).await.configure(back_ends)
    }

    fn configure(self, back_ends: &[&ScriptedBackEnd]) -> Self {
        self.router.offer_configuration(configuration(1), Origin::Source);
        self.router.offer_evacuations(
            EvacuatedZones { revision: 1.into(), ..EvacuatedZones::default() },
            Origin::Source,
        );
        self.set_back_ends(1, back_ends);
        self
    }

    /// Starts a router without a configuration or a list of back ends.
    pub async fn start_unconfigured(runtime: Runtime) -> Self {
        Self::start_unconfigured_in(ZONE, runtime, Box::new(NativeDialect)).await
    }

    async fn start_unconfigured_in(
        zone: &str,
        runtime: Runtime,
        callers: Box<dyn CallerDialect>,
    ) -> Self {
        let mut ports = PortBlock::take();
        let settings = RouterSettings { zone: zone.to_owned(), ..settings(&mut ports) };
        // The listeners stay open until the process exits, so the ports must stay reserved.
        std::mem::forget(ports);
        let dialects = Dialects { callers, back_ends: Box::new(NativeDialect) };
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

/// Runs futures concurrently until all have completed.
pub async fn join_all<F: Future<Output = ()>>(all: impl Iterator<Item = F>) {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = all.map(|one| executor.spawn(one)).collect();
    let ended = async {
        for task in tasks {
            task.await;
        }
    };
    executor.run(ended).await;
}

/// Tells each router of all others.
pub fn announce_each_other(beds: &[Bed]) {
    for bed in beds {
        for other in beds.iter().filter(|other| other.settings.digests != bed.settings.digests) {
            bed.announce_peer(other.settings.digests, other.settings.operations);
        }
    }
}

/// Starts routers that know of each other and of the listed back ends.
pub async fn start_routers(runtime: Runtime, count: usize, list: &BackEndList) -> Vec<Bed> {
    let mut beds: Vec<Bed> = Vec::new();
    for _ in 0..count {
        let bed = Bed::start(runtime, &[]).await;
        bed.router.offer_back_ends(list.clone(), Origin::Source);
        beds.push(bed);
    }
    announce_each_other(&beds);
    beds
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
