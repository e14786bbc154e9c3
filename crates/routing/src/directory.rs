//! The back ends that a router knows, kept up to date by what changed.
//!
//! A list of ten thousand back ends takes 1.4 MB. Told whole to each of a thousand routers at each change of one, lists were 3.6 GB between
//! zones in 37 s. So sources and peers tell what changed after a revision, and the whole list only to one that knows none of it, or
//! nothing since the source was restored or its history lost.

use crate::back_end::{BackEnd, BackEndId, BackEndList, BackEndState};
use crate::expired::ExpiredBackEnds;
use crate::incarnations::LatestIncarnations;
use crate::restored::DepartedBackEnds;
use crate::revision::Revision;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Names that went which are remembered for those that ask what changed; past this, they get the whole list.
const MOST_GONE: usize = 4_096;

/// Back ends as a source or a peer tells them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndUpdate {
    /// The revision after which these are the changes; nothing if this is the whole list.
    pub base: Option<Revision>,
    /// The revision at which this holds.
    pub revision: Revision,
    /// Those that were listed or changed; all of them in a whole list.
    pub listed: Vec<BackEnd>,
    /// Names of those that went.
    pub removed: Vec<Arc<str>>,
}

impl From<BackEndList> for BackEndUpdate {
    fn from(list: BackEndList) -> Self {
        Self { base: None, revision: list.revision, listed: list.back_ends, removed: Vec::new() }
    }
}

/// What an update changes for those that use back ends.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsableChanges {
    /// The revision at which this holds.
    pub revision: Revision,
    /// Those to use from now on as they are told here.
    pub updated: Vec<BackEnd>,
    /// Those that are gone.
    pub removed: Vec<BackEndId>,
}

#[derive(Debug)]
struct Listed {
    back_end: BackEnd,
    /// The revision at which this router learned that it changed.
    changed: Revision,
}

/// The back ends known, by name.
#[derive(Debug, Default)]
pub struct BackEndDirectory {
    revision: Option<Revision>,
    listed: BTreeMap<Arc<str>, Listed>,
    /// Number of those listed that take work.
    ready: usize,
    /// Names that went, and when.
    removed: BTreeMap<Arc<str>, Revision>,
    /// The revision from which on changes are known.
    changes_since: Revision,
    lapsed: ExpiredBackEnds,
    lives: LatestIncarnations,
    departed: DepartedBackEnds,
}

impl BackEndDirectory {
    /// Takes an update if it is newer than what is known, and if nothing lies between. Right after an outage of the source it may lack
    /// living back ends (`recovering`). Gives what it changes.
    pub fn apply(
        &mut self,
        now: Timestamp,
        recovering: bool,
        update: BackEndUpdate,
    ) -> Option<UsableChanges> {
        let known = self.revision.unwrap_or_default();
        if self.revision.is_some() && known >= update.revision {
            return None;
        }
        let mut changes = UsableChanges { revision: update.revision, ..UsableChanges::default() };
        match update.base {
            Some(base) if self.revision.is_none() || base > known || base.era != known.era => {
                return None;
            }
            Some(_) => {
                for name in &update.removed {
                    self.remove(now, recovering, name, &mut changes);
                }
            }
            None => {
                let is_restored = self.revision.is_some() && known.era < update.revision.era;
                if is_restored {
                    let listed = self.listed.values().map(|listed| &listed.back_end);
                    self.departed.on_restored(now, listed);
                }
                self.remove_missing(now, recovering || is_restored, &update, &mut changes);
                self.changes_since = update.revision;
                self.removed.clear();
            }
        }
        for back_end in update.listed {
            self.set(now, back_end, &mut changes);
        }
        self.revision = Some(update.revision);
        self.forget_old_changes();
        Some(changes)
    }

    fn remove_missing(
        &mut self,
        now: Timestamp,
        recovering: bool,
        update: &BackEndUpdate,
        changes: &mut UsableChanges,
    ) {
        let present: BTreeSet<&str> = update.listed.iter().map(|one| &*one.id.name).collect();
        let missing = self.listed.keys().filter(|name| !present.contains(&***name));
        for name in missing.cloned().collect::<Vec<Arc<str>>>() {
            self.remove(now, recovering, &name, changes);
        }
    }

