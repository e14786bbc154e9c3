//! What a router must not take for new after it stood still: its machine was suspended or frozen, or it got no processor time.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Time without a turn that counts as a standstill. Turns are 20 ms apart; a router with too much to do is late by less as a rule.
const SHORTEST: Duration = Duration::from_secs(1);
/// Time after a standstill in which what is read may have come during it.
const AFTERMATH: Duration = Duration::from_millis(150);
/// Longest time for which requests wait after a standstill for news of what changed meanwhile: a failed call and another.
const LONGEST_WAIT_FOR_NEWS: Duration = Duration::from_millis(600);

/// A time in which the router did nothing.
#[derive(Debug, Clone, Copy)]
struct Standstill {
    began: Timestamp,
    ended: Timestamp,
}

/// Notices standstills by the time between two turns.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    last_turn: Timestamp,
    last: Option<Standstill>,
    heard: Timestamp,
}

impl StallDetector {
    /// The router takes a turn. Gives for how long it stood still, if it did.
    pub fn on_tick(&mut self, now: Timestamp) -> Option<Duration> {
        let began = std::mem::replace(&mut self.last_turn, now);
        let lasted = now.since(began);
        if lasted < SHORTEST {
            return None;
        }
        self.last = Some(Standstill { began, ended: now });
        Some(lasted)
    }

    /// A peer or a source was heard.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.heard = now;
    }

    /// When something that is read now came at the earliest: it may have lain there while the router stood still.
    pub fn earliest_arrival(&self, now: Timestamp) -> Timestamp {
        match self.current(now) {
            Some(standstill) if now.since(standstill.ended) <= AFTERMATH => standstill.began,
            _ => now,
        }
    }

    /// Whether the router stood still for longer than `bound` a moment ago, so that what it knows of versions may be too old.
    pub fn may_be_outdated(&self, now: Timestamp, bound: Duration) -> bool {
        self.current(now).is_some_and(|standstill| {
            standstill.ended.since(standstill.began) > bound
                && now.since(standstill.ended) < LONGEST_WAIT_FOR_NEWS
        })
    }

    /// Whether a peer or a source was heard after the last standstill. What is read right after it was sent during it.
    pub fn has_contact_since_stall(&self, now: Timestamp) -> bool {
        self.current(now).is_none_or(|standstill| self.heard > standstill.ended + AFTERMATH)
    }

    /// The last standstill, also one that no turn has noticed yet.
    fn current(&self, now: Timestamp) -> Option<Standstill> {
        if now.since(self.last_turn) >= SHORTEST {
            return Some(Standstill { began: self.last_turn, ended: now });
        }
        self.last
    }
}
