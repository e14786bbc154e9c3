//! A bound on log lines about requests: under load failures are kept before successes, and what is left
//! out is counted.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Lines about successes in a second.
const SUCCESSES_PER_SECOND: u32 = 200;
/// Lines about failures in a second.
const FAILURES_PER_SECOND: u32 = 250;
/// The time that a budget holds for.
const PERIOD: Duration = Duration::from_secs(1);

/// Whether a line tells of a success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLineKind {
    /// It does.
    Success,
    /// It tells of a failure.
    Failure,
}

/// Lines that were left out in a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuppressedLines {
    /// About successes.
    pub successes: u32,
    /// About failures.
    pub failures: u32,
}

/// The budget of one process.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    since: Timestamp,
    successes: u32,
    failures: u32,
}

impl LogRateLimiter {
    /// Whether a line may be written now; and what the period that just ended left out.
    pub fn allow(&mut self, now: Timestamp, kind: LogLineKind) -> (bool, Option<SuppressedLines>) {
        let left_out = self.begin_period(now);
        let (used, most) = match kind {
            LogLineKind::Success => (&mut self.successes, SUCCESSES_PER_SECOND),
            LogLineKind::Failure => (&mut self.failures, FAILURES_PER_SECOND),
        };
        *used += 1;
        (*used <= most, left_out)
    }

    fn begin_period(&mut self, now: Timestamp) -> Option<SuppressedLines> {
        if now.since(self.since) < PERIOD {
            return None;
        }
        let left_out = SuppressedLines {
            successes: self.successes.saturating_sub(SUCCESSES_PER_SECOND),
            failures: self.failures.saturating_sub(FAILURES_PER_SECOND),
        };
        *self = Self { since: now, successes: 0, failures: 0 };
        (left_out.successes + left_out.failures > 0).then_some(left_out)
    }
}
