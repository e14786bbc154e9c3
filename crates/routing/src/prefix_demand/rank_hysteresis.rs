//! The number of engines in use for each prefix with high demand.
//!
//! A higher number takes effect at once, because requests are refused while a prefix has too few
//! engines. A lower one takes effect after some time: each change of the number makes an engine
//! prefill the prefix again, and demand that is missing for a moment may be a lost report.

use super::{MAX_RANKS, PrefixRate};
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a prefix must need fewer engines before their number is lowered. Longer than the
/// time in which a router gets new reports after its aggregator has ended (about 1.4 s).
const LOWERING_DELAY: Duration = Duration::from_secs(3);
/// How far, in engines, the need must be below the next lower number.
const LOWERING_MARGIN: f64 = 0.25;
/// Time after which an unneeded number is forgotten, even if the prefix is not requested any more.
const RETENTION: Duration = Duration::from_secs(10);
/// Changes kept until they are taken.
const MAX_CHANGES: usize = 32;

/// A changed number of engines for a prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankChange {
    /// Demand for the prefix over the fleet.
    pub demand: PrefixRate,
    /// Number of engines that the demand requires; the base number applies if it is higher.
    pub ranks: usize,
}

#[derive(Debug, Clone, Copy)]
struct HeldRanks {
    ranks: usize,
    /// When the demand last required this number.
    needed: Timestamp,
}

/// Numbers of engines by prefix.
#[derive(Debug, Default)]
pub struct RankHysteresis {
    held: HashMap<u64, HeldRanks>,
    changes: Vec<RankChange>,
}

impl RankHysteresis {
    /// Returns the number of engines for a prefix that needs `needed` engines: at least `base`.
    pub fn update(
        &mut self,
        now: Timestamp,
        demand: PrefixRate,
        needed: f64,
        base: usize,
    ) -> usize {
        let required = (needed.ceil() as usize).min(MAX_RANKS);
        let Some(held) = self.held.get_mut(&demand.prefix) else {
            if required > base {
                self.held.insert(demand.prefix, HeldRanks { ranks: required, needed: now });
                self.record(demand, required);
            }
            return required.max(base);
        };
        if needed > held.ranks as f64 - 1.0 - LOWERING_MARGIN {
            held.needed = now;
        }
        let is_lowered = required < held.ranks && now.since(held.needed) >= LOWERING_DELAY;
        if required > held.ranks || is_lowered {
            *held = HeldRanks { ranks: required, needed: now };
            self.record(demand, required);
            if is_lowered && required <= base {
                self.held.remove(&demand.prefix);
            }
            return required.max(base);
        }
        held.ranks.max(base)
    }

    /// Forgets the numbers of prefixes that have not needed them for a long time.
    pub fn remove_unneeded(&mut self, now: Timestamp) {
        self.held.retain(|_, held| now.since(held.needed) < RETENTION);
    }

    /// Returns the number of prefixes with a number of their own.
    pub fn raised(&self) -> usize {
        self.held.len()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<RankChange> {
        std::mem::take(&mut self.changes)
    }

    fn record(&mut self, demand: PrefixRate, ranks: usize) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(RankChange { demand, ranks });
        }
    }
}
