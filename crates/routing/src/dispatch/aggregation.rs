//! Who adds up the stats of a large fleet.
//!
//! In a small fleet each router sends its stats to all others (a mesh). What a router takes in then grows with
//! the fleet, so in a large one each router reports to one aggregator of its zone. Aggregators send each other the
//! sums over their members, and each sends its members the sums over the fleet: what a router takes in is constant.
//! Everybody works out who aggregates from what it hears of the others, without an election: if views differ for a
//! while, some members report to another router, which aggregates them as well as any.

use crate::digest::{PeerId, RouterPhase, RouterState};
use mastbay_types::stable_hash;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Other routers up to which each sends its stats to all.
pub const MAX_MESH_PEERS: usize = 25;
/// Members that one aggregator may have. At 12 reports a second from each this costs it about 2% of a core.
const MAX_MEMBERS: usize = 64;

/// How a router tells its stats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// To all others.
    #[default]
    Mesh,
    /// To the aggregator at this address.
    Member(SocketAddr),
    /// It adds up the stats of others.
    Aggregator,
}

impl Role {
    /// Its name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Mesh => "mesh",
            Self::Member(_) => "member",
            Self::Aggregator => "aggregator",
        }
    }
}

/// A router that may aggregate, as it is known here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// The router.
    pub id: PeerId,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it takes new work.
    pub phase: RouterPhase,
    /// Its part of a processor core.
    pub processor: f32,
    /// Whether it was silent lately where it should have sent sums.
    pub is_suspected: bool,
    /// Its place among equals, see [`tiebreak`].
    pub tiebreak: u64,
}

/// The place of a router among equals: the same in every router's view.
pub fn tiebreak(router: SocketAddr) -> u64 {
    stable_hash(&[router.to_string().as_bytes()])
}

impl<'a> Candidate<'a> {
    /// A router as it tells of itself.
    pub fn new(state: &'a RouterState, tiebreak: u64, is_suspected: bool) -> Self {
        Self {
            id: state.id,
            zone: &state.zone,
            phase: state.phase,
            processor: state.processor,
            is_suspected,
            tiebreak,
        }
    }

    /// The order in which routers are chosen: sound ones first, then those with more processor.
    fn rank(&self) -> (bool, RouterPhase, Reverse<u32>, u64, SocketAddr) {
        let milli_cores = (self.processor * 1e3) as u32;
        (self.is_suspected, self.phase, Reverse(milli_cores), self.tiebreak, self.id.address)
    }
}

/// The aggregators of each zone.
#[derive(Debug, Default)]
pub struct Aggregators<'a> {
    zones: BTreeMap<&'a str, Vec<PeerId>>,
}

impl<'a> Aggregators<'a> {
    /// Chooses among all routers that are known.
    pub fn choose(routers: impl Iterator<Item = Candidate<'a>>) -> Self {
        let mut zones: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        for router in routers {
            zones.entry(router.zone).or_default().push(router);
        }
        let chosen = zones.into_iter().map(|(zone, mut routers)| {
            let count = routers.len().div_ceil(MAX_MEMBERS);
            routers.sort_by_key(Candidate::rank);
            (zone, routers.into_iter().take(count).map(|router| router.id).collect())
        });
        Self { zones: chosen.collect() }
    }

    /// The one that a router reports to: of several in its zone, one by rendezvous.
    pub fn of(&self, zone: &str, router: PeerId) -> Option<PeerId> {
        let weight = |aggregator: &PeerId| {
            let (mine, theirs) = (router.address.to_string(), aggregator.address.to_string());
            stable_hash(&[mine.as_bytes(), theirs.as_bytes()])
        };
        let aggregators = self.zones.get(zone)?;
        if aggregators.iter().any(|aggregator| aggregator.address == router.address) {
            return Some(router);
        }
        aggregators.iter().copied().max_by_key(weight)
    }

    /// Addresses of all of them.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.zones.values().flatten().map(|aggregator| aggregator.address)
    }
}
