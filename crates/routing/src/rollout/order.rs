//! Roll-out orders of operators.

use crate::revision::Revision;
use mastbay_types::short_hash;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Recorded progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// Ordered; no progress has been recorded yet.
    Ordered,
    /// The canary is being evaluated.
    InProgress,
    /// All requests go to the new version.
    Completed,
    /// No request goes to the new version.
    Reverted,
}

impl RolloutState {
    /// Returns whether the state can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// An order to move a service to back ends of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the object that holds the order.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Version to roll out.
    pub version: Arc<str>,
    /// Distinguishes the order from a later one with the same content.
    pub number: u64,
    /// Time from the order to its end.
    pub duration: Duration,
    /// Recorded state.
    pub state: RolloutState,
    /// Revision of the object.
    pub revision: Revision,
}

impl RolloutOrder {
    /// Returns the hash that identifies the order in messages between routers.
    pub fn key(&self) -> u32 {
        let parts = [
            self.service.as_bytes(),
            self.version.as_bytes(),
            &self.number.to_be_bytes(),
            &self.duration.as_millis().to_be_bytes(),
        ];
        short_hash(&parts)
    }

    /// Returns whether two entries are of the same order, regardless of state.
    pub fn is_same(&self, other: &Self) -> bool {
        self.key() == other.key()
    }

    /// Returns the order with the state and revision of a newer entry. A final state is kept, as a
    /// restored source may have lost it.
    pub fn with_state_of(self, newer: &Self) -> Self {
        let state = if self.state.is_final() { self.state } else { newer.state };
        Self { state, revision: newer.revision, ..self }
    }
}

/// All orders at one revision of their source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Rollouts {
    /// Revision of the source; increases with every change.
    pub revision: Revision,
    /// The orders, at most one per service.
    pub orders: Vec<RolloutOrder>,
}
