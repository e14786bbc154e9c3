//! Applies configurations, back ends, evacuations and roll-out orders of sources and peers.

use crate::events;
use crate::router::Router;
use crate::update_signal::Origin;
use mastbay_routing::{
    BackEndUpdate, EvacuatedZones, Rollouts, RoutingConfiguration, UsableChanges,
};

impl Router {
    /// Applies a configuration if it is newer than the one in force.
    pub fn offer_configuration(&self, offered: RoutingConfiguration, origin: Origin) {
        let applied = self.catalogue.borrow_mut().offer_configuration(offered);
        if let Some(table) = applied {
            self.dispatcher.borrow_mut().on_configuration(table.configuration());
            events::configuration_in_force(&table, origin);
            self.notify_peers(origin);
        }
    }

    /// Applies an update of the back ends, a full list or changes, if it is newer.
    pub fn offer_back_ends(&self, offered: impl Into<BackEndUpdate>, origin: Origin) {
        let offered: BackEndUpdate = offered.into();
        let now = self.now();
        let grace_ends = match origin {
            Origin::Source => self.outage.borrow().grace_ends(now),
            Origin::Peer(_) | Origin::Expiry => None,
        };
        let is_first = self.catalogue.borrow().back_ends().revision().is_none();
        if is_first && origin == Origin::Source {
            self.started_from_restored.set(offered.revision.era > 0);
        }
        let applied = self.catalogue.borrow_mut().offer_back_ends(now, grace_ends, offered);
        if let Some(changes) = applied {
            self.apply_back_ends(&changes, origin);
            self.notify_peers(origin);
        }
    }

    /// Applies evacuated zones if they are newer than the known ones.
    pub fn offer_evacuations(&self, offered: EvacuatedZones, origin: Origin) {
        let applied = self.catalogue.borrow_mut().offer_evacuations(self.now(), &offered);
        if let Some(evacuated) = applied {
            self.apply_evacuations(&evacuated, origin);
            self.notify_peers(origin);
        }
    }

    pub(crate) fn apply_evacuations(&self, evacuated: &EvacuatedZones, origin: Origin) {
        self.dispatcher.borrow_mut().on_evacuations(evacuated);
        events::evacuations_known(evacuated, origin);
        self.poll_waiting();
    }

    /// Applies roll-out orders if they are newer than the known ones.
    pub fn offer_rollouts(&self, offered: Rollouts, origin: Origin) {
        if !self.catalogue.borrow_mut().offer_rollouts(&offered) {
            return;
        }
        self.dispatcher.borrow_mut().on_rollouts(self.now(), &offered);
        events::rollouts_known(&offered, origin);
        self.notify_peers(origin);
        self.poll_waiting();
    }

    pub(crate) fn apply_back_ends(&self, changes: &UsableChanges, origin: Origin) {
        self.dispatcher.borrow_mut().on_back_end_changes(self.now(), changes);
        self.pool.remove(&changes.removed);
        self.metrics.set_back_ends_kept(self.catalogue.borrow().back_ends().kept());
        events::back_ends_known(self.catalogue.borrow().back_ends(), changes, origin);
        self.poll_waiting();
    }

    /// Wakes the task that sends updates to peers, unless a peer sent this one: it reaches the
    /// others from there.
    fn notify_peers(&self, origin: Origin) {
        if origin == Origin::Source {
            self.update_signal.notify();
        }
    }
}
