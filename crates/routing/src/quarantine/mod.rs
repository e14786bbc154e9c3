//! Quarantine of requests and parts of prompts that are suspected to crash back ends.
//!
//! When a back end terminates, any of the requests in flight on it, or any part of their prompts,
//! may be the cause: each is a [`Suspect`]. A suspect is quarantined after several incarnations
//! terminated under it without any that bore it in between; a bystander is soon borne elsewhere,
//! which clears it. One that is quarantined nevertheless is cleared by a probe, see [`probe_plan`].
//! Reports name the terminated incarnation and form a set that merges in any order, so repeated
//! reports count once.

mod combined;
mod messages;
mod probe_plan;
mod reporting;
mod survivals;
mod suspicion;

pub use messages::{ProbeSlot, QuarantineStatus, QuarantinedSuspect, Relaying, TerminationReport};

use crate::engine_key::EngineKey;
use crate::gossip::{GossipQueue, TRANSMISSIONS};
use crate::suspect::Suspect;
use mastbay_types::Timestamp;
use probe_plan::{Evidence, ProbePlan};
use std::collections::HashMap;
use std::time::Duration;
use survivals::Survivals;
use suspicion::{PROBE_WINDOW, Suspicion, Termination};

/// Settings of a [`Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Number of terminated incarnations after which a suspect is quarantined.
    pub ends: usize,
    /// Time for which a termination counts.
    pub period: Duration,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { ends: 3, period: Duration::from_secs(3_600) }
    }
}

/// Maximum number of tracked suspects. Beyond it, those with the fewest terminations are evicted
/// first, the oldest of them first.
const MAX_SUSPECTS: usize = 4_096;

/// Tracks suspects under which back ends terminated.
#[derive(Debug, Default)]
pub struct Quarantine {
    limits: QuarantineLimits,
    suspects: HashMap<Suspect, Suspicion>,
    /// Prompt parts that back ends are known to bear.
    survivals: Survivals,
    /// Updated with each change of the terminations.
    plan: ProbePlan,
    /// Terminations that are still to be reported to peers.
    pending_reports: GossipQueue<(Suspect, EngineKey)>,
    round: u64,
    /// Position of the next reminder among the quarantined suspects.
    reminder_offset: usize,
}

impl Quarantine {
    /// Creates a quarantine without any tracked suspect.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns whether no suspect is tracked.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the status of a suspect.
    pub fn status(&self, now: Timestamp, suspect: Suspect) -> QuarantineStatus {
        let Some(suspicion) = self.suspects.get(&suspect) else { return QuarantineStatus::Clear };
        if let Some(until) = suspicion.quarantined_until(now, &self.limits) {
            let left = until.since(now);
            let retry_after = self.until_probes(now, suspect, suspicion).min(left);
            return QuarantineStatus::Quarantined { left, retry_after };
        }
        match suspicion.counted(now).next() {
            Some(_) => QuarantineStatus::Suspect,
            None => QuarantineStatus::Clear,
        }
    }

    /// Returns the suspect whose turns decide which router may probe `suspect`: the suspect that
    /// explains it, or itself. Suspects with the same one are probed one at a time.
    pub fn probe_key(&self, suspect: Suspect) -> Suspect {
        self.plan.explained_by(suspect).unwrap_or(suspect)
    }

    /// Returns whether to let a quarantined suspect through as a probe, in this router's slot for
    /// its [`Self::probe_key`]. A probe that is served clears the suspect; a further termination
    /// delays the next probe unless other suspects explain it.
    pub fn take_probe(&mut self, now: Timestamp, suspect: Suspect, slot: ProbeSlot) -> bool {
        let suspicion = self.suspects.get(&suspect);
        let from = suspicion.and_then(|suspicion| self.probed_from(now, suspect, suspicion));
        let turns = self.suspects.get_mut(&self.probe_key(suspect));
        let (Some(from), Some(turns)) = (from, turns) else { return false };
        turns.take_probe(now, from, slot)
    }

    /// Returns from when a quarantined suspect may be probed.
    fn probed_from(
        &self,
        now: Timestamp,
        suspect: Suspect,
        suspicion: &Suspicion,
    ) -> Option<Timestamp> {
        match self.plan.explained_by(suspect) {
            Some(suspect) => self.suspects.get(&suspect)?.since,
            None => suspicion.probed_from(now, suspect, &self.limits),
        }
    }

