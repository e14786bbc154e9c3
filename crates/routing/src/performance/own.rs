//! Decaying sums of one router's observations of an engine.

use super::counts::PerformanceCounts;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Time constant of the sums. Short enough that a change of speed shows within seconds, long enough
/// that an engine of average load has some twenty first events in them.
const TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Scale of reported counts.
const HUNDREDTHS: f64 = 100.0;

/// Decaying sums.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnSums {
    first_events: f64,
    predicted_ms: f64,
    observed_ms: f64,
    events: f64,
    interval_ms: f64,
    pauses: f64,
    updated_at: Timestamp,
}

impl OwnSums {
    /// Adds a first event.
    pub fn add_first_event(&mut self, now: Timestamp, predicted_ms: f64, observed_ms: f64) {
        self.decay(now);
        self.first_events += 1.0;
        self.predicted_ms += predicted_ms;
        self.observed_ms += observed_ms;
    }

    /// Adds events that arrived within `interval_ms`.
    pub fn add_events(&mut self, now: Timestamp, events: u32, interval_ms: f64) {
        self.decay(now);
        self.events += f64::from(events);
        self.interval_ms += interval_ms;
    }

    /// Adds a pause.
    pub fn add_pause(&mut self, now: Timestamp) {
        self.decay(now);
        self.pauses += 1.0;
    }

    /// Returns the sums at `now`.
    pub fn counts(&self, now: Timestamp) -> PerformanceCounts {
        let factor = self.decay_factor(now);
        PerformanceCounts {
            first_events: (self.first_events * factor * HUNDREDTHS).round() as u32,
            predicted_ms: (self.predicted_ms * factor).round() as u32,
            observed_ms: (self.observed_ms * factor).round() as u32,
            events: (self.events * factor * HUNDREDTHS).round() as u32,
            interval_ms: (self.interval_ms * factor).round() as u32,
            pauses: (self.pauses * factor * HUNDREDTHS).round() as u32,
        }
    }

    fn decay_factor(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        (-elapsed).exp()
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = self.decay_factor(now);
        self.first_events *= factor;
        self.predicted_ms *= factor;
        self.observed_ms *= factor;
        self.events *= factor;
        self.interval_ms *= factor;
        self.pauses *= factor;
        self.updated_at = now;
    }
}
