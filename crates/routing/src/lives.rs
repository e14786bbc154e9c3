//! Which life of a back end is the latest.
//!
//! A back end may start again under its name. What an earlier life wrote may come later than what the new one did.

use crate::back_end::{BackEnd, BackEndId, BackEndList};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Names that are remembered after they are listed no more; past this, those are forgotten.
const MOST_REMEMBERED: usize = 8_192;

/// The latest lives that any list named.
#[derive(Debug, Default)]
pub struct LatestLives(HashMap<Arc<str>, u64>);

impl LatestLives {
    /// A newer list without entries of lives that are over: in place of one stands what was `known` of the latest life, if that was
    /// listed.
    pub fn of(&mut self, known: Option<&BackEndList>, offered: BackEndList) -> BackEndList {
        let revision = offered.revision;
        let offered = offered.back_ends.into_iter();
        let back_ends: Vec<BackEnd> =
            offered.filter_map(|back_end| self.latest_of(known, back_end)).collect();
        self.make_room(&back_ends);
        BackEndList { revision, back_ends }
    }

    fn latest_of(&mut self, known: Option<&BackEndList>, offered: BackEnd) -> Option<BackEnd> {
        let BackEndId { name, life } = &offered.id;
        let latest = self.0.entry(name.clone()).or_default();
        if *life >= *latest {
            *latest = *life;
            return Some(offered);
        }
        let latest = BackEndId { name: name.clone(), life: *latest };
        let known = known?.back_ends.iter();
        known.into_iter().find(|back_end| back_end.id == latest).cloned()
    }

    fn make_room(&mut self, listed: &[BackEnd]) {
        if self.0.len() > MOST_REMEMBERED {
            let listed: HashSet<&Arc<str>> =
                listed.iter().map(|back_end| &back_end.id.name).collect();
            self.0.retain(|name, _| listed.contains(name));
        }
    }
}
