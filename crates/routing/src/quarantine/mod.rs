//! Requests under which back ends ended, and those of them that are sent to no further one.
//!
//! Up to a whole back end's slots of requests are under way where one ends, and any of them may have ended it. A request is held to
//! have done so once several lives of back ends ended under it and it was never served to its end in between: one that only happened
//! to be there is served elsewhere, which clears it. Reports of ends are sets that merge in any order and name the life that ended, so
//! that no end counts twice, however often and by whomever it is told.

mod messages;
mod reporting;
mod suspicion;

pub use messages::{ProbeSlot, QuarantineStatus, QuarantinedRequest, Relaying, TerminationReport};

use crate::fingerprint::RequestFingerprint;
use crate::gossip::{GossipQueue, TRANSMISSIONS};
use crate::load_stats::EngineKey;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;
use suspicion::{End, Suspicion};

/// Settings of a [`Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Lives of back ends that end under a request before it is quarantined.
    pub ends: usize,
    /// Time for which an end counts.
    pub period: Duration,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { ends: 3, period: Duration::from_secs(3_600) }
    }
}

/// Requests that are remembered; past this, those with the fewest ends are forgotten first, then the oldest. A back end that ends adds
/// as many as it had slots.
const MOST_REQUESTS: usize = 4_096;
/// What a router knows of requests under which back ends ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    limits: QuarantineLimits,
    requests: HashMap<RequestFingerprint, Suspicion>,
    /// Ends that are still to be told to others.
    news: GossipQueue<(RequestFingerprint, EngineKey)>,
    round: u64,
    reminded: usize,
}

impl Quarantine {
    /// Nothing is known yet.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Whether nothing speaks against any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What is known of a request.
    pub fn status(&self, now: Timestamp, request: RequestFingerprint) -> QuarantineStatus {
        let Some(suspicion) = self.requests.get(&request) else { return QuarantineStatus::Clear };
        if let Some(until) = suspicion.quarantined_until(now, &self.limits) {
            let left = until.since(now);
            let retry_after = suspicion.until_probes(now, &self.limits).min(left);
            return QuarantineStatus::Quarantined { left, retry_after };
        }
        match suspicion.counted(now).next() {
            Some(_) => QuarantineStatus::Suspect,
            None => QuarantineStatus::Clear,
        }
    }

    /// Lets a quarantined request through once in this router's turn. One that only happened to be where back ends ended is served and
    /// cleared by that; one that ends a further back end is probed again after a long pause only.
    pub fn take_probe(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        turn: ProbeSlot,
    ) -> bool {
        let suspicion = self.requests.get_mut(&request);
        suspicion.is_some_and(|suspicion| suspicion.take_probe(now, &self.limits, turn))
    }

    /// Ends that count against a request.
    pub fn terminations(&self, now: Timestamp, request: RequestFingerprint) -> usize {
        self.requests.get(&request).map_or(0, |suspicion| suspicion.counted(now).count())
    }

    /// A back end ended under a request of this router. Gives the request if it is quarantined by that.
    pub fn on_termination(
        &mut self,
        now: Timestamp,
        back_end: EngineKey,
        request: RequestFingerprint,
    ) -> Option<QuarantinedRequest> {
        let until = now + self.limits.period;
        self.merge(now, request, back_end, End { until, is_cleared: false }, TRANSMISSIONS)
    }

    /// A request was served to its end, so no end before that was its doing; or an operator lifts its quarantine.
    pub fn clear(&mut self, request: RequestFingerprint) {
        let Some(suspicion) = self.requests.get_mut(&request) else { return };
        let news = &mut self.news;
        for (back_end, end) in suspicion.ends.iter_mut().filter(|(_, end)| !end.is_cleared) {
            end.is_cleared = true;
            news.push((request, *back_end), TRANSMISSIONS);
        }
    }