    fn remove(
        &mut self,
        now: Timestamp,
        recovering: bool,
        name: &Arc<str>,
        changes: &mut UsableChanges,
    ) {
        let Some(Listed { back_end, .. }) = self.listed.remove(name) else { return };
        self.removed.insert(name.clone(), changes.revision);
        self.lives.on_gone(&back_end.id);
        if back_end.state != BackEndState::Ready {
            changes.removed.push(back_end.id);
            return;
        }
        self.ready -= 1;
        if recovering {
            self.lapsed.keep(now, back_end);
        } else {
            self.departed.note(now, &back_end.id);
            changes.removed.push(back_end.id);
        }
    }

    /// Takes an entry, unless it is of a life that is over.
    fn set(&mut self, now: Timestamp, back_end: BackEnd, changes: &mut UsableChanges) {
        let name = back_end.id.name.clone();
        let known = self.listed.get(&name).map(|listed| &listed.back_end);
        let latest = known.map(|known| known.id.incarnation).max(self.lives.latest_gone(&name));
        if latest.is_some_and(|latest| back_end.id.incarnation < latest) {
            return;
        }
        let kept = self.lapsed.take(&name);
        if known == Some(&back_end) {
            return;
        }
        let known = self.listed.remove(&name).map(|listed| listed.back_end);
        let earlier = known.as_ref().map(|known| &known.id).or(kept.as_ref());
        if let Some(earlier) = earlier.filter(|earlier| **earlier != back_end.id) {
            changes.updated.retain(|one| one.id != *earlier);
            changes.removed.push(earlier.clone());
        }
        if known.as_ref().is_some_and(|known| known.state == BackEndState::Ready) {
            self.ready -= 1;
            if back_end.state == BackEndState::Draining {
                self.departed.note(now, &back_end.id);
            }
        }
        self.ready += usize::from(back_end.state == BackEndState::Ready);
        self.removed.remove(&name);
        self.lives.on_listed(&name);
        changes.updated.push(self.departed.as_usable(back_end.clone()));
        self.listed.insert(name, Listed { back_end, changed: changes.revision });
    }

    /// Takes back ends as gone that have been missing for too long after an outage, and believes a restored source after a while. Gives
    /// what that changes, if anything.
    pub fn expire(&mut self, now: Timestamp) -> Option<UsableChanges> {
        let removed = self.lapsed.expire(now);
        let believed = self.departed.expire(now);
        let updated = believed.iter().filter_map(|id| self.listed.get(&id.name));
        let updated: Vec<BackEnd> = updated.map(|listed| listed.back_end.clone()).collect();
        let has_changes = !removed.is_empty() || !updated.is_empty();
        let revision = self.revision?;
        has_changes.then_some(UsableChanges { revision, updated, removed })
    }

    /// What changed after a revision, or the whole list where that is not known.
    pub fn update_since(&self, known: Revision) -> BackEndUpdate {
        let revision = self.revision.unwrap_or_default();
        let has_changes = known >= self.changes_since && known.era == revision.era;
        let base = (has_changes && known != Revision::default()).then_some(known);
        let is_told = |changed: Revision| base.is_none_or(|base| changed > base);
        let listed = self.listed.values().filter(|listed| is_told(listed.changed));
        let listed = listed.map(|listed| listed.back_end.clone()).collect();
        let removed =
            self.removed.iter().filter(|(_, removed)| base.is_some() && is_told(**removed));
        let removed = removed.map(|(name, _)| name.clone()).collect();
        BackEndUpdate { base, revision, listed, removed }
    }

    /// The revision known, if any is.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Number of those listed.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Number of those listed that take work.
    pub fn ready(&self) -> usize {
        self.ready
    }

    fn forget_old_changes(&mut self) {
        if self.removed.len() > MOST_GONE {
            self.removed.clear();
            self.changes_since = self.revision.unwrap_or_default();
        }
    }
}
