//! The back ends known to a router, updated incrementally.
//!
//! Sources and peers send the changes since a known revision. The whole list is sent only when the
//! receiver has no revision, the source was restored since, or the history no longer reaches back: a
//! list of ten thousand back ends is 1.4 MB, and a thousand routers would receive it at each change.

use crate::back_end::{BackEnd, BackEndId, BackEndState};
use crate::back_end_update::{BackEndUpdate, UsableChanges};
use crate::draining::DrainingBackEnds;
use crate::expired::{ExpiredBackEnds, Grace, KeptBackEnd};
use crate::incarnations::LatestIncarnations;
use crate::restored::DepartedBackEnds;
use crate::revision::Revision;
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of removed names kept for incremental updates; beyond it the history is dropped
/// and peers receive the whole list.
const MAX_REMOVED_NAMES: usize = 4_096;

#[derive(Debug)]
struct Entry {
    back_end: BackEnd,
    /// Revision of the last update that contained the entry.
    changed: Revision,
}

/// The known back ends by name.
#[derive(Debug, Default)]
pub struct BackEndDirectory {
    revision: Option<Revision>,
    listed: BTreeMap<Arc<str>, Entry>,
    /// Number of listed back ends that are ready.
    ready: usize,
    /// Removed names with the revision of the last update that removed them. Includes names that
    /// this router never listed.
    removed: BTreeMap<Arc<str>, Revision>,
    /// Oldest revision from which incremental updates can be served.
    history_start: Revision,
    expired: ExpiredBackEnds,
    incarnations: LatestIncarnations,
    /// Incarnations that any entry had as draining.
    draining: DrainingBackEnds,
    departed: DepartedBackEnds,
}

impl BackEndDirectory {
    /// Applies an update and returns the resulting changes. Returns `None` if the update is not
    /// newer than the known revision or its base is unknown. `grace_ends` is set if the update was
    /// read from a source that may lack living back ends: missing ones are kept until then.
    pub fn apply(
        &mut self,
        now: Timestamp,
        grace_ends: Option<Timestamp>,
        update: BackEndUpdate,
    ) -> Option<UsableChanges> {
        let known = self.revision.unwrap_or_default();
        if self.revision.is_some() && known >= update.revision {
            return None;
        }
        let mut changes = UsableChanges { revision: update.revision, ..UsableChanges::default() };
        let mut grace = Grace::new(now, grace_ends, &update.kept);
        match update.base {
            Some(base) if self.revision.is_none() || base > known || base.era != known.era => {
                return None;
            }
            Some(_) => {
                for name in &update.removed {
                    self.remove(now, &grace, name, &mut changes);
                    // Peers may know an entry that was added and removed since the base.
                    self.removed.insert(name.clone(), update.revision);
                }
            }
            None => {
                if self.revision.is_some() && known.era < update.revision.era {
                    self.departed.on_restored(now);
                    grace.on_restored(now);
                }
                self.remove_missing(now, &grace, &update, &mut changes);
                self.history_start = update.revision;
                self.removed.clear();
            }
        }
        for back_end in update.listed {
            self.set(now, back_end, &mut changes);
        }
        for kept in update.kept {
            self.adopt(now, kept, &mut changes);
        }
        self.revision = Some(update.revision);
        self.trim_history();
        Some(changes)
    }

    fn remove_missing(
        &mut self,
        now: Timestamp,
        grace: &Grace,
        update: &BackEndUpdate,
        changes: &mut UsableChanges,
    ) {
        let present: BTreeSet<&str> = update.listed.iter().map(|one| &*one.id.name).collect();
        let missing = self.listed.keys().filter(|name| !present.contains(&***name));
        for name in missing.cloned().collect::<Vec<Arc<str>>>() {
            self.remove(now, grace, &name, changes);
        }
    }

    fn remove(
        &mut self,
        now: Timestamp,
        grace: &Grace,
        name: &Arc<str>,
        changes: &mut UsableChanges,
    ) {
        let Some(Entry { back_end, .. }) = self.listed.remove(name) else { return };
        self.incarnations.on_removed(&back_end.id);
        let is_usable = !self.draining.contains(&back_end.id);
        self.ready -= usize::from(back_end.state == BackEndState::Ready);
        match grace.ends(&back_end.id).filter(|_| is_usable) {
            Some(until) => {
                changes.kept.push(back_end.id.clone());
                self.expired.keep(back_end, changes.revision, until);
            }
            None => {
                self.departed.record(now, &back_end.id);
                changes.removed.push(back_end.id);
            }
        }
    }

