//! How many requests a router may send to a version that is not judged yet.

use super::Side;

/// Bounds on what a version that turns out bad may have been sent, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Part of the service's requests.
    pub share: f64,
    /// Requests beyond that part.
    pub burst: f64,
}

impl Default for ExposureLimits {
    fn default() -> Self {
        Self { share: 0.1, burst: 50.0 }
    }
}

/// Part of the bound that is used: routers count sends, and a back end that takes none may be tried in vain beside them.
const USED: f64 = 0.7;
/// Routers may know each other only in part, so that more share the burst than each of them believes.
const BURST_USED: f64 = 0.5;
/// Part of an order's time in which the first, smaller part of the share is used.
const FIRST_STAGE: f64 = 0.25;
/// Part of the share in the first stage: a version that fails from the start meets fewer callers.
const FIRST_STAGE_SHARE: f64 = 0.4;

/// What this router sent to either side since the order.
#[derive(Debug, Clone, Copy, Default)]
pub struct Exposure {
    before: u64,
    canary: u64,
}

impl Exposure {
    /// A request was sent.
    pub fn on_sent(&mut self, side: Side) {
        match side {
            Side::Baseline => self.before += 1,
            Side::Canary => self.canary += 1,
        }
    }

    /// Whether one more may go to the canary after `elapsed` of the order's time, a part of it.
    pub fn allows(&self, limits: ExposureLimits, elapsed: f64, routers: usize) -> bool {
        let stage = if elapsed < FIRST_STAGE { FIRST_STAGE_SHARE } else { 1.0 };
        let of_share = (self.before + self.canary) as f64 * limits.share * USED * stage;
        let of_burst = limits.burst * BURST_USED * stage / routers.max(1) as f64;
        (self.canary + 1) as f64 <= of_share + of_burst
    }
}
