//! What routers tell each other.

use crate::back_end::BackEndId;
use crate::load_stats::LoadStats;
use crate::quarantine::TerminationReport;
use crate::revision::Revision;
use crate::source_watchers::SourceContact;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Names one life of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerId {
    /// Where it listens for digests.
    pub address: SocketAddr,
    /// A random number drawn at its start.
    pub incarnation: u64,
}

/// Whether a router takes new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub enum RouterPhase {
    /// It does.
    #[default]
    Serving,
    /// It has more to do than it can and sends new ones elsewhere.
    Shedding,
    /// It stops and takes no more work.
    Leaving,
}

/// A router as it tells of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterState {
    /// The router.
    pub id: PeerId,
    /// Rises with every message of this life.
    pub sequence: u64,
    /// Where it hands out its configuration and back ends.
    pub snapshots: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whether it takes new callers.
    pub phase: RouterPhase,
    /// Its part of a processor core.
    pub processor: f32,
    /// What it knows of the source by its own calls.
    pub contact: SourceContact,
    /// Version of the configuration that it has in force, 0 if none.
    pub configuration: u64,
    /// Revision of the back ends that it knows, the least if none.
    pub back_ends: Revision,
    /// Revision of the evacuated zones that it knows, the least if none.
    pub evacuations: Revision,
    /// Revision of the orders for roll-outs that it knows, the least if none.
    pub rollouts: Revision,
    /// Routers that it knows of, itself included.
    pub routers: u32,
}

/// One router's own state and figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub router: RouterState,
    /// Its figures; left out of heartbeats, which only tell that it lives.
    pub stats: Option<LoadStats>,
    /// Whether the sender reports to the receiver as its aggregator.
    pub is_member: bool,
    /// Digest addresses of further routers that it hears, in some digests.
    #[serde(with = "crate::address_list")]
    pub peers: Vec<SocketAddr>,
}

/// Whose figures a sum holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SumScope {
    /// Those of the sender and of the members that report to it: what aggregators tell each other.
    Members,
    /// Those of all routers: what an aggregator tells its members.
    Fleet,
}

/// A digest whose figures are part of a sum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncludedDigest {
    /// The life of the router that sent it.
    pub incarnation: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// Figures that an aggregator has added up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// The aggregator.
    pub router: RouterState,
    /// Whose figures these are.
    pub scope: SumScope,
    /// Which part of the engines they are of, see [`crate::EngineKey::part`].
    pub part: u32,
    /// Parts that the engines are split into, so that each message fits a datagram.
    pub parts: u32,
    /// The sums; those of tenants and services come with the first part.
    pub stats: LoadStats,
    /// Whether the last call of any router to the source was answered, as far as the aggregator hears.
    pub source_answers: bool,
    /// Routers that report to it and shed, itself included.
    pub shedding: u32,
    /// The digests of members that the sums hold.
    pub included: Vec<IncludedDigest>,
}

/// A message between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A router's own state and figures.
    Digest(Digest),
    /// Sums of an aggregator.
    Sum(Sum),
    /// Sums of an aggregator of another zone, which the receiver passes on as [`Self::Sum`] to the other aggregators of its own zone.
    SumForZone(Sum),
    /// Back ends that ended under requests.
    Ends(Vec<TerminationReport>),
    /// Back ends that said in answers that they end soon.
    Draining(Vec<BackEndId>),
}

/// A message and who it goes to.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The message.
    pub message: PeerMessage,
    /// Digest addresses of those who get it.
    pub targets: Vec<SocketAddr>,
}
