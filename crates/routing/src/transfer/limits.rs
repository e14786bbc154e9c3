//! Size and bandwidth of transfers, as configured for a service.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time to set up a transfer, which does not depend on its size.
const SETUP: Duration = Duration::from_millis(5);
/// Factor on the time of a transfer between zones.
const OTHER_ZONE_FACTOR: u32 = 2;

/// Properties of transfers between the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferLimits {
    /// Size of a cached token.
    pub bytes_per_token: u64,
    /// Bandwidth in megabits per second.
    pub bandwidth_mbps: u64,
}

impl TransferLimits {
    /// Creates limits from configured numbers. Returns `None` if one of them is absent or less than
    /// one, so that no transfer is possible.
    pub fn from_numbers(bytes_per_token: Option<f64>, bandwidth_mbps: Option<f64>) -> Option<Self> {
        let whole = |number: f64| (number.is_finite() && number >= 1.0).then_some(number as u64);
        Some(Self {
            bytes_per_token: whole(bytes_per_token?)?,
            bandwidth_mbps: whole(bandwidth_mbps?)?,
        })
    }

    /// Returns the time to transfer `tokens` from an engine that has `in_progress` other transfers,
    /// since an engine does one transfer after another.
    pub fn time(&self, tokens: u64, is_same_zone: bool, in_progress: u32) -> Duration {
        let bits = tokens as f64 * self.bytes_per_token as f64 * 8.0;
        let seconds = bits / (self.bandwidth_mbps.max(1) as f64 * 1e6);
        let sending = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        let zone_factor = if is_same_zone { 1 } else { OTHER_ZONE_FACTOR };
        let single = sending.saturating_add(SETUP).saturating_mul(zone_factor);
        single.saturating_mul(in_progress.saturating_add(1))
    }
}
