//! Zones whose back ends are to get nothing new until the operator takes that back.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The evacuated zones at one revision of their source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The source's revision; rises.
    pub revision: Revision,
    /// The zones' names.
    pub zones: BTreeSet<String>,
}
