//! Updates of the known back ends, and the changes that result from them.

use crate::back_end::{BackEnd, BackEndId, BackEndList};
use crate::expired::KeptBackEnd;
use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An update of the back ends from a source or a peer.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BackEndUpdate {
    /// Revision that the changes are relative to; `None` for a whole list.
    pub base: Option<Revision>,
    /// Revision after the update.
    pub revision: Revision,
    /// Added and changed back ends; all back ends in a whole list.
    pub listed: Vec<BackEnd>,
    /// Names of removed back ends.
    pub removed: Vec<Arc<str>>,
    /// Back ends that are missing from the source and still used by the sender. Empty in updates
    /// from a source.
    #[serde(default)]
    pub kept: Vec<KeptBackEnd>,
}

impl From<BackEndList> for BackEndUpdate {
    fn from(list: BackEndList) -> Self {
        Self { revision: list.revision, listed: list.back_ends, ..Self::default() }
    }
}

/// Changes of the back ends that may receive requests, as the result of an update.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsableChanges {
    /// Revision after the update.
    pub revision: Revision,
    /// Added and changed back ends, in the state in which they are to be used.
    pub updated: Vec<BackEnd>,
    /// Incarnations that are no longer to be used.
    pub removed: Vec<BackEndId>,
    /// Incarnations that are missing from the source and still to be used for a grace period.
    pub kept: Vec<BackEndId>,
    /// Incarnations that were draining and are listed as ready again. They remain draining, as the
    /// entry was written earlier.
    pub undrained: Vec<BackEndId>,
}