    /// Returns the time until a quarantined suspect may be probed, at least one window.
    fn until_probes(&self, now: Timestamp, suspect: Suspect, suspicion: &Suspicion) -> Duration {
        let from = self.probed_from(now, suspect, suspicion).unwrap_or(now);
        from.since(now).max(PROBE_WINDOW)
    }

    /// Returns the number of terminations that count against a suspect.
    pub fn terminations(&self, now: Timestamp, suspect: Suspect) -> usize {
        self.suspects.get(&suspect).map_or(0, |suspicion| suspicion.counted(now).count())
    }

    /// Records that a back end terminated while a suspect of this router was in flight on it, unless
    /// others are known to bear the suspect. Returns the suspect if this quarantines it.
    pub fn on_termination(
        &mut self,
        now: Timestamp,
        back_end: EngineKey,
        suspect: Suspect,
    ) -> Option<QuarantinedSuspect> {
        if self.survivals.excuse(suspect, back_end) {
            return None;
        }
        let until = now + self.limits.period;
        self.merge(now, suspect, back_end, Termination { until, is_cleared: false }, TRANSMISSIONS)
    }

    /// Records that a back end has borne a suspect. This clears its terminations. Those of a prompt
    /// part that become known afterwards don't count either, at first.
    pub fn on_survival(&mut self, suspect: Suspect) {
        if suspect.is_prompt_part() {
            self.survivals.record(suspect);
        }
        self.clear(suspect);
    }

    /// Returns whether a back end is known to have borne a prompt part.
    pub fn has_survived(&self, part: Suspect) -> bool {
        self.survivals.contains(part)
    }

    /// Returns whether the termination of a back end counts against any prompt part.
    pub fn is_attributed(&self, back_end: EngineKey) -> bool {
        let mut parts = self.suspects.iter().filter(|(suspect, _)| suspect.is_prompt_part());
        parts.any(|(_, suspicion)| suspicion.uncleared().any(|terminated| terminated == back_end))
    }

    /// Clears all terminations of a suspect that was served, or whose quarantine an operator lifts.
    pub fn clear(&mut self, suspect: Suspect) {
        let Some(suspicion) = self.suspects.get_mut(&suspect) else { return };
        let was_evidence = suspicion.has_evidence(&self.limits);
        let pending = &mut self.pending_reports;
        for (back_end, termination) in
            suspicion.terminations.iter_mut().filter(|(_, known)| !known.is_cleared)
        {
            termination.is_cleared = true;
            pending.push((suspect, *back_end), TRANSMISSIONS);
        }
        if was_evidence {
            self.update_plan();
        }
    }

    /// Merges reports of another router. Returns the suspects that this quarantines.
    pub fn on_reports(
        &mut self,
        now: Timestamp,
        reports: &[TerminationReport],
        relaying: Relaying,
    ) -> Vec<QuarantinedSuspect> {
        let transmissions = if relaying == Relaying::All { TRANSMISSIONS } else { 0 };
        let merged = reports.iter().filter_map(|report| {
            let counts_for = Duration::from_millis(report.counts_for_ms.into());
            let until = now + counts_for.min(self.limits.period);
            let termination = Termination { until, is_cleared: report.is_cleared };
            self.merge(now, report.suspect, report.back_end, termination, transmissions)
        });
        merged.collect()
    }

    /// Merges an entry of an archive of quarantined suspects. Returns whether the suspect was not
    /// quarantined before.
    pub fn on_listed(&mut self, now: Timestamp, listed: &QuarantinedSuspect) -> bool {
        let mut is_new = false;
        for back_end in &listed.back_ends {
            let until = now + listed.left.min(self.limits.period);
            let termination = Termination { until, is_cleared: false };
            is_new |=
                self.merge(now, listed.suspect, *back_end, termination, TRANSMISSIONS).is_some();
        }
        is_new
    }

