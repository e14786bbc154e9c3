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
/// Minimum duration of an outage; entries survive shorter interruptions.
const MIN_OUTAGE: Duration = Duration::from_millis(1_000);

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

/// Detects outages of the source: times when no router of the fleet reaches it. A single router
/// that is cut off does not count, as the back ends still reach the source to renew their entries.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutageDetector {
    lost: Option<Timestamp>,
    recovering_until: Option<Timestamp>,
}

impl OutageDetector {
    /// Records that the last call of every router failed.
    pub fn on_lost(&mut self, now: Timestamp) {
        self.lost.get_or_insert(now);
    }

    /// Records that the last call of some router was answered.
    pub fn on_answer(&mut self, now: Timestamp) {
        if self.is_outage(now) {
            self.recovering_until = Some(now + RECOVERY_PERIOD);
        }
        self.lost = None;
    }

    /// Returns whether a list read now may lack living back ends.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        self.condition(now) != SourceCondition::Answering
    }

    /// Returns whether the source answers the fleet.
    pub fn condition(&self, now: Timestamp) -> SourceCondition {
        if self.is_outage(now) {
            SourceCondition::Outage
        } else if self.recovering_until.is_some_and(|until| now < until) {
            SourceCondition::Recovering
        } else {
            SourceCondition::Answering
        }
    }

    fn is_outage(&self, now: Timestamp) -> bool {
        self.lost.is_some_and(|lost| now.since(lost) >= MIN_OUTAGE)
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
