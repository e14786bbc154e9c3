//! Announcements of back ends in response headers: that they are draining, or that they want no
//! requests for a while.
//!
//! An announcement applies to one incarnation and takes precedence over lists and peers.

use crate::back_end::{BackEnd, BackEndId};
use crate::draining::DrainingBackEnds;
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the end of a backoff for which it is kept if no request is sent to the back end.
const BACKOFF_RETENTION: Duration = Duration::from_secs(60);

/// Time after which an unanswered probe no longer blocks other requests.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff requested by a back end. After it ends, one request is sent as a probe, and others once
/// the probe is answered.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Timestamp,
    /// When the probe was sent.
    probe: Option<Timestamp>,
}

impl Backoff {
    fn admits(&self, now: Timestamp) -> bool {
        let is_probing = self.probe.is_some_and(|sent| now.since(sent) < PROBE_TIMEOUT);
        now >= self.until && !is_probing
    }
}

/// Announcements received from back ends.
#[derive(Debug, Default)]
pub struct Announcements {
    draining: DrainingBackEnds,
    backoffs: BTreeMap<BackEndId, Backoff>,
}

impl Announcements {
    /// Records that a back end is draining. Returns whether that was not known.
    pub fn on_draining(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        self.draining.record(now, id)
    }

    /// Returns a listed back end as it may be used: as draining if it announced so, even if the
    /// list still has it as ready.
    pub fn as_usable(&self, back_end: BackEnd) -> BackEnd {
        self.draining.as_usable(back_end)
    }

    /// Returns the back ends that announced to be draining, including terminated ones.
    pub fn draining(&self) -> impl Iterator<Item = &BackEndId> {
        self.draining.iter()
    }

    /// Records a backoff requested by a back end. Returns whether none was in effect.
    pub fn on_backoff(&mut self, now: Timestamp, id: &BackEndId, backoff: Duration) -> bool {
        if backoff.is_zero() {
            return false;
        }
        self.backoffs.retain(|_, known| now.since(known.until) < BACKOFF_RETENTION);
        let until = now + backoff;
        let known = self.backoffs.get(id).map(|known| known.until);
        let until = known.map_or(until, |known| known.max(until));
        self.backoffs.insert(id.clone(), Backoff { until, probe: None });
        known.is_none_or(|known| known <= now)
    }

    /// Returns whether a request may be sent to a back end now.
    pub fn admits(&self, now: Timestamp, id: &BackEndId) -> bool {
        self.backoffs.is_empty() || self.backoffs.get(id).is_none_or(|known| known.admits(now))
    }

    /// Returns the end of a back end's backoff if it is in effect.
    pub fn backs_off_until(&self, now: Timestamp, id: &BackEndId) -> Option<Timestamp> {
        let until = self.backoffs.get(id)?.until;
        (now < until).then_some(until)
    }

    /// Records that a request is sent to a back end; after a backoff it is the probe.
    pub fn on_sent(&mut self, now: Timestamp, id: &BackEndId) {
        if let Some(known) = self.backoffs.get_mut(id) {
            known.probe = Some(now);
        }
    }

    /// Records that a request sent at `sent` was served, which ends a backoff from before.
    pub fn on_served(&mut self, id: &BackEndId, sent: Timestamp) {
        if self.backoffs.get(id).is_some_and(|known| known.until <= sent) {
            self.backoffs.remove(id);
        }
    }

    /// Records that a request sent at `sent` ended without being served. If it was the probe, the
    /// next request may be sent.
    pub fn on_not_served(&mut self, id: &BackEndId, sent: Timestamp) {
        let probe = self.backoffs.get_mut(id).map(|known| &mut known.probe);
        if let Some(probe) = probe.filter(|probe| **probe == Some(sent)) {
            *probe = None;
        }
    }

    /// Returns the back ends whose backoff is in effect.
    pub fn backing_off(&self, now: Timestamp) -> impl Iterator<Item = &BackEndId> {
        self.backoffs.iter().filter(move |(_, known)| now < known.until).map(|(id, _)| id)
    }
}
