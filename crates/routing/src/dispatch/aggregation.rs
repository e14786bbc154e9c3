//! Assignment of aggregators for the load stats of a large fleet.
//!
//! In a small fleet each router sends its stats to all others (a mesh). In a large one each router
//! reports to an aggregator in its zone. Aggregators exchange the sums over their members, and each
//! sends the sums over the fleet to its members, so that the traffic received by a router does not
//! grow with the fleet.
//!
//! There is no election: each router derives the aggregators from its own view. While views differ,
//! some members report to a router that is no aggregator in its own view; it aggregates their stats
//! all the same.

use crate::digest::{PeerId, RouterPhase, RouterState};
use mastbay_types::stable_hash;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of peers in a mesh.
pub const MAX_MESH_PEERS: usize = 25;
/// Maximum number of members per aggregator. At 12 reports a second from each, receiving them takes
/// about 2 % of a core.
const MAX_MEMBERS: usize = 64;

/// How a router reports its load stats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// Sends them to all peers.
    #[default]
    Mesh,
    /// Sends them to the aggregator at this address.
    Member(SocketAddr),
    /// Aggregates the stats of other routers.
    Aggregator,
}

impl Role {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Mesh => "mesh",
            Self::Member(_) => "member",
            Self::Aggregator => "aggregator",
        }
    }
}

/// A router that may become an aggregator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    pub id: PeerId,
    pub zone: &'a str,
    pub phase: RouterPhase,
    /// CPU share, in cores.
    pub processor: f32,
    /// Whether it failed to send expected sums.
    pub is_suspected: bool,
    /// See [`tiebreak`].
    pub tiebreak: u64,
}

/// Returns a hash that orders otherwise equal routers the same way in every router's view.
pub fn tiebreak(router: SocketAddr) -> u64 {
    stable_hash(&[router.to_string().as_bytes()])
}

impl<'a> Candidate<'a> {
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

    /// Sort key: unsuspected routers in the best phase first, then those with more CPU.
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
    /// Chooses the aggregators from all known routers.
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

    /// Returns the aggregator that a router reports to. Of several in its zone, rendezvous hashing
    /// selects one.
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

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.zones.values().flatten().map(|aggregator| aggregator.address)
    }
}
