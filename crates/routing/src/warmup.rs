//! How fast the fleet may send to a cold back end.
//!
//! A back end that has just started, or that turned cold again, bears only so many requests a second and falls over
//! well above that, whoever sends them. A few routers, the first in rendezvous order, hold the whole allowance; the
//! others send nothing there until it is warm. Routers that see different members for a while take each other's
//! places, so each holder's part leaves a margin for further ones.

use mastbay_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The time that the allowance speaks of.
const WINDOW: Duration = Duration::from_secs(1);
/// Routers that hold the allowance of a cold back end. When all of 62 could send, up to 39 requests arrived in one
/// second where 32 are allowed, counted at the engine; with these, none over 32 in 31 plays of such a fleet.
const HOLDERS: u32 = 5;
/// How many times the requests of all holders the allowance is: it also covers what is sent by routers that believe
/// to be holders, and by those that have not heard yet that the back end is cold.
/// Found by playing kills, cuts and lost messages of 8 to 295 routers in virtual time.
const MARGIN: f64 = 1.6;

/// How far above a cold back end's rate the fleet may go, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimits {
    /// Requests in one second, in times of the rate that the back end bears.
    pub overshoot: f64,
    /// Requests in one second beyond that.
    pub burst: f64,
}

impl Default for WarmupLimits {
    fn default() -> Self {
        Self { overshoot: 1.0, burst: 0.0 }
    }
}

impl WarmupLimits {
    /// Requests that a cold back end may get in any second from the whole fleet, if it bears `rate` a second.
    pub fn allowance(&self, rate: f64) -> f64 {
        rate * self.overshoot + self.burst
    }
}

/// The routers that send to a cold back end, and how much each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holders {
    /// Number of routers.
    pub routers: usize,
    /// Requests that each may send in any second.
    pub requests: u32,
}

impl Holders {
    /// How an `allowance`, in requests a second, is held in a fleet of `routers`.
    pub fn of(allowance: f64, routers: usize) -> Self {
        let margin = if routers > 1 { MARGIN } else { 1.0 };
        let most = ((allowance / margin) as u32).clamp(1, HOLDERS);
        let holders = most.min(routers as u32).max(1);
        let requests = (allowance / (f64::from(holders) * margin)) as u32;
        Self { routers: holders as usize, requests: requests.max(1) }
    }
}

/// Whether a back end is cold, and what this router has sent there lately.
#[derive(Debug, Clone, Default)]
pub struct Warmup {
    /// Until when it is cold.
    until: Timestamp,
    /// When this router may begin to send.
    sending_from: Timestamp,
    /// Requests sent within the last window while it was cold.
    sent: VecDeque<Timestamp>,
}

impl Warmup {
    /// A back end that is heard of for the first time, cold for `left`. No router has sent it anything yet.
    pub fn of_new(now: Timestamp, left: Duration) -> Self {
        Self { until: now + left, sending_from: now, sent: VecDeque::new() }
    }

    /// The source tells that a known back end is cold for `left`. One that turned cold may have had a warm one's
    /// load within the last second, so nothing is sent until that is over.
    pub fn on_update(&mut self, now: Timestamp, left: Duration) {
        if !left.is_zero() && !self.is_cold(now) {
            self.sending_from = now + WINDOW;
        }
        self.until = now + left;
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether this router, as one of those that hold the allowance, may send one more request.
    pub fn has_capacity(&self, now: Timestamp, holders: Holders) -> bool {
        let recent = self.sent.iter().rev().take_while(|sent| now.since(**sent) <= WINDOW);
        now >= self.sending_from && recent.count() < holders.requests as usize
    }

    /// A request is sent.
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
