//! The modelled back end, which runs complete requests and counts the runs of each.

use mastbay_types::{RequestId, Timestamp};
use std::collections::BTreeMap;

/// State of the back end.
#[derive(Debug, Default)]
pub struct Backend {
    /// Increases with each restart; what was sent to an earlier incarnation is lost.
    pub incarnation: u32,
    /// End of the current outage.
    pub down_until: Timestamp,
    /// End of the current freeze.
    pub frozen_until: Timestamp,
    /// End of the partition from the first gateway, in both directions.
    pub cut_until: Timestamp,
    /// End of the time in which answers to the first gateway are dropped.
    pub answers_cut_until: Timestamp,
    /// Runs of each request, kept across restarts for the final checks.
    pub runs: BTreeMap<RequestId, u32>,
}

impl Backend {
    /// Counts a run of a request.
    pub fn begin(&mut self, request: RequestId) {
        *self.runs.entry(request).or_default() += 1;
    }

    /// Returns how often a request ran.
    pub fn runs_of(&self, request: RequestId) -> u32 {
        self.runs.get(&request).copied().unwrap_or(0)
    }

    /// Returns the number of runs of all requests.
    pub fn total_runs(&self) -> u32 {
        self.runs.values().sum()
    }

    /// Returns whether the back end accepts connections.
    pub fn is_up(&self, now: Timestamp) -> bool {
        now >= self.down_until
    }
}