    /// Uses a back end that is missing from the source as long as the sender of an update does. One
    /// whose removal was seen here while the source answered has left, whatever a sender believes that
    /// was out of touch then.
    fn adopt(&mut self, now: Timestamp, kept: KeptBackEnd, changes: &mut UsableChanges) {
        let KeptBackEnd { back_end, remaining } = kept;
        let name = &back_end.id.name;
        let is_known = self.listed.contains_key(name) || self.expired.contains(name);
        let has_left = self.is_outdated(&back_end.id)
            || self.draining.contains(&back_end.id)
            || self.departed.has_left(now, &back_end.id);
        if is_known || has_left || remaining.is_zero() {
            return;
        }
        changes.kept.push(back_end.id.clone());
        changes.updated.push(back_end.clone());
        self.expired.keep(back_end, changes.revision, now + remaining);
    }

    /// Adds or changes a back end, unless the entry is of an earlier incarnation.
    fn set(&mut self, now: Timestamp, listed: BackEnd, changes: &mut UsableChanges) {
        if self.is_outdated(&listed.id) {
            return;
        }
        let name = listed.id.name.clone();
        let back_end = self.draining.as_usable(listed.clone());
        if back_end != listed {
            changes.undrained.push(listed.id);
        }
        if back_end.state == BackEndState::Draining {
            self.draining.record(now, &back_end.id);
        }
        let kept = self.expired.take(&name);
        let known = self.listed.get_mut(&name);
        if let Some(known) = known.filter(|known| known.back_end == back_end) {
            // Peers may know another state that the entry had since the base.
            known.changed = changes.revision;
            return;
        }
        let known = self.listed.remove(&name).map(|entry| entry.back_end);
        let earlier = known.as_ref().map(|known| &known.id).or(kept.as_ref());
        if let Some(earlier) = earlier.filter(|earlier| **earlier != back_end.id) {
            changes.updated.retain(|one| one.id != *earlier);
            changes.removed.push(earlier.clone());
        }
        self.ready -= usize::from(known.is_some_and(|known| known.state == BackEndState::Ready));
        self.ready += usize::from(back_end.state == BackEndState::Ready);
        self.removed.remove(&name);
        self.incarnations.on_listed(&name);
        self.departed.on_listed(&back_end.id);
        changes.updated.push(self.departed.as_usable(back_end.clone()));
        self.listed.insert(name, Entry { back_end, changed: changes.revision });
    }

    /// Returns whether a later incarnation under the same name is listed or was removed.
    fn is_outdated(&self, id: &BackEndId) -> bool {
        let listed = self.listed.get(&id.name).map(|known| known.back_end.id.incarnation);
        listed.max(self.incarnations.latest_removed(&id.name)) > Some(id.incarnation)
    }

    /// Removes back ends that stayed missing for too long after an outage, and accepts the entries
    /// of a restored source once its uncertainty window has passed. Returns the resulting changes.
    pub fn expire(&mut self, now: Timestamp) -> Option<UsableChanges> {
        let removed = self.expired.expire(now);
        let accepted = self.departed.expire(now);
        let updated = accepted.iter().filter_map(|id| self.listed.get(&id.name));
        let updated: Vec<BackEnd> = updated.map(|entry| entry.back_end.clone()).collect();
        let has_changes = !removed.is_empty() || !updated.is_empty();
        let revision = self.revision?;
        has_changes.then_some(UsableChanges {
            revision,
            updated,
            removed,
            ..UsableChanges::default()
        })
    }

    /// Returns the changes since a revision, or the whole list if the history does not reach back.
    pub fn update_since(&self, now: Timestamp, known: Revision) -> BackEndUpdate {
        let revision = self.revision.unwrap_or_default();
        let has_history = known >= self.history_start && known.era == revision.era;
        let base = (has_history && known != Revision::default()).then_some(known);
        let is_newer = |changed: Revision| base.is_none_or(|base| changed > base);
        let listed = self.listed.values().filter(|entry| is_newer(entry.changed));
        let listed = listed.map(|entry| entry.back_end.clone()).collect();
        let removed = self.removed.iter().filter(|(_, at)| base.is_some() && is_newer(**at));
        let removed = removed.map(|(name, _)| name.clone()).collect();
        let kept = self.expired.report(now, base);
        BackEndUpdate { base, revision, listed, removed, kept }
    }

    /// Returns the known revision, or `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the number of listed back ends.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether no back end is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns the number of listed back ends that are ready.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Returns the number of back ends that are missing from the source and kept.
    pub fn kept(&self) -> usize {
        self.expired.len()
    }

    fn trim_history(&mut self) {
        if self.removed.len() > MAX_REMOVED_NAMES {
            self.removed.clear();
            self.history_start = self.revision.unwrap_or_default();
        }
    }
}
