//! The number of engines in use for each prefix with high demand.
//!
//! A higher number takes effect at once, because requests are refused while a prefix has too few
//! engines. A lower one takes effect after some time: each change of the number makes an engine
//! prefill the prefix again, and demand that is missing for a moment may be a lost report.

use super::{MAX_RANKS, PrefixRate};
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a prefix must need fewer engines before their number is lowered. Longer than
/// reports are missing after an aggregator has ended: they expire after 0.7 s, and the next full one
/// takes up to 0.64 s once another aggregator has taken over.
const LOWERING_DELAY: Duration = Duration::from_secs(3);
/// Fraction of the slots of an engine that one prefix is meant to take. The rest is for the other
/// prefixes of the engine and for bursts.
const SLOT_FRACTION: f64 = 0.5;
/// How far, in engines, the need must be below the next lower number.
const LOWERING_MARGIN: f64 = 0.25;
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
    /// Number of slots of one engine.
    engine_slots: u32,
    /// Number of engines without demand.
    base: usize,
}

/// Numbers of engines by prefix.
#[derive(Debug, Default)]
pub struct RankHysteresis {
    held: HashMap<u64, HeldRanks>,
    changes: Vec<RankChange>,
}

impl RankHysteresis {
    /// Returns the number of engines for a prefix: at least `base`. Raises it if the demand requires
    /// more. `engine_slots` is the number of slots of one engine.
    pub fn raise(
        &mut self,
        now: Timestamp,
        demand: PrefixRate,
        engine_slots: u32,
        base: usize,
    ) -> usize {
        let required = required_ranks(needed_engines(&demand, engine_slots));
        let held = self.held.get(&demand.prefix).map_or(base, |held| held.ranks);
        if required > held {
            let held = HeldRanks { ranks: required, needed: now, engine_slots, base };
            self.held.insert(demand.prefix, held);
            self.record(demand, required);
        }
        required.max(held).max(base)
    }

    /// Lowers the numbers that have not been needed for some time. `demand` returns the demand for
    /// a prefix.
    pub fn lower_unneeded(&mut self, now: Timestamp, demand: impl Fn(u64) -> PrefixRate) {
        let mut lowered = Vec::new();
        self.held.retain(|prefix, held| {
            let demand = demand(*prefix);
            let needed = needed_engines(&demand, held.engine_slots);
            if needed > held.ranks as f64 - 1.0 - LOWERING_MARGIN {
                held.needed = now;
            }
            if now.since(held.needed) >= LOWERING_DELAY {
                held.ranks = required_ranks(needed);
                held.needed = now;
                lowered.push((demand, held.ranks));
            }
            held.ranks > held.base
        });
        lowered.into_iter().for_each(|(demand, ranks)| self.record(demand, ranks));
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

/// Returns how many engines carry the demand for a prefix.
fn needed_engines(demand: &PrefixRate, engine_slots: u32) -> f64 {
    f64::from(demand.slots) / (f64::from(engine_slots.max(1)) * SLOT_FRACTION)
}

fn required_ranks(needed: f64) -> usize {
    (needed.ceil() as usize).min(MAX_RANKS)
}
