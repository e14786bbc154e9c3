//! Memory of a router while it serves its list of back ends to several peers at once.

mod support;

use mastbay_router::Origin;
use support::lists::{large_list, request_list};
use support::{Bed, run};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Routers that get the list at once, in addition to the first; any more would be rejected.
const REQUESTING: usize = 3;
/// Heap bytes allowed for each of them.
const MAX_PER_REQUEST: usize = 128 << 10;

// One copy of the encoded list for each answer exhausts the memory of small machines when a fleet
// restarts.
#[test]
fn a_list_served_to_several_peers_is_held_once() {
    run(async |runtime| {
        let bed = Bed::start(runtime, &[]).await;
        bed.router.offer_back_ends(large_list(2), Origin::Source);
        // The first request makes the router encode the list.
        let first = request_list(&bed).await.1;
        let profiler = dhat::Profiler::builder().testing().build();
        let mut streams = Vec::new();
        for _ in 0..REQUESTING {
            let (status, stream) = request_list(&bed).await;
            assert_eq!(status, 200);
            streams.push(stream);
        }
        let held = dhat::HeapStats::get().max_bytes;
        drop(profiler);
        assert!(held < REQUESTING * MAX_PER_REQUEST, "{held} bytes for {REQUESTING} routers");
        drop((first, streams));
    });
}
