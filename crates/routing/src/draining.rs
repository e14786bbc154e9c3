//! Back ends that are draining.

use crate::back_end::{BackEnd, BackEndId, BackEndState};
use mastbay_types::Timestamp;
use std::collections::BTreeMap;

/// Maximum number of incarnations kept; beyond it the one recorded earliest is evicted.
const MAX_INCARNATIONS: usize = 8_192;

/// Incarnations that announced that they are draining.
///
/// Draining ends with the shutdown of the back end, so an incarnation never accepts requests again,
/// whatever an entry says that was written earlier.
#[derive(Debug, Default)]
pub struct DrainingBackEnds {
    since: BTreeMap<BackEndId, Timestamp>,
}

impl DrainingBackEnds {
    /// Records that a back end is draining. Returns whether that was not known.
    pub fn record(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        if self.contains(id) {
            return false;
        }
        if self.since.len() >= MAX_INCARNATIONS {
            self.evict_earliest();
        }
        self.since.insert(id.clone(), now);
        true
    }

    fn evict_earliest(&mut self) {
        let earliest = self.since.iter().min_by_key(|(_, since)| **since);
        if let Some(earliest) = earliest.map(|(id, _)| id.clone()) {
            self.since.remove(&earliest);
        }
    }

    /// Returns whether a back end is known to be draining.
    pub fn contains(&self, id: &BackEndId) -> bool {
        self.since.contains_key(id)
    }

    /// Returns the recorded incarnations, including terminated ones.
    pub fn iter(&self) -> impl Iterator<Item = &BackEndId> {
        self.since.keys()
    }

    /// Returns a listed back end as it may be used: as draining if it is known to be, even if the
    /// entry has it as ready.
    pub fn as_usable(&self, back_end: BackEnd) -> BackEnd {
        if !self.contains(&back_end.id) {
            return back_end;
        }
        BackEnd { state: BackEndState::Draining, ..back_end }
    }
}
