//! The router's time source: a monotonic clock that includes suspensions of the machine.
//!
//! `std::time::Instant` stops during a suspension, so requests would reach back ends with too much
//! time left, and state from before it would look fresh. Wall-clock time is only compared with the
//! times that the kernel records in it.

use mastbay_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The boot-time clock and the wall clock, with an offset for tests.
#[derive(Debug, Default)]
pub struct Clock {
    /// Offset in microseconds, zero except in tests. Atomic because the HTTP library's timer trait
    /// requires `Sync`.
    offset_micros: AtomicU64,
}

impl Clock {
    /// Returns the time since the machine started, suspensions included.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.read(ClockId::Boottime)
    }

    /// Returns the wall-clock time since the Unix epoch.
    pub fn wall_clock(&self) -> Duration {
        self.read(ClockId::Realtime)
    }

    fn read(&self, clock: ClockId) -> Duration {
        let now = clock_gettime(clock);
        // Neither part is negative, and `tv_nsec` is below one second.
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or_default();
        let offset = Duration::from_micros(self.offset_micros.load(Ordering::Relaxed));
        Duration::new(seconds, nanoseconds) + offset
    }

    /// Advances the clock by `span`, as a suspension does.
    pub fn advance(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.offset_micros.fetch_add(micros, Ordering::Relaxed);
    }
}
