//! Mean time for which requests hold a slot of an engine.

use std::time::Duration;

/// Observations that the mean over all prefixes counts for in the mean of one prefix.
const PRIOR_OBSERVATIONS: f64 = 4.0;
/// Longest time that one observation counts for; requests have shorter deadlines.
const MAX_SLOT_TIME: Duration = Duration::from_secs(120);

/// Weighted sum of observed times.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotTime {
    seconds: f64,
    weight: f64,
}

impl SlotTime {
    /// Adds an observation.
    pub fn observe(&mut self, held: Duration, weight: f64) {
        self.seconds += held.min(MAX_SLOT_TIME).as_secs_f64() * weight;
        self.weight += weight;
    }

    /// Returns the mean in seconds, 0 without observations.
    pub fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.seconds / self.weight } else { 0.0 }
    }

    /// Returns the mean in seconds, weighted toward `prior` while there are few observations.
    /// `unit` is the weight of an observation at present.
    pub fn mean_with_prior(&self, prior: f64, unit: f64) -> f64 {
        let prior_weight = PRIOR_OBSERVATIONS * unit;
        (self.seconds + prior * prior_weight) / (self.weight + prior_weight)
    }

    /// Multiplies all weights by `factor`.
    pub fn scale(&mut self, factor: f64) {
        self.seconds *= factor;
        self.weight *= factor;
    }
}
