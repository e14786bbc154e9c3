//! The latest incarnation of each back end that is no longer listed.
//!
//! A back end may restart under its name, and an entry written by an earlier incarnation may arrive
//! after that of a later one.

use crate::back_end::BackEndId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of removed names kept; beyond it all of them are dropped.
const MAX_NAMES: usize = 8_192;

/// Latest incarnations by removed name.
#[derive(Debug, Default)]
pub struct LatestIncarnations(BTreeMap<Arc<str>, u64>);

impl LatestIncarnations {
    /// Records the incarnation of a back end that is no longer listed.
    pub fn on_removed(&mut self, id: &BackEndId) {
        if self.0.len() >= MAX_NAMES {
            self.0.clear();
        }
        if id.incarnation > 0 {
            self.0.insert(id.name.clone(), id.incarnation);
        }
    }

    /// Drops a name that is listed again, as its entry now holds the latest incarnation.
    pub fn on_listed(&mut self, name: &Arc<str>) {
        self.0.remove(name);
    }

    /// Returns the latest incarnation of a removed name, if it is kept.
    pub fn latest_removed(&self, name: &Arc<str>) -> Option<u64> {
        self.0.get(name).copied()
    }
}
