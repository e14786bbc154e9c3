//! What processes tell each other about configurations.

use mastbay_configuration::{Generation, Part, PartHash, Root};
use serde::{Deserialize, Serialize};

/// A message about configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SpreadMessage {
    /// The sender has this generation in force. Every envelope says so too; this one is sent on
    /// its own right after a change.
    Announce {
        /// The generation.
        generation: Generation,
    },
    /// Asks for the root in force.
    RootRequest {
        /// The generation in force at the one who asks.
        have: Generation,
    },
    /// The root in force, if any.
    Root {
        /// The root.
        root: Option<Root>,
    },
    /// The root in force, for one who has another that the sender remembers: of a list that grows
    /// with the fleet only what changed.
    RootChange {
        /// The generation that the change starts from.
        base: Generation,
        /// The generation in force.
        generation: Generation,
        /// Of the root in force.
        apply_id: String,
        /// Parts that it has and the base has not.
        added: Vec<PartHash>,
        /// Parts that the base has and it has not.
        removed: Vec<PartHash>,
    },
    /// Asks for parts.
    PartsRequest {
        /// The parts asked for.
        parts: Vec<PartHash>,
    },
    /// The parts asked for that the sender has.
    Parts {
        /// The parts.
        parts: Vec<Part>,
    },
}
