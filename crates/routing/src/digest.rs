//! Messages that routers send to each other.

use crate::back_end::BackEndId;
use crate::dispatch::RegistryNotice;
use crate::load_stats::LoadStats;
use crate::quarantine::TerminationReport;
use crate::revision::Revision;
use crate::silence::SilenceReport;
use crate::source_watchers::SourceContact;
use crate::stream_origin::OriginMessage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies one incarnation of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerId {
    /// Address on which the router receives peer messages.
    pub address: SocketAddr,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

/// Whether a router accepts new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub enum RouterPhase {
    /// Accepts new callers.
    #[default]
    Serving,
    /// Overloaded: directs new callers to other routers.
    Shedding,
    /// Shutting down: accepts no further work.
    Leaving,
}

/// The state that a router reports about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterState {
    /// Identity of the router.
    pub id: PeerId,
    /// Message number; increases with every message of this incarnation.
    pub sequence: u64,
    /// Address that serves snapshots of the router's configuration and back ends.
    pub snapshots: SocketAddr,
    /// Zone that the router runs in.
    pub zone: String,
    /// Whether the router accepts new callers.
    pub phase: RouterPhase,
    /// CPU share of the router, in cores.
    pub processor: f32,
    /// Result of the router's own calls to the source.
    pub contact: SourceContact,
    /// Version of the configuration in force, 0 if none.
    pub configuration: u64,
    /// Revision of the known back ends, the default revision if none.
    pub back_ends: Revision,
    /// Revision of the known evacuated zones, the default revision if none.
    pub evacuations: Revision,
    /// Revision of the known roll-out orders, the default revision if none.
    pub rollouts: Revision,
    /// Number of routers known to this one, including itself.
    pub routers: u32,
}

/// State and load statistics of a single router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// State of the sender.
    pub router: RouterState,
    /// Statistics of the sender; `None` in heartbeats, which only show that it is alive.
    pub stats: Option<LoadStats>,
    /// Whether the sender reports to the receiver as its aggregator.
    pub is_member: bool,
    /// Peer addresses of other routers known to the sender; empty in most digests.
    #[serde(with = "crate::address_list")]
    pub peers: Vec<SocketAddr>,
}

/// Which routers' statistics a [`Sum`] covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SumScope {
    /// The sending aggregator and the members that report to it; sent to other aggregators.
    Members,
    /// All routers of the fleet; sent by an aggregator to its members.
    Fleet,
}

/// Identifies a digest whose statistics are included in a [`Sum`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncludedDigest {
    /// Incarnation of the router that sent the digest.
    pub incarnation: u64,
    /// Sequence number of the digest.
    pub sequence: u64,
}

/// Statistics added up by an aggregator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// State of the aggregator.
    pub router: RouterState,
    /// Which routers' statistics are included.
    pub scope: SumScope,
    /// Index of the partition of engines that this message covers, see [`crate::EngineKey::part`].
    pub part: u32,
    /// Number of partitions; engines are partitioned to keep each message within one datagram.
    pub parts: u32,
    /// The summed statistics; those of tenants and services are only in the first partition.
    pub stats: LoadStats,
    /// Whether any router's last call to the source was answered, as known to the aggregator.
    pub source_answers: bool,
    /// Number of routers in the aggregator's group that are shedding, including itself.
    pub shedding: u32,
    /// Digests of members that are included in the sums.
    pub included: Vec<IncludedDigest>,
}

/// A message between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State and statistics of a single router.
    Digest(Digest),
    /// Statistics added up by an aggregator.
    Sum(Sum),
    /// Sums from an aggregator of another zone, which the receiver relays as [`Self::Sum`] to the
    /// other aggregators of its own zone.
    SumForZone(Sum),
    /// Back ends that terminated while requests were in flight on them.
    Ends(Vec<TerminationReport>),
    /// Back ends that announced in responses that they are shutting down.
    Draining(Vec<BackEndId>),
    /// Back ends that have fallen silent, or answer again.
    Silence(Vec<SilenceReport>),
    /// About the origins of streams.
    Origin(OriginMessage),
    /// The number of registered routers.
    Registry(RegistryNotice),
}

/// A message with its recipients.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The message.
    pub message: PeerMessage,
    /// Peer addresses of the recipients.
    pub targets: Vec<SocketAddr>,
}
