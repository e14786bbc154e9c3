//! Answers that callers get when an overloaded router forwards their connections to a peer.

mod support;

use mastbay_router::offload::hello;
use mastbay_router::{Origin, Runtime};
use mastbay_routing::{EvacuatedZones, RoutingConfiguration};
use smol::channel::{Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::{Bed, Request, ScriptedBackEnd, Step, ZONE, answer, configuration, run, until};

/// Slightly more than the longest time that one tick of the event loop accounts for.
const LONG_TICK: Duration = Duration::from_millis(130);
/// Consecutive long ticks after which a router forwards nearly all new connections.
const LONG_TICKS: u32 = 4;
/// Body of the answers of the back end of the other router.
const PEER: &str = "peer";
/// Connections that a test opens, since not each one is forwarded.
const ATTEMPTS: u64 = 8;

/// Commands to the thread of the other router.
enum Command {
    /// Applies a version of the configuration.
    Configure(u64),
    /// Ends the thread.
    End,
}

/// Another router, on its own thread.
struct OtherRouter {
    digests: SocketAddr,
    operations: SocketAddr,
    commands: Sender<Command>,
    done: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

impl OtherRouter {
    /// Starts a router with configuration version 1 and one back end, which answers [`PEER`]. With
    /// `stall`, the back end is silent, and the thread sleeps for that time after its first
    /// request.
    fn start(stall: Option<Duration>) -> Self {
        Self::start_in(ZONE, stall)
    }

    /// Like [`Self::start`], in `zone`.
    fn start_in(zone: &'static str, stall: Option<Duration>) -> Self {
        let (commands, received) = smol::channel::unbounded();
        let (done, is_done) = smol::channel::unbounded();
        let (started, addresses) = smol::channel::bounded(1);
        let thread = std::thread::spawn(move || {
            run(async |runtime| {
                let silent = vec![Step::UntilClosed];
                let reaction = if stall.is_some() { silent } else { answer(PEER) };
                let back_end = ScriptedBackEnd::start(runtime, PEER, vec![reaction]).await;
                let bed = Bed::start_in(zone, runtime, &[&back_end]).await;
                let addresses = (bed.settings.digests, bed.settings.operations);
                started.send(addresses).await.expect("awaited");
                if let Some(stall) = stall {
                    until(async || back_end.arrivals() > 0).await;
                    std::thread::sleep(stall);
                }
                while let Ok(Command::Configure(version)) = received.recv().await {
                    bed.router.offer_configuration(with_added_route(version), Origin::Source);
                    done.send(()).await.expect("awaited");
                }
            });
        });
        let (digests, operations) = addresses.recv_blocking().expect("started");
        Self { digests, operations, commands, done: is_done, thread: Some(thread) }
    }

    /// Applies a version of the configuration there; blocks this thread until that is done.
    fn configure(&self, version: u64) {
        self.commands.send_blocking(Command::Configure(version)).expect("it runs");
        self.done.recv_blocking().expect("it runs");
    }
}

impl Drop for OtherRouter {
    fn drop(&mut self) {
        // Sending fails if the thread has ended already.
        let _ = self.commands.send_blocking(Command::End);
        let ended = self.thread.take().map(JoinHandle::join);
        assert!(std::thread::panicking() || ended.is_some_and(|ended| ended.is_ok()));
    }
}

fn added_path(version: u64) -> String {
    format!("/added-{version}/")
}

/// Configuration that has one added route for each version from 2 to `version`.
fn with_added_route(version: u64) -> RoutingConfiguration {
    let mut configuration = configuration(version);
    let safe = configuration.routes[0].clone();
    configuration.routes.extend((2..=version).map(|added| {
        let mut route = safe.clone();
        route.path_prefix = added_path(added);
        route
    }));
    configuration
}

/// Blocks the event loop of this thread, so that the router is late and forwards new connections.
async fn overload() {
    for _ in 0..LONG_TICKS {
        std::thread::sleep(LONG_TICK);
        smol::Timer::after(Duration::from_millis(25)).await;
    }
}

/// Starts a router whose back end answers `own`, and announces `other` to it as a peer in its zone.
async fn router_with_peer(runtime: Runtime, other: &OtherRouter) -> Bed {
    router_with_peer_in(ZONE, runtime, other).await
}

/// Like [`router_with_peer`], with the peer in `zone`.
async fn router_with_peer_in(zone: &str, runtime: Runtime, other: &OtherRouter) -> Bed {
    let back_end = ScriptedBackEnd::start(runtime, "own", vec![answer("own")]).await;
    let bed = Bed::start(runtime, &[&back_end]).await;
    bed.announce_peer_in(zone, other.digests, other.operations);
    bed
}

/// Returns whether the peer answers any of several callers of an overloaded router.
async fn does_any_caller_reach_peer(bed: &Bed) -> bool {
    for _ in 0..ATTEMPTS {
        overload().await;
        let answer = bed.call(&Request::new("/safe/x")).await;
        if answer.body == PEER {
            return true;
        }
        // Otherwise the connection was closed unread, or the request served locally.
        assert!(answer.head.is_empty() || answer.body == "own", "{}", answer.head);
    }
    false
}

/// Waits until the router of `bed` has applied `version`.
async fn until_configured(bed: &Bed, version: u64) {
    until(async || bed.router.versions().0 == version).await;
}

#[test]
fn a_late_router_forwards_connections() {
    run(async |runtime| {
        let other = OtherRouter::start(None);
        let bed = router_with_peer(runtime, &other).await;
        for _ in 0..ATTEMPTS {
            overload().await;
            let answer = bed.call(&Request::new("/safe/x")).await;
            assert_eq!(answer.status, 200);
            if answer.body == PEER {
                return;
            }
        }
        panic!("no connection was forwarded");
    });
}

// Connections that an overloaded zone closes unread bypass the fair shares of tenants, so they must
// be forwarded to another zone that has capacity.
#[test]
fn a_connection_that_would_be_closed_unread_goes_to_another_zone() {
    run(async |runtime| {
        let other = OtherRouter::start_in("b", None);
        let bed = router_with_peer_in("b", runtime, &other).await;
        assert!(does_any_caller_reach_peer(&bed).await, "no connection was forwarded");
    });
}

/// Forwarding to another region would add its long round trips.
#[test]
fn no_connection_goes_to_another_region() {
    run(async |runtime| {
        let other = OtherRouter::start_in("c", None);
        let bed = router_with_peer_in("c", runtime, &other).await;
        assert!(!does_any_caller_reach_peer(&bed).await);
    });
}

#[test]
fn no_connection_goes_to_an_evacuated_zone() {
    run(async |runtime| {
        let other = OtherRouter::start_in("b", None);
        let bed = router_with_peer_in("b", runtime, &other).await;
        let zones = ["b".to_owned()].into();
        bed.router.offer_evacuations(EvacuatedZones { revision: 2.into(), zones }, Origin::Source);
        assert!(!does_any_caller_reach_peer(&bed).await);
    });
}

// A peer may have another version of the configuration than the router that forwards to it. A
// caller must not see answers of a newer version and then of an older one.
#[test]
fn a_caller_is_answered_by_the_configuration_that_its_router_has() {
    run(assert_no_older_configuration_answers);
    run(assert_no_newer_configuration_answers);
}

async fn assert_no_older_configuration_answers(runtime: Runtime) {
    let other = OtherRouter::start(None);
    let bed = router_with_peer(runtime, &other).await;
    for version in 2..2 + ATTEMPTS {
        overload().await;
        bed.router.offer_configuration(with_added_route(version), Origin::Source);
        let answer = bed.call(&Request::new(&added_path(version))).await;
        // A late router may close a connection unread, which is not an answer.
        let is_own = answer.status == 200 || answer.head.is_empty();
        assert!(is_own, "version {version}: {}", answer.head);
        other.configure(version);
    }
}

/// A newer version must not answer, since the next request may be served locally by the older one.
async fn assert_no_newer_configuration_answers(runtime: Runtime) {
    let other = OtherRouter::start(None);
    let bed = router_with_peer(runtime, &other).await;
    for version in 2..2 + ATTEMPTS {
        overload().await;
        other.configure(version);
        let answer = bed.call(&Request::new(&added_path(version))).await;
        let has_it = bed.router.versions().0 >= version;
        let is_own = has_it || answer.status == 404 || answer.head.is_empty();
        assert!(is_own, "version {version}: {}", answer.head);
        until_configured(&bed, version).await;
    }
}

// A peer that stalls must not delay the caller beyond the time-out of its route.
#[test]
fn a_caller_is_answered_in_time_when_the_peer_that_took_its_request_stalls() {
    run(async |runtime| {
        let stall = Duration::from_secs(6);
        let other = OtherRouter::start(Some(stall));
        let bed = router_with_peer(runtime, &other).await;
        for _ in 0..ATTEMPTS {
            overload().await;
            let sent = Instant::now();
            let answer = bed.call(&Request::new("/brief/x")).await;
            if answer.body != "own" {
                // The time-out of the route is 0.15 s; the bound leaves time for a busy machine.
                let took = sent.elapsed();
                assert!(took < stall / 2, "answered after {took:?}: {}", answer.head);
                return;
            }
        }
        panic!("no connection was forwarded");
    });
}

// A forwarded request without a route has no time-out of its own, and still must not wait for a
// peer that stalls.
#[test]
fn a_caller_without_a_route_is_answered_in_time_when_the_peer_stalls() {
    run(async |runtime| {
        let bed = Bed::start(runtime, &[]).await;
        bed.announce_peer(stalled_router(runtime).await, bed.settings.operations);
        for _ in 0..ATTEMPTS {
            overload().await;
            let sent = Instant::now();
            let answer = bed.call(&Request::new("/nowhere/x")).await;
            let is_own = answer.status == 404 || answer.head.is_empty();
            if !is_own {
                let took = sent.elapsed();
                assert!(took < Duration::from_secs(3), "answered after {took:?}: {}", answer.head);
                return;
            }
        }
        panic!("no connection was forwarded");
    });
}

/// Starts a peer that accepts connections and sends its hello, but never answers.
async fn stalled_router(runtime: Runtime) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    let accept = async move {
        let mut accepted = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.write_all(&hello(1)).await.expect("hello sent");
            accepted.push(stream);
        }
    };
    runtime.spawn(accept).detach();
    address
}
