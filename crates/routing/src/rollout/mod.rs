//! Roll-outs: a service's requests move to back ends of another version after a canary phase.
//!
//! Each router sends a limited fraction of its own requests to the new version, which keeps the
//! fleet within the limit without coordination. Answer counts of the new and the other versions are
//! summed over the fleet. A bad version receives no further requests; a good one receives all of
//! them shortly before the order ends.

mod counts;
mod evaluation;
mod exposure;
mod order;

pub use counts::{AnswerCounts, ReleaseCounts, ReleaseReport};
pub use evaluation::CanaryEvaluation;
pub use exposure::ExposureLimits;
pub use order::{RolloutOrder, RolloutState, Rollouts};

use crate::back_end::BackEnd;
use counts::OwnCounts;
use exposure::Exposure;
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time before the end of an order at which the decision is made, so that it is recorded and known
/// to all routers by the end.
const DECISION_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after completion in which requests still go to the new version only, as back ends of other
/// versions may terminate without announcing it. Later ones belong to no order.
const OTHERS_EXCLUDED: Duration = Duration::from_secs(10);
/// Maximum margin as a fraction of the order's duration.
const MAX_MARGIN_FRACTION: f64 = 0.25;

/// The versions of a service that may serve a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub enum VersionFilter {
    /// Any version.
    #[default]
    Any,
    /// This version only.
    Only(Arc<str>),
    /// All versions but this one.
    Except(Arc<str>),
}

impl VersionFilter {
    /// Returns whether a back end of a version may serve the request.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Except(except) => **except != *version,
        }
    }
}

/// Side of a roll-out that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Side {
    /// A previous version.
    Baseline,
    /// The version that is rolled out.
    Canary,
}

/// A state to be recorded in the object that holds the order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The order as read; the state must not be recorded if the object has changed since.
    pub order: RolloutOrder,
    /// The new state.
    pub state: RolloutState,
}

/// One order in progress as seen by this router.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    /// State recorded in the latest entry.
    recorded: RolloutState,
    began: Timestamp,
    exposure: Exposure,
    own: OwnCounts,
    /// When this router learned of the final state.
    ended: Option<Timestamp>,
    /// Whether the version was found bad. Never reset, as the counts of routers that have left the
    /// fleet are no longer included.
    is_bad: bool,
}

impl Rollout {
    fn new(now: Timestamp, order: RolloutOrder) -> Self {
        Self {
            recorded: order.state,
            ended: order.state.is_final().then_some(now),
            order,
            began: now,
            exposure: Exposure::default(),
            own: OwnCounts::default(),
            is_bad: false,
        }
    }

    fn with_entry(self, now: Timestamp, entry: &RolloutOrder) -> Self {
        let order = self.order.with_state_of(entry);
        let ended = self.ended.or_else(|| order.state.is_final().then_some(now));
        Self { order, ended, recorded: entry.state, ..self }
    }

    /// Returns the versions that may serve requests outside the canary.
    pub fn default_filter(&self, now: Timestamp) -> VersionFilter {
        let is_recent = self.ended.is_some_and(|ended| now.since(ended) < OTHERS_EXCLUDED);
        match self.order.state {
            RolloutState::Completed if is_recent => VersionFilter::Only(self.order.version.clone()),
            RolloutState::Completed => VersionFilter::Any,
            _ => VersionFilter::Except(self.order.version.clone()),
        }
    }

    /// Returns whether the order rolls out a version.
    pub fn rolls_out(&self, version: &str) -> bool {
        *self.order.version == *version
    }

    /// Returns whether the next request may be sent to the canary. `routers` share the limits.
    pub fn may_expose(
        &self,
        now: Timestamp,
        limits: ExposureLimits,
        routers: Option<usize>,
    ) -> bool {
        let elapsed = now.since(self.began).as_secs_f64();
        let fraction = elapsed / self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        self.is_under_way() && self.exposure.allows(limits, fraction, routers)
    }

