//! The seam toward the sources of configuration and back ends: what a router has in force, which only
//! ever goes forward within its life.

use mastbay_routing::{
    BackEndDirectory, BackEndUpdate, EvacuatedZones, Evacuations, Revision, Rollouts, RouteTable,
    RoutingConfiguration, UsableChanges,
};
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Configuration and back ends as one router passes them on to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, if one is known.
    pub configuration: Option<RoutingConfiguration>,
    /// What changed among the back ends, or all of them, if they are known.
    pub back_ends: Option<BackEndUpdate>,
    /// The evacuated zones, if they are known.
    pub evacuations: Option<EvacuatedZones>,
    /// The orders for roll-outs, if they are known.
    pub rollouts: Option<Rollouts>,
}

/// The versions of what a router has in force; the least for what it does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Versions {
    /// Version of the configuration.
    pub configuration: u64,
    /// Revision of the back ends.
    pub back_ends: Revision,
    /// Revision of the evacuated zones.
    pub evacuations: Revision,
    /// Revision of the orders for roll-outs.
    pub rollouts: Revision,
}

/// What an operator may order, so that a router has to know the orders before it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EnabledOrders {
    /// Zones may be evacuated.
    pub evacuations: bool,
    /// Versions may be rolled out.
    pub rollouts: bool,
}

/// What is in force.
#[derive(Debug, Default)]
pub struct Catalogue {
    table: Option<Rc<RouteTable>>,
    back_ends: BackEndDirectory,
    evacuations: Evacuations,
    rollouts: Option<Rollouts>,
    possible: EnabledOrders,
}

impl Catalogue {
    /// A catalogue that knows nothing yet.
    pub fn new(possible: EnabledOrders) -> Self {
        Self { possible, ..Self::default() }
    }

    /// Takes orders for roll-outs if they are newer than those known. Gives whether it did.
    pub fn offer_rollouts(&mut self, offered: &Rollouts) -> bool {
        let known = self.rollouts.as_ref().map(|known| known.revision);
        let is_newer = known.is_none_or(|known| known < offered.revision);
        if is_newer {
            self.rollouts = Some(offered.clone());
        }
        is_newer
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn offer_configuration(&mut self, offered: RoutingConfiguration) -> Option<Rc<RouteTable>> {
        if self.table.as_ref().is_some_and(|table| table.version() >= offered.version) {
            return None;
        }
        let table = Rc::new(RouteTable::new(offered));
        self.table = Some(table.clone());
        Some(table)
    }

    /// Takes what changed among the back ends if it is newer than what is known; right after an outage of the source it
    /// may lack living ones (`recovering`). Gives what changes for those that use them.
    pub fn offer_back_ends(
        &mut self,
        now: Timestamp,
        recovering: bool,
        offered: BackEndUpdate,
    ) -> Option<UsableChanges> {
        self.back_ends.apply(now, recovering, offered)
    }

    /// Takes evacuated zones if they are newer than those known. Gives the zones to spare from now on.
    pub fn offer_evacuations(
        &mut self,
        now: Timestamp,
        offered: &EvacuatedZones,
    ) -> Option<EvacuatedZones> {
        let is_newer = self.evacuations.offer(now, offered);
        self.evacuations.in_force().filter(|_| is_newer)
    }

    /// Takes back ends as gone that have been missing for too long, and believes a restored source after a while. Gives what changes
    /// for those that use them, if anything does.
    pub fn expire_back_ends(&mut self, now: Timestamp) -> Option<UsableChanges> {
        self.back_ends.expire(now)
    }

    /// Believes a restored source after a while. Gives the zones to spare from now on, if there is any change.
    pub fn expire_evacuations(&mut self, now: Timestamp) -> Option<EvacuatedZones> {
        let is_believed = self.evacuations.expire(now);
        self.evacuations.in_force().filter(|_| is_believed)
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.clone()
    }

    /// The back ends known.
    pub fn back_ends(&self) -> &BackEndDirectory {
        &self.back_ends
    }

    /// Whether requests can be served. A router that knows no evacuations might send to a zone that is to get nothing, and one that
    /// knows no roll-outs to a version that is not judged yet.
    pub fn is_complete(&self) -> bool {
        let knows_evacuations = !self.possible.evacuations || self.evacuations.known().is_some();
        let knows_rollouts = !self.possible.rollouts || self.rollouts.is_some();
        self.table.is_some()
            && self.back_ends.revision().is_some()
            && knows_evacuations
            && knows_rollouts
    }

    /// The versions in force.
    pub fn versions(&self) -> Versions {
        Versions {
            configuration: self.table.as_ref().map_or(0, |table| table.version()),
            back_ends: self.back_ends.revision().unwrap_or_default(),
            evacuations: self.evacuations.known().map(|zones| zones.revision).unwrap_or_default(),
            rollouts: self.rollouts.as_ref().map(|known| known.revision).unwrap_or_default(),
        }
    }

    /// What is passed on to a router that has `known` in force: only what is newer.
    pub fn snapshot(&self, known: Versions) -> Snapshot {
        let table = self.table.as_ref().filter(|table| table.version() > known.configuration);
        let revision = self.back_ends.revision();
        let has_back_ends = revision.is_some_and(|revision| revision > known.back_ends);
        let evacuations = self.evacuations.known();
        let evacuations = evacuations.filter(|zones| zones.revision > known.evacuations);
        let rollouts = self.rollouts.as_ref();
        let rollouts = rollouts.filter(|rollouts| rollouts.revision > known.rollouts);
        Snapshot {
            configuration: table.map(|table| table.configuration().clone()),
            back_ends: has_back_ends.then(|| self.back_ends.update_since(known.back_ends)),
            evacuations: evacuations.cloned(),
            rollouts: rollouts.cloned(),
        }
    }
}
