//! Selects the routers that keep a stream's record.

use super::messages::StreamKey;
use mastbay_types::mixed_hash;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Number of routers that a record is reported to. If 60 of 100 routers end at once, all of these
/// end in a fifth of the cases.
pub const OWNERS: usize = 3;
/// Number of routers that are asked for a record: more than keep it, as views of the fleet differ.
pub const ASKED_OWNERS: usize = 2 * OWNERS;

/// A router that may keep records.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a str,
    /// Hash of its address.
    pub hash: u64,
}

/// A member's position in the order of a stream; the lowest is preferred.
type Rank = (Reverse<u64>, SocketAddr);

/// Returns up to `count` members in the order of preference for a stream. The first ones are in
/// different zones, as far as there are enough, so that a record survives the loss of a zone.
pub fn owners<'a>(
    stream: StreamKey,
    members: impl Iterator<Item = Member<'a>>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut zones: Vec<(&str, Vec<Rank>)> = Vec::new();
    for member in members {
        let rank = (Reverse(mixed_hash(stream.0, member.hash)), member.address);
        match zones.iter_mut().find(|(zone, _)| *zone == member.zone) {
            Some((_, first)) => insert(first, rank, count),
            None => zones.push((member.zone, vec![rank])),
        }
    }
    zones.sort_unstable_by_key(|(_, first)| first.first().copied());
    let longest = zones.iter().map(|(_, first)| first.len()).max().unwrap_or_default();
    let by_position = (0..longest)
        .flat_map(|position| zones.iter().filter_map(move |(_, first)| first.get(position)));
    by_position.take(count).map(|(_, address)| *address).collect()
}

/// Inserts a rank into the `count` lowest ones, which are sorted.
fn insert(first: &mut Vec<Rank>, rank: Rank, count: usize) {
    if first.len() >= count && first.last().is_some_and(|last| *last < rank) {
        return;
    }
    let position = first.partition_point(|earlier| *earlier < rank);
    first.insert(position, rank);
    first.truncate(count);
}
