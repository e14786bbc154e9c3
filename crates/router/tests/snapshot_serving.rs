//! Serving of the list of back ends to other routers.

mod support;

use mastbay_router::{Origin, Runtime, SNAPSHOT_PATH};
use support::lists::{large_list, request_list, request_operations};
use support::{Bed, run, until};

/// Lists that a router serves at the same time.
const MAX_CONCURRENT: usize = 4;

/// Starts a router with a large list that serves its maximum of concurrent requests for it.
async fn busy_router(runtime: Runtime) -> (Bed, Vec<smol::net::TcpStream>) {
    let bed = Bed::start(runtime, &[]).await;
    bed.router.offer_back_ends(large_list(2), Origin::Source);
    let mut reading = Vec::new();
    for _ in 0..MAX_CONCURRENT {
        let (status, stream) = request_list(&bed).await;
        assert_eq!(status, 200);
        reading.push(stream);
    }
    (bed, reading)
}

// Routers that serve the large list to all peers at once share their link among them, and the first
// complete copy comes late. After a restart of the whole fleet that delays every router.
#[test]
fn a_list_is_served_to_a_few_peers_at_a_time_and_others_are_rejected_at_once() {
    run(async |runtime| {
        let (bed, mut reading) = busy_router(runtime).await;
        assert_eq!(request_list(&bed).await.0, 503);
        reading.pop();
        until(async || request_list(&bed).await.0 == 200).await;
    });
}

#[test]
fn changes_are_served_without_a_limit() {
    run(async |runtime| {
        let (bed, _reading) = busy_router(runtime).await;
        let changes = format!("{SNAPSHOT_PATH}?back-ends={}", bed.router.versions().1);
        for _ in 0..3 * MAX_CONCURRENT {
            assert_eq!(request_operations(&bed, &changes).await.0, 200);
        }
    });
}

#[test]
fn a_rejected_router_gets_the_list_later() {
    run(async |runtime| {
        let (bed, reading) = busy_router(runtime).await;
        let new_router = Bed::start_unconfigured(runtime).await;
        new_router.announce_peer(bed.settings.digests, bed.settings.operations);
        until(async || new_router.router.fleet_size() == 2).await;
        drop(reading);
        until(async || new_router.router.versions().1 == bed.router.versions().1).await;
    });
}
