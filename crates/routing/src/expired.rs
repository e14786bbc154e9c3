//! Back ends whose registry entries expired during an outage of the source.
//!
//! A back end renews its own entry at the source. During an outage it cannot, and the entry expires
//! although the back end is alive. Back ends that are missing right after an outage are therefore
//! kept for a grace period, in which living ones register again.

use crate::back_end::{BackEnd, BackEndId};
use derive_more::Display;
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a back end that is missing after an outage is kept. Living ones register again
/// within two seconds.
const GRACE_PERIOD: Duration = Duration::from_millis(2_000);
/// Time after an outage in which lists may lack living back ends.
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

    fn is_outage(&self) -> bool {
        self.failures.is_some_and(|known| known.last.since(known.first) >= MIN_OUTAGE)
    }
}

/// Back ends that are missing from the source and kept for a grace period.
#[derive(Debug, Default)]
pub struct ExpiredBackEnds {
    kept: BTreeMap<Arc<str>, (BackEndId, Timestamp)>,
}

impl ExpiredBackEnds {
    /// Keeps a ready back end that is missing while the source recovers from an outage.
    pub fn keep(&mut self, now: Timestamp, back_end: BackEnd) {
        self.kept.insert(back_end.id.name.clone(), (back_end.id, now + GRACE_PERIOD));
    }

    /// Stops keeping a name that is listed again, as any incarnation. Returns the kept back end.
    pub fn take(&mut self, name: &Arc<str>) -> Option<BackEndId> {
        self.kept.remove(name).map(|(id, _)| id)
    }

    /// Returns the number of kept back ends.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Removes and returns the back ends whose grace period is over.
    pub fn expire(&mut self, now: Timestamp) -> Vec<BackEndId> {
        let expired: Vec<BackEndId> = self
            .kept
            .values()
            .filter(|(_, until)| now >= *until)
            .map(|(id, _)| id.clone())
            .collect();
        expired.iter().for_each(|id| {
            self.kept.remove(&id.name);
        });
        expired
    }
}
