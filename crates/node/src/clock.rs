//! The two clocks of a process.

use mastbay_types::{Incarnation, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time since the process started, and wall-clock time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock {
    /// Monotonic time. Goes on while the process is stopped by a signal.
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Seconds since 1970, for what others read.
    pub fn unix_seconds() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
    }

    /// A number for this life of the process: higher than that of any earlier life, unless the wall
    /// clock was set back across a restart.
    pub fn incarnation() -> Incarnation {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
