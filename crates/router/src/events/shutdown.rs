//! Log events about requests while the router stops.

use crate::call::Call;
use crate::shutdown::StopSchedule;
use derive_more::Display;
use mastbay_types::Timestamp;

/// Whether a request is accepted while the router stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopDecision {
    /// It is sent to a back end.
    #[display("accepted")]
    Accepted,
    /// It is answered at once, as not run.
    #[display("rejected")]
    Rejected,
}

/// The step of a request at which it is accepted or rejected while the router stops. The displayed
/// names are label values of metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopStage {
    /// It was received completely.
    #[display("received")]
    Received,
    /// It waits for a slot.
    #[display("waiting")]
    Waiting,
    /// It is about to be sent, for the first time or again.
    #[display("sending")]
    Sending,
}

/// Logs that a request is accepted or rejected while the router stops. Times with the suffix
/// `after_stop_ms` count from the signal.
pub fn request_during_stop(
    call: &Call,
    schedule: &StopSchedule,
    decision: StopDecision,
    stage: StopStage,
    now: Timestamp,
) {
    tracing::info!(
        event = "request_during_stop",
        request = %call.head.request_id,
        decision = %decision,
        stage = %stage,
        handed_on_by = call.forwarded_by.map(|router| router.to_string()),
        at_after_stop_ms = schedule.offset_milliseconds(now),
        head_after_stop_ms = schedule.offset_milliseconds(call.arrived),
        received_after_stop_ms = schedule.offset_milliseconds(call.received),
        left_ms = schedule.last_answers.since(now).as_millis() as u64,
        own_left_ms = call.time_left(now).as_millis() as u64,
        sends = call.trace.borrow().sends,
    );
}
