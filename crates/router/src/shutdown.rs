//! The planned stop of a router: its phases, and which requests still end before its limit.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Time for load balancers to notice that the router is not ready; it still accepts connections.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time before the stop limit at which remaining requests are cut off.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// Time before that at which requests without an answer get one of the router's own, so that they
/// don't end in a closed connection.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);

/// The earliest that a late router begins the last answers before their time.
const MAX_EARLY_ANSWERS: Duration = Duration::from_millis(800);
/// Time for writing the last answers, however late they begin.
pub const LAST_ANSWERS_MIN_TIME: Duration = Duration::from_millis(150);

/// Retry delay returned to callers of requests that are rejected: another router is a connect away.
pub const STOP_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The phases of a router's life with regard to a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No stop was asked for.
    Running,
    /// Load balancers may still send requests, and all are accepted.
    Notice,
    /// Requests in progress complete. Another one is accepted only if it ends in time.
    Draining,
}

/// The moments of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// The earliest time at which the signal may have arrived.
    pub signalled: Timestamp,
    /// When the router closes its listeners.
    pub notice_end: Timestamp,
    /// When requests without an answer get one of the router's own.
    pub last_answers: Timestamp,
    /// When the remaining requests are cut off.
    pub limit: Timestamp,
}

impl StopSchedule {
    /// Creates the schedule of a stop that must be over `stop_limit` after `signalled`.
    pub fn new(signalled: Timestamp, stop_limit: Duration) -> Self {
        let until_last_answers = stop_limit.saturating_sub(STOP_MARGIN + LAST_ANSWERS_TIME);
        let notice = READINESS_NOTICE_TIME.min(until_last_answers / 2);
        Self {
            signalled,
            notice_end: signalled + notice,
            last_answers: signalled + until_last_answers,
            limit: signalled + until_last_answers + LAST_ANSWERS_TIME,
        }
    }

    /// Returns whether the last answers begin now. If timers may fire as late as `lateness`, the next
    /// look may come after the process was killed.
    pub fn begins_last_answers(&self, now: Timestamp, lateness: Duration) -> bool {
        now + lateness.min(MAX_EARLY_ANSWERS) >= self.last_answers
    }

    /// Returns the time from the signal to `at` in milliseconds, negative if `at` is earlier.
    pub fn offset_milliseconds(&self, at: Timestamp) -> i64 {
        let milliseconds =
            |time: Timestamp| i64::try_from(time.as_micros() / 1_000).unwrap_or(i64::MAX);
        milliseconds(at) - milliseconds(self.signalled)
    }
}

/// Whether and how a router stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Shutdown {
    /// No stop was asked for.
    #[default]
    Running,
    /// The router stops by this schedule.
    Stopping(StopSchedule),
}

impl Shutdown {
    /// Returns the schedule of the stop; `None` if there is none.
    pub fn schedule(&self) -> Option<StopSchedule> {
        match self {
            Self::Running => None,
            Self::Stopping(schedule) => Some(*schedule),
        }
    }

    /// Returns the phase at `now`.
    pub fn phase(&self, now: Timestamp) -> ShutdownPhase {
        match self {
            Self::Running => ShutdownPhase::Running,
            Self::Stopping(schedule) if now < schedule.notice_end => ShutdownPhase::Notice,
            Self::Stopping(_) => ShutdownPhase::Draining,
        }
    }

    /// Returns whether a request that was not sent to a back end yet may still be sent at `now`. In
    /// the draining phase its deadline must precede the last answers, since nothing else tells how
    /// long it runs.
    pub fn accepts(&self, now: Timestamp, deadline: Timestamp) -> bool {
        match self {
            Self::Running => true,
            Self::Stopping(schedule) => {
                now < schedule.notice_end || deadline <= schedule.last_answers
            }
        }
    }
}
