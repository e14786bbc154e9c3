//! What routers tell each other of requests under which back ends ended, and what is known of one.

use crate::fingerprint::RequestFingerprint;
use crate::load_stats::EngineKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A life of a back end that ended under a request, as routers tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The life that ended.
    pub back_end: EngineKey,
    /// Time for which it counts on, in milliseconds.
    pub counts_for_ms: u32,
    /// Whether the request was served to its end since, so that the end doesn't count.
    pub is_cleared: bool,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing that speaks against it.
    Clear,
    /// Back ends ended under it, fewer than the limit.
    Suspect,
    /// It is sent to no back end.
    Quarantined {
        /// For how long, unless it is served before.
        left: Duration,
        /// When its caller may come back: it may be let through then, to see whether it is served.
        retry_after: Duration,
    },
}

/// A request that is quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: RequestFingerprint,
    /// The lives of back ends that ended under it.
    pub back_ends: Vec<EngineKey>,
    /// For how long it is quarantined.
    pub left: Duration,
}

/// A router's place in an order of all routers that each of them knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeSlot {
    /// Its place, from 0.
    pub index: u64,
    /// All routers.
    pub routers: u64,
}

/// How far this router passes on what others reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relaying {
    /// Whoever sees an end tells all others itself.
    Nothing,
    /// Each router tells a few others what it heard.
    All,
}
