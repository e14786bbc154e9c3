//! Back ends whose entries lapsed while their source was away.
//!
//! A back end keeps its own entry at the source; while the source is away it cannot, and the entry lapses
//! though the back end lives. Once the source is back, living ones are listed again within moments. So
//! what is missing right after an outage is kept for a while, and taken as gone if it stays missing.

use crate::back_end::{BackEnd, BackEndId};
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a back end is kept that is missing after an outage. Living ones are back within two
/// seconds.
const KEPT: Duration = Duration::from_millis(2_000);
/// Time after an outage in which lists may lack living back ends.
const RECOVERY: Duration = Duration::from_millis(2_500);
/// Shorter outages lapse nothing.
const SHORTEST_OUTAGE: Duration = Duration::from_millis(1_000);

/// Follows whether any router of the fleet has contact with the source. One that is cut off alone says
/// nothing about the source: entries lapse only while it is away for the back ends too.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutageDetector {
    lost: Option<Timestamp>,
    recovering_until: Option<Timestamp>,
}

impl OutageDetector {
    /// No router's last call was answered.
    pub fn on_lost(&mut self, now: Timestamp) {
        self.lost.get_or_insert(now);
    }

    /// Some router's last call was answered.
    pub fn on_answer(&mut self, now: Timestamp) {
        if self.is_outage(now) {
            self.recovering_until = Some(now + RECOVERY);
        }
        self.lost = None;
    }

    /// Whether a list read now may lack living back ends.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        self.is_outage(now) || self.recovering_until.is_some_and(|until| now < until)
    }

    fn is_outage(&self, now: Timestamp) -> bool {
        self.lost.is_some_and(|lost| now.since(lost) >= SHORTEST_OUTAGE)
    }
}

/// The back ends that are missing from the source and kept for a while.
#[derive(Debug, Default)]
pub struct ExpiredBackEnds {
    kept: BTreeMap<Arc<str>, (BackEndId, Timestamp)>,
}

impl ExpiredBackEnds {
    /// A back end that took work is missing, while the source is just recovering from an outage.
    pub fn keep(&mut self, now: Timestamp, back_end: BackEnd) {
        self.kept.insert(back_end.id.name.clone(), (back_end.id, now + KEPT));
    }

    /// A name is listed again, with whatever life. Gives the one that was kept under it.
    pub fn take(&mut self, name: &Arc<str>) -> Option<BackEndId> {
        self.kept.remove(name).map(|(id, _)| id)
    }

    /// Gives those whose time is over, which are gone.
    pub fn expire(&mut self, now: Timestamp) -> Vec<BackEndId> {
        let gone: Vec<BackEndId> = self
            .kept
            .values()
            .filter(|(_, until)| now >= *until)
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().for_each(|id| {
            self.kept.remove(&id.name);
        });
        gone
    }
}
