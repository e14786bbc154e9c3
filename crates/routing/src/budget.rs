//! The fleet's budget for requests that are sent a second time, kept without a message on the way.

use mastbay_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The budget of the whole fleet for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Second sends allowed for each request, over the window.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
    /// Second sends allowed in a window beside those.
    pub burst: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self { ratio: 0.2, window: Duration::from_secs(10), burst: 10.0 }
    }
}

/// Part of the fleet's budget that is used; the rest covers routers that this one does not know.
const USED_PART: f64 = 0.7;

/// One router's part of the budget of one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: BudgetLimits,
    /// No burst before this moment: an earlier life may have spent it.
    burst_from: Timestamp,
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// A budget; until `burst_from` only the router's own requests earn second sends.
    pub fn new(limits: BudgetLimits, burst_from: Timestamp) -> Self {
        Self { limits, burst_from, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// A request for the service came.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one second send, if the budget has it. `routers` is the number of routers of the fleet.
    pub fn take(&mut self, now: Timestamp, routers: usize) -> bool {
        if self.left(now, routers) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Second sends left now.
    pub fn left(&mut self, now: Timestamp, routers: usize) -> f64 {
        self.forget(now);
        let burst = if now < self.burst_from { 0.0 } else { self.limits.burst };
        let earned = self.limits.ratio * self.requests.len() as f64;
        let allowed = USED_PART * (earned + burst / routers.max(1) as f64);
        allowed - self.repeats.len() as f64
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) > self.limits.window) {
                times.pop_front();
            }
        }
    }
}
