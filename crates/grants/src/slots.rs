//! The slots of a cell's back ends.

use mastbay_types::{BackendName, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
struct Backend {
    slots: u32,
    /// Requests that gateways report as running.
    running: u32,
    /// Grants that their gateway can't have seen yet.
    unseen: u32,
    leaving: bool,
    paused_until: Timestamp,
}

impl Backend {
    fn new() -> Self {
        Self { slots: 0, running: 0, unseen: 0, leaving: false, paused_until: Timestamp::ZERO }
    }

    /// Free slots; negative where more runs than there are slots.
    fn room(&self) -> i64 {
        i64::from(self.slots) - i64::from(self.running) - i64::from(self.unseen)
    }
}

/// All slots of a cell.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    backends: BTreeMap<BackendName, Backend>,
    /// Back ends that are not leaving, the one with the most room first.
    by_room: BTreeSet<(Reverse<i64>, BackendName)>,
    /// Slots of those, in all and of the largest.
    total: u32,
    largest: u32,
}

impl Slots {
    /// Keeps only the back ends declared and takes their slots. Gives the names that are new.
    pub(crate) fn declare(&mut self, declared: &[(BackendName, u32)]) -> Vec<BackendName> {
        let names: BTreeSet<&BackendName> = declared.iter().map(|(name, _)| name).collect();
        self.backends.retain(|name, _| names.contains(name));
        self.by_room.retain(|(_, name)| names.contains(name));
        let mut new = Vec::new();
        for (name, slots) in declared {
            if !self.backends.contains_key(name) {
                self.backends.insert(name.clone(), Backend::new());
                new.push(name.clone());
            }
            self.change(name, |backend| backend.slots = *slots);
        }
        self.recount();
        new
    }

    /// Recounts what is asked for with each grant and changes seldom.
    fn recount(&mut self) {
        self.total = self.serving().map(|backend| backend.slots).sum();
        self.largest = self.serving().map(|backend| backend.slots).max().unwrap_or(0);
    }

    /// Changes a back end and keeps its place in the order.
    fn change(&mut self, name: &BackendName, change: impl FnOnce(&mut Backend)) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        self.by_room.remove(&(Reverse(backend.room()), name.clone()));
        change(backend);
        if !backend.leaving {
            self.by_room.insert((Reverse(backend.room()), name.clone()));
        }
    }

    pub(crate) fn set_leaving(&mut self, name: &BackendName, leaving: bool) {
        self.change(name, |backend| backend.leaving = leaving);
        self.recount();
    }

    pub(crate) fn pause(&mut self, name: &BackendName, until: Timestamp) {
        self.change(name, |backend| backend.paused_until = until);
    }

    /// Replaces one gateway's count of running requests by another.
    pub(crate) fn change_running(&mut self, name: &BackendName, before: u32, after: u32) {
        self.change(name, |backend| {
            backend.running = (backend.running + after).saturating_sub(before);
        });
    }

    pub(crate) fn add_unseen(&mut self, name: &BackendName) {
        self.change(name, |backend| backend.unseen += 1);
    }

    pub(crate) fn remove_unseen(&mut self, name: &BackendName) {
        self.change(name, |backend| backend.unseen = backend.unseen.saturating_sub(1));
    }

    /// The back end with the most room, counting `ahead` places beyond its slots.
    pub(crate) fn freest(&self, ahead: u32, now: Timestamp) -> Option<&BackendName> {
        self.by_room
            .iter()
            .take_while(|(room, _)| room.0 + i64::from(ahead) > 0)
            .map(|(_, name)| name)
            .find(|name| self.backends.get(*name).is_some_and(|one| now >= one.paused_until))
    }

    /// Slots of back ends that take work.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Number of back ends that take work.
    pub(crate) fn serving_count(&self) -> usize {
        self.by_room.len()
    }

    /// Most slots of one back end.
    pub(crate) fn largest(&self) -> u32 {
        self.largest
    }

    /// Slots in use, of back ends that take work.
    pub(crate) fn in_use(&self) -> u32 {
        self.serving().map(|backend| backend.running + backend.unseen).sum()
    }

    fn serving(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(|backend| !backend.leaving)
    }
}
