//! What becomes of new connections that a router does not simply serve: the account behind its log line and metrics.
//!
//! Callers on connections that are closed unread are denied service before their tenant is known, so no tenant's rate
//! counts them. This account is the only trace that they leave.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Time between two log lines while there is anything to tell.
const LINE_PERIOD: Duration = Duration::from_secs(1);

/// What became of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverflowOutcome {
    /// A peer took it.
    Forwarded,
    /// A peer took it and gave no answer to a request.
    Unanswered,
    /// No peer took it, and it was served here.
    ServedLocally,
    /// No peer took it, and it was closed unread.
    Rejected,
}

/// Connections by what became of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OverflowCounts {
    /// Those that a peer took.
    pub forwarded: u32,
    /// Those that a peer took and that ended without an answer to a request.
    pub unanswered: u32,
    /// Those that no peer took and that were served here.
    pub served_locally: u32,
    /// Those that no peer took and that were closed unread.
    pub rejected: u32,
    /// Those that were closed unread since as many as may be open were open.
    pub full: u32,
}

/// The account of one router.
#[derive(Debug, Default)]
pub struct OverflowRecorder {
    counts: OverflowCounts,
    told: Timestamp,
}

impl OverflowRecorder {
    /// A connection was not simply served.
    pub fn record(&mut self, outcome: OverflowOutcome) {
        let count = match outcome {
            OverflowOutcome::Forwarded => &mut self.counts.forwarded,
            OverflowOutcome::Unanswered => &mut self.counts.unanswered,
            OverflowOutcome::ServedLocally => &mut self.counts.served_locally,
            OverflowOutcome::Rejected => &mut self.counts.rejected,
        };
        *count += 1;
    }

    /// Some connections were closed unread since as many as may be open were open.
    pub fn record_full(&mut self, connections: u32) {
        self.counts.full += connections;
    }

    /// The counts since the last line, if one is due: there is something to tell and a second has passed.
    pub fn take_due(&mut self, now: Timestamp) -> Option<OverflowCounts> {
        if self.counts == OverflowCounts::default() || now.since(self.told) < LINE_PERIOD {
            return None;
        }
        self.told = now;
        Some(std::mem::take(&mut self.counts))
    }
}
