//! What routers tell each other: absolute figures, so that a lost or repeated digest does no harm.

use crate::back_end::BackEndId;
use crate::engine::Load;
use crate::service_level::LevelCounts;
use crate::watching::SourceContact;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Names one life of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerId {
    /// Where it listens for digests.
    pub address: SocketAddr,
    /// A random number drawn at its start.
    pub life: u64,
}

/// What a router has at one back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The back end.
    pub id: BackEndId,
    /// What the router has there.
    pub load: Load,
    /// The concurrency limit that it found, in requests; 0 if it found none.
    pub limit: u32,
    /// What tenants within their fair share met with there lately.
    pub level: LevelCounts,
}

impl EngineReport {
    /// Whether it differs from what is taken of an engine that is not reported.
    pub fn tells_anything(&self) -> bool {
        self.load != Load::default() || self.limit > 0 || self.level != LevelCounts::default()
    }
}

/// The time between events of a service's engines without load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePace {
    /// The service's name.
    pub service: String,
    /// Least time between two events that was observed, in microseconds.
    pub unloaded_micros: u32,
}

/// What a tenant asks of a router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TenantReport {
    /// The tenant's name.
    pub name: String,
    /// Service asked for, in tokens a second.
    pub asked: f32,
    /// Service given, in tokens a second.
    pub given: f32,
}

/// Whether a router takes new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Standing {
    /// It does.
    #[default]
    Serving,
    /// It has more to do than it can and sends new ones elsewhere.
    Shedding,
    /// It stops and takes no more work.
    Leaving,
}

/// One router's figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub sender: PeerId,
    /// Rises with every digest of the sender.
    pub sequence: u64,
    /// Where the sender hands out its configuration and back ends.
    pub snapshots: SocketAddr,
    /// The sender's zone.
    pub zone: String,
    /// Whether the sender takes new callers.
    pub standing: Standing,
    /// Its part of a processor core.
    pub processor: f32,
    /// What the sender knows of the source by its own calls.
    pub contact: SourceContact,
    /// Version of the configuration that it has in force, 0 if none.
    pub configuration: u64,
    /// Revision of the back ends that it knows, 0 if none.
    pub back_ends: u64,
    /// What it has at back ends.
    pub engines: Vec<EngineReport>,
    /// What tenants ask of it; left out where the last one told holds on.
    pub tenants: Option<Vec<TenantReport>>,
    /// The paces of services that it observed; left out where the last ones told hold on.
    pub paces: Option<Vec<ServicePace>>,
    /// Digest addresses of further routers that it hears, in some digests.
    pub peers: Vec<SocketAddr>,
}
