//! Origins of streams.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The back ends that may continue a stream: those of one software version of one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the software.
    pub version: Arc<str>,
}
