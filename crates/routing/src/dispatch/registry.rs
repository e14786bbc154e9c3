//! The registry of the fleet's routers: what is read of it, and what should change in it.

use super::Dispatcher;
use super::fleet::{Registrations, RegistryNotice};
use crate::digest::RouterPhase;
use mastbay_types::Timestamp;
use std::time::Duration;

impl Dispatcher {
    /// Makes this router rely on a registry to count the fleet. Until the registry is known, it
    /// has no share of any burst.
    pub fn expect_registry(&mut self) {
        self.fleet.expect_registry();
    }

    /// Returns whether this router should read the registry, if it follows the source: one router
    /// does so for all.
    pub fn reads_registry(&self, now: Timestamp) -> bool {
        self.fleet.reads_registry(now)
    }

    /// Returns the longest time to wait for a change of the registry with one call.
    pub fn registry_wait(&self) -> Duration {
        self.fleet.registry_wait()
    }

    /// Handles the registry as it was read by a call that began at `began`.
    pub fn on_registry_read(&mut self, now: Timestamp, began: Timestamp, read: Registrations) {
        self.fleet.on_registry_read(now, began, read);
    }

    /// Records that a call which began at `began` found the registry unchanged since it was read.
    pub fn on_registry_unchanged(&mut self, began: Timestamp) {
        self.fleet.on_registry_unchanged(began);
    }

    /// Handles a peer's notice that arrived at `arrived` or later.
    pub fn on_registry_notice(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        notice: RegistryNotice,
    ) {
        self.fleet.on_registry_notice(now, arrived, notice);
    }

    /// Returns what the registry should hold instead of what this router has read, if it should be
    /// changed. The revision is the one that was read.
    pub fn registry_update(&mut self, now: Timestamp, phase: RouterPhase) -> Option<Registrations> {
        self.fleet.registry_update(now, phase)
    }
}
