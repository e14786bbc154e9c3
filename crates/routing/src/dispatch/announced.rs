//! What back ends said of themselves in their answers.

use super::Dispatcher;
use crate::back_end::BackEndId;
use crate::engine::Engine;
use crate::health::Fault;
use mastbay_types::Timestamp;
use std::time::Duration;

impl Dispatcher {
    /// A back end said in an answer that it ends soon. Gives whether that is new.
    pub fn on_draining(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        let is_new = self.announcements.on_draining(now, id);
        if let Some(back_end) = self.back_end(id).filter(|_| is_new).cloned() {
            self.set_back_ends(now, &[back_end]);
        }
        is_new
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
        if !self.engines.get(id).is_some_and(Engine::takes_work) {
            return Some(Fault::Replaced);
        }
        self.announcements.backs_off_until(now, id).map(|_| Fault::Full)
    }
}
