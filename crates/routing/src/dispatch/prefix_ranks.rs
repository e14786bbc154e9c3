//! The number of engines for a shared prefix, from the demand over the fleet.

use super::Dispatcher;
use super::running::Running;
use crate::back_end::BackEndId;
use crate::demand::Demand;
use crate::policy::RankCount;
use crate::prefix_demand::{PrefixRate, RankChange};
use crate::prompt::Prompt;
use mastbay_types::Timestamp;

impl Dispatcher {
    /// Returns the number of prefixes that have more engines because of their demand.
    pub fn raised_prefixes(&self) -> usize {
        self.prefix_demand.raised()
    }

    /// Returns the changes of numbers of engines since the last call.
    pub fn take_rank_changes(&mut self) -> Vec<RankChange> {
        self.prefix_demand.take_changes()
    }

    /// Returns how many of the engines in `preferred` may serve a prefix.
    pub(super) fn rank_count(
        &mut self,
        now: Timestamp,
        prefix: u64,
        base: usize,
        preferred: &[BackEndId],
    ) -> usize {
        if !self.counts_prefixes() {
            return base;
        }
        self.update_prefix_sums(now);
        let first = preferred.first().and_then(|id| self.engines.get(id));
        let slots = first.map_or(1, |engine| engine.back_end.slots);
        self.prefix_demand.ranks(now, prefix, base, slots)
    }

    /// Counts a request by its prefix.
    pub(super) fn count_prefix(&mut self, now: Timestamp, demand: &Demand) {
        let prefix = demand.prompt.as_ref().and_then(Prompt::prefix_key);
        if let Some(prefix) = prefix.filter(|_| self.counts_prefixes()) {
            self.prefix_demand.on_request(now, prefix);
        }
    }

    /// Observes how long a request held its slot, after a complete response.
    pub(super) fn observe_slot_time(&mut self, now: Timestamp, running: &Running) {
        let Some(prefix) = running.prefix.filter(|_| self.counts_prefixes()) else { return };
        if now >= self.lagging_until {
            self.prefix_demand.on_slot_released(now, prefix, now.since(running.sent));
        }
    }

    /// Returns this router's demand by prefix, or `None` if it is not counted. Also updates the sums
    /// over the fleet, so that a router with few requests notices what is not needed any more.
    pub(super) fn prefix_report(&mut self, now: Timestamp) -> Option<Vec<PrefixRate>> {
        if !self.counts_prefixes() {
            return None;
        }
        self.update_prefix_sums(now);
        Some(self.prefix_demand.report(now))
    }

    fn update_prefix_sums(&mut self, now: Timestamp) {
        if self.prefix_demand.needs_sums(now) {
            let own = self.prefix_demand.report(now);
            self.prefix_demand.set_sums(now, self.fleet.prefix_rates(own));
        }
    }

    fn counts_prefixes(&self) -> bool {
        self.limits.policy.rank_count == RankCount::Demand
    }
}
