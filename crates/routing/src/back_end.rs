//! Back ends as described by their source.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies one incarnation of a back end. Everything learned about a back end is keyed by it, so
/// observations of one incarnation never apply to a later one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackEndId {
    /// Name of the back end, which may be reused after a restart.
    pub name: Arc<str>,
    /// Number of the incarnation; increases with each restart under the same name. 0 if the source
    /// does not number incarnations and a restarted back end gets another name.
    pub incarnation: u64,
}

impl BackEndId {
    /// Creates the id of an incarnation of the named back end.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self { name: Arc::from(name), incarnation }
    }
}

impl From<&str> for BackEndId {
    fn from(name: &str) -> Self {
        Self::new(name, 0)
    }
}

impl fmt::Display for BackEndId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.incarnation {
            0 => formatter.write_str(&self.name),
            incarnation => write!(formatter, "{}#{incarnation}", self.name),
        }
    }
}

/// Whether a back end accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackEndState {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests in flight and shuts down.
    Draining,
}

/// Description of a back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// Identity of this incarnation.
    pub id: BackEndId,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: String,
    /// Version of its software.
    pub version: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: BackEndState,
    /// Remaining warm-up time when the source reported it; zero if it is warm.
    pub cold_for: Duration,
}

/// All back ends at one revision of their source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BackEndList {
    /// Revision of the source; increases with every change.
    pub revision: Revision,
    /// The listed back ends.
    pub back_ends: Vec<BackEnd>,
}
