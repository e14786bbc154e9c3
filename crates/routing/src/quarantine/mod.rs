//! Quarantine of requests that are suspected to crash back ends.
//!
//! When a back end terminates, any of the requests in flight on it may be the cause. A request is
//! quarantined after several incarnations terminated under it without it being served in between; a
//! bystander is soon served elsewhere, which clears it. One that is quarantined nevertheless is
//! cleared by a probe, see [`probe_plan`]. Reports name the terminated incarnation and
//! form a set that merges in any order, so repeated reports count once.

mod messages;
mod probe_plan;
mod reporting;
mod suspicion;

pub use messages::{ProbeSlot, QuarantineStatus, QuarantinedRequest, Relaying, TerminationReport};

use crate::engine_key::EngineKey;
use crate::fingerprint::RequestFingerprint;
use crate::gossip::{GossipQueue, TRANSMISSIONS};
use mastbay_types::Timestamp;
use probe_plan::{Evidence, ProbePlan};
use std::collections::HashMap;
use std::time::Duration;
use suspicion::{PROBE_WINDOW, Suspicion, Termination};

/// Settings of a [`Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Number of terminated incarnations after which a request is quarantined.
    pub ends: usize,
    /// Time for which a termination counts.
    pub period: Duration,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { ends: 3, period: Duration::from_secs(3_600) }
    }
}

/// Maximum number of tracked requests. Beyond it, those with the fewest terminations are evicted
/// first, the oldest of them first.
const MAX_REQUESTS: usize = 4_096;

/// Tracks requests under which back ends terminated.
#[derive(Debug, Default)]
pub struct Quarantine {
    limits: QuarantineLimits,
    requests: HashMap<RequestFingerprint, Suspicion>,
    /// Updated with each change of the terminations.
    plan: ProbePlan,
    /// Terminations that are still to be reported to peers.
    pending_reports: GossipQueue<(RequestFingerprint, EngineKey)>,
    round: u64,
    /// Position of the next reminder among the quarantined requests.
    reminder_offset: usize,
}

impl Quarantine {
    /// Creates a quarantine without any tracked request.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the status of a request.
    pub fn status(&self, now: Timestamp, request: RequestFingerprint) -> QuarantineStatus {
        let Some(suspicion) = self.requests.get(&request) else { return QuarantineStatus::Clear };
        if let Some(until) = suspicion.quarantined_until(now, &self.limits) {
            let left = until.since(now);
            let retry_after = self.until_probes(now, request, suspicion).min(left);
            return QuarantineStatus::Quarantined { left, retry_after };
        }
        match suspicion.counted(now).next() {
            Some(_) => QuarantineStatus::Suspect,
            None => QuarantineStatus::Clear,
        }
    }

    /// Returns the request whose turns decide which router may probe `request`: the suspect that
    /// explains it, or itself. Requests with the same one are probed one at a time.
    pub fn probe_key(&self, request: RequestFingerprint) -> RequestFingerprint {
        self.plan.explained_by(request).unwrap_or(request)
    }

    /// Returns whether to let a quarantined request through as a probe, in this router's slot for
    /// its [`Self::probe_key`]. A probe that is served clears the request; a further termination
    /// delays the next probe unless other requests explain it.
    pub fn take_probe(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        slot: ProbeSlot,
    ) -> bool {
        let suspicion = self.requests.get(&request);
        let from = suspicion.and_then(|suspicion| self.probed_from(now, request, suspicion));
        let turns = self.requests.get_mut(&self.probe_key(request));
        let (Some(from), Some(turns)) = (from, turns) else { return false };
        turns.take_probe(now, from, slot)
    }

    /// Returns from when a quarantined request may be probed.
    fn probed_from(
        &self,
        now: Timestamp,
        request: RequestFingerprint,
        suspicion: &Suspicion,
    ) -> Option<Timestamp> {
        match self.plan.explained_by(request) {
            Some(suspect) => self.requests.get(&suspect)?.since,
            None => suspicion.probed_from(now, &self.limits),
        }
    }

    /// Returns the time until a quarantined request may be probed, at least one window.
    fn until_probes(
        &self,
        now: Timestamp,
        request: RequestFingerprint,
        suspicion: &Suspicion,
    ) -> Duration {
        let from = self.probed_from(now, request, suspicion).unwrap_or(now);
        from.since(now).max(PROBE_WINDOW)
    }

    /// Returns the number of terminations that count against a request.
    pub fn terminations(&self, now: Timestamp, request: RequestFingerprint) -> usize {
        self.requests.get(&request).map_or(0, |suspicion| suspicion.counted(now).count())
    }

    /// Records that a back end terminated while a request of this router was in flight on it.
    /// Returns the request if this quarantines it.
    pub fn on_termination(
        &mut self,
        now: Timestamp,
        back_end: EngineKey,
        request: RequestFingerprint,
    ) -> Option<QuarantinedRequest> {
        let until = now + self.limits.period;
        self.merge(now, request, back_end, Termination { until, is_cleared: false }, TRANSMISSIONS)
    }

