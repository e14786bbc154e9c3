//! What is known of one request under which back ends ended, and when it may be probed.

use super::{ProbeSlot, QuarantineLimits};
use crate::load_stats::EngineKey;
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Time in which one router of the fleet may probe a quarantined request, one after the other in an order that all know. It is long
/// enough for all to hear what came of the probe before.
const PROBE_WINDOW: Duration = Duration::from_millis(1_200);
/// Time after the first end beyond those that quarantine a request in which it isn't probed; ten times as long after each further one. A probe may be
/// where a back end ends by another's doing: without a further one an innocent request stayed out for the whole period (soak, two of 17 seeds).
const PROBE_PAUSE: Duration = Duration::from_secs(30);
/// Part of the window in which a probe may begin: routers learn of a quarantine some tenths of a second apart.
const PROBE_OPEN: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(700);

/// An end that counts or was cleared.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Until when it counts.
    pub until: Timestamp,
    /// Whether the request was served to its end since.
    pub is_cleared: bool,
}

/// What is known of one request.
#[derive(Debug, Default)]
pub struct Suspicion {
    /// The lives of back ends that ended under it.
    pub ends: BTreeMap<EngineKey, End>,
    /// When this router learned of the last end that quarantines it, or came on top.
    pub since: Option<Timestamp>,
    /// The window in which this router probed it last.
    pub probed: Option<u64>,
}

impl Suspicion {
    /// The ends that count.
    pub fn counted(&self, now: Timestamp) -> impl Iterator<Item = (&EngineKey, &End)> {
        self.ends.iter().filter(move |(_, end)| !end.is_cleared && end.until > now)
    }

    /// Until when the limit is reached, if it is.
    pub fn quarantined_until(
        &self,
        now: Timestamp,
        limits: &QuarantineLimits,
    ) -> Option<Timestamp> {
        let mut until: Vec<Timestamp> = self.counted(now).map(|(_, end)| end.until).collect();
        until.sort_unstable_by(|left, right| right.cmp(left));
        until.get(limits.ends.max(1) - 1).copied()
    }

    /// When it may be probed from, if it is quarantined.
    fn probed_from(&self, now: Timestamp, limits: &QuarantineLimits) -> Option<Timestamp> {
        let further_ends = self.counted(now).count().saturating_sub(limits.ends);
        Some(self.since? + probe_pause(further_ends))
    }

    /// Time until it may be probed, one window at least.
    pub fn until_probes(&self, now: Timestamp, limits: &QuarantineLimits) -> Duration {
        let from = self.probed_from(now, limits).unwrap_or(now);
        from.since(now).max(PROBE_WINDOW)
    }

    /// The last moment at which any of its ends counts.
    pub fn latest(&self) -> Timestamp {
        self.ends.values().map(|end| end.until).max().unwrap_or_default()
    }

    /// Takes this router's turn to probe it, if that is now.
    pub fn take_probe(
        &mut self,
        now: Timestamp,
        limits: &QuarantineLimits,
        turn: ProbeSlot,
    ) -> bool {
        let from = self.probed_from(now, limits);
        let Some(from) = from.filter(|from| *from <= now) else { return false };
        let waited = now.since(from);
        let window = (waited.as_micros() / PROBE_WINDOW.as_micros()) as u64;
        let into_window = waited - PROBE_WINDOW * u32::try_from(window).unwrap_or(u32::MAX);
        let is_turn = window % turn.routers.max(1) == turn.index;
        if !is_turn || !PROBE_OPEN.contains(&into_window) || self.probed == Some(window) {
            return false;
        }
        self.probed = Some(window);
        true
    }
}

/// Time without a probe after so many ends beyond those that quarantine a request.
fn probe_pause(further_ends: usize) -> Duration {
    match u32::try_from(further_ends) {
        Ok(0) => Duration::ZERO,
        Ok(further) => PROBE_PAUSE.saturating_mul(10_u32.saturating_pow(further - 1)),
        // More ends than any period holds.
        Err(_) => PROBE_PAUSE.saturating_mul(u32::MAX),
    }
}