    /// Another router reports ends. Gives the requests that are quarantined by that.
    pub fn on_reports(
        &mut self,
        now: Timestamp,
        reports: &[TerminationReport],
        relaying: Relaying,
    ) -> Vec<QuarantinedRequest> {
        let tellings = if relaying == Relaying::All { TRANSMISSIONS } else { 0 };
        let merged = reports.iter().filter_map(|report| {
            let counts_for = Duration::from_millis(report.counts_for_ms.into());
            let until = now + counts_for.min(self.limits.period);
            let end = End { until, is_cleared: report.is_cleared };
            self.merge(now, report.request, report.back_end, end, tellings)
        });
        merged.collect()
    }

    /// An archive lists a request as quarantined. Gives whether that was news.
    pub fn on_listed(&mut self, now: Timestamp, listed: &QuarantinedRequest) -> bool {
        let mut is_news = false;
        for back_end in &listed.back_ends {
            let until = now + listed.left.min(self.limits.period);
            let end = End { until, is_cleared: false };
            is_news |= self.merge(now, listed.request, *back_end, end, TRANSMISSIONS).is_some();
        }
        is_news
    }

    /// The requests that are quarantined.
    pub fn quarantined(&self, now: Timestamp) -> Vec<QuarantinedRequest> {
        let all = self.requests.iter();
        let mut quarantined: Vec<QuarantinedRequest> = all
            .filter_map(|(request, suspicion)| self.as_quarantined(now, *request, suspicion))
            .collect();
        quarantined.sort_unstable_by_key(|quarantined| quarantined.request);
        quarantined
    }

    /// Forgets ends that no longer count.
    pub fn expire(&mut self, now: Timestamp) {
        for suspicion in self.requests.values_mut() {
            suspicion.ends.retain(|_, end| end.until > now);
        }
        self.requests.retain(|_, suspicion| !suspicion.ends.is_empty());
    }

    /// Takes what is known of one end. That it was cleared holds against all else. Gives the request if it is quarantined by that.
    fn merge(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        back_end: EngineKey,
        end: End,
        tellings: u32,
    ) -> Option<QuarantinedRequest> {
        if end.until <= now {
            return None;
        }
        self.make_room(&request);
        let limits = self.limits;
        let suspicion = self.requests.entry(request).or_default();
        let was_quarantined = suspicion.quarantined_until(now, &limits).is_some();
        let known = suspicion.ends.get(&back_end).copied();
        if known.is_some_and(|known| known.is_cleared && !end.is_cleared) {
            // Whoever tells this has missed that it was cleared.
            self.news.push((request, back_end), 1);
            return None;
        }
        if known.is_some_and(|known| known.is_cleared == end.is_cleared) {
            return None;
        }
        let until = known.map_or(end.until, |known| known.until);
        suspicion.ends.insert(back_end, End { until, ..end });
        self.news.push((request, back_end), tellings);
        let quarantined = self.as_quarantined(now, request, self.requests.get(&request)?)?;
        if let Some(suspicion) = self.requests.get_mut(&request).filter(|_| !end.is_cleared) {
            suspicion.since = Some(now);
            suspicion.probed = None;
        }
        Some(quarantined).filter(|_| !was_quarantined)
    }

    fn as_quarantined(
        &self,
        now: Timestamp,
        request: RequestFingerprint,
        suspicion: &Suspicion,
    ) -> Option<QuarantinedRequest> {
        let until = suspicion.quarantined_until(now, &self.limits)?;
        let back_ends = suspicion.counted(now).map(|(back_end, _)| *back_end).collect();
        Some(QuarantinedRequest { request, back_ends, left: until.since(now) })
    }

    /// Forgets the request that matters least, if one more would be too many.
    fn make_room(&mut self, coming: &RequestFingerprint) {
        if self.requests.len() < MOST_REQUESTS || self.requests.contains_key(coming) {
            return;
        }
        let worth = |suspicion: &Suspicion| {
            let counted = suspicion.ends.values().filter(|end| !end.is_cleared).count();
            (counted, suspicion.latest())
        };
        let least = self.requests.iter().min_by_key(|(_, suspicion)| worth(suspicion));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }
}
