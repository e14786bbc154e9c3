//! Digests to and from peers, by datagrams, and snapshots fetched from a peer that knows more.

use crate::catalogue::Snapshot;
use crate::client::LocalClient;
use crate::events;
use crate::news::Origin;
use crate::operations::SNAPSHOT_PATH;
use crate::router::Router;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use mastbay_routing::Digest;
use smol::net::UdpSocket;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two digests while there are few peers.
const DIGEST_PERIOD: Duration = Duration::from_millis(80);
/// Peers up to which that period holds; with more it grows in proportion.
const PEERS_AT_FULL_RATE: usize = 25;
/// Digests between two calls to seeds.
const DIGESTS_PER_SEED_CALL: u64 = 12;
/// Largest datagram, in bytes.
const LARGEST_DATAGRAM: usize = 60 << 10;
/// Time between two looks for newer versions at peers.
const NEWER_PERIOD: Duration = Duration::from_millis(80);
/// Time for a snapshot.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(900);

/// Sends digests for as long as the router runs.
pub async fn send_digests(router: Rc<Router>, socket: Rc<UdpSocket>) {
    for round in 0_u64.. {
        let peers = send_round(&router, &socket, round).await;
        let factor = (peers as f64 / PEERS_AT_FULL_RATE as f64).max(1.0);
        let _ = router.runtime.within(DIGEST_PERIOD.mul_f64(factor), router.news.taken()).await;
    }
}

async fn send_round(router: &Rc<Router>, socket: &UdpSocket, round: u64) -> usize {
    let now = router.now();
    let (digest, mut targets) = {
        let mut dispatcher = router.dispatcher.borrow_mut();
        dispatcher.expire_peers(now);
        let digest = dispatcher.digest(now, router.standing());
        let targets: BTreeSet<SocketAddr> = dispatcher.peers().into_iter().collect();
        (digest, targets)
    };
    if round.is_multiple_of(DIGESTS_PER_SEED_CALL) || targets.is_empty() {
        targets.extend(seeds(router));
    }
    targets.remove(&router.settings.digests);
    let Ok(datagram) = rmp_serde::to_vec(&digest) else { return targets.len() };
    for target in &targets {
        // A datagram may be lost at any time; the next one says all again.
        let _ = socket.send_to(&datagram, target).await;
    }
    targets.len()
}

/// Digest addresses of the seeds: all routers listen for digests on the same port.
fn seeds(router: &Router) -> impl Iterator<Item = SocketAddr> {
    let port = router.settings.digests.port();
    router.settings.seeds.iter().map(move |seed| SocketAddr::new(seed.ip(), port))
}

/// Takes digests for as long as the router runs.
pub async fn receive_digests(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0_u8; LARGEST_DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            router.runtime.sleep(DIGEST_PERIOD).await;
            continue;
        };
        // A datagram that is no digest is not from a peer of ours.
        if let Ok(digest) = rmp_serde::from_slice::<Digest>(&buffer[..length]) {
            take_digest(&router, &socket, digest).await;
        }
    }
}

/// Takes a digest; answers a sender that was not known, and calls on routers that it mentions and that
/// are not known.
async fn take_digest(router: &Rc<Router>, socket: &UdpSocket, digest: Digest) {
    let now = router.now();
    let sender = digest.sender.address;
    let mut unknown = digest.peers.clone();
    let known = {
        let mut dispatcher = router.dispatcher.borrow_mut();
        if dispatcher.on_digest(now, digest) {
            unknown.push(sender);
            events::peer_heard(sender, dispatcher.routers(now));
        }
        dispatcher.peers()
    };
    unknown.retain(|address| *address != router.settings.digests);
    unknown.retain(|address| *address == sender || !known.contains(address));
    if unknown.is_empty() {
        return;
    }
    let mine = router.dispatcher.borrow_mut().digest(now, router.standing());
    let Ok(datagram) = rmp_serde::to_vec(&mine) else { return };
    for address in unknown {
        let _ = socket.send_to(&datagram, address).await;
    }
}

/// Fetches what peers know and this router misses, for as long as it runs.
pub async fn fetch_newer(router: Rc<Router>) {
    loop {
        router.runtime.sleep(NEWER_PERIOD).await;
        if !router.catalogue.borrow().is_complete() {
            ask_seeds(&router).await;
        }
        let newer = router.dispatcher.borrow().newer_elsewhere(router.now(), rand::random());
        let Some(address) = newer else { continue };
        if router.dispatcher.borrow().follows_source() {
            // The own source is usually about to tell the same.
            router.runtime.sleep(NEWER_PERIOD).await;
        }
        let still = router.dispatcher.borrow().newer_elsewhere(router.now(), rand::random());
        if still.is_some() {
            let fetched = fetch_snapshot(&router, address).await;
            router.peers_fail.set(!fetched);
        }
    }
}

/// Asks the seeds in turn while nothing is known: the own source may be out of reach.
async fn ask_seeds(router: &Rc<Router>) {
    let others = router.settings.seeds.iter().filter(|seed| **seed != router.settings.operations);
    for seed in others {
        if !router.catalogue.borrow().is_complete() {
            fetch_snapshot(router, *seed).await;
        }
    }
}

/// Fetches a snapshot from one peer. Gives whether one came.
pub async fn fetch_snapshot(router: &Rc<Router>, address: SocketAddr) -> bool {
    let request = Request::builder()
        .uri(SNAPSHOT_PATH)
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::default());
    let Ok(request) = request else { return false };
    let client = LocalClient::new(router.runtime.control(), address);
    let Ok(reply) = client.call(request, SNAPSHOT_LIMIT).await else { return false };
    if reply.status != StatusCode::OK {
        return false;
    }
    let Ok(snapshot) = rmp_serde::from_slice::<Snapshot>(&reply.body) else { return false };
    if let Some(configuration) = snapshot.configuration {
        router.offer_configuration(configuration, Origin::Peer);
    }
    if let Some(back_ends) = snapshot.back_ends {
        router.offer_back_ends(back_ends, Origin::Peer);
    }
    true
}
