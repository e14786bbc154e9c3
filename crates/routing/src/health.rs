//! Passive health checking: the health of a back end as observed by this router's exchanges. Health
//! endpoints may be wrong and lists may be outdated.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Fault of an exchange with a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be established.
    Unreachable,
    /// The connection broke, timed out or carried an unexpected response.
    Broken,
    /// The back end answered with an error of its own.
    Failure,
    /// The back end reported that it is at capacity.
    Full,
    /// Another incarnation of a back end has the address.
    Replaced,
}

/// Cooldown after the first failure to connect; doubles with each further one.
const INITIAL_COOLDOWN: Duration = Duration::from_millis(400);
/// Maximum cooldown.
const MAX_COOLDOWN: Duration = Duration::from_millis(3_000);
/// Cooldown after a back end reported that it is at capacity.
const FULL_COOLDOWN: Duration = Duration::from_millis(50);
/// Weight of one exchange in the failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.12;
/// Half-life of the failure rate while no requests are sent.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Health of one back end.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Failure rate at `updated_at`.
    last_failure_rate: f64,
    updated_at: Timestamp,
    /// Number of failures to connect since the last success.
    failed_connects: u32,
    cooldown_until: Timestamp,
}

impl Health {
    /// Records a successful exchange.
    pub fn on_success(&mut self, now: Timestamp) {
        self.update_failure_rate(now, 0.0);
        self.failed_connects = 0;
    }

    /// Records a failed exchange.
    pub fn on_fault(&mut self, now: Timestamp, fault: Fault) {
        match fault {
            Fault::Full => self.cool_down(now, FULL_COOLDOWN),
            Fault::Replaced => self.cool_down(now, MAX_COOLDOWN),
            Fault::Failure | Fault::Broken => self.update_failure_rate(now, 1.0),
            Fault::Unreachable => {
                self.update_failure_rate(now, 1.0);
                let cooldown = INITIAL_COOLDOWN * 2_u32.pow(self.failed_connects.min(8));
                self.cool_down(now, cooldown.min(MAX_COOLDOWN));
                self.failed_connects += 1;
            }
        }
    }

    /// Returns whether no request should be sent to the back end now.
    pub fn is_cooling_down(&self, now: Timestamp) -> bool {
        now < self.cooldown_until
    }

    /// Returns until when no request should be sent because connecting failed; `None` if it did not.
    pub fn unreachable_until(&self, now: Timestamp) -> Option<Timestamp> {
        let is_unreachable = self.failed_connects > 0 && self.is_cooling_down(now);
        is_unreachable.then_some(self.cooldown_until)
    }

    /// Returns the estimated fraction of failing exchanges, 0 to 1.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        let halvings =
            now.since(self.updated_at).as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.last_failure_rate * 0.5_f64.powf(halvings)
    }

    fn cool_down(&mut self, now: Timestamp, cooldown: Duration) {
        self.cooldown_until = self.cooldown_until.max(now + cooldown);
    }

    fn update_failure_rate(&mut self, now: Timestamp, outcome: f64) {
        let rate = self.failure_rate(now);
        self.last_failure_rate = rate + FAILURE_RATE_SMOOTHING * (outcome - rate);
        self.updated_at = now;
    }
}
