//! Selects the routers that keep a stream's record.

use super::messages::StreamKey;
use mastbay_types::mixed_hash;
use std::cmp::Reverse;
use std::collections::HashMap;
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

/// Returns up to `count` members in the order of preference for a stream. The first ones are in
/// different zones, as far as there are enough, so that a record survives the loss of a zone.
pub fn owners<'a>(
    stream: StreamKey,
    members: impl Iterator<Item = Member<'a>>,
    count: usize,
) -> Vec<SocketAddr> {
    let scored = members.map(|member| (mixed_hash(stream.0, member.hash), member));
    let mut scored: Vec<(u64, Member)> = scored.collect();
    scored.sort_unstable_by_key(|(score, member)| (Reverse(*score), member.address));
    let mut chosen_in_zone: HashMap<&str, usize> = HashMap::new();
    let mut ranked: Vec<(usize, SocketAddr)> = Vec::with_capacity(scored.len());
    for (_, member) in scored {
        let earlier = chosen_in_zone.entry(member.zone).or_default();
        ranked.push((*earlier, member.address));
        *earlier += 1;
    }
    // The sort is stable: members of the same rank in their zones stay in the order of their scores.
    ranked.sort_by_key(|(rank_in_zone, _)| *rank_in_zone);
    ranked.into_iter().take(count).map(|(_, address)| address).collect()
}
