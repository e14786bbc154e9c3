//! Messages to and from peers over UDP, and snapshots fetched from peers that have newer versions.

use crate::back_end_notices;
use crate::catalogue::Snapshot;
use crate::client::{LocalClient, ReplyLimits};
use crate::events;
use crate::quarantine;
use crate::router::Router;
use crate::silence;
use crate::snapshot_serving::TRANSFER_TIMEOUT;
use crate::snapshots::snapshot_target;
use crate::stream_origins;
use crate::update_signal::Origin;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use mastbay_routing::{EARLY_ROUND_PERIOD, Outgoing, PeerMessage, ROUND_PERIOD};
use smol::future::yield_now;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_SIZE: usize = 60 << 10;
/// Interval between checks for newer versions at peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(80);
/// Longest backoff after a peer that already serves as many snapshots as it may.
const MAX_BUSY_BACKOFF: Duration = Duration::from_millis(40);

/// Sends this router's state to other routers for as long as it runs.
pub async fn send_rounds(router: Rc<Router>, socket: Rc<UdpSocket>) {
    loop {
        send_round(&router, &socket).await;
        let is_updated = wait_for_update(&router, EARLY_ROUND_PERIOD).await;
        if !is_updated && !router.dispatcher.borrow().has_unreported_slots() {
            wait_for_update(&router, ROUND_PERIOD - EARLY_ROUND_PERIOD).await;
        }
    }
}

/// Waits for the next aligned tick after `period`, or until an update comes into force. Returns
/// whether there was one.
async fn wait_for_update(router: &Router, period: Duration) -> bool {
    let period = router.runtime.until_aligned_tick(period);
    router.runtime.within(period, router.update_signal.notified()).await.is_ok()
}

async fn send_round(router: &Rc<Router>, socket: &UdpSocket) {
    let seeds = seeds(router);
    let phase = router.phase();
    let messages = {
        let mut dispatcher = router.dispatcher.borrow_mut();
        let previous_role = dispatcher.role();
        let messages = dispatcher.next_round(router.now(), phase, &seeds);
        if dispatcher.role() != previous_role {
            events::role_changed(dispatcher.role(), dispatcher.routers());
        }
        messages
    };
    report_fleet_count(router);
    record_speed_changes(router);
    report_prefix_ranks(router);
    router.evaluate_rollouts();
    let reports = stream_origins::next_reports(router);
    for Outgoing { message, targets } in
        messages.into_iter().chain(quarantine::next_messages(router)).chain(reports)
    {
        send(socket, &message, &targets).await;
    }
}

/// Logs a changed number of routers that divide the budgets of the fleet, and updates the gauge.
fn report_fleet_count(router: &Router) {
    let count = router.dispatcher.borrow().fleet_count(router.now());
    let previous = router.fleet_count.replace(Some(count));
    if previous.map(|count| count.divided_by) != Some(count.divided_by) {
        events::fleet_counted(count);
        router.metrics.set_retry_share_divisor(count.divided_by);
    }
}

/// Logs the engines whose speed changed and updates the gauge.
fn record_speed_changes(router: &Router) {
    let mut dispatcher = router.dispatcher.borrow_mut();
    dispatcher.take_speed_changes().iter().for_each(events::engine_performance);
    router.metrics.set_engines_by_speed(dispatcher.engines_by_speed());
}

/// Logs changed numbers of engines for shared prefixes.
fn report_prefix_ranks(router: &Router) {
    let mut dispatcher = router.dispatcher.borrow_mut();
    dispatcher.take_rank_changes().iter().for_each(events::prefix_ranks_changed);
    router.metrics.set_raised_prefixes(dispatcher.raised_prefixes());
}

/// Sends a message. Datagrams may be lost at any time and the next one repeats their content, so
/// failures are only logged, with one line per message.
pub async fn send(socket: &UdpSocket, message: &PeerMessage, targets: &[SocketAddr]) {
    let datagram = match rmp_serde::to_vec(message) {
        Ok(datagram) => datagram,
        Err(error) => return events::message_not_encoded(&error),
    };
    let mut failed = 0;
    let mut last_error = None;
    for target in targets {
        if let Err(error) = socket.send_to(&datagram, target).await {
            failed += 1;
            last_error = Some(error);
        }
    }
    if let Some(error) = last_error {
        events::message_not_sent(failed, datagram.len(), &error);
    }
}

/// Returns the digest addresses of the other seeds. All routers use the same port for digests.
fn seeds(router: &Router) -> Vec<SocketAddr> {
    let own = router.settings.digests;
    let seeds = router.settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own.port()));
    seeds.filter(|seed| *seed != own).collect()
}

/// Messages that are handled before other tasks run, if more are waiting.
const MESSAGES_PER_TURN: u64 = 32;

/// Receives messages from other routers for as long as the router runs.
pub async fn receive_messages(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0_u8; MAX_DATAGRAM_SIZE];
    for received in 1_u64.. {
        if received.is_multiple_of(MESSAGES_PER_TURN) {
            yield_now().await;
        }
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            router.runtime.sleep(ROUND_PERIOD).await;
            continue;
        };
        // A datagram that cannot be decoded does not come from a peer.
        if let Ok(message) = rmp_serde::from_slice::<PeerMessage>(&buffer[..length]) {
            router.record_contact();
            handle_message(&router, &socket, sender, message).await;
        }
    }
}

