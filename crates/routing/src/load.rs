//! The load of a back end: requests in flight and the resources they take.

use crate::first_event::PrefillWork;
use serde::{Deserialize, Serialize};

/// Requests in flight at a back end and the resources they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests.
    pub running: u32,
    /// Number of requests whose tenants were above their fair share at placement.
    pub above_share: u32,
    /// Prefill work that is still pending.
    pub prefill: PrefillWork,
    /// Memory taken by the requests, in tokens.
    pub memory: u64,
    /// Decaying count of requests that could not be placed here although their tenants were below
    /// half of their fair share. Slots are reserved for them.
    pub unplaced: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.running += other.running;
        self.above_share += other.above_share;
        self.prefill.add(other.prefill);
        self.memory += other.memory;
        self.unplaced += other.unplaced;
    }

    /// Subtracts another load, saturating at zero.
    pub fn remove(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.above_share = self.above_share.saturating_sub(other.above_share);
        self.prefill.remove(other.prefill);
        self.memory = self.memory.saturating_sub(other.memory);
        self.unplaced = self.unplaced.saturating_sub(other.unplaced);
    }
}
