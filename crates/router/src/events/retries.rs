//! Log events about the retry budgets of services.

use crate::call::Call;
use mastbay_routing::{FleetCount, RetryStatus};

/// Logs that a retry was taken from the budget of the request's service, which holds `status` now,
/// or that the request was not sent again because the budget is empty.
pub fn retry(call: &Call, is_taken: bool, status: RetryStatus) {
    tracing::info!(
        event = if is_taken { "retry_charged" } else { "retry_refused" },
        request = %call.head.request_id,
        service = %call.service,
        send = call.trace.borrow().sends + 1,
        left = is_taken.then_some(status.left),
        divided_by = status.fleet.divided_by,
        routers_heard = status.fleet.routers.heard,
        routers_reported = status.fleet.routers.reported,
        routers_rostered = status.fleet.routers.rostered,
    );
}

/// Logs a changed number of routers that divide the budgets of the fleet.
pub fn fleet_counted(count: FleetCount) {
    let FleetCount { divided_by, routers } = count;
    tracing::info!(
        event = "fleet_counted",
        divided_by,
        heard = routers.heard,
        reported = routers.reported,
        rostered = routers.rostered,
        registered = routers.registered,
    );
}

/// Logs that `settled` sends that were left without an answer can't arrive any more, and that
/// `remaining` others still may.
pub fn sends_settled(settled: usize, remaining: usize) {
    tracing::info!(event = "sends_settled", settled, remaining);
}
