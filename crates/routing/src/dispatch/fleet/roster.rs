//! The routers among which duties are shared out by rendezvous.
//!
//! Silence alone removes nobody soon: a router that is cut off from this one may well go on, and if each side took
//! over the other's duties they would be done twice.

use super::{Fleet, STATS_TTL};
use crate::digest::{RouterPhase, RouterState};
use crate::load_stats::EngineKey;
use mastbay_types::{Timestamp, stable_hash};
use std::time::Duration;

/// Silence after which a router no longer counts.
const ROSTER_TTL: Duration = Duration::from_secs(600);
/// Time after its start in which a router takes no duty: when a whole fleet starts, all know each other by then.
const STARTUP_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Part of the fleet, as large as any router knows it, that a router must know to take a duty.
const MIN_KNOWN_FRACTION: f64 = 0.9;

/// A router that takes part in sharing duties out.
#[derive(Debug, Clone, Copy)]
pub struct RosterEntry {
    last_seen: Timestamp,
    /// Its place among equals.
    tiebreak: u64,
}

impl Fleet {
    /// Number of routers among which duties are shared out, this one included.
    pub fn roster_size(&self) -> usize {
        1 + self.roster.len()
    }

    /// Whether this router is among the first `count` in rendezvous order for an engine. One that knows too few of
    /// the others, or hears none of them, is not: it cannot tell.
    pub fn is_among_first(&self, now: Timestamp, engine: EngineKey, count: usize) -> bool {
        if !self.knows_roster(now) {
            return false;
        }
        let mine = (engine.rank(self.tiebreak), self.me.address);
        let ranks =
            self.roster.iter().map(|(address, entry)| (engine.rank(entry.tiebreak), *address));
        ranks.filter(|rank| *rank > mine).take(count).count() < count
    }

    /// A router was heard, directly.
    pub(super) fn update_roster(&mut self, now: Timestamp, state: &RouterState, tiebreak: u64) {
        if state.phase == RouterPhase::Leaving {
            self.roster.remove(&state.id.address);
        } else {
            self.roster.insert(state.id.address, RosterEntry { last_seen: now, tiebreak });
        }
    }

    pub(super) fn expire_roster(&mut self, now: Timestamp) {
        self.roster.retain(|_, entry| now.since(entry.last_seen) <= ROSTER_TTL);
    }

    fn knows_roster(&self, now: Timestamp) -> bool {
        if self.roster.is_empty() {
            return !self.has_seeds;
        }
        let is_settled = now.since(Timestamp::ZERO) >= STARTUP_GRACE_PERIOD;
        let knows_most = self.roster_size() as f64 >= self.size() as f64 * MIN_KNOWN_FRACTION;
        let receives_any =
            self.roster.values().any(|entry| now.since(entry.last_seen) <= STATS_TTL);
        is_settled && knows_most && receives_any && !self.is_isolated
    }
}

impl EngineKey {
    /// The place of a router with this tiebreak in rendezvous order for the engine.
    fn rank(self, tiebreak: u64) -> u64 {
        stable_hash(&[&self.to_bytes(), &tiebreak.to_be_bytes()])
    }
}
