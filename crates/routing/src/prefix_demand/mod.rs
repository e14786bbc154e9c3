//! Request rates of shared prompt prefixes over the fleet.

use serde::{Deserialize, Serialize};

/// Request rate of one shared prefix.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefixRate {
    /// Key of the prefix, see [`crate::Prompt::prefix_key`].
    pub prefix: u64,
    /// Requests a second.
    pub rate: f32,
}
