//! A directory of back ends and the usable back ends that follow from its changes.
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
    /// Applies an update to the directory. Returns whether the directory accepted it.
    pub fn apply(
        &mut self,
        now: Timestamp,
        grace_ends: Option<Timestamp>,
        update: impl Into<BackEndUpdate>,
    ) -> bool {
        let changes = self.directory.apply(now, grace_ends, update.into());
        let is_accepted = changes.is_some();
        self.apply_changes(changes);
        is_accepted
    }

    /// Expires entries of the directory. Returns whether any usable back end changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let changes = self.directory.expire(now);
        let has_changes = changes.is_some();
        self.apply_changes(changes);
        has_changes
    }

    /// Applies the changes that a peer has and this directory lacks. Returns whether they were
    /// accepted.
    pub fn sync_from(&mut self, now: Timestamp, peer: &Self) -> bool {
        let known = self.directory.revision().unwrap_or_default();
        self.apply(now, None, peer.directory.update_since(now, known))
    }

    fn apply_changes(&mut self, changes: Option<UsableChanges>) {
        let changes = changes.unwrap_or_default();
        changes.removed.iter().for_each(|id| {
            self.back_ends.remove(id);
        });
        self.back_ends
            .extend(changes.updated.into_iter().map(|back_end| (back_end.id.clone(), back_end)));
    }

    /// Returns the names of the usable back ends that are ready.
    pub fn ready(&self) -> Vec<String> {
        let ready =
            self.back_ends.values().filter(|back_end| back_end.state == BackEndState::Ready);
        ready.map(|back_end| back_end.id.to_string()).collect()
    }

    pub fn revision(&self) -> Revision {
        self.directory.revision().unwrap_or_default()
    }
}
