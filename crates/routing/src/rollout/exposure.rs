//! Limits the number of requests that are sent to a canary version.

use super::Side;
use crate::budget::share_of_burst;

/// Fleet-wide limits on the requests sent to a version that is still being evaluated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Maximum fraction of the service's requests.
    pub share: f64,
    /// Number of requests allowed beyond that fraction.
    pub burst: f64,
}

impl Default for ExposureLimits {
    fn default() -> Self {
        Self { share: 0.1, burst: 50.0 }
    }
}

/// Fraction of the share that is used. The rest covers attempts at other back ends that are not
/// counted as sent.
const SHARE_USED: f64 = 0.7;
/// Fraction of the burst that is used. The rest covers routers that this one does not know.
const BURST_USED: f64 = 0.5;
/// Fraction of an order's duration that the first stage takes.
const FIRST_STAGE: f64 = 0.25;
/// Fraction of the limits used in the first stage, to expose fewer clients to a version that fails
/// from the start.
const FIRST_STAGE_FRACTION: f64 = 0.4;

/// Number of requests that this router has sent to each side since the order.
#[derive(Debug, Clone, Copy, Default)]
pub struct Exposure {
    baseline: u64,
    canary: u64,
}

impl Exposure {
    /// Records a request sent to a side.
    pub fn on_sent(&mut self, side: Side) {
        match side {
            Side::Baseline => self.baseline += 1,
            Side::Canary => self.canary += 1,
        }
    }

    /// Returns whether one more request may be sent to the canary. `elapsed` is a fraction of the
    /// order's duration; `routers` share the burst, of which nothing is used if their number is
    /// unknown.
    pub fn allows(&self, limits: ExposureLimits, elapsed: f64, routers: Option<usize>) -> bool {
        let stage = if elapsed < FIRST_STAGE { FIRST_STAGE_FRACTION } else { 1.0 };
        let of_share = (self.baseline + self.canary) as f64 * limits.share * SHARE_USED * stage;
        let of_burst = share_of_burst(limits.burst * BURST_USED * stage, routers);
        (self.canary + 1) as f64 <= of_share + of_burst
    }
}
