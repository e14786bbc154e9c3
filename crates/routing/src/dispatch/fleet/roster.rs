//! The routers among which duties are divided by rendezvous hashing.
//!
//! Entries outlive short silence: a router that is only unreachable from here continues its duties,
//! and if another one took them over they would be done twice.

use super::{Fleet, STATS_TTL};
use crate::digest::{RouterPhase, RouterState};
use crate::engine_key::EngineKey;
use mastbay_types::{Timestamp, stable_hash};
use std::time::Duration;

/// Silence after which a router leaves the roster.
pub(super) const ROSTER_TTL: Duration = Duration::from_secs(600);
/// Time after the start before a router takes on duties, so that a starting fleet discovers all its
/// routers.
const STARTUP_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Fraction of the fleet that a router must know to take on duties.
const MIN_KNOWN_FRACTION: f64 = 0.9;

/// A router on the roster.
#[derive(Debug, Clone, Copy)]
pub struct RosterEntry {
    last_seen: Timestamp,
    /// See [`tiebreak`](crate::dispatch::aggregation::tiebreak).
    tiebreak: u64,
}

impl Fleet {
    /// Returns whether other routers are configured as seeds, which is assumed until the first round.
    pub(super) fn has_seeds(&self) -> bool {
        self.seeds.as_ref().is_none_or(|seeds| !seeds.is_empty())
    }

    /// Returns whether there is no other router: by the registry, and without one by the seeds.
    fn is_alone(&self) -> bool {
        if self.registry.is_expected() { self.registry.is_alone() } else { !self.has_seeds() }
    }

    /// Returns the number of routers on the roster, including this one.
    pub fn roster_size(&self) -> usize {
        1 + self.roster.len()
    }

    /// Returns whether this router is among the first `count` in rendezvous order for an engine.
    /// Returns false while it knows too few of the others or receives from none of them.
    pub fn is_among_first(&self, now: Timestamp, engine: EngineKey, count: usize) -> bool {
        if !self.knows_roster(now) {
            return false;
        }
        let mine = (engine.rank(self.tiebreak), self.me.address);
        let ranks =
            self.roster.iter().map(|(address, entry)| (engine.rank(entry.tiebreak), *address));
        ranks.filter(|rank| *rank > mine).take(count).count() < count
    }

    /// Updates the roster from a message received directly from a router.
    pub(super) fn update_roster(&mut self, now: Timestamp, state: &RouterState, tiebreak: u64) {
        self.has_heard_any = true;
        self.registry.on_phase(now, state.id.address, state.phase);
        if self.seeds.iter().flatten().any(|seed| *seed == state.id.address) {
            self.heard_seeds.insert(state.id.address);
        }
        if state.phase == RouterPhase::Leaving {
            self.roster.remove(&state.id.address);
        } else {
            self.roster.insert(state.id.address, RosterEntry { last_seen: now, tiebreak });
        }
    }

    pub(super) fn expire_roster(&mut self, now: Timestamp) {
        self.roster.retain(|_, entry| now.since(entry.last_seen) <= ROSTER_TTL);
        self.registry.expire(now);
    }

    fn knows_roster(&self, now: Timestamp) -> bool {
        if self.roster.is_empty() {
            return self.is_alone();
        }
        let is_settled = now.since(Timestamp::ZERO) >= STARTUP_GRACE_PERIOD;
        let knows_most = self.roster_size() as f64 >= self.size() as f64 * MIN_KNOWN_FRACTION;
        let receives_any =
            self.roster.values().any(|entry| now.since(entry.last_seen) <= STATS_TTL);
        is_settled && knows_most && receives_any && !self.is_isolated
    }
}

impl EngineKey {
    /// Returns the rendezvous score of a router, given its tiebreak, for the engine.
    fn rank(self, tiebreak: u64) -> u64 {
        stable_hash(&[&self.to_bytes(), &tiebreak.to_be_bytes()])
    }
}
