//! The back end: runs what reaches it whole, and keeps the record.

use mastbay_types::{RequestId, Timestamp};
use std::collections::BTreeMap;

/// A plain service.
#[derive(Debug, Default)]
pub struct Backend {
    /// Rises with each restart: what was sent to an earlier life is lost.
    pub life: u32,
    /// Until when it is down.
    pub down_until: Timestamp,
    /// Until when it stands still.
    pub frozen_until: Timestamp,
    /// Until when nothing reaches it from the first gateway.
    pub cut_until: Timestamp,
    /// Until when nothing of its reaches the first gateway.
    pub answers_cut_until: Timestamp,
    /// Runs of each request. Kept beyond its life, by the judge.
    pub runs: BTreeMap<RequestId, u32>,
}

impl Backend {
    /// Notes that a request begins to run.
    pub fn begin(&mut self, request: RequestId) {
        *self.runs.entry(request).or_default() += 1;
    }

    /// Runs of a request.
    pub fn runs_of(&self, request: RequestId) -> u32 {
        self.runs.get(&request).copied().unwrap_or(0)
    }

    /// Runs of all requests.
    pub fn total_runs(&self) -> u32 {
        self.runs.values().sum()
    }

    /// Whether it takes connections.
    pub fn is_up(&self, now: Timestamp) -> bool {
        now >= self.down_until
    }
}
