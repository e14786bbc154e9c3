//! Monotonic and wall-clock time of a process.

use mastbay_types::{Incarnation, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at its creation; wall-clock time is read through associated
/// functions.
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
    /// Returns the monotonic time, which advances while the process is suspended by a signal.
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time in seconds since the Unix epoch.
    pub fn unix_seconds() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
    }

    /// Returns an incarnation number for a process that starts now, from the wall clock. It is
    /// higher than those of earlier incarnations unless the clock was set back in between.
    pub fn incarnation() -> Incarnation {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
