//! The fleet-wide retry budget of a service, enforced by each router without coordination.

use mastbay_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Retry budget of the whole fleet for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Number of retries allowed per request over the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of retries allowed per window in addition.
    pub burst: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self { ratio: 0.2, window: Duration::from_secs(10), burst: 10.0 }
    }
}

/// Fraction of the fleet's budget that is used. The rest covers routers that are not known yet, and
/// retries that arrive in another window than the requests that allowed them.
const USED_FRACTION: f64 = 0.7;

/// Returns one router's share of a burst that `routers` divide; nothing if their number is unknown.
pub(crate) fn share_of_burst(burst: f64, routers: Option<usize>) -> f64 {
    routers.map_or(0.0, |routers| burst / routers.max(1) as f64)
}

/// One router's share of the retry budget of one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: BudgetLimits,
    /// Time before which there is no burst, as an earlier incarnation may have spent it.
    burst_from: Timestamp,
    /// Rounding offset of this router, uniform in 0..1 over the fleet, see [`Self::remaining`].
    rounding: f64,
    requests: VecDeque<Timestamp>,
    /// Retries that were taken and may still arrive at a back end.
    pending: u32,
    /// Times from which on the other retries of the window could not arrive any more.
    settled: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// Creates a budget. Until `burst_from` only the router's own requests allow retries.
    /// `rounding` is this router's draw, uniform in 0..1 over the routers of a fleet.
    pub fn new(limits: BudgetLimits, burst_from: Timestamp, rounding: f64) -> Self {
        let (requests, settled) = (VecDeque::new(), VecDeque::new());
        Self { limits, burst_from, rounding, requests, pending: 0, settled }
    }

    /// Records a request for the service.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one retry if the budget allows it. It stays charged until it is returned, or for one
    /// window after it is settled. `routers` is the number of routers that may be spending the
    /// budget; without it, only the router's own requests allow retries.
    pub fn take(&mut self, now: Timestamp, routers: Option<usize>) -> bool {
        if self.remaining(now, routers) == 0 {
            return false;
        }
        self.pending += 1;
        true
    }

    /// Returns a retry that was taken and not used.
    pub fn return_one(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Records that `retries` can't arrive at a back end any more. They stay charged for one window
    /// from now on.
    pub fn settle(&mut self, now: Timestamp, retries: u32) {
        self.pending = self.pending.saturating_sub(retries);
        self.settled.extend(std::iter::repeat_n(now, retries as usize));
        self.expire(now);
    }

    /// Returns the number of remaining retries. A router's share of the burst may be less than one
    /// retry; it is rounded up or down by the router's draw, so that the shares of all routers add
    /// up to the burst on average. Without rounding, 985 routers with a burst of 1,040 had 0.74
    /// retries each and used none.
    pub fn remaining(&mut self, now: Timestamp, routers: Option<usize>) -> u32 {
        self.expire(now);
        let earned = USED_FRACTION * self.limits.ratio * self.requests.len() as f64;
        let divisor = routers.filter(|_| now >= self.burst_from);
        let burst = share_of_burst(USED_FRACTION * self.limits.burst, divisor);
        let is_divided = divisor.is_some_and(|routers| routers > 1);
        let rounding = if is_divided { self.rounding } else { 0.0 };
        // The earned part changes with each request; rounding it too would exceed the budget.
        let rounded = earned.floor() + (burst + rounding).floor();
        let allowed = (earned + burst).floor().max(rounded);
        (allowed as u32).saturating_sub(self.pending + self.settled.len() as u32)
    }

    fn expire(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.settled] {
            while times.front().is_some_and(|time| now.since(*time) > self.limits.window) {
                times.pop_front();
            }
        }
    }
}
