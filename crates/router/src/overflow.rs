//! Counts the new connections that a router does not serve normally, for its log and metrics.
//!
//! Connections that are closed unread are rejected before their tenant is known, so no tenant's
//! rate includes them. These counts are the only trace that they leave.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Minimum interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The outcome of a connection that was not served normally.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverflowOutcome {
    /// A peer accepted it.
    Forwarded,
    /// A peer accepted it and did not answer a request.
    Unanswered,
    /// No peer accepted it, and it was served locally.
    ServedLocally,
    /// No peer accepted it, and it was closed unread.
    Rejected,
}

/// Numbers of connections by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OverflowCounts {
    /// Accepted by a peer.
    pub forwarded: u32,
    /// Accepted by a peer, which did not answer a request.
    pub unanswered: u32,
    /// Accepted by no peer and served locally.
    pub served_locally: u32,
    /// Accepted by no peer and closed unread.
    pub rejected: u32,
    /// Closed unread because the maximum number of connections was open.
    pub full: u32,
}

/// Collects the counts of a router between two log lines.
#[derive(Debug, Default)]
pub struct OverflowRecorder {
    counts: OverflowCounts,
    last_logged: Timestamp,
}

impl OverflowRecorder {
    /// Counts a connection.
    pub fn record(&mut self, outcome: OverflowOutcome) {
        let count = match outcome {
            OverflowOutcome::Forwarded => &mut self.counts.forwarded,
            OverflowOutcome::Unanswered => &mut self.counts.unanswered,
            OverflowOutcome::ServedLocally => &mut self.counts.served_locally,
            OverflowOutcome::Rejected => &mut self.counts.rejected,
        };
        *count += 1;
    }

    /// Counts connections closed unread because the maximum number of connections was open.
    pub fn record_full(&mut self, connections: u32) {
        self.counts.full += connections;
    }

    /// Returns the counts since the last line and resets them, if a line is due: a count is above
    /// zero and the interval has passed.
    pub fn take_due(&mut self, now: Timestamp) -> Option<OverflowCounts> {
        if self.counts == OverflowCounts::default() || now.since(self.last_logged) < LOG_INTERVAL {
            return None;
        }
        self.last_logged = now;
        Some(std::mem::take(&mut self.counts))
    }
}
