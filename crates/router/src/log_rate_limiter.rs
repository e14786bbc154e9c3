//! Limits the rate of log lines about requests, with separate limits for successes and failures,
//! and counts the suppressed lines.

use mastbay_types::Timestamp;
use std::time::Duration;

const MAX_SUCCESSES_PER_PERIOD: u32 = 200;
const MAX_FAILURES_PER_PERIOD: u32 = 250;
const PERIOD: Duration = Duration::from_secs(1);

/// The class of a log line, which selects its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLineKind {
    /// A line about a successful request.
    Success,
    /// A line about a failure.
    Failure,
}

/// The number of lines suppressed in one period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuppressedLines {
    /// Suppressed lines about successes.
    pub successes: u32,
    /// Suppressed lines about failures.
    pub failures: u32,
}

/// A fixed-window rate limiter for the log lines of one process.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    since: Timestamp,
    successes: u32,
    failures: u32,
}

impl LogRateLimiter {
    /// Returns whether a line may be written now. At the first line of a new period, also returns
    /// the number of lines suppressed in the previous one, if any.
    pub fn allow(&mut self, now: Timestamp, kind: LogLineKind) -> (bool, Option<SuppressedLines>) {
        let suppressed = self.start_period(now);
        let (used, max) = match kind {
            LogLineKind::Success => (&mut self.successes, MAX_SUCCESSES_PER_PERIOD),
            LogLineKind::Failure => (&mut self.failures, MAX_FAILURES_PER_PERIOD),
        };
        *used += 1;
        (*used <= max, suppressed)
    }

    fn start_period(&mut self, now: Timestamp) -> Option<SuppressedLines> {
        if now.since(self.since) < PERIOD {
            return None;
        }
        let suppressed = SuppressedLines {
            successes: self.successes.saturating_sub(MAX_SUCCESSES_PER_PERIOD),
            failures: self.failures.saturating_sub(MAX_FAILURES_PER_PERIOD),
        };
        *self = Self { since: now, successes: 0, failures: 0 };
        (suppressed.successes + suppressed.failures > 0).then_some(suppressed)
    }
}
