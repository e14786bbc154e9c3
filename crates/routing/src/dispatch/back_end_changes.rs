//! Applies changes of the back ends and of the evacuated zones.

use super::Dispatcher;
use crate::back_end::{BackEnd, BackEndId, BackEndList};
use crate::back_end_update::UsableChanges;
use crate::engine::Engine;
use crate::evacuation::EvacuatedZones;
use mastbay_types::Timestamp;
use std::collections::HashSet;

impl Dispatcher {
    /// Applies added, changed and removed back ends.
    pub fn on_back_end_changes(&mut self, now: Timestamp, changes: &UsableChanges) {
        self.back_ends = changes.revision;
        for id in &changes.removed {
            self.record_removed_version(now, id);
            self.engines.remove(id);
            self.preferred.on_removed(id);
            self.idle_connections.remove(id);
        }
        self.set_back_ends(now, &changes.updated);
    }

    /// Adds or updates back ends. The state that a back end announced itself overrides the listed
    /// one.
    pub(super) fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        let usable = back_ends.iter().map(|listed| self.announcements.as_usable(listed.clone()));
        let usable: Vec<BackEnd> = usable.collect();
        self.set_engines(now, &usable);
        for back_end in &usable {
            self.preferred.on_set(&self.engines, back_end);
        }
        self.update_withheld_versions();
        self.count_draining();
    }

    /// Replaces all back ends by those of `list`.
    pub fn on_back_ends(&mut self, now: Timestamp, list: &BackEndList) {
        let listed: HashSet<&BackEndId> =
            list.back_ends.iter().map(|back_end| &back_end.id).collect();
        let removed = self.engines.ids().filter(|id| !listed.contains(id)).cloned().collect();
        let updated = list.back_ends.clone();
        let revision = list.revision;
        let changes = UsableChanges { revision, updated, removed, ..UsableChanges::default() };
        self.on_back_end_changes(now, &changes);
    }

    /// Adds or updates back ends. The peers' load at new ones is added in a single pass over the
    /// reported stats.
    fn set_engines(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        let mut new = HashSet::new();
        for back_end in back_ends {
            if self.back_end(&back_end.id).is_some_and(|known| known.version != back_end.version) {
                self.record_removed_version(now, &back_end.id);
            }
            self.origin_history.on_listed(&back_end.service, &back_end.version);
            let is_evacuated = self.evacuated.zones.contains(&back_end.zone);
            let region = self.limits.regions.of(&back_end.zone);
            self.engines.set(now, back_end.clone(), |known| {
                let mut engine = known.unwrap_or_else(|| {
                    let engine = Engine::new(now, back_end.clone());
                    new.insert(engine.key);
                    engine
                });
                engine.is_evacuated = is_evacuated;
                engine.region = region;
                engine
            });
        }
        if !new.is_empty() {
            self.add_reported_stats(&new);
        }
    }

    fn record_removed_version(&mut self, now: Timestamp, id: &BackEndId) {
        let Some(engine) = self.engines.get(id) else { return };
        let BackEnd { service, version, .. } = &engine.back_end;
        self.origin_history.on_removed(now, service, version);
    }

    /// Replaces the set of evacuated zones, whose back ends receive no new requests.
    pub fn on_evacuations(&mut self, evacuated: &EvacuatedZones) {
        self.evacuated = evacuated.clone();
        self.preferred.clear();
        self.engines.change_all(|engine| {
            engine.is_evacuated = evacuated.zones.contains(&engine.back_end.zone);
        });
    }
}
