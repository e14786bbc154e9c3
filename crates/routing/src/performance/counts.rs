//! Sums of recent observations of an engine, as reported between routers.

use crate::engine_key::EngineKey;
use serde::{Deserialize, Serialize};

/// Recent observations of one engine. Counts are in hundredths, which preserves the ratios of small
/// decaying sums.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PerformanceCounts {
    /// Observed first events, in hundredths.
    pub first_events: u32,
    /// Sum of their predicted times, in milliseconds.
    pub predicted_ms: u32,
    /// Sum of their observed times, in milliseconds.
    pub observed_ms: u32,
    /// Events after the first one, in hundredths.
    pub events: u32,
    /// Sum of the times between events, in milliseconds.
    pub interval_ms: u32,
    /// Pauses longer than the route allows, in hundredths.
    pub pauses: u32,
}

impl PerformanceCounts {
    /// Adds the counts of other routers.
    pub fn add(&mut self, other: Self) {
        self.first_events = self.first_events.saturating_add(other.first_events);
        self.predicted_ms = self.predicted_ms.saturating_add(other.predicted_ms);
        self.observed_ms = self.observed_ms.saturating_add(other.observed_ms);
        self.events = self.events.saturating_add(other.events);
        self.interval_ms = self.interval_ms.saturating_add(other.interval_ms);
        self.pauses = self.pauses.saturating_add(other.pauses);
    }

    /// Subtracts the counts of other routers, saturating at zero.
    pub fn remove(&mut self, other: Self) {
        self.first_events = self.first_events.saturating_sub(other.first_events);
        self.predicted_ms = self.predicted_ms.saturating_sub(other.predicted_ms);
        self.observed_ms = self.observed_ms.saturating_sub(other.observed_ms);
        self.events = self.events.saturating_sub(other.events);
        self.interval_ms = self.interval_ms.saturating_sub(other.interval_ms);
        self.pauses = self.pauses.saturating_sub(other.pauses);
    }
}

/// Observations of one engine by one or several routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnginePerformanceReport {
    /// The engine.
    pub engine: EngineKey,
    /// The observations.
    pub counts: PerformanceCounts,
}
