//! Back ends as their source tells them.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Names one life of a back end. All that is believed of a back end hangs on it, so nothing of an earlier life counts for a later one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackEndId {
    /// Its name, which a restarted one may have again.
    pub name: Arc<str>,
    /// Which of the lives under that name it is; a later one is larger. 0 where its source tells none: then a restarted one has
    /// another name.
    pub incarnation: u64,
}

impl BackEndId {
    /// A life of a back end.
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

/// Whether a back end takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackEndState {
    /// It does.
    Ready,
    /// It ends what it has and leaves.
    Draining,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// Its name for this life.
    pub id: BackEndId,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackEndState,
    /// Time for which it stays cold from when its source told; zero if it is warm.
    pub cold_for: Duration,
}

/// All back ends at one revision of their source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BackEndList {
    /// The source's revision; rises.
    pub revision: Revision,
    /// The back ends.
    pub back_ends: Vec<BackEnd>,
}
