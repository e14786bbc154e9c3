//! Back ends whose registry entries expired during an outage of the source.
//!
//! A back end renews its own entry at the source. During an outage it cannot, and the entry expires
//! although the back end is alive. Back ends that are missing right after an outage are therefore
//! kept for a grace period, in which living ones register again. It ends at a fixed time after the
//! outage. The router that reads the source sets this time, and the others learn of it with the
//! update, so that no router adds the delay of its update to it.

use crate::back_end::{BackEnd, BackEndId};
use crate::revision::Revision;
use derive_more::Display;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after an outage in which lists may lack living back ends: these register again within two
/// seconds, and it takes routers some time to learn of it.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2_500);
/// Time within which a back end that a restored source lacks registers again.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(2_000);

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

/// A back end that is missing from the source and still used, as routers tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptBackEnd {
    /// The back end as it was listed last.
    pub back_end: BackEnd,
    /// Time for which it is still used unless it is listed again.
    pub remaining: Duration,
}

/// Until when back ends are kept that an update lacks; others have left.
pub struct Grace {
    /// For all of them.
    for_all: Option<Timestamp>,
    /// For those that the sender of the update keeps.
    for_some: BTreeMap<BackEndId, Timestamp>,
}

impl Grace {
    /// Creates the rule for an update in which the sender reports what it keeps itself. `for_all` is
    /// set if the update was read from a source that may lack living back ends.
    pub fn new(now: Timestamp, for_all: Option<Timestamp>, kept: &[KeptBackEnd]) -> Self {
        let by_sender = kept.iter().filter(|kept| !kept.remaining.is_zero());
        let by_sender = by_sender.map(|kept| (kept.back_end.id.clone(), now + kept.remaining));
        Self { for_all, for_some: by_sender.collect() }
    }

    /// Keeps all back ends that the update lacks, because the source was restored.
    pub fn on_restored(&mut self, now: Timestamp) {
        self.for_all = Some(now + REGISTRATION_PERIOD);
    }

    /// Returns the time until which a back end is kept; `None` if it has left.
    pub fn ends(&self, id: &BackEndId) -> Option<Timestamp> {
        self.for_some.get(id).copied().or(self.for_all)
    }
}

#[derive(Debug)]
struct Kept {
    back_end: BackEnd,
    until: Timestamp,
    /// Revision of the update that lacked the back end.
    since: Revision,
}

/// Back ends that are missing from the source and kept for a grace period, by name.
#[derive(Debug, Default)]
pub struct ExpiredBackEnds {
    kept: BTreeMap<Arc<str>, Kept>,
}

impl ExpiredBackEnds {
    /// Keeps a back end, which the update to revision `since` lacks, until a time.
    pub fn keep(&mut self, back_end: BackEnd, since: Revision, until: Timestamp) {
        self.kept.insert(back_end.id.name.clone(), Kept { back_end, until, since });
    }

    /// Stops keeping a name that is listed again, as any incarnation. Returns the kept back end.
    pub fn take(&mut self, name: &Arc<str>) -> Option<BackEndId> {
        self.kept.remove(name).map(|kept| kept.back_end.id)
    }

    /// Returns whether a name is kept, as any incarnation.
    pub fn contains(&self, name: &Arc<str>) -> bool {
        self.kept.contains_key(name)
    }

    /// Returns the number of kept back ends.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns the kept back ends for a peer, those that updates after revision `base` lack.
    pub fn report(&self, now: Timestamp, base: Option<Revision>) -> Vec<KeptBackEnd> {
        let newer = self.kept.values().filter(|kept| base.is_none_or(|base| kept.since > base));
        let reported = newer.map(|kept| KeptBackEnd {
            back_end: kept.back_end.clone(),
            remaining: kept.until.since(now),
        });
        reported.collect()
    }

    /// Removes and returns the back ends whose grace period is over.
    pub fn expire(&mut self, now: Timestamp) -> Vec<BackEndId> {
        let expired = self.kept.values().filter(|kept| now >= kept.until);
        let expired: Vec<BackEndId> = expired.map(|kept| kept.back_end.id.clone()).collect();
        expired.iter().for_each(|id| {
            self.kept.remove(&id.name);
        });
        expired
    }
}
