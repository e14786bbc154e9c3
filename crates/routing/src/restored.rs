//! Handles a source that was restored from an older backup.
//!
//! The backup contains back ends that have left since and lacks evacuations that were ordered
//! since. Living back ends soon register again, entries of the others expire, and the operator
//! repeats lost orders. Until then, earlier knowledge that keeps requests away from a back end
//! stays in effect.

use crate::back_end::{BackEnd, BackEndId, BackEndState};
use crate::draining::DrainingBackEnds;
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

/// Back ends that announced to be draining or whose entries were removed.
#[derive(Debug, Default)]
pub struct DepartedBackEnds {
    departed: BTreeMap<BackEndId, Timestamp>,
    draining: DrainingBackEnds,
    uncertain: UncertaintyWindow<BackEndId>,
}

impl DepartedBackEnds {
    /// Records that a ready back end started draining or that its entry was removed.
    pub fn record(&mut self, now: Timestamp, id: &BackEndId) {
        self.departed.retain(|_, left| now.since(*left) < DEPARTED_TTL);
        self.departed.insert(id.clone(), now);
    }

    /// Records that an entry has a back end as draining.
    pub fn record_draining(&mut self, now: Timestamp, id: &BackEndId) {
        self.draining.record(now, id);
    }

    /// Returns whether an entry ever had a back end as draining.
    pub fn is_draining(&self, id: &BackEndId) -> bool {
        self.draining.contains(id)
    }

    /// Records that the source was restored. `known` are the back ends known before.
    pub fn on_restored<'a>(&mut self, now: Timestamp, known: impl Iterator<Item = &'a BackEnd>) {
        self.departed.retain(|_, left| now.since(*left) < DEPARTED_TTL);
        let draining = known.filter(|one| one.state == BackEndState::Draining);
        let left = self.departed.keys().chain(draining.map(|one| &one.id));
        self.uncertain = UncertaintyWindow::new(now, left.cloned().collect());
    }

    /// Ends the uncertainty window if it is over: the source is trusted again. Returns the back
    /// ends that the window contained.
    pub fn expire(&mut self, now: Timestamp) -> BTreeSet<BackEndId> {
        let accepted = self.uncertain.expire(now).unwrap_or_default();
        accepted.iter().for_each(|id| self.draining.remove(id));
        accepted
    }

    /// Returns a listed back end as it may be used: as draining if it left before a restore or was
    /// draining before.
    pub fn as_usable(&self, back_end: BackEnd) -> BackEnd {
        if self.uncertain.items.contains(&back_end.id) {
            return BackEnd { state: BackEndState::Draining, ..back_end };
        }
        self.draining.as_usable(back_end)
    }

    /// Returns a listed back end as peers are told of it: as draining if it was draining before.
    /// After a restore, each router judges by itself until it trusts the source again.
    pub fn as_reported(&self, back_end: BackEnd) -> BackEnd {
        if self.uncertain.until.is_some() {
            return back_end;
        }
        self.draining.as_usable(back_end)
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
