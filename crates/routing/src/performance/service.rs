//! Means over the engines of a service, to which an engine's performance is relative.

use super::counts::PerformanceCounts;

/// First events without which an engine's speed is unknown, in hundredths. Twenty observations
/// decay to this within five seconds, in which the last router learns of them.
const MIN_FIRST_EVENTS: u32 = 1_200;
/// Events without which an engine's interval is unknown, in hundredths.
const MIN_EVENTS: u32 = 1_600;
/// Weight of the prior at the mean speed of the service, in hundredths of a first event.
const PRIOR_FIRST_EVENTS: f64 = 400.0;
/// The same for the event interval, in hundredths of an event.
const PRIOR_EVENTS: f64 = 10_000.0;
/// Weight of the event interval in the speed with many events; the first events have the rest. The
/// interval grows with the engine's load. At half weight, an engine that slows down by a fifth when
/// its speed attracts requests stays within its step.
const INTERVAL_WEIGHT: f64 = 0.5;

/// A mean of logarithms: the logarithm of a geometric mean.
#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    sum: f64,
    count: u32,
}

impl LogMean {
    fn add(&mut self, value: f64) {
        self.sum += value.ln();
        self.count += 1;
    }

    /// Returns the logarithm of the ratio of the mean to `value`, 0 without a mean.
    fn log_ratio_to(&self, value: f64) -> f64 {
        if self.count == 0 { 0.0 } else { self.sum / f64::from(self.count) - value.ln() }
    }
}

/// Means over the engines of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceMeans {
    first_event_ratio: LogMean,
    event_interval: LogMean,
    totals: PerformanceCounts,
}

impl ServiceMeans {
    /// Adds an engine. One with few observations does not count for the means of the speed.
    pub fn add(&mut self, counts: &PerformanceCounts) {
        if let Some(ratio) = measured_ratio(counts) {
            self.first_event_ratio.add(ratio);
        }
        if let Some(interval) = measured_interval_ms(counts) {
            self.event_interval.add(interval);
        }
        self.totals.add(*counts);
    }

    /// Returns the pauses per event over all engines.
    pub fn pause_rate(&self) -> f64 {
        f64::from(self.totals.pauses) / f64::from(self.totals.events.max(1))
    }

    /// Returns the logarithm of an engine's speed relative to the mean one, or `None` with too few
    /// observations.
    ///
    /// First events measure prefill, corrected for the work ahead of them; event intervals measure
    /// generation and vary less from one observation to the next, but they grow with the load.
    pub fn log_speed(&self, counts: &PerformanceCounts) -> Option<f64> {
        let ratio = measured_ratio(counts)?;
        let of_first_events = self.first_event_ratio.log_ratio_to(ratio)
            * weight(counts.first_events, PRIOR_FIRST_EVENTS);
        let Some(interval) = measured_interval_ms(counts) else { return Some(of_first_events) };
        let of_intervals = self.event_interval.log_ratio_to(interval);
        let interval_weight = INTERVAL_WEIGHT * weight(counts.events, PRIOR_EVENTS);
        Some(of_first_events * (1.0 - interval_weight) + of_intervals * interval_weight)
    }
}

fn weight(observations: u32, prior: f64) -> f64 {
    f64::from(observations) / (f64::from(observations) + prior)
}

/// Returns the observed over the predicted time of first events, if there are enough.
fn measured_ratio(counts: &PerformanceCounts) -> Option<f64> {
    let is_measured = counts.first_events >= MIN_FIRST_EVENTS && counts.predicted_ms > 0;
    is_measured.then(|| f64::from(counts.observed_ms.max(1)) / f64::from(counts.predicted_ms))
}

/// Returns the mean time between events in milliseconds, if there are enough.
pub(super) fn measured_interval_ms(counts: &PerformanceCounts) -> Option<f64> {
    let is_measured = counts.events >= MIN_EVENTS;
    is_measured.then(|| f64::from(counts.interval_ms.max(1)) * 100.0 / f64::from(counts.events))
}
