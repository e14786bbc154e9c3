//! The prefixes that this router receives most requests for, in bounded memory.
//!
//! A space-saving table: a new prefix replaces the one with the lowest count and inherits that count
//! as its possible error. Counts decay exponentially. Instead of multiplying them by a factor below
//! 1 as time passes, later requests are added with a higher weight.

use super::PrefixRate;
use super::slot_time::SlotTime;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Number of counted prefixes: several times as many as are reported, so that prefixes that are
/// requested once don't displace frequent ones.
const MAX_PREFIXES: usize = 256;
/// Time constant with which counts decay.
const TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Lowest decayed count that is reported, in requests.
const MIN_COUNT: f64 = 0.5;
/// Time constants after which all counts are rescaled, to keep weights in the range of `f64`.
const MAX_EXPONENT: f64 = 50.0;

#[derive(Debug, Clone, Copy, Default)]
struct PrefixCount {
    count: f64,
    /// Part of the count that may belong to replaced prefixes.
    error: f64,
    slot_time: SlotTime,
}

/// Decaying counts of the most frequent prefixes.
#[derive(Debug, Default)]
pub struct FrequentPrefixes {
    counts: HashMap<u64, PrefixCount>,
    /// Time for which requests of any prefix hold a slot.
    slot_time: SlotTime,
    /// Time at which a request has the weight 1.
    origin: Timestamp,
}

impl FrequentPrefixes {
    /// Counts a request.
    pub fn on_request(&mut self, now: Timestamp, prefix: u64) {
        self.rescale(now);
        let weight = self.weight(now);
        if let Some(known) = self.counts.get_mut(&prefix) {
            known.count += weight;
            return;
        }
        let error =
            if self.counts.len() < MAX_PREFIXES { 0.0 } else { self.remove_least_frequent() };
        let count = PrefixCount { count: error + weight, error, slot_time: SlotTime::default() };
        self.counts.insert(prefix, count);
    }

    /// Records that a request held a slot for `held`.
    pub fn on_slot_released(&mut self, now: Timestamp, prefix: u64, held: Duration) {
        self.rescale(now);
        let weight = self.weight(now);
        self.slot_time.observe(held, weight);
        if let Some(known) = self.counts.get_mut(&prefix) {
            known.slot_time.observe(held, weight);
        }
    }

    /// Returns the demand for all counted prefixes, without the part that may be an error.
    pub fn rates(&self, now: Timestamp) -> Vec<PrefixRate> {
        let (weight, mean) = (self.weight(now), self.slot_time.mean());
        let rate = |(&prefix, known): (&u64, &PrefixCount)| {
            let count = (known.count - known.error) / weight;
            let rate = count / TIME_CONSTANT.as_secs_f64();
            let slots = rate * known.slot_time.mean_with_prior(mean, weight);
            let rate = PrefixRate { prefix, rate: rate as f32, slots: slots as f32 };
            (count >= MIN_COUNT).then_some(rate)
        };
        self.counts.iter().filter_map(rate).collect()
    }

    /// Returns the weight of a request at `now`.
    fn weight(&self, now: Timestamp) -> f64 {
        (now.since(self.origin).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Removes the prefix with the lowest count and returns that count.
    fn remove_least_frequent(&mut self) -> f64 {
        let by_count = |(left_prefix, left): &(&u64, &PrefixCount),
                        (right_prefix, right): &(&u64, &PrefixCount)| {
            left.count.total_cmp(&right.count).then(left_prefix.cmp(right_prefix))
        };
        let Some((&prefix, _)) = self.counts.iter().min_by(by_count) else { return 0.0 };
        self.counts.remove(&prefix).map_or(0.0, |removed| removed.count)
    }

    /// Expresses all counts relative to `now` if they are relative to a much earlier time.
    fn rescale(&mut self, now: Timestamp) {
        let elapsed = now.since(self.origin).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        if elapsed <= MAX_EXPONENT {
            return;
        }
        let factor = (-elapsed).exp();
        self.origin = now;
        self.slot_time.scale(factor);
        for known in self.counts.values_mut() {
            known.count *= factor;
            known.error *= factor;
            known.slot_time.scale(factor);
        }
    }
}
