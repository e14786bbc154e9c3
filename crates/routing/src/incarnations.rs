//! Which life of a back end was the latest, of those that are listed no more.
//!
//! A back end may start again under its name. What an earlier life wrote may come later than what the new one did.

use crate::back_end::BackEndId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Names that are remembered after they went; past this, they are forgotten. It is the names that come and go that count here, not
/// those that are listed.
const MOST_REMEMBERED: usize = 8_192;

/// The latest lives of names that went.
#[derive(Debug, Default)]
pub struct LatestIncarnations(BTreeMap<Arc<str>, u64>);

impl LatestIncarnations {
    /// A back end is listed no more.
    pub fn on_gone(&mut self, id: &BackEndId) {
        if self.0.len() >= MOST_REMEMBERED {
            self.0.clear();
        }
        if id.incarnation > 0 {
            self.0.insert(id.name.clone(), id.incarnation);
        }
    }

    /// A name is listed, which tells its latest life from now on.
    pub fn on_listed(&mut self, name: &Arc<str>) {
        self.0.remove(name);
    }

    /// The latest life of a name that went, if it is remembered.
    pub fn latest_gone(&self, name: &Arc<str>) -> Option<u64> {
        self.0.get(name).copied()
    }
}
