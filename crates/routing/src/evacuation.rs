//! Evacuated zones: their back ends get no new requests until the operator revokes the evacuation.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The evacuated zones at one revision of their source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Revision of the source; increases with every change.
    pub revision: Revision,
    /// Names of the zones.
    pub zones: BTreeSet<String>,
}