    fn is_under_way(&self) -> bool {
        !self.is_bad && !self.order.state.is_final()
    }

    /// Returns the side that a back end belongs to.
    pub fn side(&self, back_end: &BackEnd) -> Side {
        if self.rolls_out(&back_end.version) { Side::Canary } else { Side::Baseline }
    }

    /// Records a request sent to a side.
    pub fn on_sent(&mut self, side: Side) {
        self.exposure.on_sent(side);
    }

    /// Records the outcome of a request.
    pub fn on_answer(&mut self, route: u32, side: Side, answer: AnswerOutcome) {
        self.own.on_answer(route, side, answer);
    }

    /// Returns the answer counts of this router.
    fn reports(&self) -> impl Iterator<Item = ReleaseReport> {
        self.own.reports(self.order.key())
    }

    /// Evaluates the canary by the counts of the whole fleet. Returns the state to be recorded.
    fn evaluate(&mut self, now: Timestamp, fleet: &[ReleaseReport]) -> Option<RolloutState> {
        if self.order.state.is_final() {
            // A restored source may have lost the final state.
            return (self.recorded != self.order.state).then_some(self.order.state);
        }
        let key = self.order.key();
        let of_order: Vec<&ReleaseReport> =
            fleet.iter().filter(|report| report.order == key).collect();
        let evaluation = evaluation::evaluate_canary(&of_order);
        self.is_bad |= evaluation == CanaryEvaluation::Bad;
        if self.is_bad {
            return Some(RolloutState::Reverted);
        }
        let margin = DECISION_MARGIN.min(self.order.duration.mul_f64(MAX_MARGIN_FRACTION));
        if now.since(self.began) + margin >= self.order.duration {
            return Some(match evaluation {
                CanaryEvaluation::Good => RolloutState::Completed,
                CanaryEvaluation::Bad | CanaryEvaluation::Unclear => RolloutState::Reverted,
            });
        }
        (self.order.state == RolloutState::Ordered).then_some(RolloutState::InProgress)
    }
}

/// Outcome of a request for the evaluation of a canary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerOutcome {
    /// Answered; holds the time to the first byte in multiples of the expected time.
    Answered(f64),
    /// Failed or never answered.
    Failed,
}

/// Roll-outs in progress, by service.
#[derive(Debug, Default)]
pub struct RolloutRegistry {
    rollouts: BTreeMap<String, Rollout>,
}

impl RolloutRegistry {
    /// Replaces the orders. The counts of orders that continue are kept; others start at zero.
    pub fn on_orders(&mut self, now: Timestamp, orders: &Rollouts) {
        let mut known = std::mem::take(&mut self.rollouts);
        for order in &orders.orders {
            let earlier = known.remove(&order.service);
            let rollout = match earlier.filter(|earlier| earlier.order.is_same(order)) {
                Some(earlier) => earlier.with_entry(now, order),
                None => Rollout::new(now, order.clone()),
            };
            self.rollouts.insert(order.service.clone(), rollout);
        }
    }

    /// Returns the roll-out of a service.
    pub fn of(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns the roll-out of a service for recording requests and answers.
    pub fn of_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// Returns the answer counts of this router for all roll-outs.
    pub fn reports(&self) -> Vec<ReleaseReport> {
        self.rollouts.values().flat_map(Rollout::reports).collect()
    }

    /// Evaluates all roll-outs by the counts of the fleet. Returns the states to be recorded.
    pub fn evaluate(&mut self, now: Timestamp, fleet: &[ReleaseReport]) -> Vec<RolloutRecord> {
        let rollouts = self.rollouts.values_mut();
        let records = rollouts.filter_map(|rollout| {
            let state = rollout.evaluate(now, fleet)?;
            Some(RolloutRecord { order: rollout.order.clone(), state })
        });
        records.collect()
    }

    /// Returns whether there is no order.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }
}
