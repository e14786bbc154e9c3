//! How well tenants within their fair share are served at an engine: the error budget that decides how much
//! work of tenants above their share the engine is given.

use crate::decaying_counter::DecayingCounter;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time over which requests are counted: long enough for some dozens at one engine of a small deployment,
/// short enough for a limit to follow a burst.
const WINDOW: Duration = Duration::from_secs(2);
/// Requests with just the accepted share of misses that are taken to have been seen beside the real ones, so
/// that one miss among few requests moves little.
const PRIOR_REQUESTS: f64 = 20.0;
/// The accepted share of requests that miss their objective: the deployments ask for 95 in 100 in time.
pub const ACCEPTED_MISSES: f64 = 0.05;
/// Counts are told in hundredths, so that fading ones keep their ratio.
const HUNDREDTHS: f64 = 100.0;

/// Requests of tenants within their share over the last moments, in hundredths of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceLevelCounts {
    /// Those that were served or refused.
    pub requests: u32,
    /// Those of them that were not served within their objective.
    pub missed: u32,
}

impl ServiceLevelCounts {
    /// Adds another router's counts.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.missed += other.missed;
    }

    /// Takes another router's counts away.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.missed = self.missed.saturating_sub(other.missed);
    }

    /// The share of requests that missed their objective, drawn toward what is accepted while few were seen.
    pub fn miss_rate(&self) -> f64 {
        let (requests, missed) = (f64::from(self.requests), f64::from(self.missed));
        let prior = PRIOR_REQUESTS * HUNDREDTHS;
        (missed + ACCEPTED_MISSES * prior) / (requests + prior)
    }
}

/// Counts of one router at one engine.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLevel {
    requests: DecayingCounter,
    missed: DecayingCounter,
}

impl Default for ServiceLevel {
    fn default() -> Self {
        Self { requests: DecayingCounter::new(WINDOW), missed: DecayingCounter::new(WINDOW) }
    }
}

impl ServiceLevel {
    /// A request was served in time, or not.
    pub fn on_request(&mut self, now: Timestamp, in_time: bool) {
        self.requests.add(now, 1.0);
        self.missed.add(now, if in_time { 0.0 } else { 1.0 });
    }

    /// The counts as they stand at `now`.
    pub fn counts(&self, now: Timestamp) -> ServiceLevelCounts {
        ServiceLevelCounts {
            requests: (self.requests.at(now) * HUNDREDTHS) as u32,
            missed: (self.missed.at(now) * HUNDREDTHS) as u32,
        }
    }
}
