//! What placement needs to know of an engine's performance.

use super::counts::PerformanceCounts;
use super::service::measured_interval_ms;
use std::time::Duration;

/// Weight of the prior of the latency ratio, in hundredths of a first event.
const PRIOR_FIRST_EVENTS: f64 = 300.0;
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.2, 8.0);
/// Weight of the service's pause rate in that of an engine, in hundredths of an event.
const PRIOR_EVENTS: f64 = 20_000.0;

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
    /// Computes the estimate from an engine's counts, the pause rate of its service and its speed.
    pub fn of(counts: &PerformanceCounts, service_pause_rate: f64, speed: f64) -> Self {
        let interval = measured_interval_ms(counts);
        let events = f64::from(counts.events);
        let pauses = f64::from(counts.pauses) + service_pause_rate * PRIOR_EVENTS;
        Self {
            latency_ratio: latency_ratio(counts),
            event_interval: interval.map(|interval| Duration::from_secs_f64(interval / 1e3)),
            pause_rate: (pauses / (events + PRIOR_EVENTS)).min(1.0),
            speed,
        }
    }

    /// Returns the probability that a stream of `events` events has a pause longer than its route
    /// allows.
    pub fn pause_probability(&self, events: u32) -> f64 {
        1.0 - (1.0 - self.pause_rate.clamp(0.0, 1.0)).powf(f64::from(events))
    }
}

/// Returns the observed over the predicted time, weighted toward 1 while there are few first events.
fn latency_ratio(counts: &PerformanceCounts) -> f64 {
    let first_events = f64::from(counts.first_events);
    let ratio = f64::from(counts.observed_ms) / f64::from(counts.predicted_ms.max(1));
    let weighted =
        (ratio * first_events + PRIOR_FIRST_EVENTS) / (first_events + PRIOR_FIRST_EVENTS);
    weighted.clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1)
}
