//! The part of a request in a roll-out: its version and its time relative to the expected one.

use crate::rollout::Side;
use std::time::Duration;

/// A request that counts in a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct RolloutRequest {
    pub side: Side,
    pub route: u32,
    /// Expected time to the first byte; a constant for plain requests.
    pub expected: Duration,
    /// Measured time to the first byte.
    pub taken: Option<Duration>,
}

/// Expected time for plain requests, which have no size to predict one from.
pub const PLAIN_EXPECTED_TIME: Duration = Duration::from_millis(1);

impl RolloutRequest {
    pub fn on_first_event(&mut self, taken: Duration) {
        self.taken.get_or_insert(taken);
    }

    pub fn relative_to_expected(&self, taken: Duration) -> f64 {
        taken.as_secs_f64() / self.expected.max(PLAIN_EXPECTED_TIME).as_secs_f64()
    }
}
