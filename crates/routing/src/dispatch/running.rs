//! Requests in progress at back ends.

use super::rollout_request::RolloutRequest;
use crate::admission::OrderClass;
use crate::back_end::BackEndId;
use crate::first_event::PrefillWork;
use crate::load::Load;
use mastbay_types::Timestamp;
use std::time::Duration;

/// A request in progress at a back end.
#[derive(Debug)]
pub struct Running {
    pub back_end: BackEndId,
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
    /// Set if the service has a roll-out.
    pub rollout_request: Option<RolloutRequest>,
}
