//! What those that use back ends hold of them, by the changes that a directory gives.
#![allow(dead_code, missing_docs)]

use mastbay_routing::{
    BackEnd, BackEndDirectory, BackEndId, BackEndState, BackEndUpdate, Revision, UsableChanges,
};
use mastbay_types::Timestamp;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct DirectoryView {
    pub directory: BackEndDirectory,
    pub back_ends: BTreeMap<BackEndId, BackEnd>,
}

impl DirectoryView {
    /// Offers an update. Gives whether it was taken.
    pub fn apply(
        &mut self,
        now: Timestamp,
        recovering: bool,
        update: impl Into<BackEndUpdate>,
    ) -> bool {
        let changes = self.directory.apply(now, recovering, update.into());
        let is_taken = changes.is_some();
        self.take(changes);
        is_taken
    }

    /// Gives whether anything changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let changes = self.directory.expire(now);
        let has_changes = changes.is_some();
        self.take(changes);
        has_changes
    }

    /// Takes what a peer has that is newer.
    pub fn sync_from(&mut self, now: Timestamp, peer: &Self) -> bool {
        let known = self.directory.revision().unwrap_or_default();
        self.apply(now, false, peer.directory.update_since(known))
    }

    fn take(&mut self, changes: Option<UsableChanges>) {
        let changes = changes.unwrap_or_default();
        changes.removed.iter().for_each(|id| {
            self.back_ends.remove(id);
        });
        self.back_ends.extend(changes.updated.into_iter().map(|one| (one.id.clone(), one)));
    }

    /// The names of those that take work.
    pub fn ready(&self) -> Vec<String> {
        let ready = self.back_ends.values().filter(|one| one.state == BackEndState::Ready);
        ready.map(|one| one.id.to_string()).collect()
    }

    pub fn revision(&self) -> Revision {
        self.directory.revision().unwrap_or_default()
    }
}
