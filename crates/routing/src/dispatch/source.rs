//! What the fleet knows of the source of configuration and back ends, and who asks it.

use super::Dispatcher;
use crate::digest::RouterPhase;
use crate::overload::PeerCapacity;
use crate::source_watchers::SourceContact;
use mastbay_types::Timestamp;
use std::net::SocketAddr;

impl Dispatcher {
    /// A call to the source was answered, or failed.
    pub fn on_source_contact(&mut self, contact: SourceContact) {
        self.contact = contact;
    }

    /// What this router knows of the source by its own calls.
    pub fn source_contact(&self) -> SourceContact {
        self.contact
    }

    /// Whether the last call of any router to the source was answered, as far as this one hears.
    pub fn is_source_answering(&self, now: Timestamp) -> bool {
        self.contact == SourceContact::Answered || self.fleet.is_source_answering(now)
    }

    /// Whether the last call of any other router to the source was answered, as far as this one hears.
    pub fn others_reach_source(&self, now: Timestamp) -> bool {
        self.fleet.any_peer_reaches_source(now)
    }

    /// Whether this router follows the source; the others learn from their peers.
    pub fn follows_source(&self, now: Timestamp) -> bool {
        self.fleet.follows_source(now, self.contact)
    }

    /// What is known of the other routers.
    pub fn peer_capacity(&self) -> PeerCapacity {
        self.fleet.peer_capacity()
    }

    /// Peers, by their digest addresses, that may take connections off this router, the first choice first. `draws`,
    /// uniform in 0..1, spread the choice.
    pub fn offload_targets(&self, draws: (f64, f64)) -> Vec<SocketAddr> {
        self.fleet.offload_targets(&self.own_state(RouterPhase::Serving), draws)
    }

    /// A peer of another zone, by its digest address, that may take a connection that would else be closed unread: what passes
    /// between zones costs. It is of the same region, where round trips are short, and its zone is not evacuated. `draw`, uniform
    /// in 0..1, spreads the choice.
    pub fn cross_zone_offload_target(&self, draw: f64) -> Option<SocketAddr> {
        let own = self.own_state(RouterPhase::Serving);
        let region = self.limits.regions.of(&own.zone)?;
        let is_near = |zone: &str| {
            let is_in_region = self.limits.regions.of(zone).as_ref() == Some(&region);
            is_in_region && !self.evacuated.zones.contains(zone)
        };
        self.fleet.cross_zone_offload_target(&own, is_near, draw)
    }

    /// Whether any peer has told of a newer configuration or newer back ends.
    pub fn is_behind(&self, now: Timestamp) -> bool {
        self.fleet.is_behind(now, &self.own_state(RouterPhase::Serving))
    }

    /// Where a peer that has told of a newer configuration or newer back ends hands them out, if this router should ask one now: a
    /// member waits a while for one of its zone.
    ///
    /// `draw`, uniform in 0..1, picks one, so that not all ask the same.
    pub fn newer_snapshot_address(&self, now: Timestamp, draw: f64) -> Option<SocketAddr> {
        self.fleet.newer_snapshot_address(now, &self.own_state(RouterPhase::Serving), draw)
    }
}
