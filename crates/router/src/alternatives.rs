//! Whether a request may leave a slow back end: only for another one that can take it now.
//!
//! A back end that is slow may still answer. Without another one that has capacity, breaking off
//! the attempt only loses what it has done so far.

use crate::call::Call;
use crate::quarantine;
use crate::router::Router;
use mastbay_routing::{BackEndId, Demand};

/// Returns the demand of a request that must not be sent to the back ends in `tried` again.
pub fn demand_without(router: &Router, call: &Call, tried: Vec<BackEndId>) -> Demand {
    let mut demand = call.demand();
    demand.tried = tried;
    if quarantine::is_suspect(router, call) {
        demand.suspect = Some(call.fingerprint());
    }
    demand
}

/// Returns whether the request may be sent to a back end outside `tried` that has capacity for it
/// now.
pub fn exist(router: &Router, call: &Call, tried: Vec<BackEndId>) -> bool {
    if quarantine::retry_after(router, call).is_some() {
        return false;
    }
    let demand = demand_without(router, call, tried);
    router.dispatcher.borrow_mut().has_alternative(router.now(), &demand)
}
