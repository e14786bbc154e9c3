//! Terminations under one suspect, and when the suspect may be probed.

use super::{ProbeSlot, QuarantineLimits};
use crate::engine_key::EngineKey;
use crate::suspect::Suspect;
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Time in which one router may probe a quarantined suspect, or one of those that share its turns.
/// Routers take turns in a common order; a window is long enough for all of them to learn the
/// outcome of the previous probe.
pub const PROBE_WINDOW: Duration = Duration::from_millis(1_200);
/// Time without probes after the first termination beyond the limit; ten times as long after each
/// further one. The first is short because a probe may coincide with an unrelated termination, and
/// without a further probe an innocent suspect stayed quarantined for the whole period.
const PROBE_BACKOFF: Duration = Duration::from_secs(30);
/// Range within a window in which a probe may start. The margins cover the delay with which routers
/// learn of a quarantine.
const PROBE_START: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(700);

/// Termination of a back end while a suspect was in flight.
#[derive(Debug, Clone, Copy)]
pub struct Termination {
    /// Until when it counts against the suspect.
    pub until: Timestamp,
    /// Whether the suspect has been served since.
    pub is_cleared: bool,
}

/// Terminations under one suspect.
#[derive(Debug, Default)]
pub struct Suspicion {
    /// Terminations by incarnation.
    pub terminations: BTreeMap<EngineKey, Termination>,
    /// When this router learned of the last termination that quarantined the suspect or came later.
    pub since: Option<Timestamp>,
    /// Window in which this router last probed the suspect.
    pub probed: Option<u64>,
}

impl Suspicion {
    /// Returns the terminations that count against the suspect.
    pub fn counted(&self, now: Timestamp) -> impl Iterator<Item = (&EngineKey, &Termination)> {
        self.terminations.iter().filter(move |(_, known)| !known.is_cleared && known.until > now)
    }

    /// Returns until when the suspect is quarantined, or `None` if it is not.
    pub fn quarantined_until(
        &self,
        now: Timestamp,
        limits: &QuarantineLimits,
    ) -> Option<Timestamp> {
        let mut until: Vec<Timestamp> = self.counted(now).map(|(_, known)| known.until).collect();
        until.sort_unstable_by(|left, right| right.cmp(left));
        until.get(limits.ends.max(1) - 1).copied()
    }

    /// Returns the incarnations whose termination is not cleared.
    pub fn uncleared(&self) -> impl Iterator<Item = EngineKey> {
        self.terminations.iter().filter(|(_, known)| !known.is_cleared).map(|(key, _)| *key)
    }

    /// Returns whether enough terminations count against the suspect to quarantine it.
    pub fn has_evidence(&self, limits: &QuarantineLimits) -> bool {
        self.uncleared().count() >= limits.ends.max(1)
    }

    /// Returns from when `suspect`, whose terminations these are, may be probed if nothing else
    /// explains them. A prompt part waits as if it had been probed once: other requests with a
    /// sound one soon prove it so without a probe.
    pub fn probed_from(
        &self,
        now: Timestamp,
        suspect: Suspect,
        limits: &QuarantineLimits,
    ) -> Option<Timestamp> {
        let excess = self.counted(now).count().saturating_sub(limits.ends);
        let probes = excess + usize::from(suspect.is_prompt_part());
        Some(self.since? + probe_backoff(probes))
    }

    /// Returns the time at which the last termination stops counting.
    pub fn latest(&self) -> Timestamp {
        self.terminations.values().map(|known| known.until).max().unwrap_or_default()
    }

    /// Returns whether this router may start a probe now, and marks its window as used. The windows
    /// begin at `from`.
    pub fn take_probe(&mut self, now: Timestamp, from: Timestamp, slot: ProbeSlot) -> bool {
        if now < from {
            return false;
        }
        let waited = now.since(from);
        let window = (waited.as_micros() / PROBE_WINDOW.as_micros()) as u64;
        let into_window = waited - PROBE_WINDOW * u32::try_from(window).unwrap_or(u32::MAX);
        let is_own_window = window % slot.routers.max(1) == slot.index;
        if !is_own_window || !PROBE_START.contains(&into_window) || self.probed == Some(window) {
            return false;
        }
        self.probed = Some(window);
        true
    }
}

/// Returns the time without probes after a number of terminations beyond the limit.
fn probe_backoff(excess: usize) -> Duration {
    match u32::try_from(excess) {
        Ok(0) => Duration::ZERO,
        Ok(excess) => PROBE_BACKOFF.saturating_mul(10_u32.saturating_pow(excess - 1)),
        // Longer than any quarantine period.
        Err(_) => PROBE_BACKOFF.saturating_mul(u32::MAX),
    }
}
