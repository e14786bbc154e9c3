//! Counts whose past fades.

use mastbay_types::Timestamp;
use std::time::Duration;

/// A number of events of which all but a part of 1/e is forgotten after `life`.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCounter {
    life: Duration,
    count: f64,
    moved: Timestamp,
}

impl DecayingCounter {
    /// Nothing yet.
    pub fn new(life: Duration) -> Self {
        Self { life, count: 0.0, moved: Timestamp::ZERO }
    }

    /// The count as it stands at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.moved).as_secs_f64() / self.life.as_secs_f64();
        self.count * (-passed).exp()
    }

    /// Adds events.
    pub fn add(&mut self, now: Timestamp, events: f64) {
        self.count = self.at(now) + events;
        self.moved = now;
    }
}
