//! The service level of tenants within their fair share at an engine: the error budget that decides
//! how much work of tenants above their share the engine is given.

use crate::decaying_counter::DecayingCounter;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time constant of the counts.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Weight of the prior at the accepted miss rate, in requests. Keeps single misses from dominating
/// the rate while there are few requests.
const PRIOR_REQUESTS: f64 = 20.0;
/// Accepted fraction of requests that miss their objective.
pub const ACCEPTED_MISSES: f64 = 0.05;
/// Scale of reported counts. Hundredths preserve the ratio of small decaying counts.
const HUNDREDTHS: f64 = 100.0;

/// Recent requests of tenants within their share, in hundredths of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceLevelCounts {
    /// Requests that were served or refused.
    pub requests: u32,
    /// Requests that were not served within their objective.
    pub missed: u32,
}

impl ServiceLevelCounts {
    /// Adds the counts of other routers.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.missed += other.missed;
    }

    /// Subtracts the counts of other routers, saturating at zero.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.missed = self.missed.saturating_sub(other.missed);
    }

    /// Returns the rate of requests, from counts that decay with the time constant of
    /// [`ServiceLevel`].
    pub fn requests_per_second(&self) -> f64 {
        f64::from(self.requests) / HUNDREDTHS / TIME_CONSTANT.as_secs_f64()
    }

    /// Returns the fraction of requests that missed their objective, weighted toward the accepted
    /// fraction while there are few requests.
    pub fn miss_rate(&self) -> f64 {
        let (requests, missed) = (f64::from(self.requests), f64::from(self.missed));
        let prior = PRIOR_REQUESTS * HUNDREDTHS;
        (missed + ACCEPTED_MISSES * prior) / (requests + prior)
    }
}

/// Requests counted by this router at one engine.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLevel {
    requests: DecayingCounter,
    missed: DecayingCounter,
}

impl Default for ServiceLevel {
    fn default() -> Self {
        Self {
            requests: DecayingCounter::new(TIME_CONSTANT),
            missed: DecayingCounter::new(TIME_CONSTANT),
        }
    }
}

impl ServiceLevel {
    /// Records a request and whether it was served in time.
    pub fn on_request(&mut self, now: Timestamp, in_time: bool) {
        self.requests.add(now, 1.0);
        self.missed.add(now, if in_time { 0.0 } else { 1.0 });
    }

    /// Returns the decayed counts at `now`.
    pub fn counts(&self, now: Timestamp) -> ServiceLevelCounts {
        ServiceLevelCounts {
            requests: (self.requests.at(now) * HUNDREDTHS) as u32,
            missed: (self.missed.at(now) * HUNDREDTHS) as u32,
        }
    }
}
