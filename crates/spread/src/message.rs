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
    RootRequest,
    /// The root in force, if any.
    Root {
        /// The root.
        root: Option<Root>,
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
