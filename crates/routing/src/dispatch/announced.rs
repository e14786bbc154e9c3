//! What back ends said of themselves in their answers.

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

/// Back ends named in one message; each takes some 30 bytes.
const MAX_PER_MESSAGE: usize = 128;

impl Dispatcher {
    /// A back end said in an answer to this router that it ends soon. Gives whether that is new. The other routers are announced.
    pub fn on_draining(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        self.record_draining(now, id, TRANSMISSIONS)
    }

    /// Another router tells of a back end that said so. Gives whether that is new.
    pub fn on_draining_reported(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        let transmissions = if self.relaying() == Relaying::All { TRANSMISSIONS } else { 0 };
        self.record_draining(now, id, transmissions)
    }

    /// What a router must know that has just come: the listed back ends that said that they end soon, as many as one message holds.
    pub fn draining_for_new_peer(&self) -> Option<PeerMessage> {
        let draining = self.announcements.draining();
        let listed = draining.filter(|id| self.engines.get(id).is_some());
        let announced: Vec<BackEndId> = listed.take(MAX_PER_MESSAGE).cloned().collect();
        (!announced.is_empty()).then_some(PeerMessage::Draining(announced))
    }

    /// What this router tells others in one round of back ends that said that they end soon; as a rule nothing.
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

    /// Counts the listed back ends of each service that said that they end soon. Done when one says so or lists change, not for each
    /// request.
    pub(super) fn count_draining(&mut self) {
        self.draining_counts.clear();
        for id in self.announcements.draining() {
            let Some(engine) = self.engines.get(id) else { continue };
            *self.draining_counts.entry(engine.back_end.service.clone()).or_default() += 1;
        }
    }

    /// The back ends of a service that are in no choice now for what they said of themselves.
    pub(super) fn excluded(&self, now: Timestamp, service: &str) -> ExcludedBackEnds {
        let backing_off = self.announcements.backing_off(now);
        let engines = backing_off.filter_map(|id| self.engines.get(id));
        let of_service = engines.filter(|engine| engine.back_end.service == service);
        ExcludedBackEnds {
            draining: self.draining_counts.get(service).copied().unwrap_or_default(),
            backing_off: of_service.count() as u32,
        }
    }

    /// A back end turned a request away and wants no more of this router for a while. Gives whether it did not already.
    pub fn on_backoff(&mut self, now: Timestamp, id: &BackEndId, backoff: Duration) -> bool {
        self.announcements.on_backoff(now, id, backoff)
    }

    /// How many back ends want no requests of this router now.
    pub fn backing_off(&self, now: Timestamp) -> usize {
        self.announcements.backing_off(now).count()
    }

    /// What speaks against a request that was placed at a back end and is about to be sent there. Since it was placed, the back end may
    /// have begun to leave, or have asked for a backoff.
    pub fn fault_before_send(&self, now: Timestamp, id: &BackEndId) -> Option<Fault> {
        if !self.engines.get(id).is_some_and(Engine::accepts_work) {
            return Some(Fault::Replaced);
        }
        self.announcements.backs_off_until(now, id).map(|_| Fault::Full)
    }
}
