//! The fleet's contact with the source of configuration and back ends, and which routers follow it.

use super::Dispatcher;
use crate::digest::RouterPhase;
use crate::overload::PeerCapacity;
use crate::source_outage::SourceAvailability;
use crate::source_watchers::SourceContact;
use mastbay_types::Timestamp;
use std::net::SocketAddr;

impl Dispatcher {
    /// Records the result of this router's last call to the source.
    pub fn on_source_contact(&mut self, contact: SourceContact) {
        self.contact = contact;
    }

    /// Returns the result of this router's last call to the source.
    pub fn source_contact(&self) -> SourceContact {
        self.contact
    }

    /// Returns whether the last call of any router to the source was answered, by this router's
    /// view of the fleet.
    pub fn is_source_answering(&self, now: Timestamp) -> bool {
        self.contact == SourceContact::Answered || self.fleet.is_source_answering(now)
    }

    /// Returns what the routers that call the source report, by this router's view of the fleet.
    pub fn source_availability(&self, now: Timestamp) -> SourceAvailability {
        if self.is_source_answering(now) {
            SourceAvailability::Answering
        } else if self.contact == SourceContact::Lost || self.fleet.any_peer_lost_source(now) {
            SourceAvailability::Failing
        } else {
            SourceAvailability::Unknown
        }
    }

    /// Returns whether the last call of any peer to the source was answered, by this router's view
    /// of the fleet.
    pub fn others_reach_source(&self, now: Timestamp) -> bool {
        self.fleet.any_peer_reaches_source(now)
    }

    /// Returns whether this router should follow the source instead of learning from its peers.
    pub fn watches_source(&self, now: Timestamp) -> bool {
        self.fleet.watches_source(now, self.contact)
    }

    /// Returns the counts of peers in this zone and the peers' relative CPU shares.
    pub fn peer_capacity(&self) -> PeerCapacity {
        self.fleet.peer_capacity()
    }

    /// Returns the digest addresses of peers in this zone that may take over connections, the best
    /// first. `draws` are uniform in 0..1 and randomize the choice.
    pub fn offload_targets(&self, draws: (f64, f64)) -> Vec<SocketAddr> {
        self.fleet.offload_targets(&self.own_state(RouterPhase::Serving), draws)
    }

    /// Returns the digest address of a peer in another zone that may take over a connection which
    /// this router would otherwise close unread. The peer's zone is in the same region, where round
    /// trips are short, and not evacuated. `draw` is uniform in 0..1 and randomizes the choice.
    pub fn cross_zone_offload_target(&self, draw: f64) -> Option<SocketAddr> {
        let own = self.own_state(RouterPhase::Serving);
        let region = self.limits.regions.of(&own.zone)?;
        let is_near = |zone: &str| {
            let is_in_region = self.limits.regions.of(zone).as_ref() == Some(&region);
            is_in_region && !self.evacuated.zones.contains(zone)
        };
        self.fleet.cross_zone_offload_target(&own, is_near, draw)
    }

    /// Returns whether any peer announced newer configuration, back ends, evacuations or roll-outs.
    pub fn is_behind(&self, now: Timestamp) -> bool {
        self.fleet.is_behind(now, &self.own_state(RouterPhase::Serving))
    }

    /// Returns the snapshot address of a peer that announced newer state, if this router should
    /// fetch it now. A member first waits for a peer in its zone to have it. `draw` is uniform in
    /// 0..1 and spreads the requests over such peers.
    pub fn newer_snapshot_address(&self, now: Timestamp, draw: f64) -> Option<SocketAddr> {
        self.fleet.newer_snapshot_address(now, &self.own_state(RouterPhase::Serving), draw)
    }
}
