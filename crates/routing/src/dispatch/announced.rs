//! Draining and backoff announcements that back ends make in their responses.

use super::Dispatcher;
use super::messages::ExcludedBackEnds;
use crate::back_end::BackEndId;
use crate::digest::{Outgoing, PeerMessage};
use crate::engine::Engine;
use crate::gossip::TRANSMISSIONS;
use crate::health::Fault;
use crate::quarantine::Relaying;
use mastbay_types::{Timestamp, mixed_hash};
use std::time::Duration;

/// Back ends per message, about 30 bytes each.
const MAX_PER_MESSAGE: usize = 128;

impl Dispatcher {
    /// Handles a draining announcement in a response to this router and announces it to peers.
    /// Returns whether it is new.
    pub fn on_draining(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        self.record_draining(now, id, TRANSMISSIONS)
    }

    /// Handles a draining announcement relayed by a peer. Returns whether it is new.
    pub fn on_draining_reported(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        let transmissions = if self.relaying() == Relaying::All { TRANSMISSIONS } else { 0 };
        self.record_draining(now, id, transmissions)
    }

    /// Returns a message for a new peer with the listed back ends that are draining, as many as
    /// fit.
    pub fn draining_for_new_peer(&self) -> Option<PeerMessage> {
        let draining = self.announcements.draining();
        let listed = draining.filter(|id| self.engines.get(id).is_some());
        let announced: Vec<BackEndId> = listed.take(MAX_PER_MESSAGE).cloned().collect();
        (!announced.is_empty()).then_some(PeerMessage::Draining(announced))
    }

    /// Returns this round's message with draining back ends for peers, if there are any.
    pub(super) fn next_draining(&mut self, now: Timestamp) -> Option<Outgoing> {
        let announced = self.draining_queue.next_round(MAX_PER_MESSAGE);
        if announced.is_empty() {
            return None;
        }
        let draw = mixed_hash(now.as_micros(), self.fleet.tiebreak());
        let targets = self.gossip_targets(draw);
        Some(Outgoing { message: PeerMessage::Draining(announced), targets })
    }

    fn record_draining(&mut self, now: Timestamp, id: &BackEndId, transmissions: u32) -> bool {
        let is_new = self.announcements.on_draining(now, id);
        if let Some(back_end) = self.back_end(id).filter(|_| is_new).cloned() {
            self.set_back_ends(now, &[back_end]);
        }
        if is_new {
            self.draining_queue.push(id.clone(), transmissions);
        }
        is_new
    }

    /// Recounts the draining back ends of each service. Called on announcements and list changes,
    /// so that requests need not count.
    pub(super) fn count_draining(&mut self) {
        self.draining_counts.clear();
        for id in self.announcements.draining() {
            let Some(engine) = self.engines.get(id) else { continue };
            *self.draining_counts.entry(engine.back_end.service.clone()).or_default() += 1;
        }
    }

    /// Returns the numbers of a service's back ends that are excluded from selection by their
    /// announcements.
    pub(super) fn excluded(&self, now: Timestamp, service: &str) -> ExcludedBackEnds {
        let backing_off = self.announcements.backing_off(now);
        let engines = backing_off.filter_map(|id| self.engines.get(id));
        let of_service = engines.filter(|engine| engine.back_end.service == service);
        ExcludedBackEnds {
            draining: self.draining_counts.get(service).copied().unwrap_or_default(),
            backing_off: of_service.count() as u32,
        }
    }

    /// Records that a back end rejected a request and asked this router to back off. Returns false
    /// if it was backing off already.
    pub fn on_backoff(&mut self, now: Timestamp, id: &BackEndId, backoff: Duration) -> bool {
        self.announcements.on_backoff(now, id, backoff)
    }

    /// Returns the number of back ends that are backing off for this router.
    pub fn backing_off(&self, now: Timestamp) -> usize {
        self.announcements.backing_off(now).count()
    }

    /// Returns the fault to report instead of sending a placed request, if its back end has stopped
    /// accepting requests or asked for a backoff since the placement.
    pub fn fault_before_send(&self, now: Timestamp, id: &BackEndId) -> Option<Fault> {
        if !self.engines.get(id).is_some_and(Engine::accepts_work) {
            return Some(Fault::Replaced);
        }
        self.announcements.backs_off_until(now, id).map(|_| Fault::Full)
    }
}
