//! What placement needs to know of an engine's performance.

use std::time::Duration;

/// Estimated performance of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PerformanceEstimate {
    /// Observed over predicted time to the first event.
    pub latency_ratio: f64,
    /// Mean time between events; `None` without enough observations.
    pub event_interval: Option<Duration>,
    /// Pauses longer than the route allows, per event.
    pub pause_rate: f64,
    /// Speed relative to the mean engine of the service: 2 is twice as fast. Changes in coarse
    /// steps, so that routers whose observations differ slightly agree.
    pub speed: f64,
}

impl Default for PerformanceEstimate {
    fn default() -> Self {
        Self { latency_ratio: 1.0, event_interval: None, pause_rate: 0.0, speed: 1.0 }
    }
}

impl PerformanceEstimate {
    /// Returns the probability that a stream of `events` events has a pause longer than its route
    /// allows.
    pub fn pause_probability(&self, events: u32) -> f64 {
        1.0 - (1.0 - self.pause_rate.clamp(0.0, 1.0)).powf(f64::from(events))
    }
}
