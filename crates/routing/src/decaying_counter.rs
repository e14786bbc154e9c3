//! An event counter with exponential decay.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Counts events; the count decays by a factor of e every `time_constant`.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCounter {
    time_constant: Duration,
    count: f64,
    updated_at: Timestamp,
}

impl DecayingCounter {
    /// Creates a counter at zero.
    pub fn new(time_constant: Duration) -> Self {
        Self { time_constant, count: 0.0, updated_at: Timestamp::ZERO }
    }

    /// Returns the decayed count at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / self.time_constant.as_secs_f64();
        self.count * (-elapsed).exp()
    }

    /// Adds a number of events.
    pub fn add(&mut self, now: Timestamp, events: f64) {
        self.count = self.at(now) + events;
        self.updated_at = now;
    }
}
