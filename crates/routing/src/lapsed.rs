//! Back ends whose entries lapsed while their source was away.
//!
//! A back end keeps its own entry at the source; while the source is away it cannot, and the entry lapses
//! though the back end lives. Once the source is back, living ones are listed again within moments. So
//! what is missing right after an outage is kept for a while, and taken as gone if it stays missing.

use crate::back_end::{BackEnd, BackEndId, BackEndList, BackEndState};
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
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
pub struct OutageWatch {
    lost: Option<Timestamp>,
    recovering_until: Option<Timestamp>,
}

impl OutageWatch {
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

/// The back ends that are missing from the newest list and kept for a while.
#[derive(Debug, Default)]
pub struct LapsedBackEnds {
    kept: BTreeMap<BackEndId, (BackEnd, Timestamp)>,
}

impl LapsedBackEnds {
    /// A list replaces another: those that took work and are missing are kept, if the source is just
    /// `recovering` from an outage. Those that are listed are kept no longer.
    pub fn on_list(
        &mut self,
        now: Timestamp,
        recovering: bool,
        old: &BackEndList,
        new: &BackEndList,
    ) {
        // A back end that is listed with a later life has no earlier one that could be missing.
        let listed: BTreeSet<&str> = new.back_ends.iter().map(|listed| &*listed.id.name).collect();
        self.kept.retain(|id, _| !listed.contains(&*id.name));
        if !recovering {
            return;
        }
        let missing = old.back_ends.iter().filter(|known| !listed.contains(&*known.id.name));
        for back_end in missing.filter(|known| known.state == BackEndState::Ready) {
            self.kept.insert(back_end.id.clone(), (back_end.clone(), now + KEPT));
        }
    }

    /// Takes those whose time is over as gone. Gives whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.kept.len();
        self.kept.retain(|_, (_, until)| now < *until);
        self.kept.len() < before
    }

    /// A list with those that are kept.
    pub fn with_kept(&self, list: &BackEndList) -> BackEndList {
        let mut list = list.clone();
        list.back_ends.extend(self.kept.values().map(|(back_end, _)| back_end.clone()));
        list
    }
}
