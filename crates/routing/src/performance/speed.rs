//! Speed of an engine in coarse steps with hysteresis.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Ratio of the speeds of two neighboring steps.
const STEP_FACTOR: f64 = 1.25;
/// Steps in each direction from the mean engine: 0.17 to 6 times its speed.
const MAX_STEP: f64 = 8.0;
/// Distance from a step, in steps, at which the speed leaves it at once. Well over half a step, so
/// that noise does not move an engine to and fro between two steps.
const LEAVING_DISTANCE: f64 = 0.8;
/// Time for which another step has to be the nearest one before the speed takes it at a shorter
/// distance. Without it, routers with the same sums and different histories would keep different
/// steps.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Speed relative to the mean engine of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct SpeedStep(i8);

impl SpeedStep {
    /// Returns the number of steps above the mean engine.
    pub fn index(self) -> i8 {
        self.0
    }

    /// Returns the speed, 1 for the mean engine.
    pub fn speed(self) -> f64 {
        STEP_FACTOR.powi(i32::from(self.0))
    }
}

/// The speed step of an engine over time.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedTracker {
    step: SpeedStep,
    is_measured: bool,
    /// Since when another step is the nearest one.
    elsewhere_since: Option<Timestamp>,
}

impl SpeedTracker {
    /// Returns the current step.
    pub fn step(&self) -> SpeedStep {
        self.step
    }

    /// Returns whether the speed has been measured. Later it may be an old one.
    pub fn is_measured(&self) -> bool {
        self.is_measured
    }

    /// Processes a measurement, given as the logarithm of the speed, or the lack of one. Returns
    /// whether the step changed.
    pub fn update(&mut self, now: Timestamp, log_speed: Option<f64>) -> bool {
        let Some(log_speed) = log_speed else {
            self.elsewhere_since = None;
            return false;
        };
        self.is_measured = true;
        let position = (log_speed / STEP_FACTOR.ln()).clamp(-MAX_STEP, MAX_STEP);
        let nearest = SpeedStep(position.round() as i8);
        if nearest == self.step {
            self.elsewhere_since = None;
            return false;
        }
        let since = *self.elsewhere_since.get_or_insert(now);
        let is_far = (position - f64::from(self.step.0)).abs() > LEAVING_DISTANCE;
        let is_left = is_far || now.since(since) >= SETTLING_TIME;
        if is_left {
            *self = Self { step: nearest, elsewhere_since: None, ..*self };
        }
        is_left
    }
}
