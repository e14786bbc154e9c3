//! The slots of an engine that tenants within their fair share do not need.
//!
//! A limit that a router adjusts by its own observations needs several of them within seconds. In a
//! large fleet a router and an engine meet too seldom, so this limit is a pure function of figures
//! that all routers know.

use crate::concurrency::ConcurrencyLimit;
use crate::load::Load;
use crate::policy::Policy;
use crate::service_level::ServiceLevelCounts;

/// Slots that tenants above their share get at least, so that an engine that misses objectives
/// for other reasons than load is not lost to them.
const MIN_SLOTS: f64 = 2.0;
/// Fraction of an engine's slots below which it has spare capacity for tenants above their share.
/// The rest is for requests within their share that arrive before a slot is free again.
pub const SPARE_SLOT_FRACTION: f64 = 0.75;
/// Age of the figures in seconds: arrivals at other routers during one round are not known yet.
const FIGURES_AGE: f64 = 0.08;

/// Figures of an engine that determine the limit for tenants above their fair share.
#[derive(Debug, Clone, Copy)]
pub struct SpareCapacity {
    /// Number of slots.
    pub slots: u32,
    /// Load from all routers.
    pub load: Load,
    /// Recent outcomes of requests of tenants within their share, over all routers.
    pub level: ServiceLevelCounts,
    /// Event interval of its streams relative to its own without load; `None` if unknown.
    pub slowdown: Option<f64>,
}

impl SpareCapacity {
    /// Returns the limit for requests of tenants above their share, in requests. It falls with the
    /// slowdown of streams; while tenants within their share miss objectives too often, a lower
    /// slowdown is accepted.
    pub fn limit(&self, policy: &Policy) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let spare = slots - self.within_share() - self.reserve();
        let initial = ConcurrencyLimit::initial(self.slots.max(1));
        let misses = (self.level.miss_rate() / policy.accepted_misses).max(1.0);
        let limit = match self.slowdown {
            Some(slowdown) => {
                let accepted =
                    if misses > 1.0 { policy.strained_slowdown } else { policy.slowdown };
                spare.max(initial) / (slowdown / accepted).max(1.0)
            }
            // Misses alone do not show that the load causes them, least of all while slots are free.
            None => {
                let below_spare_fraction = slots * SPARE_SLOT_FRACTION - self.within_share();
                (spare / misses).max(initial).max(below_spare_fraction)
            }
        };
        limit.clamp(MIN_SLOTS.min(slots), slots)
    }

    /// Returns the number of running requests of tenants within their share.
    fn within_share(&self) -> f64 {
        f64::from(self.load.running.saturating_sub(self.load.above_share))
    }

    /// Returns the slots to keep free for arrivals within share until the next slot frees up: the
    /// expected number and one standard deviation. By Little's law, requests within share arrive at
    /// the rate of their running number over the time they take, and a slot frees up in that time
    /// over the number of all running requests. The deviation includes arrivals that are not
    /// reported yet.
    fn reserve(&self) -> f64 {
        let rate = self.level.requests_per_second();
        if rate <= 0.0 {
            return 0.0;
        }
        let expected = self.within_share() / f64::from(self.load.running.max(1));
        expected + (expected + rate * FIGURES_AGE).sqrt()
    }
}
