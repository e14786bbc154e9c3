//! Speed of an engine in coarse steps with hysteresis.

/// Ratio of the speeds of two neighboring steps.
const STEP_FACTOR: f64 = 1.25;
/// Steps in each direction from the mean engine: 0.17 to 6 times its speed.
const MAX_STEP: f64 = 8.0;
/// Distance from a step, in steps, at which the speed leaves it. Well over half a step, so that
/// noise does not move an engine to and fro between two steps.
const LEAVING_DISTANCE: f64 = 0.8;

/// Speed relative to the mean engine of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct SpeedStep(i8);

impl SpeedStep {
    /// Returns the step after a measurement, given as the logarithm of the speed.
    pub fn after(self, log_speed: f64) -> Self {
        let position = (log_speed / STEP_FACTOR.ln()).clamp(-MAX_STEP, MAX_STEP);
        let is_left = (position - f64::from(self.0)).abs() > LEAVING_DISTANCE;
        if is_left { Self(position.round() as i8) } else { self }
    }

    /// Returns the number of steps above the mean engine.
    pub fn index(self) -> i8 {
        self.0
    }

    /// Returns the speed, 1 for the mean engine.
    pub fn speed(self) -> f64 {
        STEP_FACTOR.powi(i32::from(self.0))
    }
}
