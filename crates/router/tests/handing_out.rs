//! How a router hands its list of back ends to others.

mod support;

use mastbay_router::{Origin, Runtime, SNAPSHOT_PATH};
use support::lists::{begin_to_read, begin_to_read_list, large_list};
use support::{Bed, run, until};

/// Lists that a router hands out at a time.
const AT_A_TIME: usize = 4;

/// A router with a large list, which hands out as many as it may.
async fn busy_router(runtime: Runtime) -> (Bed, Vec<smol::net::TcpStream>) {
    let bed = Bed::start(runtime, &[]).await;
    bed.router.offer_back_ends(large_list(2), Origin::Source);
    let mut reading = Vec::new();
    for _ in 0..AT_A_TIME {
        let (status, stream) = begin_to_read_list(&bed).await;
        assert_eq!(status, 200);
        reading.push(stream);
    }
    (bed, reading)
}

// All 985 routers of a fleet were killed and started again. Those that read the list from its source had it 0.38 s after their start, the first
// of the others 0.86 s and the last 1.63 s after them: several hundred fetched it from each at once, and all of them shared its link.
// From the logs, seconds since all were killed:
//
//     0.52 edge-1 event=process phase=started
//     0.90 edge-1 event=back_ends_known revision=10036 back_ends=9985 source=source
//     1.76 edge-111 event=back_ends_known revision=10036 back_ends=9985 source=peer
//     2.53 edge-107 event=back_ends_known revision=10036 back_ends=9985 source=peer
#[test]
fn a_list_is_handed_to_a_few_at_a_time_and_the_others_are_told_at_once() {
    run(async |runtime| {
        let (bed, mut reading) = busy_router(runtime).await;
        assert_eq!(begin_to_read_list(&bed).await.0, 503);
        reading.pop();
        until(async || begin_to_read_list(&bed).await.0 == 200).await;
    });
}

#[test]
fn changes_are_handed_to_anyone() {
    run(async |runtime| {
        let (bed, _reading) = busy_router(runtime).await;
        let changes = format!("{SNAPSHOT_PATH}?back-ends={}", bed.router.versions().1);
        for _ in 0..3 * AT_A_TIME {
            assert_eq!(begin_to_read(&bed, &changes).await.0, 200);
        }
    });
}

#[test]
fn a_router_that_was_told_to_come_back_gets_the_list() {
    run(async |runtime| {
        let (bed, reading) = busy_router(runtime).await;
        let newcomer = Bed::start_unconfigured(runtime).await;
        newcomer.introduce(bed.settings.digests, bed.settings.operations);
        until(async || newcomer.router.fleet_size() == 2).await;
        drop(reading);
        until(async || newcomer.router.versions().1 == bed.router.versions().1).await;
    });
}
