//! Reports of back-end terminations between routers, and the quarantine status of a suspect.

use crate::engine_key::EngineKey;
use crate::suspect::Suspect;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reports that a back end terminated while a suspect was in flight on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// The suspect.
    pub suspect: Suspect,
    /// The terminated incarnation.
    pub back_end: EngineKey,
    /// Remaining time for which the termination counts against the suspect, in milliseconds.
    pub counts_for_ms: u32,
    /// Whether a back end has since borne the suspect, so that the termination no longer counts.
    pub is_cleared: bool,
}

/// Quarantine status of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No termination counts against the suspect.
    Clear,
    /// Fewer terminations than the limit count against the suspect.
    Suspect,
    /// Requests that hold the suspect are sent to no back end.
    Quarantined {
        /// Remaining time of the quarantine, unless a back end bears the suspect before.
        left: Duration,
        /// When the client may retry: a request may then be let through as a probe.
        retry_after: Duration,
    },
}

impl QuarantineStatus {
    /// Returns when the client may retry; `None` unless quarantined.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Quarantined { retry_after, .. } => Some(*retry_after),
            Self::Clear | Self::Suspect => None,
        }
    }
}

/// A quarantined suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Incarnations of back ends that terminated while the suspect was in flight.
    pub back_ends: Vec<EngineKey>,
    /// Remaining time of the quarantine.
    pub left: Duration,
}

/// A router's position in the order in which routers probe a suspect.
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
