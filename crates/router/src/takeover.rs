//! Leaving a slow back end for another one: only once a slot there is reserved.
//!
//! A back end that is slow may still answer. Without another one that has capacity, breaking off
//! the attempt only loses what it has done so far.

use crate::call::Call;
use crate::quarantine;
use crate::retries::RequestRetries;
use crate::router::Router;
use crate::ticket::Ticket;
use mastbay_routing::{BackEndId, Demand, Placement};
use std::rc::Rc;

/// A slot at another back end for a request whose back end is slow.
pub struct Takeover {
    /// The ticket for the slot.
    pub ticket: Ticket,
    /// The placement.
    pub placement: Placement,
}

impl Takeover {
    /// Reserves a slot at a back end outside `tried`. With `needs_retry`, also holds a retry.
    /// Returns `None` if either is unavailable or the request is quarantined.
    pub fn reserve(
        router: &Rc<Router>,
        call: &Call,
        retries: &RequestRetries,
        tried: Vec<BackEndId>,
        needs_retry: bool,
    ) -> Option<Self> {
        let is_quarantined = quarantine::retry_after(router, call).is_some();
        if is_quarantined || (needs_retry && !retries.is_available()) {
            return None;
        }
        let demand = demand_without(router, call, tried);
        let (ticket, placement) = Ticket::obtain_at_once(router, &demand)?;
        if needs_retry && !retries.hold() {
            return None;
        }
        Some(Self { ticket, placement })
    }
}

/// Returns the demand of a request that must not be sent to the back ends in `tried` again.
pub fn demand_without(router: &Router, call: &Call, tried: Vec<BackEndId>) -> Demand {
    let mut demand = call.demand();
    demand.tried = tried;
    demand.suspect = quarantine::suspect_of(router, call);
    demand
}
