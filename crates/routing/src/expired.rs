//! Back ends whose registry entries expired during an outage of the source.
//!
//! A back end renews its own entry at the source. During an outage it cannot, and the entry expires
//! although the back end is alive. Back ends that are missing right after an outage are therefore
//! kept for a grace period, in which living ones register again. It ends at a fixed time after the
//! outage. The router that reads the source sets this time, and the others learn of it with the
//! update, so that no router adds the delay of its update to it.

use crate::back_end::{BackEnd, BackEndId};
use crate::revision::Revision;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time within which a back end that a restored source lacks registers again.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(2_000);

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
