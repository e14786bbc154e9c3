//! The slots of a cell's back ends.

use mastbay_types::{BackendName, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
struct Backend {
    slots: u32,
    /// Running requests, as reported by gateways.
    running: u32,
    /// Grants that their gateway has not acknowledged yet.
    unacknowledged: u32,
    leaving: bool,
    paused_until: Timestamp,
}

impl Backend {
    fn new() -> Self {
        Self {
            slots: 0,
            running: 0,
            unacknowledged: 0,
            leaving: false,
            paused_until: Timestamp::ZERO,
        }
    }

    /// Returns the number of free slots; negative if more requests run than there are slots.
    fn free_slots(&self) -> i64 {
        i64::from(self.slots) - i64::from(self.running) - i64::from(self.unacknowledged)
    }
}

/// All slots of a cell.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    backends: BTreeMap<BackendName, Backend>,
    /// Back ends that are not leaving, in descending order of free slots.
    by_free_slots: BTreeSet<(Reverse<i64>, BackendName)>,
    /// Total slots of the back ends that are not leaving, and the most slots of one of them.
    total: u32,
    largest: u32,
}

impl Slots {
    /// Replaces the set of back ends and their slots. Returns the names that are new.
    pub(crate) fn declare(&mut self, declared: &[(BackendName, u32)]) -> Vec<BackendName> {
        let names: BTreeSet<&BackendName> = declared.iter().map(|(name, _)| name).collect();
        self.backends.retain(|name, _| names.contains(name));
        self.by_free_slots.retain(|(_, name)| names.contains(name));
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

    /// Recomputes the totals, which are read for each grant and change rarely.
    fn recount(&mut self) {
        self.total = self.serving().map(|backend| backend.slots).sum();
        self.largest = self.serving().map(|backend| backend.slots).max().unwrap_or(0);
    }

    /// Changes a back end and updates its position in the order.
    fn change(&mut self, name: &BackendName, change: impl FnOnce(&mut Backend)) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        self.by_free_slots.remove(&(Reverse(backend.free_slots()), name.clone()));
        change(backend);
        if !backend.leaving {
            self.by_free_slots.insert((Reverse(backend.free_slots()), name.clone()));
        }
    }

    pub(crate) fn set_leaving(&mut self, name: &BackendName, leaving: bool) {
        self.change(name, |backend| backend.leaving = leaving);
        self.recount();
    }

    pub(crate) fn pause(&mut self, name: &BackendName, until: Timestamp) {
        self.change(name, |backend| backend.paused_until = until);
    }

    /// Replaces one gateway's count of running requests.
    pub(crate) fn change_running(&mut self, name: &BackendName, before: u32, after: u32) {
        self.change(name, |backend| {
            backend.running = (backend.running + after).saturating_sub(before);
        });
    }

    pub(crate) fn add_unacknowledged(&mut self, name: &BackendName) {
        self.change(name, |backend| backend.unacknowledged += 1);
    }

    pub(crate) fn remove_unacknowledged(&mut self, name: &BackendName) {
        self.change(name, |backend| {
            backend.unacknowledged = backend.unacknowledged.saturating_sub(1)
        });
    }

    /// Returns the back end with the most free slots that is not paused, counting `ahead` grants
    /// beyond its slots. Returns `None` if all are full.
    pub(crate) fn most_free(&self, ahead: u32, now: Timestamp) -> Option<&BackendName> {
        self.by_free_slots
            .iter()
            .take_while(|(free_slots, _)| free_slots.0 + i64::from(ahead) > 0)
            .map(|(_, name)| name)
            .find(|name| {
                self.backends.get(*name).is_some_and(|backend| now >= backend.paused_until)
            })
    }

    /// Returns the slots of all back ends that are not leaving.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of back ends that are not leaving.
    pub(crate) fn serving_count(&self) -> usize {
        self.by_free_slots.len()
    }

    /// Returns the most slots of one back end that is not leaving.
    pub(crate) fn largest(&self) -> u32 {
        self.largest
    }

    /// Returns the slots in use at back ends that are not leaving.
    pub(crate) fn in_use(&self) -> u32 {
        self.serving().map(|backend| backend.running + backend.unacknowledged).sum()
    }

    fn serving(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(|backend| !backend.leaving)
    }
}
