//! What a router believes of a back end from its own exchanges: health answers may lie and lists lag.

use mastbay_types::Timestamp;
use std::time::Duration;

/// What went wrong with an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection came up.
    Unreachable,
    /// It broke, timed out or answered something else.
    Broken,
    /// It answered with a failure of its own.
    Failure,
    /// It says that it is full.
    Full,
    /// Another life of a back end has its address.
    Replaced,
}

/// First pause after a fault that says that the back end is not there.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_000);
/// Pause after a back end said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Part of the failure share that one exchange moves.
const GAIN: f64 = 0.12;
/// Time in which the failure share halves while nothing is sent.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// The state of one back end.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: f64,
    moved: Timestamp,
    pauses: u32,
    paused_until: Timestamp,
}

impl Health {
    /// An exchange went well.
    pub fn on_success(&mut self, now: Timestamp) {
        self.move_share(now, 0.0);
        self.pauses = 0;
    }

    /// An exchange went wrong.
    pub fn on_fault(&mut self, now: Timestamp, fault: Fault) {
        match fault {
            Fault::Full => self.pause(now, FULL_PAUSE),
            Fault::Replaced => self.pause(now, LONGEST_PAUSE),
            Fault::Failure | Fault::Broken => self.move_share(now, 1.0),
            Fault::Unreachable => {
                self.move_share(now, 1.0);
                let pause = FIRST_PAUSE * 2_u32.pow(self.pauses.min(8));
                self.pause(now, pause.min(LONGEST_PAUSE));
                self.pauses += 1;
            }
        }
    }

    /// Whether nothing should be sent to it now.
    pub fn is_cooling_down(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// The share of exchanges that fail, 0 to 1, as believed now.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        let halvings = now.since(self.moved).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(halvings)
    }

    fn pause(&mut self, now: Timestamp, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    fn move_share(&mut self, now: Timestamp, outcome: f64) {
        let share = self.failure_rate(now);
        self.failures = share + GAIN * (outcome - share);
        self.moved = now;
    }
}
