//! Requests in progress at back ends.

use super::rollout_request::RolloutRequest;
use crate::admission::OrderClass;
use crate::back_end::BackEndId;
use crate::engine_key::EngineKey;
use crate::first_event::PrefillWork;
use crate::load::Load;
use crate::performance::StreamProgress;
use mastbay_types::Timestamp;
use std::time::Duration;

/// A request in progress at a back end.
#[derive(Debug)]
pub struct Running {
    pub back_end: BackEndId,
    /// The shared prefix of its prompt.
    pub prefix: Option<u64>,
    pub load: Load,
    pub order_class: OrderClass,
    pub sent: Timestamp,
    pub predicted: Duration,
    pub work_ahead: PrefillWork,
    pub has_first_event: bool,
    /// Latest time for the first event to count as in time. `None` if the request does not count
    /// for the service level.
    pub service_level_due: Option<Timestamp>,
    /// Events received since `observed`, when the event interval was last sampled.
    pub events: u32,
    pub observed: Timestamp,
    /// Progress of the stream, for the performance of the back end.
    pub progress: StreamProgress,
    /// Whether the answer is an error, which is no observation of performance.
    pub is_error: bool,
    /// Set if the service has a roll-out.
    pub rollout_request: Option<RolloutRequest>,
    /// Set if the prompt's beginning is transferred from another engine.
    pub transfer: Option<ExpectedTransfer>,
}

/// A transfer of the beginning of a request's prompt.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedTransfer {
    /// The engine that holds it.
    pub source: EngineKey,
    /// Predicted time to the first event without the transfer.
    pub predicted: Duration,
    /// Prefill before the first event without the transfer.
    pub work_ahead: PrefillWork,
}

impl ExpectedTransfer {
    /// Returns whether the transfer saved time, if the first event took `taken`.
    pub fn has_saved_time(&self, taken: Duration) -> bool {
        taken < self.predicted
    }
}

impl Running {
    /// Returns the predicted time and the prefill work that a first event after `taken` is compared
    /// to: those without the transfer if it saved no time, since the engine then prefilled the
    /// whole prompt.
    pub fn applicable_prediction(&self, taken: Duration) -> (Duration, PrefillWork) {
        match self.transfer {
            Some(transfer) if !transfer.has_saved_time(taken) => {
                (transfer.predicted, transfer.work_ahead)
            }
            _ => (self.predicted, self.work_ahead),
        }
    }
}
