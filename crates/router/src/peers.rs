//! Messages to and from peers, by datagrams, and snapshots fetched from a peer that knows more.

use crate::back_end_notices;
use crate::catalogue::Snapshot;
use crate::client::LocalClient;
use crate::events;
use crate::quarantine;
use crate::router::Router;
use crate::snapshot_serving::LONGEST_HANDING;
use crate::snapshots::snapshot_target;
use crate::update_signal::Origin;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use mastbay_routing::{Outgoing, PeerMessage, ROUND_PERIOD};
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Largest datagram, in bytes.
const LARGEST_DATAGRAM: usize = 60 << 10;
/// Time between two looks for newer versions at peers.
const NEWER_PERIOD: Duration = Duration::from_millis(80);
/// Longest pause after a peer that was handing out as many lists as it may; a list takes it some 50 ms.
const BUSY_PAUSE: Duration = Duration::from_millis(40);

/// Tells other routers of this one for as long as it runs.
pub async fn send_rounds(router: Rc<Router>, socket: Rc<UdpSocket>) {
    loop {
        send_round(&router, &socket).await;
        // A round comes early where something newer is in force.
        let period = router.runtime.until_aligned_tick(ROUND_PERIOD);
        let _ = router.runtime.within(period, router.update_signal.notified()).await;
    }
}

async fn send_round(router: &Rc<Router>, socket: &UdpSocket) {
    let seeds = seeds(router);
    let phase = router.phase();
    let messages = {
        let mut dispatcher = router.dispatcher.borrow_mut();
        let earlier = dispatcher.role();
        let messages = dispatcher.next_round(router.now(), phase, &seeds);
        if dispatcher.role() != earlier {
            events::role_changed(dispatcher.role(), dispatcher.routers());
        }
        messages
    };
    router.evaluate_rollouts();
    for Outgoing { message, targets } in
        messages.into_iter().chain(quarantine::next_messages(router))
    {
        send(socket, &message, &targets).await;
    }
}

/// Sends a message. A datagram may be lost at any time, and the next one says all again, so failed sends are
/// only logged, one line for all of a message.
async fn send(socket: &UdpSocket, message: &PeerMessage, targets: &[SocketAddr]) {
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

/// Digest addresses of the other seeds: all routers listen for digests on the same port.
fn seeds(router: &Router) -> Vec<SocketAddr> {
    let own = router.settings.digests;
    let seeds = router.settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own.port()));
    seeds.filter(|seed| *seed != own).collect()
}

/// Takes messages of other routers for as long as the router runs.
pub async fn receive_messages(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0_u8; LARGEST_DATAGRAM];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            router.runtime.sleep(ROUND_PERIOD).await;
            continue;
        };
        // A datagram that is no message is not from a peer of ours.
        if let Ok(message) = rmp_serde::from_slice::<PeerMessage>(&buffer[..length]) {
            router.note_heard();
            take_message(&router, &socket, sender, message).await;
        }
    }
}

/// Takes a message and greets a sender that was not known.
async fn take_message(
    router: &Rc<Router>,
    socket: &UdpSocket,
    sender: SocketAddr,
    message: PeerMessage,
) {
    if let PeerMessage::Ends(reports) = &message {
        return quarantine::take_reports(router, reports, sender);
    }
    if let PeerMessage::Draining(told) = &message {
        return back_end_notices::apply_reported(router, told, sender);
    }
    let passed_on = router.dispatcher.borrow().relayed_message(&message);
    if let Some(Outgoing { message, targets }) = passed_on {
        send(socket, &message, &targets).await;
    }
    let new_peer = router.dispatcher.borrow_mut().on_message(router.now(), message);
    let Some(new_peer) = new_peer else { return };
    events::peer_heard(new_peer.address, router.dispatcher.borrow().routers());
    if new_peer.needs_hello {
        let greeting = router.dispatcher.borrow_mut().hello(router.phase());
        send(socket, &PeerMessage::Digest(greeting), &[new_peer.address]).await;
    }
    let draining = router.dispatcher.borrow().draining_for_new_peer();
    for message in quarantine::message_for_newcomer(router).into_iter().chain(draining) {
        send(socket, &message, &[new_peer.address]).await;
    }
}

/// What came of asking a peer for its snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fetched {
    /// It came.
    Taken,
    /// The peer hands out as many as it may.
    Busy,
    /// None came.
    Failed,
}

/// Fetches what peers know and this router misses, for as long as it runs.
pub async fn fetch_newer(router: Rc<Router>) {
    let mut is_busy = false;
    loop {
        let pause = if is_busy {
            BUSY_PAUSE.mul_f64(rand::random())
        } else {
            router.runtime.until_aligned_tick(NEWER_PERIOD)
        };
        router.runtime.sleep(pause).await;
        is_busy = false;
        let hears_nobody = router.dispatcher.borrow().routers() == 1;
        if hears_nobody && !router.catalogue.borrow().is_complete() {
            ask_seeds(&router).await;
        }
        let newer = router.dispatcher.borrow().newer_snapshot_address(router.now(), rand::random());
        if newer.is_none() {
            continue;
        }
        if router.dispatcher.borrow().watches_source(router.now()) {
            // The own source is usually about to tell the same.
            router.runtime.sleep(NEWER_PERIOD).await;
        }
        let still = router.dispatcher.borrow().newer_snapshot_address(router.now(), rand::random());
        let Some(address) = still else { continue };
        match fetch_snapshot(&router, address).await {
            Fetched::Taken => router.peers_fail.set(false),
            Fetched::Busy => is_busy = true,
            Fetched::Failed => router.peers_fail.set(true),
        }
    }
}

/// Asks the seeds in turn while nothing is known and no peer is heard: the own source may be out of reach.
async fn ask_seeds(router: &Rc<Router>) {
    let others = router.settings.seeds.iter().filter(|seed| **seed != router.settings.operations);
    for seed in others {
        if !router.catalogue.borrow().is_complete() {
            fetch_snapshot(router, *seed).await;
        }
    }
}

/// Fetches a snapshot from one peer.
async fn fetch_snapshot(router: &Rc<Router>, address: SocketAddr) -> Fetched {
    let request = Request::builder()
        .uri(snapshot_target(router.catalogue.borrow().versions()))
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::default());
    let Ok(request) = request else { return Fetched::Failed };
    let client = LocalClient::new(router.runtime.control(), address);
    let Ok(reply) = client.call(request, LONGEST_HANDING).await else { return Fetched::Failed };
    match reply.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Fetched::Busy,
        _ => return Fetched::Failed,
    }
    let Ok(snapshot) = rmp_serde::from_slice::<Snapshot>(&reply.body) else {
        return Fetched::Failed;
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
    Fetched::Taken
}
