//! What a router holds while it hands its list of back ends to several others at once.

mod support;

use mastbay_router::Origin;
use support::lists::{begin_to_read_list, large_list};
use support::{Bed, run};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Routers that get the list at once, beside the first: more are told to come back.
const ASKING: usize = 3;
/// Most that may be held for each of them, in bytes: as much as the kernel holds for a connection.
const MOST_HELD: usize = 128 << 10;

// After the loss of all routers of a fleet of 985, one of 160 MB came to 126 MB. Members fetch the list of back ends, 1.4 MB, from those that
// have it, and the HTTP library copied the body of each answer as a whole before it wrote any of it: 0.64 MB for each in this test.
#[test]
fn a_list_that_is_handed_to_several_is_held_once() {
    run(async |runtime| {
        let bed = Bed::start(runtime, &[]).await;
        bed.router.offer_back_ends(large_list(2), Origin::Source);
        // The first one has the list encoded.
        let first = begin_to_read_list(&bed).await.1;
        let profiler = dhat::Profiler::builder().testing().build();
        let mut asking = Vec::new();
        for _ in 0..ASKING {
            let (status, stream) = begin_to_read_list(&bed).await;
            assert_eq!(status, 200);
            asking.push(stream);
        }
        let held = dhat::HeapStats::get().max_bytes;
        drop(profiler);
        assert!(held < ASKING * MOST_HELD, "{held} bytes for {ASKING} routers");
        drop((first, asking));
    });
}
