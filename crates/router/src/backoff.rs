//! Delays between calls that fail in a row.

use std::time::Duration;

/// A delay that doubles with each failed call in a row, with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates the state before any failure. The first delay is half to one and a half times `first`,
    /// and later ones at most that of `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, failures: 0 }
    }

    /// Records a failed call. Returns the delay before the next one.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.first.saturating_mul(2_u32.saturating_pow(self.failures)).min(self.max);
        self.failures += 1;
        delay.mul_f64(0.5 + rand::random::<f64>())
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a call that succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