/// Handles a message. Answers a new peer with a hello and what else it must know.
async fn handle_message(
    router: &Rc<Router>,
    socket: &UdpSocket,
    sender: SocketAddr,
    message: PeerMessage,
) {
    if let PeerMessage::Ends(reports) = &message {
        return quarantine::apply_reports(router, reports, sender);
    }
    if let PeerMessage::Draining(back_ends) = &message {
        return back_end_notices::apply_reported(router, back_ends, sender);
    }
    if let PeerMessage::Silence(reports) = &message {
        return silence::apply_reports(router, reports, sender);
    }
    if let PeerMessage::Registry(notice) = message {
        let (now, delay) = (router.now(), router.read_delay().longest);
        let mut dispatcher = router.dispatcher.borrow_mut();
        return dispatcher.on_registry_notice(now, now.saturating_sub(delay), notice);
    }
    if let PeerMessage::Origin(message) = message {
        if let Some(reply) = stream_origins::handle(router, sender, message) {
            send(socket, &PeerMessage::Origin(reply), &[sender]).await;
        }
        return;
    }
    let relayed = router.dispatcher.borrow().relayed_message(&message);
    if let Some(Outgoing { message, targets }) = relayed {
        send(socket, &message, &targets).await;
    }
    let new_peer = router.dispatcher.borrow_mut().on_message(router.now(), message);
    let Some(new_peer) = new_peer else { return };
    stream_origins::on_new_peer(router, new_peer.address);
    events::peer_heard(new_peer.address, router.dispatcher.borrow().routers());
    if new_peer.needs_hello {
        let hello = router.dispatcher.borrow_mut().hello(router.phase());
        send(socket, &PeerMessage::Digest(hello), &[new_peer.address]).await;
    }
    let draining = router.dispatcher.borrow().draining_for_new_peer();
    for message in quarantine::message_for_new_peer(router).into_iter().chain(draining) {
        send(socket, &message, &[new_peer.address]).await;
    }
}

/// Maximum size of a snapshot, in bytes: several times that of ten thousand back ends.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// The result of fetching a snapshot from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchResult {
    /// The snapshot was received and applied.
    Applied,
    /// The peer already serves as many snapshots as it may.
    Busy,
    /// No snapshot was received.
    Failed,
}

/// Fetches newer versions from peers for as long as the router runs.
pub async fn fetch_newer(router: Rc<Router>) {
    let mut is_busy = false;
    loop {
        let pause = if is_busy {
            MAX_BUSY_BACKOFF.mul_f64(rand::random())
        } else {
            router.runtime.until_aligned_tick(FETCH_INTERVAL)
        };
        router.runtime.sleep(pause).await;
        is_busy = false;
        let has_no_peers = router.dispatcher.borrow().routers() == 1;
        if has_no_peers && !router.catalogue.borrow().is_complete() {
            fetch_from_seeds(&router).await;
        }
        let newer = router.dispatcher.borrow().newer_snapshot_address(router.now(), rand::random());
        if newer.is_none() {
            continue;
        }
        if router.dispatcher.borrow().watches_source(router.now()) {
            // The router's own source usually delivers the same update soon.
            router.runtime.sleep(FETCH_INTERVAL).await;
        }
        let still_newer =
            router.dispatcher.borrow().newer_snapshot_address(router.now(), rand::random());
        let Some(address) = still_newer else { continue };
        match fetch_snapshot(&router, address).await {
            FetchResult::Applied => router.peer_fetch_failed.set(false),
            FetchResult::Busy => is_busy = true,
            FetchResult::Failed => router.peer_fetch_failed.set(true),
        }
    }
}

/// Fetches snapshots from the seeds one by one until the router's state is complete: its own source
/// may be unreachable.
async fn fetch_from_seeds(router: &Rc<Router>) {
    let others = router.settings.seeds.iter().filter(|seed| **seed != router.settings.operations);
    for seed in others {
        if !router.catalogue.borrow().is_complete() {
            fetch_snapshot(router, *seed).await;
        }
    }
}

/// Fetches a snapshot from one peer and applies it.
async fn fetch_snapshot(router: &Rc<Router>, address: SocketAddr) -> FetchResult {
    let request = Request::builder()
        .uri(snapshot_target(router.catalogue.borrow().versions()))
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::default());
    let Ok(request) = request else { return FetchResult::Failed };
    let limits = ReplyLimits { max_bytes: MAX_SNAPSHOT_BYTES, budget: router.reply_budget() };
    let client = LocalClient::new(router.runtime.control(), address, limits);
    let Ok(reply) = client.call(request, TRANSFER_TIMEOUT).await else {
        return FetchResult::Failed;
    };
    match reply.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return FetchResult::Busy,
        _ => return FetchResult::Failed,
    }
    let Ok(snapshot) = rmp_serde::from_slice::<Snapshot>(&reply.body) else {
        return FetchResult::Failed;
    };
    if let Some(configuration) = snapshot.configuration {
        router.offer_configuration(configuration, Origin::Peer(address));
    }
    if let Some(back_ends) = snapshot.back_ends {
        router.offer_back_ends(back_ends, Origin::Peer(address));
    }
    if let Some(evacuations) = snapshot.evacuations {
        router.offer_evacuations(evacuations, Origin::Peer(address));
    }
    if let Some(rollouts) = snapshot.rollouts {
        router.offer_rollouts(rollouts, Origin::Peer(address));
    }
    FetchResult::Applied
}
