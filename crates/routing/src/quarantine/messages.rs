//! Reports of back-end terminations between routers, and the quarantine status of a request.

use crate::engine_key::EngineKey;
use crate::fingerprint::RequestFingerprint;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reports that a back end terminated while a request was in flight on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The terminated incarnation.
    pub back_end: EngineKey,
    /// Remaining time for which the termination counts against the request, in milliseconds.
    pub counts_for_ms: u32,
    /// Whether the request has since been served, so that the termination no longer counts.
    pub is_cleared: bool,
}

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No termination counts against the request.
    Clear,
    /// Fewer terminations than the limit count against the request.
    Suspect,
    /// The request is sent to no back end.
    Quarantined {
        /// Remaining time of the quarantine, unless the request is served before.
        left: Duration,
        /// When the client may retry: the request may then be let through as a probe.
        retry_after: Duration,
    },
}

/// A quarantined request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: RequestFingerprint,
    /// Incarnations of back ends that terminated while the request was in flight.
    pub back_ends: Vec<EngineKey>,
    /// Remaining time of the quarantine.
    pub left: Duration,
}

/// A router's position in the order in which routers probe a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeSlot {
    /// Position of this router, starting at 0.
    pub index: u64,
    /// Number of routers in the order.
    pub routers: u64,
}

/// Whether this router relays termination reports received from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relaying {
    /// No: the router that observes a termination reports it to all others.
    Nothing,
    /// Yes: each router relays reports to a few others.
    All,
}
