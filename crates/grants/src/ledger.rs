//! A gateway's account of one tenant in one cell.

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

/// What the last grant told of a tenant.
#[derive(Debug)]
struct LastGrant {
    /// `None` once the tenant had nothing to do: its old level would be credit for idle time.
    level: Option<Level>,
    estimate: Cost,
    /// The ledger's charge right after it.
    charged: Cost,
}

impl Ledger {
    /// Takes the first waiting request for a grant.
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

    /// Adds to what is charged, or takes back where negative.
    pub(crate) fn charge(&mut self, cost: Cost) {
        self.charged += cost;
    }

    /// Ends a running request; `typical` is its cost if it tells something of such requests.
    pub(crate) fn finish(&mut self, typical: Option<Cost>) {
        self.running -= 1;
        if let Some(cost) = typical {
            self.finished += 1;
            self.finished_cost += cost;
        }
        self.note_idleness();
    }

    /// Takes a waiting request out. Returns whether it was there.
    pub(crate) fn cancel(&mut self, request: RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| *waiting != request);
        self.note_idleness();
        self.waiting.len() < before
    }

    /// Whether anything waits or runs.
    pub(crate) fn is_active(&self) -> bool {
        !self.waiting.is_empty() || self.running > 0
    }

    fn note_idleness(&mut self) {
        if self.is_active() {
            return;
        }
        if let Some(grant) = &mut self.last_grant {
            grant.level = None;
        }
    }

    /// The account as it is reported; `full` adds what a scheduler that does not know the tenant
    /// needs.
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
