//! The operator's orders.

use crate::revision::Revision;
use mastbay_types::short_hash;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// How far a roll-out is, as recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// Ordered; nothing is recorded.
    Ordered,
    /// The canary is judged.
    InProgress,
    /// All traffic goes to the new version.
    Completed,
    /// None does.
    Reverted,
}

impl RolloutState {
    /// Whether it stays as it is.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// An order to move a service to back ends of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The name of the object in which it lies.
    pub name: String,
    /// The service.
    pub service: String,
    /// The version.
    pub version: Arc<str>,
    /// Tells one order from a later one with the same words.
    pub number: u64,
    /// Time from the order to its end.
    pub duration: Duration,
    /// What is recorded of it.
    pub state: RolloutState,
    /// The revision of its object.
    pub revision: Revision,
}

impl RolloutOrder {
    /// Its name in messages between routers.
    pub fn key(&self) -> u32 {
        let parts = [
            self.service.as_bytes(),
            self.version.as_bytes(),
            &self.number.to_be_bytes(),
            &self.duration.as_millis().to_be_bytes(),
        ];
        short_hash(&parts)
    }

    /// Whether another entry is of the same order, at whatever state.
    pub fn is_same(&self, other: &Self) -> bool {
        self.key() == other.key()
    }

    /// The order with the state that a newer entry of it records. A final state is never taken back: a restored source may have lost it.
    pub fn with_state_of(self, newer: &Self) -> Self {
        let state = if self.state.is_final() { self.state } else { newer.state };
        Self { state, revision: newer.revision, ..self }
    }
}

/// All orders at one revision of their source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Rollouts {
    /// The source's revision; rises.
    pub revision: Revision,
    /// The orders, one for a service at most.
    pub orders: Vec<RolloutOrder>,
}
