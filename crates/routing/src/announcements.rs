//! What back ends said of themselves in their answers: that they end soon, or that they want no requests for a while.
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

/// Time after which a request that was sent first after a backoff and has no answer holds the others up no longer.
const PROBE_PATIENCE: Duration = Duration::from_secs(1);

/// Time for which a back end wants no requests of this router. Afterwards one is sent, and others once that one is answered.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Timestamp,
    /// When the first request since was sent.
    probe: Option<Timestamp>,
}

impl Backoff {
    fn admits(&self, now: Timestamp) -> bool {
        let is_held_up = self.probe.is_some_and(|sent| now.since(sent) < PROBE_PATIENCE);
        now >= self.until && !is_held_up
    }
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

    /// The back ends that said that they end soon, also those that have ended since.
    pub fn draining(&self) -> impl Iterator<Item = &BackEndId> {
        self.draining.keys()
    }

    /// A back end wants no requests for a while. Gives whether it did not already.
    pub fn on_backoff(&mut self, now: Timestamp, id: &BackEndId, backoff: Duration) -> bool {
        if backoff.is_zero() {
            return false;
        }
        self.backoffs.retain(|_, known| now.since(known.until) < BACKOFF_REMEMBERED);
        let until = now + backoff;
        let known = self.backoffs.get(id).map(|known| known.until);
        let until = known.map_or(until, |known| known.max(until));
        self.backoffs.insert(id.clone(), Backoff { until, probe: None });
        known.is_none_or(|known| known <= now)
    }

    /// Whether a back end may be chosen for a request now.
    pub fn admits(&self, now: Timestamp, id: &BackEndId) -> bool {
        self.backoffs.is_empty() || self.backoffs.get(id).is_none_or(|known| known.admits(now))
    }

    /// Until when a back end wants no requests, if that is not over.
    pub fn backs_off_until(&self, now: Timestamp, id: &BackEndId) -> Option<Timestamp> {
        let until = self.backoffs.get(id)?.until;
        (now < until).then_some(until)
    }

    /// A request is sent to a back end.
    pub fn on_sent(&mut self, now: Timestamp, id: &BackEndId) {
        if let Some(known) = self.backoffs.get_mut(id) {
            known.probe = Some(now);
        }
    }

    /// A request that was sent at some time was answered: a backoff from before that is over.
    pub fn on_served(&mut self, id: &BackEndId, sent: Timestamp) {
        if self.backoffs.get(id).is_some_and(|known| known.until <= sent) {
            self.backoffs.remove(id);
        }
    }

    /// A request that was sent at some time ended without an answer that it was served: the next one may be sent.
    pub fn on_not_served(&mut self, id: &BackEndId, sent: Timestamp) {
        let probe = self.backoffs.get_mut(id).map(|known| &mut known.probe);
        if let Some(probe) = probe.filter(|probe| **probe == Some(sent)) {
            *probe = None;
        }
    }

    /// The back ends that want no requests now.
    pub fn backing_off(&self, now: Timestamp) -> impl Iterator<Item = &BackEndId> {
        self.backoffs.iter().filter(move |(_, known)| now < known.until).map(|(id, _)| id)
    }
}
