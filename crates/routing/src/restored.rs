//! Handles a source that was restored from an older backup.
//!
//! The backup contains back ends that have left since and lacks evacuations that were ordered
//! since. Living back ends soon register again, entries of the others expire, and the operator
//! repeats lost orders. Until then, earlier knowledge that keeps requests away from a back end
//! stays in effect.

use crate::back_end::{BackEnd, BackEndId, BackEndState};
use crate::evacuation::EvacuatedZones;
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after a restore for which earlier knowledge overrides the source. Covers the expiry of the
/// entry of a back end that is gone (three renewals of 1.2 s) and its propagation.
const UNCERTAINTY_WINDOW: Duration = Duration::from_secs(6);
/// Time for which departed back ends are kept, longer than the age of a backup.
const DEPARTED_TTL: Duration = Duration::from_secs(30);

/// Items for which earlier knowledge overrides a restored source.
#[derive(Debug)]
struct UncertaintyWindow<T> {
    items: BTreeSet<T>,
    until: Option<Timestamp>,
}

impl<T> Default for UncertaintyWindow<T> {
    fn default() -> Self {
        Self { items: BTreeSet::new(), until: None }
    }
}

impl<T: Ord> UncertaintyWindow<T> {
    fn new(now: Timestamp, items: BTreeSet<T>) -> Self {
        Self { items, until: Some(now + UNCERTAINTY_WINDOW) }
    }

    /// Returns the items if the window ends now.
    fn expire(&mut self, now: Timestamp) -> Option<BTreeSet<T>> {
        self.until.take_if(|until| now >= *until)?;
        Some(std::mem::take(&mut self.items))
    }
}

/// Back ends whose entries were removed.
#[derive(Debug, Default)]
pub struct DepartedBackEnds {
    departed: BTreeMap<BackEndId, Timestamp>,
    uncertain: UncertaintyWindow<BackEndId>,
}

impl DepartedBackEnds {
    /// Records that the entry of a back end was removed.
    pub fn record(&mut self, now: Timestamp, id: &BackEndId) {
        self.departed.retain(|_, left| now.since(*left) < DEPARTED_TTL);
        self.departed.insert(id.clone(), now);
    }

    /// Drops a back end that is listed again, unless a restored source may list it by mistake.
    pub fn on_listed(&mut self, id: &BackEndId) {
        if !self.uncertain.items.contains(id) {
            self.departed.remove(id);
        }
    }

    /// Returns whether the entry of a back end was removed lately and is not listed again.
    pub fn has_left(&self, now: Timestamp, id: &BackEndId) -> bool {
        self.departed.get(id).is_some_and(|left| now.since(*left) < DEPARTED_TTL)
    }

    /// Records that the source was restored.
    pub fn on_restored(&mut self, now: Timestamp) {
        self.departed.retain(|_, left| now.since(*left) < DEPARTED_TTL);
        let left = self.departed.keys().cloned().collect();
        self.uncertain = UncertaintyWindow::new(now, left);
    }

    /// Ends the uncertainty window if it is over. Returns the back ends that it contained.
    pub fn expire(&mut self, now: Timestamp) -> BTreeSet<BackEndId> {
        self.uncertain.expire(now).unwrap_or_default()
    }

    /// Returns a listed back end as it may be used: as draining if it left before the restore.
    pub fn as_usable(&self, back_end: BackEnd) -> BackEnd {
        if !self.uncertain.items.contains(&back_end.id) {
            return back_end;
        }
        BackEnd { state: BackEndState::Draining, ..back_end }
    }
}

/// The evacuated zones, including those that a restored source has lost.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: Option<EvacuatedZones>,
    kept: UncertaintyWindow<String>,
}

impl Evacuations {
    /// Replaces the evacuated zones by newer ones. Returns whether they were newer.
    pub fn offer(&mut self, now: Timestamp, offered: &EvacuatedZones) -> bool {
        let known = self.known.as_ref().map(|known| known.revision);
        if known.is_some_and(|known| known >= offered.revision) {
            return false;
        }
        if known.is_some_and(|known| known.era < offered.revision.era) {
            let zones = self.in_force().map(|known| known.zones).unwrap_or_default();
            self.kept = UncertaintyWindow::new(now, zones);
        }
        self.known = Some(offered.clone());
        true
    }

    /// Drops the kept zones if the uncertainty window is over. Returns whether it ended now.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.kept.expire(now).is_some()
    }

    /// Returns the zones as reported by the source.
    pub fn known(&self) -> Option<&EvacuatedZones> {
        self.known.as_ref()
    }

    /// Returns the zones whose back ends get no new requests, including kept ones.
    pub fn in_force(&self) -> Option<EvacuatedZones> {
        let mut zones = self.known.clone()?;
        zones.zones.extend(self.kept.items.iter().cloned());
        Some(zones)
    }
}
