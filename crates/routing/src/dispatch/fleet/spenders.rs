//! How many routers may be spending their shares of a budget of the fleet.
//!
//! A share must be small enough for all routers that may exist, not only for those heard from now:
//! routers that are cut off go on spending theirs, and one that has left may have spent its share
//! shortly before. Routers meet at the seeds: one that has not been heard may be that of another part
//! of the fleet, which started while it was cut off.

use super::Fleet;
use mastbay_types::Timestamp;

impl Fleet {
    /// Returns the number of routers, including this one, that may be spending shares of a budget
    /// or have done so within its window. Returns `None` if it is unknown: other routers are
    /// configured, and this one has heard none since its start.
    pub fn budget_spenders(&self, now: Timestamp) -> Option<usize> {
        // Before the first round it is not known whether others are configured.
        let has_others = self.round > 0 && self.has_seeds();
        if has_others && !self.has_heard_any {
            return None;
        }
        let recent = self.recent_spenders.max(now);
        Some(self.current_spenders().max(recent.unwrap_or(0)))
    }

    /// Records the current number of routers for [`Self::budget_spenders`].
    pub fn record_spenders(&mut self, now: Timestamp) {
        self.recent_spenders.record(now, self.current_spenders());
    }

    /// A fleet has at most one part for each seed. With this factor, the shares of all parts add up
    /// to one budget, as each part has heard at least the seed at which it met.
    fn current_spenders(&self) -> usize {
        self.size().max(self.roster_size()) * (1 + self.unheard_seeds())
    }

    fn unheard_seeds(&self) -> usize {
        let seeds = self.seeds.iter().flatten();
        seeds.filter(|seed| !self.heard_seeds.contains(seed)).count()
    }
}
