//! The slots of a cell's back ends.

use mastbay_types::{BackendName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
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
    fn free(&self, ahead: u32, now: Timestamp) -> u32 {
        if self.leaving || now < self.paused_until {
            return 0;
        }
        (self.slots + ahead).saturating_sub(self.running + self.unseen)
    }
}

/// All slots of a cell.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    backends: BTreeMap<BackendName, Backend>,
}

impl Slots {
    /// Keeps only the back ends declared and takes their slots. Gives the names that are new.
    pub(crate) fn declare(&mut self, declared: &[(BackendName, u32)]) -> Vec<BackendName> {
        let names: BTreeSet<&BackendName> = declared.iter().map(|(name, _)| name).collect();
        self.backends.retain(|name, _| names.contains(name));
        let mut new = Vec::new();
        for (name, slots) in declared {
            let backend = self.backends.entry(name.clone()).or_insert_with(|| {
                new.push(name.clone());
                let paused_until = Timestamp::ZERO;
                Backend { slots: 0, running: 0, unseen: 0, leaving: false, paused_until }
            });
            backend.slots = *slots;
        }
        new
    }

    pub(crate) fn set_leaving(&mut self, name: &BackendName, leaving: bool) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.leaving = leaving;
        }
    }

    pub(crate) fn pause(&mut self, name: &BackendName, until: Timestamp) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.paused_until = until;
        }
    }

    /// Replaces one gateway's count of running requests by another.
    pub(crate) fn change_running(&mut self, name: &BackendName, before: u32, after: u32) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.running = (backend.running + after).saturating_sub(before);
        }
    }

    pub(crate) fn add_unseen(&mut self, name: &BackendName) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.unseen += 1;
        }
    }

    pub(crate) fn remove_unseen(&mut self, name: &BackendName) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.unseen = backend.unseen.saturating_sub(1);
        }
    }

    /// The back end with the most room, counting `ahead` places beyond its slots.
    pub(crate) fn freest(&self, ahead: u32, now: Timestamp) -> Option<&BackendName> {
        self.backends
            .iter()
            .map(|(name, backend)| (backend.free(ahead, now), name))
            .filter(|(free, _)| *free > 0)
            .max_by(|(left, left_name), (right, right_name)| {
                left.cmp(right).then_with(|| right_name.cmp(left_name))
            })
            .map(|(_, name)| name)
    }

    /// Slots of back ends that take work.
    pub(crate) fn total(&self) -> u32 {
        self.serving().map(|backend| backend.slots).sum()
    }

    /// Number of back ends that take work.
    pub(crate) fn serving_count(&self) -> usize {
        self.serving().count()
    }

    /// Most slots of one back end.
    pub(crate) fn largest(&self) -> u32 {
        self.serving().map(|backend| backend.slots).max().unwrap_or(0)
    }

    /// Of those, the ones in use.
    pub(crate) fn in_use(&self) -> u32 {
        self.serving().map(|backend| backend.running + backend.unseen).sum()
    }

    fn serving(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(|backend| !backend.leaving)
    }
}
