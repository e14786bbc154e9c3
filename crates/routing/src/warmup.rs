//! Limits the request rate that the fleet sends to a cold back end.
//!
//! A back end that has just started or turned cold again sustains only a limited request rate. A
//! few routers, the first in rendezvous order, share this allowance; the others send no requests
//! until it is warm. While views of the fleet differ, further routers may take themselves for
//! holders, which a margin covers.

use mastbay_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Window over which the allowance applies.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of routers that share the allowance of a cold back end. When all of 62 routers sent,
/// 39 requests arrived in a second where 32 were allowed.
const MAX_HOLDERS: u32 = 5;
/// Ratio of the allowance to the sum of the holders' quotas. The rest covers routers that wrongly
/// take themselves for holders or do not know yet that the back end is cold.
const MARGIN: f64 = 1.6;

/// Limits on the fleet's request rate to a cold back end, relative to the rate that it sustains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimits {
    /// Requests in one second as a multiple of the sustained rate.
    pub overshoot: f64,
    /// Number of requests in one second allowed beyond that.
    pub burst: f64,
}

impl Default for WarmupLimits {
    fn default() -> Self {
        Self { overshoot: 1.0, burst: 0.0 }
    }
}

impl WarmupLimits {
    /// Returns the number of requests that the fleet may send in any second to a cold back end that
    /// sustains `rate` requests a second.
    pub fn allowance(&self, rate: f64) -> f64 {
        rate * self.overshoot + self.burst
    }
}

/// Number of routers that may send to a cold back end, and the quota of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holders {
    /// Number of routers.
    pub routers: usize,
    /// Maximum number of requests in any second per router.
    pub requests: u32,
}

impl Holders {
    /// Divides an `allowance`, in requests a second, in a fleet of `routers`.
    pub fn of(allowance: f64, routers: usize) -> Self {
        let margin = if routers > 1 { MARGIN } else { 1.0 };
        let max = ((allowance / margin) as u32).clamp(1, MAX_HOLDERS);
        let holders = max.min(routers as u32).max(1);
        let requests = (allowance / (f64::from(holders) * margin)) as u32;
        Self { routers: holders as usize, requests: requests.max(1) }
    }
}

/// Warm-up state of a back end, and this router's recent requests to it.
#[derive(Debug, Clone, Default)]
pub struct Warmup {
    /// Until when the back end is cold.
    until: Timestamp,
    /// From when this router may send requests.
    sending_from: Timestamp,
    /// Times of requests sent in the last window while the back end was cold.
    sent: VecDeque<Timestamp>,
}

impl Warmup {
    /// Creates the state of a newly listed back end that is cold for `left`.
    pub fn of_new(now: Timestamp, left: Duration) -> Self {
        Self { until: now + left, sending_from: now, sent: VecDeque::new() }
    }

    /// Updates the state of a known back end that the source reports as cold for `left`. If it was
    /// warm before, sending pauses for a window, as its recent load was that of a warm one.
    pub fn on_update(&mut self, now: Timestamp, left: Duration) {
        if !left.is_zero() && !self.is_cold(now) {
            self.sending_from = now + WINDOW;
        }
        self.until = now + left;
    }

    /// Returns whether the back end is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Returns whether this router, as one of the holders, may send one more request.
    pub fn has_capacity(&self, now: Timestamp, holders: Holders) -> bool {
        let recent = self.sent.iter().rev().take_while(|sent| now.since(**sent) <= WINDOW);
        now >= self.sending_from && recent.count() < holders.requests as usize
    }

    /// Records a request sent by this router.
    pub fn on_sent(&mut self, now: Timestamp) {
        if !self.is_cold(now) {
            self.sent.clear();
            return;
        }
        while self.sent.front().is_some_and(|sent| now.since(*sent) > WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
