//! What back ends said of themselves in their answers.

use super::Dispatcher;
use crate::back_end::BackEndId;
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
        self.announcements.backing_off(now)
    }
}
