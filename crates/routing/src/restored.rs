//! What a source that was restored from an older copy tells, and what of it is not to be believed yet.
//!
//! The copy holds back ends that have left since and lacks evacuations that were ordered since. Back ends that live write themselves
//! again within moments, entries of the others lapse, and the operator writes again what was lost. Until then what is known from before
//! the restore counts where it keeps requests away from a back end.

use crate::back_end::{BackEnd, BackEndId, BackEndState};
use crate::evacuation::EvacuatedZones;
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a restored source is not believed where it makes usable again what was not: back ends write themselves each 1.2 s, and
/// the entry of one that is gone lapses after three of these; the rest is for the way here.
const DOUBT: Duration = Duration::from_secs(6);
/// Time for which it is remembered that a back end left. A copy is some seconds old, ten at most.
const REMEMBERED: Duration = Duration::from_secs(30);

/// What is held against a restored source for as long as it is not believed.
#[derive(Debug)]
struct Doubt<T> {
    held: BTreeSet<T>,
    until: Option<Timestamp>,
}

impl<T> Default for Doubt<T> {
    fn default() -> Self {
        Self { held: BTreeSet::new(), until: None }
    }
}

impl<T: Ord> Doubt<T> {
    fn new(now: Timestamp, held: BTreeSet<T>) -> Self {
        Self { held, until: Some(now + DOUBT) }
    }

    /// Ends it when its time is over, and gives what it held.
    fn expire(&mut self, now: Timestamp) -> Option<BTreeSet<T>> {
        self.until.take_if(|until| now >= *until)?;
        Some(std::mem::take(&mut self.held))
    }
}

/// Back ends that left: they said so, or their entries went.
#[derive(Debug, Default)]
pub struct DepartedBackEnds {
    departed: BTreeMap<BackEndId, Timestamp>,
    doubt: Doubt<BackEndId>,
}

impl DepartedBackEnds {
    /// A back end that took work said that it leaves, or its entry went.
    pub fn note(&mut self, now: Timestamp, id: &BackEndId) {
        self.departed.retain(|_, left| now.since(*left) < REMEMBERED);
        self.departed.insert(id.clone(), now);
    }

    /// The source was restored. `known` are the back ends from before.
    pub fn on_restored<'a>(&mut self, now: Timestamp, known: impl Iterator<Item = &'a BackEnd>) {
        self.departed.retain(|_, left| now.since(*left) < REMEMBERED);
        let draining = known.filter(|one| one.state == BackEndState::Draining);
        let left = self.departed.keys().chain(draining.map(|one| &one.id));
        self.doubt = Doubt::new(now, left.cloned().collect());
    }

    /// Ends the doubt when its time is over. Gives those that were in doubt.
    pub fn expire(&mut self, now: Timestamp) -> BTreeSet<BackEndId> {
        self.doubt.expire(now).unwrap_or_default()
    }

    /// A back end as it may be used: one that left before the restore gets nothing new.
    pub fn as_usable(&self, back_end: BackEnd) -> BackEnd {
        if !self.doubt.held.contains(&back_end.id) {
            return back_end;
        }
        BackEnd { state: BackEndState::Draining, ..back_end }
    }
}

/// The evacuated zones, with those that a restored source has lost.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: Option<EvacuatedZones>,
    kept: Doubt<String>,
}

impl Evacuations {
    /// Takes evacuated zones if they are newer than those known. Gives whether it did.
    pub fn offer(&mut self, now: Timestamp, offered: &EvacuatedZones) -> bool {
        let known = self.known.as_ref().map(|known| known.revision);
        if known.is_some_and(|known| known >= offered.revision) {
            return false;
        }
        if known.is_some_and(|known| known.era < offered.revision.era) {
            let zones = self.in_force().map(|known| known.zones).unwrap_or_default();
            self.kept = Doubt::new(now, zones);
        }
        self.known = Some(offered.clone());
        true
    }

    /// Lets go of zones that were kept, when their time is over. Gives whether that is now.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.kept.expire(now).is_some()
    }

    /// The zones as the source tells them.
    pub fn known(&self) -> Option<&EvacuatedZones> {
        self.known.as_ref()
    }

    /// The zones whose back ends get nothing new.
    pub fn in_force(&self) -> Option<EvacuatedZones> {
        let mut zones = self.known.clone()?;
        zones.zones.extend(self.kept.held.iter().cloned());
        Some(zones)
    }
}
