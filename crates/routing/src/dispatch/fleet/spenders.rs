//! How many routers may be spending their shares of a budget of the fleet.
//!
//! A share must be small enough for all routers that may exist, not only for those heard from now:
//! routers that are cut off go on spending theirs, and one that has left may have spent its share
//! shortly before. Nor are all routers configured with the same seeds, at which they would meet, so
//! they are counted by a registry. Without one, those of a fleet must have the same seeds: one that
//! has not been heard may be that of another part, which started while it was cut off.

use super::Fleet;
use super::registry::RegistryStanding;
use mastbay_types::Timestamp;

/// What a router that may not know all others multiplies its count by. Those that it does not know
/// count it, so their shares add up to less than one, and a third is left for what is unconfirmed.
const UNCONFIRMED_FACTOR: usize = 3;

impl Fleet {
    /// Returns the number of routers, including this one, that may be spending shares of a budget
    /// or have done so within its window. Returns `None` if it is unknown.
    pub fn budget_spenders(&self, now: Timestamp) -> Option<usize> {
        if !self.registry.is_expected() {
            return self.spenders_by_seeds(now);
        }
        let factor = match self.registry.standing(now) {
            RegistryStanding::Unknown => return None,
            RegistryStanding::Confirmed => 1,
            RegistryStanding::Unconfirmed => UNCONFIRMED_FACTOR,
        };
        Some(self.recent_or_current_spenders(now) * factor)
    }

    /// Returns their number without a registry. It is unknown while other routers are configured and
    /// this one has heard none since its start.
    fn spenders_by_seeds(&self, now: Timestamp) -> Option<usize> {
        // Before the first round it is not known whether others are configured.
        let has_others = self.round > 0 && self.has_seeds();
        if has_others && !self.has_heard_any {
            return None;
        }
        Some(self.recent_or_current_spenders(now))
    }

    fn recent_or_current_spenders(&self, now: Timestamp) -> usize {
        let recent = self.recent_spenders.max(now);
        self.current_spenders().max(recent.unwrap_or(0))
    }

    /// Records the current number of routers for [`Self::budget_spenders`].
    pub fn record_spenders(&mut self, now: Timestamp) {
        self.recent_spenders.record(now, self.current_spenders());
    }

    fn current_spenders(&self) -> usize {
        let known = self.size().max(self.roster_size());
        if self.registry.is_expected() {
            return known.max(self.registry.routers());
        }
        // A fleet has at most one part for each seed. With this factor, the shares of all parts add
        // up to one budget, as each part has heard at least the seed at which it met.
        known * (1 + self.unheard_seeds())
    }

    fn unheard_seeds(&self) -> usize {
        let seeds = self.seeds.iter().flatten();
        seeds.filter(|seed| !self.heard_seeds.contains(seed)).count()
    }
}
