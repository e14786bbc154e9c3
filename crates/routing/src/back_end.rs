//! Back ends as their source tells them.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Names one life of a back end: a restarted one has another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub struct BackEndId(pub Arc<str>);

impl From<&str> for BackEndId {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
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
    pub revision: u64,
    /// The back ends.
    pub back_ends: Vec<BackEnd>,
}
