//! Detects outages of the source of configuration and back ends.
//!
//! During an outage back ends cannot renew their entries. A single router that cannot reach the
//! source proves none, nor does the lack of news from other routers.

use derive_more::Display;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Time after an outage in which lists may lack living back ends: these register again within two
/// seconds, and it takes routers some time to learn of it.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2_500);
/// Minimum time between the first and the last failure of an outage; entries survive shorter
/// interruptions.
const MIN_OUTAGE: Duration = Duration::from_millis(1_000);
/// Maximum time between two observations of the same outage. After a longer one, for example when
/// the router was stalled, earlier failures say nothing about the time between.
const MAX_FAILURE_GAP: Duration = Duration::from_millis(1_000);

/// Whether the source answers the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum SourceCondition {
    /// It answers, or has failed for a short time only.
    #[default]
    #[display("answering")]
    Answering,
    /// It has answered no router for a while.
    #[display("outage")]
    Outage,
    /// It answers again after an outage; its lists may lack living back ends.
    #[display("recovering")]
    Recovering,
}

/// What the routers that call the source report, by one router's view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceAvailability {
    /// The last call of some router was answered.
    Answering,
    /// Calls fail, and no router is known whose last call was answered.
    Failing,
    /// No router is known that calls the source.
    Unknown,
}

/// Consecutive observations of failing calls.
#[derive(Debug, Clone, Copy)]
struct Failures {
    first: Timestamp,
    last: Timestamp,
}

/// Detects outages of the source: times when the calls of all routers fail. Neither a single router
/// that is cut off counts, as the back ends still reach the source to renew their entries, nor a
/// time in which no router is known to call the source.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutageDetector {
    failures: Option<Failures>,
    recovering_until: Option<Timestamp>,
}

impl OutageDetector {
    /// Records what is known of the routers' calls now.
    pub fn observe(&mut self, now: Timestamp, availability: SourceAvailability) {
        match availability {
            SourceAvailability::Answering => self.on_answer(now),
            SourceAvailability::Failing => self.on_failure(now),
            SourceAvailability::Unknown => {}
        }
    }

    fn on_answer(&mut self, now: Timestamp) {
        if self.is_outage() {
            self.recovering_until = Some(now + RECOVERY_PERIOD);
        }
        self.failures = None;
    }

    fn on_failure(&mut self, now: Timestamp) {
        let earlier = self.failures.filter(|known| now.since(known.last) <= MAX_FAILURE_GAP);
        let first = earlier.map_or(now, |known| known.first);
        self.failures = Some(Failures { first, last: now });
    }

    /// Returns whether a list read now may lack living back ends.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        self.condition(now) != SourceCondition::Answering
    }

    /// Returns whether the source answers the fleet.
    pub fn condition(&self, now: Timestamp) -> SourceCondition {
        if self.is_outage() {
            SourceCondition::Outage
        } else if self.recovering_until.is_some_and(|until| now < until) {
            SourceCondition::Recovering
        } else {
            SourceCondition::Answering
        }
    }

    /// Returns the time until which back ends are kept that are missing from a list read now; `None`
    /// if they have left.
    pub fn grace_ends(&self, now: Timestamp) -> Option<Timestamp> {
        if self.is_outage() {
            return Some(now + RECOVERY_PERIOD);
        }
        self.recovering_until.filter(|until| now < *until)
    }

    fn is_outage(&self) -> bool {
        self.failures.is_some_and(|known| known.last.since(known.first) >= MIN_OUTAGE)
    }
}
