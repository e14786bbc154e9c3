//! The configuration, back ends, evacuations and roll-outs that a router has in force.
//!
//! Sources plug in here. While a router runs, each part is only replaced by a newer version.

use mastbay_routing::{
    BackEndDirectory, BackEndUpdate, EvacuatedZones, Evacuations, Revision, Rollouts, RouteTable,
    RoutingConfiguration, UsableChanges,
};
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Configuration and back ends as one router sends them to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration; `None` if the sender has no newer one.
    pub configuration: Option<RoutingConfiguration>,
    /// All back ends, or what changed among them; `None` if the sender has no newer revision.
    pub back_ends: Option<BackEndUpdate>,
    /// The evacuated zones; `None` if the sender has no newer revision.
    pub evacuations: Option<EvacuatedZones>,
    /// The roll-out orders; `None` if the sender has no newer revision.
    pub rollouts: Option<Rollouts>,
}

/// The versions that a router has in force; zero for what it does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Versions {
    /// Version of the configuration.
    pub configuration: u64,
    /// Revision of the back ends.
    pub back_ends: Revision,
    /// Revision of the evacuated zones.
    pub evacuations: Revision,
    /// Revision of the roll-out orders.
    pub rollouts: Revision,
}

/// The kinds of operator orders that are enabled. A router serves only once it knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EnabledOrders {
    /// Operators may evacuate zones.
    pub evacuations: bool,
    /// Operators may roll out versions.
    pub rollouts: bool,
}

/// The state in force; each part is absent until a source delivers it.
#[derive(Debug, Default)]
pub struct Catalogue {
    table: Option<Rc<RouteTable>>,
    back_ends: BackEndDirectory,
    evacuations: Evacuations,
    rollouts: Option<Rollouts>,
    enabled: EnabledOrders,
}

impl Catalogue {
    /// Creates an empty catalogue.
    pub fn new(enabled: EnabledOrders) -> Self {
        Self { enabled, ..Self::default() }
    }

    /// Replaces the roll-out orders if `offered` is newer. Returns whether it is.
    pub fn offer_rollouts(&mut self, offered: &Rollouts) -> bool {
        let known = self.rollouts.as_ref().map(|known| known.revision);
        let is_newer = known.is_none_or(|known| known < offered.revision);
        if is_newer {
            self.rollouts = Some(offered.clone());
        }
        is_newer
    }

    /// Replaces the configuration if `offered` is newer. Returns the new route table if so.
    pub fn offer_configuration(&mut self, offered: RoutingConfiguration) -> Option<Rc<RouteTable>> {
        if self.table.as_ref().is_some_and(|table| table.version() >= offered.version) {
            return None;
        }
        let table = Rc::new(RouteTable::new(offered));
        self.table = Some(table.clone());
        Some(table)
    }

    /// Applies a back-end update if it is newer. `grace_ends` is set if it was read from a source
    /// that may lack living back ends, which are kept until then. Returns the changes to usable
    /// back ends.
    pub fn offer_back_ends(
        &mut self,
        now: Timestamp,
        grace_ends: Option<Timestamp>,
        offered: BackEndUpdate,
    ) -> Option<UsableChanges> {
        self.back_ends.apply(now, grace_ends, offered)
    }

    /// Replaces the evacuated zones if `offered` is newer. Returns the zones to avoid if so.
    pub fn offer_evacuations(
        &mut self,
        now: Timestamp,
        offered: &EvacuatedZones,
    ) -> Option<EvacuatedZones> {
        let is_newer = self.evacuations.offer(now, offered);
        self.evacuations.in_force().filter(|_| is_newer)
    }

    /// Removes back ends that have been missing for too long, and trusts a restored source once its
    /// uncertainty window has ended. Returns the changes to usable back ends, if there are any.
    pub fn expire_back_ends(&mut self, now: Timestamp) -> Option<UsableChanges> {
        self.back_ends.expire(now)
    }

    /// Trusts a restored source once its uncertainty window has ended. Returns the zones to avoid
    /// if they may have changed.
    pub fn expire_evacuations(&mut self, now: Timestamp) -> Option<EvacuatedZones> {
        let is_trusted = self.evacuations.expire(now);
        self.evacuations.in_force().filter(|_| is_trusted)
    }

    /// Returns the route table of the configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.clone()
    }

    /// Returns the known back ends.
    pub fn back_ends(&self) -> &BackEndDirectory {
        &self.back_ends
    }

    /// Returns whether everything is known that serving requests needs. Without evacuations a
    /// router might send to an evacuated zone, and without roll-outs to an unevaluated version.
    pub fn is_complete(&self) -> bool {
        let knows_evacuations = !self.enabled.evacuations || self.evacuations.known().is_some();
        let knows_rollouts = !self.enabled.rollouts || self.rollouts.is_some();
        self.table.is_some()
            && self.back_ends.revision().is_some()
            && knows_evacuations
            && knows_rollouts
    }

    /// Returns the versions in force.
    pub fn versions(&self) -> Versions {
        Versions {
            configuration: self.table.as_ref().map_or(0, |table| table.version()),
            back_ends: self.back_ends.revision().unwrap_or_default(),
            evacuations: self.evacuations.known().map(|zones| zones.revision).unwrap_or_default(),
            rollouts: self.rollouts.as_ref().map(|known| known.revision).unwrap_or_default(),
        }
    }

    /// Returns what is newer than `known`, the versions that the receiving router has in force.
    pub fn snapshot(&self, now: Timestamp, known: Versions) -> Snapshot {
        let table = self.table.as_ref().filter(|table| table.version() > known.configuration);
        let revision = self.back_ends.revision();
        let has_back_ends = revision.is_some_and(|revision| revision > known.back_ends);
        let evacuations = self.evacuations.known();
        let evacuations = evacuations.filter(|zones| zones.revision > known.evacuations);
        let rollouts = self.rollouts.as_ref();
        let rollouts = rollouts.filter(|rollouts| rollouts.revision > known.rollouts);
        Snapshot {
            configuration: table.map(|table| table.configuration().clone()),
            back_ends: has_back_ends.then(|| self.back_ends.update_since(now, known.back_ends)),
            evacuations: evacuations.cloned(),
            rollouts: rollouts.cloned(),
        }
    }
}
