//! Request rates of shared prompt prefixes over the fleet, and the number of engines that serve
//! each prefix.
//!
//! A router counts the requests that it receives and reports the most demanding prefixes to its
//! peers. The sum over the fleet determines how many engines a prefix needs, so that routers agree
//! without further messages.

mod frequent_prefixes;
mod rank_hysteresis;
mod slot_time;

use frequent_prefixes::FrequentPrefixes;
use mastbay_types::Timestamp;
use rank_hysteresis::RankHysteresis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

pub use rank_hysteresis::RankChange;

/// Prefixes in one report. Only prefixes that need more than one engine matter, and a fleet has few
/// of them.
pub const MAX_REPORTED_PREFIXES: usize = 64;
/// Maximum number of engines for one prefix: the number that rankings contain.
pub const MAX_RANKS: usize = 6;
/// Time for which the sums over the fleet are reused. Reports arrive at most every 640 ms.
const SUMS_TTL: Duration = Duration::from_millis(250);

/// Demand for one shared prefix.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefixRate {
    /// Key of the prefix, see [`crate::Prompt::prefix_key`].
    pub prefix: u64,
    /// Requests a second.
    pub rate: f32,
    /// Slots that these requests take on average: their rate times the mean time for which one
    /// holds a slot.
    pub slots: f32,
}

impl PrefixRate {
    /// Adds the demand for the same prefix at another router.
    pub fn add(&mut self, other: &PrefixRate) {
        self.rate += other.rate;
        self.slots += other.slots;
    }
}

/// Returns the [`MAX_REPORTED_PREFIXES`] prefixes that take the most slots, in descending order.
pub fn most_demanding(mut rates: Vec<PrefixRate>) -> Vec<PrefixRate> {
    rates.sort_unstable_by(|left, right| {
        let by_slots = right.slots.total_cmp(&left.slots);
        by_slots.then(right.rate.total_cmp(&left.rate)).then(left.prefix.cmp(&right.prefix))
    });
    rates.truncate(MAX_REPORTED_PREFIXES);
    rates
}

/// Counts the requests of this router by prefix and determines the number of engines for each.
#[derive(Debug, Default)]
pub struct PrefixDemand {
    frequent: FrequentPrefixes,
    /// Demand over the fleet and when it was summed.
    sums: HashMap<u64, PrefixRate>,
    summed: Option<Timestamp>,
    ranks: RankHysteresis,
}

impl PrefixDemand {
    /// Records a request.
    pub fn on_request(&mut self, now: Timestamp, prefix: u64) {
        self.frequent.on_request(now, prefix);
    }

    /// Records a complete response, during which a request held a slot for `held`.
    pub fn on_slot_released(&mut self, now: Timestamp, prefix: u64, held: Duration) {
        self.frequent.on_slot_released(now, prefix, held);
    }

    /// Returns the demand at this router.
    pub fn report(&self, now: Timestamp) -> Vec<PrefixRate> {
        most_demanding(self.frequent.rates(now))
    }

    /// Returns whether the sums over the fleet have to be updated.
    pub fn needs_sums(&self, now: Timestamp) -> bool {
        self.summed.is_none_or(|summed| now.since(summed) >= SUMS_TTL)
    }

    /// Replaces the sums over the fleet by those of `rates`, which may contain a prefix repeatedly.
    pub fn set_sums(&mut self, now: Timestamp, rates: impl Iterator<Item = PrefixRate>) {
        self.sums.clear();
        for rate in rates.filter(|rate| rate.rate.is_finite() && rate.slots.is_finite()) {
            let none = PrefixRate { rate: 0.0, slots: 0.0, ..rate };
            self.sums.entry(rate.prefix).or_insert(none).add(&rate);
        }
        self.summed = Some(now);
        let sums = &self.sums;
        self.ranks.lower_unneeded(now, |prefix| demand_for(sums, prefix));
    }

    /// Returns the number of engines for a prefix: at least `base`, which is also that of unknown
    /// prefixes. `engine_slots` is the number of slots of one of its engines.
    pub fn ranks(&mut self, now: Timestamp, prefix: u64, base: usize, engine_slots: u32) -> usize {
        self.ranks.raise(now, demand_for(&self.sums, prefix), engine_slots, base)
    }

    /// Returns the number of prefixes that have more engines than without demand.
    pub fn raised(&self) -> usize {
        self.ranks.raised()
    }

    /// Returns the changes of numbers of engines since the last call.
    pub fn take_changes(&mut self) -> Vec<RankChange> {
        self.ranks.take_changes()
    }
}

fn demand_for(sums: &HashMap<u64, PrefixRate>, prefix: u64) -> PrefixRate {
    sums.get(&prefix).copied().unwrap_or(PrefixRate { prefix, rate: 0.0, slots: 0.0 })
}
