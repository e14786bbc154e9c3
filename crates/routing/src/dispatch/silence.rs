//! Placement without back ends that have fallen silent, and reports of them between routers.

use super::Dispatcher;
use crate::back_end::BackEndId;
use crate::demand::{Demand, TicketId};
use crate::digest::{Outgoing, PeerMessage};
use crate::engine::Engine;
use crate::engine_key::EngineKey;
use crate::gossip::TRANSMISSIONS;
use crate::quarantine::Relaying;
use crate::silence::{SilenceFinding, SilenceReport};
use mastbay_types::{Timestamp, mixed_hash};
use std::time::Duration;

/// Back ends per message, about 40 bytes each.
const MAX_PER_MESSAGE: usize = 128;
/// Fraction of a service's back ends up to which silent ones are excluded from new requests. When
/// more are silent, their common network or this router is as likely to be the cause.
const MAX_EXCLUDED_FRACTION: f64 = 0.5;

impl Dispatcher {
    /// Records that a request sent at `sent` to a back end was not answered in time. Returns whether
    /// the back end is found silent by that: nothing was received from it since.
    pub fn on_unanswered(&mut self, now: Timestamp, id: &BackEndId, sent: Timestamp) -> bool {
        !self.has_responded_since(id, sent) && self.record_silent(now, id, sent, TRANSMISSIONS)
    }

    /// Records that the head of an answer was received from a back end, whatever it says. Returns
    /// whether the back end was silent before.
    pub fn on_answer_head(&mut self, now: Timestamp, id: &BackEndId) -> bool {
        self.record_answered(id, now, TRANSMISSIONS)
    }

    /// Handles a finding of a peer. Returns whether it is new here.
    pub fn on_silence_reported(&mut self, now: Timestamp, report: &SilenceReport) -> bool {
        let SilenceReport { back_end, finding, age_ms } = report;
        let at = now.saturating_sub(Duration::from_millis(u64::from(*age_ms)));
        let transmissions = if self.relaying() == Relaying::All { TRANSMISSIONS } else { 0 };
        match finding {
            SilenceFinding::Answered => self.record_answered(back_end, at, transmissions),
            SilenceFinding::Silent if self.has_responded_since(back_end, at) => {
                self.contradict(back_end, at);
                false
            }
            SilenceFinding::Silent => self.record_silent(now, back_end, at, transmissions),
        }
    }

    /// Returns the number of back ends that are excluded because they are silent.
    pub fn silent_back_ends(&self, now: Timestamp) -> usize {
        self.silent.excluded(now).count()
    }

    /// Reports that this router has received something from a back end that a peer finds silent since
    /// `since`.
    fn contradict(&mut self, id: &BackEndId, since: Timestamp) {
        if let Some(engine) = self.engines.get(id) {
            self.silent.contradict(id, since, engine.last_response, TRANSMISSIONS);
        }
    }

    /// Returns this round's message with findings for peers, if there are any.
    pub(super) fn next_silence_reports(&mut self, now: Timestamp) -> Option<Outgoing> {
        let reports = self.silent.next_round(now, MAX_PER_MESSAGE);
        if reports.is_empty() {
            return None;
        }
        let draw = mixed_hash(now.as_micros(), self.fleet.tiebreak());
        let targets = self.gossip_targets(draw);
        Some(Outgoing { message: PeerMessage::Silence(reports), targets })
    }

    /// Records that the back end of a request goes on with its answer.
    pub(super) fn record_answering(&mut self, now: Timestamp, ticket: TicketId) {
        if self.silent.is_empty() {
            return;
        }
        let back_end = self.running.get(&ticket).map(|running| running.back_end.clone());
        if let Some(id) = back_end {
            self.record_answered(&id, now, TRANSMISSIONS);
        }
    }

    /// Returns whether a request should not be sent to a back end because it is silent. Only new
    /// requests serve as trials: one that was sent before would use up a retry, and might be read
    /// long after its deadline.
    pub(super) fn excludes_silent(&self, now: Timestamp, engine: &Engine, demand: &Demand) -> bool {
        let id = &engine.back_end.id;
        if self.silent.is_empty() {
            return false;
        }
        if !demand.tried.is_empty() {
            return self.silent.is_silent(id);
        }
        self.silent.is_excluded(now, id) && !self.is_silence_widespread(now, &demand.service)
    }

    fn is_silence_widespread(&self, now: Timestamp, service: &str) -> bool {
        let silent = self.silent.excluded(now).filter_map(|id| self.engines.get(id));
        let silent = silent.filter(|engine| engine.back_end.service == service).count();
        let ready = self.engines.ready(service).len();
        silent as f64 > ready as f64 * MAX_EXCLUDED_FRACTION
    }

    fn record_silent(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        since: Timestamp,
        transmissions: u32,
    ) -> bool {
        if self.engines.get(id).is_none() {
            return false;
        }
        let position = self.fleet.position_in_order(&EngineKey::from(id).to_bytes());
        let is_new = self.silent.on_silent(now, id, since, position);
        if is_new {
            self.silent.report(id, SilenceFinding::Silent, since, transmissions);
        }
        is_new
    }

    fn record_answered(&mut self, id: &BackEndId, at: Timestamp, transmissions: u32) -> bool {
        let was_silent = self.silent.on_answered(id, at);
        if was_silent {
            self.silent.report(id, SilenceFinding::Answered, at, transmissions);
        }
        was_silent
    }
}
