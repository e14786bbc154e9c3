//! A gateway's accounting of one tenant in one cell.

use crate::messages::{Grant, Standing, TenantReport};
use mastbay_fairness::Level;
use mastbay_types::{Cost, RequestId, TenantName};
use std::collections::VecDeque;

/// One tenant's requests and charges.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) waiting: VecDeque<RequestId>,
    running: u32,
    charged: Cost,
    finished: u64,
    finished_cost: Cost,
    last_grant: Option<LastGrant>,
}

/// State of a tenant after its last grant.
#[derive(Debug)]
struct LastGrant {
    /// `None` once the tenant was idle: its old level would give it credit for idle time.
    level: Option<Level>,
    estimate: Cost,
    /// Total charge right after the grant.
    charged: Cost,
}

impl Ledger {
    /// Starts the first waiting request with a grant. Returns `None` if none waits.
    pub(crate) fn start(&mut self, grant: &Grant) -> Option<RequestId> {
        let request = self.waiting.pop_front()?;
        self.charged += grant.estimate;
        self.running += 1;
        self.last_grant = Some(LastGrant {
            level: Some(grant.level),
            estimate: grant.estimate,
            charged: self.charged,
        });
        Some(request)
    }

    /// Adds `cost` to the total charge; a negative cost reduces it.
    pub(crate) fn charge(&mut self, cost: Cost) {
        self.charged += cost;
    }

    /// Ends a running request; `typical` is its cost if it is to count for the estimate of further
    /// requests.
    pub(crate) fn finish(&mut self, typical: Option<Cost>) {
        self.running -= 1;
        if let Some(cost) = typical {
            self.finished += 1;
            self.finished_cost += cost;
        }
        self.clear_level_if_idle();
    }

    /// Removes a waiting request. Returns whether it was waiting.
    pub(crate) fn cancel(&mut self, request: RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| *waiting != request);
        self.clear_level_if_idle();
        self.waiting.len() < before
    }

    /// Returns whether any request waits or runs.
    pub(crate) fn is_active(&self) -> bool {
        !self.waiting.is_empty() || self.running > 0
    }

    fn clear_level_if_idle(&mut self) {
        if self.is_active() {
            return;
        }
        if let Some(grant) = &mut self.last_grant {
            grant.level = None;
        }
    }

    /// Returns the report on this tenant; `full` adds the state that a scheduler needs if it does
    /// not know the tenant.
    pub(crate) fn report(&self, tenant: &TenantName, full: bool) -> TenantReport {
        TenantReport {
            tenant: tenant.clone(),
            waiting: self.waiting.len() as u32,
            running: self.running,
            charged: self.charged,
            finished: self.finished,
            finished_cost: self.finished_cost,
            standing: if full { self.standing() } else { None },
        }
    }

    fn standing(&self) -> Option<Standing> {
        self.last_grant.as_ref().map(|grant| Standing {
            level: grant.level,
            charged_since: self.charged.minus(grant.charged),
            estimate: grant.estimate,
        })
    }
}
