//! What the back ends that a router knows take of its memory.

mod support;

use mastbay_routing::{BackEndDirectory, BackEndList, BackEndUpdate};
use support::{MODEL, at, back_end, dispatcher};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// What a router may hold for each back end at its peak, in bytes: 60 MB for 10,000, beside 20 MB for all else. The smallest machines have
/// 160 MB, and the other half is for requests.
const MOST_EACH: usize = 6_000;

/// A whole list as it comes from a peer.
fn received(count: usize) -> Vec<u8> {
    let back_ends = (0..count).map(|index| back_end(&format!("i-{index:08x}"), MODEL, 16));
    let list = BackEndList { revision: 5.into(), back_ends: back_ends.collect() };
    rmp_serde::to_vec(&BackEndUpdate::from(list)).expect("encoded")
}

/// The most that is held while a router takes a list and hands it out, in bytes for each back end.
fn held_for_each(count: usize) -> usize {
    let bytes = received(count);
    let profiler = dhat::Profiler::builder().testing().build();
    let mut directory = BackEndDirectory::default();
    let mut router = dispatcher(1, 0, 16);
    let update: BackEndUpdate = rmp_serde::from_slice(&bytes).expect("decoded");
    let changes = directory.apply(at(0), false, update).expect("newer");
    router.on_back_end_changes(at(0), &changes);
    let told = directory.update_since(Default::default());
    let encoded = rmp_serde::to_vec(&told).expect("encoded");
    assert_eq!(encoded.len(), bytes.len());
    let most = dhat::HeapStats::get().max_bytes;
    drop(profiler);
    most / count
}

#[test]
fn what_is_held_for_a_back_end_is_little_and_does_not_grow_with_their_number() {
    let (few, many) = (held_for_each(2_500), held_for_each(10_000));
    assert!(many < MOST_EACH, "{many} bytes for each of 10,000");
    assert!(many as f64 <= few as f64 * 1.2, "{many} bytes for each of 10,000, {few} of 2,500");
}