    /// Clears all terminations of a request that was served, or whose quarantine an operator lifts.
    pub fn clear(&mut self, request: RequestFingerprint) {
        let Some(suspicion) = self.requests.get_mut(&request) else { return };
        let was_evidence = suspicion.has_evidence(&self.limits);
        let pending = &mut self.pending_reports;
        for (back_end, termination) in
            suspicion.terminations.iter_mut().filter(|(_, known)| !known.is_cleared)
        {
            termination.is_cleared = true;
            pending.push((request, *back_end), TRANSMISSIONS);
        }
        if was_evidence {
            self.update_plan();
        }
    }

    /// Merges reports of another router. Returns the requests that this quarantines.
    pub fn on_reports(
        &mut self,
        now: Timestamp,
        reports: &[TerminationReport],
        relaying: Relaying,
    ) -> Vec<QuarantinedRequest> {
        let transmissions = if relaying == Relaying::All { TRANSMISSIONS } else { 0 };
        let merged = reports.iter().filter_map(|report| {
            let counts_for = Duration::from_millis(report.counts_for_ms.into());
            let until = now + counts_for.min(self.limits.period);
            let termination = Termination { until, is_cleared: report.is_cleared };
            self.merge(now, report.request, report.back_end, termination, transmissions)
        });
        merged.collect()
    }

    /// Merges an entry of an archive of quarantined requests. Returns whether the request was not
    /// quarantined before.
    pub fn on_listed(&mut self, now: Timestamp, listed: &QuarantinedRequest) -> bool {
        let mut is_new = false;
        for back_end in &listed.back_ends {
            let until = now + listed.left.min(self.limits.period);
            let termination = Termination { until, is_cleared: false };
            is_new |=
                self.merge(now, listed.request, *back_end, termination, TRANSMISSIONS).is_some();
        }
        is_new
    }

    /// Returns the quarantined requests, sorted by fingerprint.
    pub fn quarantined(&self, now: Timestamp) -> Vec<QuarantinedRequest> {
        let all = self.requests.iter();
        let mut quarantined: Vec<QuarantinedRequest> = all
            .filter_map(|(request, suspicion)| self.as_quarantined(now, *request, suspicion))
            .collect();
        quarantined.sort_unstable_by_key(|quarantined| quarantined.request);
        quarantined
    }

    /// Removes terminations that no longer count.
    pub fn expire(&mut self, now: Timestamp) {
        for suspicion in self.requests.values_mut() {
            suspicion.terminations.retain(|_, termination| termination.until > now);
        }
        self.requests.retain(|_, suspicion| !suspicion.terminations.is_empty());
        self.update_plan();
    }

    /// Determines again which quarantined requests are explained by others.
    fn update_plan(&mut self) {
        let all = self.requests.iter();
        let quarantined = all.filter(|(_, suspicion)| suspicion.has_evidence(&self.limits));
        let evidence = quarantined.map(|(request, suspicion)| -> Evidence {
            (*request, suspicion.uncleared().collect())
        });
        self.plan = ProbePlan::new(evidence.collect());
    }

    /// Merges one termination; a cleared state overrides an uncleared one. Returns the request if
    /// this quarantines it.
    fn merge(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        back_end: EngineKey,
        termination: Termination,
        transmissions: u32,
    ) -> Option<QuarantinedRequest> {
        if termination.until <= now {
            return None;
        }
        self.evict_for(&request);
        let limits = self.limits;
        let suspicion = self.requests.entry(request).or_default();
        let was_quarantined = suspicion.quarantined_until(now, &limits).is_some();
        let had_evidence = suspicion.has_evidence(&limits);
        let known = suspicion.terminations.get(&back_end).copied();
        if known.is_some_and(|known| known.is_cleared && !termination.is_cleared) {
            // The sender has missed that the termination was cleared.
            self.pending_reports.push((request, back_end), 1);
            return None;
        }
        if known.is_some_and(|known| known.is_cleared == termination.is_cleared) {
            return None;
        }
        let until = known.map_or(termination.until, |known| known.until);
        suspicion.terminations.insert(back_end, Termination { until, ..termination });
        let is_plan_affected = had_evidence || suspicion.has_evidence(&limits);
        self.pending_reports.push((request, back_end), transmissions);
        if is_plan_affected {
            self.update_plan();
        }
        let quarantined = self.as_quarantined(now, request, self.requests.get(&request)?)?;
        if let Some(suspicion) = self.requests.get_mut(&request).filter(|_| !termination.is_cleared)
        {
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

    /// Evicts a request if tracking `new` would exceed the maximum.
    fn evict_for(&mut self, new: &RequestFingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(new) {
            return;
        }
        let priority = |suspicion: &Suspicion| (suspicion.uncleared().count(), suspicion.latest());
        let lowest = self.requests.iter().min_by_key(|(_, suspicion)| priority(suspicion));
        let lowest = lowest.map(|(request, _)| *request);
        let evicted = lowest.and_then(|request| self.requests.remove(&request));
        if evicted.is_some_and(|suspicion| suspicion.has_evidence(&self.limits)) {
            self.update_plan();
        }
    }
}
