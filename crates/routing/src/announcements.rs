//! What back ends said of themselves in their answers to this router: that they end soon, or that they want no requests for a while.
//!
//! Either holds for one life of a back end, whatever lists and peers tell of it before or after.

use crate::back_end::{BackEnd, BackEndId, BackEndState};
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Lives that are remembered as draining; past this, the one that said so first is forgotten.
const MOST_DRAINING: usize = 8_192;
/// Time after a backoff for which it is remembered if nothing is sent to its back end.
const BACKOFF_REMEMBERED: Duration = Duration::from_secs(60);

/// Time for which a back end wants no requests of this router.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Timestamp,
}

/// What back ends said of themselves.
#[derive(Debug, Default)]
pub struct Announcements {
    draining: BTreeMap<BackEndId, Timestamp>,
    backoffs: BTreeMap<BackEndId, Backoff>,
}

impl Announcements {
    /// A back end said that it ends soon. Gives whether that is new.
    pub fn on_draining(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        if self.draining.contains_key(id) {
            return false;
        }
        if self.draining.len() >= MOST_DRAINING {
            let first = self.draining.iter().min_by_key(|(_, since)| **since);
            if let Some(first) = first.map(|(first, _)| first.clone()) {
                self.draining.remove(&first);
            }
        }
        self.draining.insert(id.clone(), now);
        true
    }

    /// A back end as it may be used: one that said that it ends soon takes nothing new in this life, whatever a list says that was made
    /// before its source knew.
    pub fn as_usable(&self, back_end: BackEnd) -> BackEnd {
        if !self.draining.contains_key(&back_end.id) {
            return back_end;
        }
        BackEnd { state: BackEndState::Draining, ..back_end }
    }

    /// A back end wants no requests for a while. Gives whether it did not already.
    pub fn on_backoff(&mut self, now: Timestamp, id: &BackEndId, backoff: Duration) -> bool {
        self.backoffs.retain(|_, known| now.since(known.until) < BACKOFF_REMEMBERED);
        let until = now + backoff;
        let known = self.backoffs.get(id).map(|known| known.until);
        let until = known.map_or(until, |known| known.max(until));
        self.backoffs.insert(id.clone(), Backoff { until });
        known.is_none_or(|known| known <= now) && until > now
    }

    /// How many back ends want no requests now.
    pub fn backing_off(&self, now: Timestamp) -> usize {
        self.backoffs.values().filter(|known| now < known.until).count()
    }
}
