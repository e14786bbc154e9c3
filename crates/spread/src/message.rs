//! Messages between processes about configurations.

use mastbay_configuration::{Generation, Part, PartHash, Root};
use serde::{Deserialize, Serialize};

/// A request, a response or an announcement of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SpreadMessage {
    /// Announces the sender's generation right after it changes. Every envelope carries the
    /// generation as well.
    Announce {
        /// The generation in force at the sender.
        generation: Generation,
    },
    /// Requests the root in force at the receiver.
    RootRequest {
        /// The generation in force at the sender, zero for none.
        have: Generation,
    },
    /// Answers a root request with the full root.
    Root {
        /// The root in force, `None` if the sender has no configuration.
        root: Option<Root>,
    },
    /// Answers a root request with the difference from the requester's root, if the sender still
    /// has the part list of that generation.
    RootChange {
        /// The generation to which the change applies.
        base: Generation,
        /// The generation after the change.
        generation: Generation,
        /// Apply ID of the root after the change.
        apply_id: String,
        /// Parts missing from the base.
        added: Vec<PartHash>,
        /// Parts of the base that are no longer used.
        removed: Vec<PartHash>,
    },
    /// Requests parts by hash.
    PartsRequest {
        /// Hashes of the requested parts.
        parts: Vec<PartHash>,
    },
    /// Answers a parts request with those parts that the sender has.
    Parts {
        /// The available parts.
        parts: Vec<Part>,
    },
}