    /// Returns the quarantined suspects, sorted by fingerprint.
    pub fn quarantined(&self, now: Timestamp) -> Vec<QuarantinedSuspect> {
        let all = self.suspects.iter();
        let mut quarantined: Vec<QuarantinedSuspect> = all
            .filter_map(|(suspect, suspicion)| self.as_quarantined(now, *suspect, suspicion))
            .collect();
        quarantined.sort_unstable_by_key(|quarantined| quarantined.suspect);
        quarantined
    }

    /// Removes terminations that no longer count.
    pub fn expire(&mut self, now: Timestamp) {
        for suspicion in self.suspects.values_mut() {
            suspicion.terminations.retain(|_, termination| termination.until > now);
        }
        self.suspects.retain(|_, suspicion| !suspicion.terminations.is_empty());
        self.update_plan();
    }

    /// Determines again which quarantined suspects are explained by others.
    fn update_plan(&mut self) {
        let all = self.suspects.iter();
        let quarantined = all.filter(|(_, suspicion)| suspicion.has_evidence(&self.limits));
        let evidence = quarantined.map(|(suspect, suspicion)| -> Evidence {
            (*suspect, suspicion.uncleared().collect())
        });
        self.plan = ProbePlan::new(evidence.collect());
    }

    /// Merges one termination; a cleared state overrides an uncleared one. Returns the suspect if
    /// this quarantines it.
    fn merge(
        &mut self,
        now: Timestamp,
        suspect: Suspect,
        back_end: EngineKey,
        termination: Termination,
        transmissions: u32,
    ) -> Option<QuarantinedSuspect> {
        if termination.until <= now {
            return None;
        }
        self.evict_for(&suspect);
        let limits = self.limits;
        let suspicion = self.suspects.entry(suspect).or_default();
        let was_quarantined = suspicion.quarantined_until(now, &limits).is_some();
        let had_evidence = suspicion.has_evidence(&limits);
        let known = suspicion.terminations.get(&back_end).copied();
        if known.is_some_and(|known| known.is_cleared && !termination.is_cleared) {
            // The sender has missed that the termination was cleared.
            self.pending_reports.push((suspect, back_end), 1);
            return None;
        }
        if known.is_some_and(|known| known.is_cleared == termination.is_cleared) {
            return None;
        }
        // This router knows that back ends bear the suspect, and tells the sender.
        let is_excused = !termination.is_cleared && self.survivals.excuse(suspect, back_end);
        let transmissions = transmissions.max(u32::from(is_excused));
        let is_cleared = termination.is_cleared || is_excused;
        let until = known.map_or(termination.until, |known| known.until);
        suspicion.terminations.insert(back_end, Termination { until, is_cleared });
        let is_plan_affected = had_evidence || suspicion.has_evidence(&limits);
        self.pending_reports.push((suspect, back_end), transmissions);
        if is_plan_affected {
            self.update_plan();
        }
        let quarantined = self.as_quarantined(now, suspect, self.suspects.get(&suspect)?)?;
        if let Some(suspicion) = self.suspects.get_mut(&suspect).filter(|_| !is_cleared) {
            suspicion.since = Some(now);
            suspicion.probed = None;
        }
        Some(quarantined).filter(|_| !was_quarantined)
    }

    fn as_quarantined(
        &self,
        now: Timestamp,
        suspect: Suspect,
        suspicion: &Suspicion,
    ) -> Option<QuarantinedSuspect> {
        let until = suspicion.quarantined_until(now, &self.limits)?;
        let back_ends = suspicion.counted(now).map(|(back_end, _)| *back_end).collect();
        Some(QuarantinedSuspect { suspect, back_ends, left: until.since(now) })
    }

    /// Evicts a suspect if tracking `new` would exceed the maximum.
    fn evict_for(&mut self, new: &Suspect) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(new) {
            return;
        }
        let priority = |suspicion: &Suspicion| (suspicion.uncleared().count(), suspicion.latest());
        let lowest = self.suspects.iter().min_by_key(|(_, suspicion)| priority(suspicion));
        let lowest = lowest.map(|(suspect, _)| *suspect);
        let evicted = lowest.and_then(|suspect| self.suspects.remove(&suspect));
        if evicted.is_some_and(|suspicion| suspicion.has_evidence(&self.limits)) {
            self.update_plan();
        }
    }
}
