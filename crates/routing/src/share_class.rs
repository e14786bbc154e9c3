//! Classes of tenants by their usage relative to their fair share.

use std::time::Duration;

/// A tenant's usage relative to its max-min fair share of the capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", self.name())]
pub enum ShareClass {
    /// Up to half of the fair share.
    BelowHalf,
    /// Above half of the fair share, up to all of it.
    BelowShare,
    /// Above the fair share.
    AboveShare,
}

impl ShareClass {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BelowHalf => "below_half",
            Self::BelowShare => "below_share",
            Self::AboveShare => "above_share",
        }
    }
}

/// A tenant's class and the rates that it follows from, as known to one router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantShare {
    /// The class.
    pub class: ShareClass,
    /// Service that the tenant requests from the fleet, in tokens per second.
    pub asked: f64,
    /// Service that the fleet gives the tenant, in tokens per second.
    pub given: f64,
    /// The fair level, in tokens per second; `None` if all demand can be met.
    pub fair_level: Option<f64>,
    /// Age of the oldest tenant rates that were used.
    pub rates_age: Duration,
}
