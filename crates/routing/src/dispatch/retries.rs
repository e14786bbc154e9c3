//! Retries taken from this router's shares of the retry budgets of services.

use super::Dispatcher;
use crate::back_end::BackEndId;
use crate::budget::RetryBudget;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Time after which a send without an answer is assumed not to arrive any more, unless it is known
/// earlier.
const UNANSWERED_TTL: Duration = Duration::from_secs(60);
/// Time after which a response shows that a back end has read what was sent to it before: earlier
/// ones may have been on their way.
const READING_DELAY: Duration = Duration::from_millis(100);

/// The number of routers of the fleet, this one included, by each way in which a router knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterCounts {
    /// Those heard from lately.
    pub heard: usize,
    /// The most that this router or any of those heard from lately knows of.
    pub reported: usize,
    /// Those that have not said that they leave, also after a long silence.
    pub rostered: usize,
    /// Those in the registry, 0 if it is not known; `None` if there is no registry.
    pub registered: Option<usize>,
}

/// The number of routers that divide a budget of the fleet, as a router counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetCount {
    /// Number of routers among which a burst is divided; `None` if it is unknown.
    pub divided_by: Option<usize>,
    /// What that number is derived from.
    pub routers: RouterCounts,
}

/// The state of this router's share of the retry budget of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryStatus {
    /// Retries left.
    pub left: u32,
    /// By how many routers the burst is divided.
    pub fleet: FleetCount,
}

impl Dispatcher {
    /// Takes one retry from the service's budget. Returns whether there was one left.
    pub fn take_retry(&mut self, now: Timestamp, service: &str) -> bool {
        let routers = self.fleet.budget_spenders(now);
        self.retry_budget(service).take(now, routers)
    }

    /// Returns the retries left in the service's budget.
    pub fn retries_left(&mut self, now: Timestamp, service: &str) -> u32 {
        let routers = self.fleet.budget_spenders(now);
        self.retry_budget(service).remaining(now, routers)
    }

    /// Returns a retry that was taken and not used for a send.
    pub fn return_retry(&mut self, service: &str) {
        self.retry_budget(service).return_one();
    }

    /// Records that no send of the requests for which `retries` were taken can arrive any more.
    pub fn settle_retries(&mut self, now: Timestamp, service: &str, retries: u32) {
        self.retry_budget(service).settle(now, retries);
    }

    /// Returns whether a back end may still read a request that was sent to it and left at `left`
    /// without an answer.
    pub fn may_still_arrive(&self, now: Timestamp, back_end: &BackEndId, left: Timestamp) -> bool {
        if now.since(left) >= UNANSWERED_TTL {
            return false;
        }
        // A back end that is not listed may be suspended: its entry returns when it goes on.
        let Some(engine) = self.engines.get(back_end) else { return true };
        !engine.is_terminated() && engine.last_response <= left + READING_DELAY
    }

    /// Returns the state of this router's share of the service's budget.
    pub fn retry_status(&mut self, now: Timestamp, service: &str) -> RetryStatus {
        let fleet = self.fleet_count(now);
        let left = self.retry_budget(service).remaining(now, fleet.divided_by);
        RetryStatus { left, fleet }
    }

    /// Returns by how many routers the budgets of the fleet are divided.
    pub fn fleet_count(&self, now: Timestamp) -> FleetCount {
        let divided_by = self.fleet.budget_spenders(now);
        FleetCount { divided_by, routers: self.fleet.counts() }
    }

    pub(super) fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let (limits, burst_from) = (self.limits.budget, self.limits.burst_from);
        let fleet = &self.fleet;
        let budgets = self.budgets.entry(service.to_owned());
        budgets.or_insert_with(|| RetryBudget::new(limits, burst_from, fleet.draw(service)))
    }
}
