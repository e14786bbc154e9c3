//! The waiting requests of the fleet by service and order class.

use serde::{Deserialize, Serialize};

/// Waiting requests of one service and order class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BacklogReport {
    /// Hash of the service's name.
    pub service: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Whether their tenants are above their fair share.
    pub above_share: bool,
    /// Number of waiting requests.
    pub requests: u32,
    /// Their service, in tokens.
    pub tokens: u64,
    /// Placed requests of this class a second.
    pub placed: f32,
}

impl BacklogReport {
    /// Returns whether both reports are of the same service and class.
    pub fn has_key_of(&self, other: &Self) -> bool {
        (self.service, self.priority, self.above_share)
            == (other.service, other.priority, other.above_share)
    }

    /// Adds the requests of other routers.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.placed += other.placed;
    }
}
