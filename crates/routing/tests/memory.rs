//! Memory use of the back ends that a router knows.

mod support;

use mastbay_routing::{BackEndDirectory, BackEndList, BackEndUpdate};
use support::{MODEL, at, back_end, dispatcher};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Maximum peak memory per back end, in bytes: 60 MB for 10,000 back ends, which leaves half of a
/// 160 MB machine to requests.
const MAX_BYTES_PER_BACK_END: usize = 6_000;

/// Returns a full list as encoded by a peer.
fn encoded_list(count: usize) -> Vec<u8> {
    let back_ends = (0..count).map(|index| back_end(&format!("i-{index:08x}"), MODEL, 16));
    let list = BackEndList { revision: 5.into(), back_ends: back_ends.collect() };
    rmp_serde::to_vec(&BackEndUpdate::from(list)).expect("encoded")
}

/// Returns the peak memory while a router applies a list and serves it, in bytes per back end.
fn peak_bytes_per_back_end(count: usize) -> usize {
    let bytes = encoded_list(count);
    let profiler = dhat::Profiler::builder().testing().build();
    let mut directory = BackEndDirectory::default();
    let mut router = dispatcher(1, 0, 16);
    let update: BackEndUpdate = rmp_serde::from_slice(&bytes).expect("decoded");
    let changes = directory.apply(at(0), None, update).expect("newer");
    router.on_back_end_changes(at(0), &changes);
    let served = directory.update_since(at(0), Default::default());
    let encoded = rmp_serde::to_vec(&served).expect("encoded");
    assert_eq!(encoded.len(), bytes.len());
    let peak = dhat::HeapStats::get().max_bytes;
    drop(profiler);
    peak / count
}

#[test]
fn memory_per_back_end_is_bounded_and_does_not_grow_with_their_number() {
    let (few, many) = (peak_bytes_per_back_end(2_500), peak_bytes_per_back_end(10_000));
    assert!(many < MAX_BYTES_PER_BACK_END, "{many} bytes for each of 10,000");
    assert!(many as f64 <= few as f64 * 1.2, "{many} bytes for each of 10,000, {few} of 2,500");
}
