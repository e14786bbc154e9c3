//! The router's one source of time: a clock that never goes back and counts the time for which the machine is suspended.
//!
//! The standard library's clock stands still meanwhile. By it a request's time left is told to back ends as if its caller had stood
//! still too, and what was known before a suspension of minutes looks fresh after it. The time of day decides nothing.

use mastbay_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A clock.
#[derive(Debug, Default)]
pub struct Clock {
    /// Time by which it is ahead of the machine's, in microseconds; none but in tests. The HTTP library asks for what threads may share.
    ahead: AtomicU64,
}

impl Clock {
    /// Time since the machine started, suspensions included.
    pub fn now(&self) -> Timestamp {
        let now = clock_gettime(ClockId::Boottime);
        // Neither part is negative, and the second one is below a second.
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or_default();
        let ahead = Duration::from_micros(self.ahead.load(Ordering::Relaxed));
        Timestamp::ZERO + Duration::new(seconds, nanoseconds) + ahead
    }

    /// Goes ahead, as after a suspension.
    pub fn advance(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.ahead.fetch_add(micros, Ordering::Relaxed);
    }
}
