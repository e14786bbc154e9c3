//! Performance of one incarnation of an engine: what this router and its peers observed, and the
//! estimate that follows from it.

use super::counts::PerformanceCounts;
use super::estimate::PerformanceEstimate;
use super::own::OwnSums;
use super::service::ServiceMeans;
use super::speed::{SpeedStep, SpeedTracker};
use mastbay_types::Timestamp;
use std::time::Duration;

/// Bounds on the observed over the predicted time of one first event, so that a single one cannot
/// outweigh many others.
const OBSERVED_BOUNDS: (f64, f64) = (0.1, 6.0);
/// Longest time between two events that is taken for the engine's. In a longer one the caller may
/// not have read.
const MAX_INTERVAL: Duration = Duration::from_secs(2);
/// Counts below all of these are not reported, to keep reports short: one first event 16 seconds
/// ago, and twenty events.
const MIN_REPORTED: PerformanceCounts = PerformanceCounts {
    first_events: 20,
    predicted_ms: 0,
    observed_ms: 0,
    events: 2_000,
    interval_ms: 0,
    pauses: 20,
};

/// Observations of an engine and the estimate derived from them.
#[derive(Debug, Clone, Copy, Default)]
pub struct EnginePerformance {
    own: OwnSums,
    reported: PerformanceCounts,
    speed: SpeedTracker,
    estimate: PerformanceEstimate,
}

impl EnginePerformance {
    /// Records a first event. `predicted` is the time by the estimator alone.
    pub fn observe_first_event(&mut self, now: Timestamp, predicted: Duration, taken: Duration) {
        let predicted = milliseconds(predicted).max(1.0);
        let (min, max) = (predicted * OBSERVED_BOUNDS.0, predicted * OBSERVED_BOUNDS.1);
        self.own.add_first_event(now, predicted, milliseconds(taken).clamp(min, max));
    }

    /// Records a request that ended, without an error of the engine, after it had waited longer
    /// than expected for its first event. The wait is a lower bound; leaving it out would make an
    /// engine that is too slow for its callers look fast.
    pub fn observe_missing_first_event(
        &mut self,
        now: Timestamp,
        predicted: Duration,
        waited: Duration,
    ) {
        self.observe_first_event(now, predicted, waited);
    }

    /// Records events after the first one that arrived in the time `elapsed` since those before
    /// them.
    pub fn observe_events(&mut self, now: Timestamp, events: u32, elapsed: Duration) {
        self.own.add_events(now, events, milliseconds(elapsed.min(MAX_INTERVAL)));
    }

    /// Records a pause longer than the route allows.
    pub fn observe_pause(&mut self, now: Timestamp) {
        self.own.add_pause(now);
    }

    /// Returns this router's counts for its peers, or `None` without recent observations.
    pub fn own_report(&self, now: Timestamp) -> Option<PerformanceCounts> {
        let counts = self.own.counts(now);
        let is_reported = counts.first_events >= MIN_REPORTED.first_events
            || counts.events >= MIN_REPORTED.events
            || counts.pauses >= MIN_REPORTED.pauses;
        is_reported.then_some(counts)
    }

    /// Adds counts that other routers reported.
    pub fn add_reported(&mut self, counts: PerformanceCounts) {
        self.reported.add(counts);
    }

    /// Subtracts counts of other routers that are outdated.
    pub fn remove_reported(&mut self, counts: PerformanceCounts) {
        self.reported.remove(counts);
    }

    /// Returns the counts of all routers. `includes_own` says whether the reported ones include
    /// those of this router.
    pub fn counts(&self, now: Timestamp, includes_own: bool) -> PerformanceCounts {
        let mut counts = self.reported;
        if !includes_own {
            counts.add(self.own.counts(now));
        }
        counts
    }

    /// Computes the estimate from the counts of all routers and the means of the service. Returns
    /// whether the speed changed. Without enough observations the speed remains.
    pub fn update(
        &mut self,
        now: Timestamp,
        counts: &PerformanceCounts,
        means: &ServiceMeans,
    ) -> bool {
        let is_changed = self.speed.update(now, means.log_speed(counts));
        let speed = self.step().speed();
        self.estimate = PerformanceEstimate::of(counts, means.pause_rate(), speed);
        is_changed
    }

    /// Returns the speed in steps above the mean engine of the service.
    pub fn step(&self) -> SpeedStep {
        self.speed.step()
    }

    /// Returns whether the speed is known, now or from earlier observations.
    pub fn is_speed_known(&self) -> bool {
        self.speed.is_measured()
    }

    /// Returns the estimate of the last update. It is no older than the last reports, so there is
    /// nothing to decay until `_now`.
    pub fn estimate(&self, _now: Timestamp) -> PerformanceEstimate {
        self.estimate
    }
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
