//! Roll-outs: a service's traffic moves to back ends of another version, by way of a canary.
//!
//! From the order on, a bounded part of the requests goes to the new version. Each router keeps to its own part of that bound, counted on
//! what it sends itself, so the fleet keeps to the whole without asking anybody. What the answers were like, of the new version and of
//! those beside it at the same time and on the same route, is added up over the fleet with the other figures. A version that is found
//! bad gets nothing from then on; one that is found good takes all when the time of the order is nearly over.

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

/// Time before the end of an order at which its verdict is due: it has to be written and heard everywhere by then.
const VERDICT_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after a version has taken all traffic in which back ends of other versions end without saying so. Those that are there later
/// belong to no order.
const OTHERS_END: Duration = Duration::from_secs(10);
/// The largest part of an order's time that the margin takes.
const LARGEST_MARGIN_PART: f64 = 0.25;

/// The versions of a service to which a request may go.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub enum VersionFilter {
    /// Any.
    #[default]
    Any,
    /// This one.
    Only(Arc<str>),
    /// All but this one.
    Except(Arc<str>),
}

impl VersionFilter {
    /// Whether a back end of a version may serve.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Except(except) => **except != *version,
        }
    }
}

/// Which side of a roll-out a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Side {
    /// The versions that were there before.
    Baseline,
    /// The version that is rolled out.
    Canary,
}

/// A state that is to be recorded where the order lies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The order as it was read; nothing is recorded on a newer one.
    pub order: RolloutOrder,
    /// The state.
    pub state: RolloutState,
}

/// One order under way, as one router sees it.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    /// The state that its newest entry records.
    recorded: RolloutState,
    began: Timestamp,
    exposure: Exposure,
    own: OwnCounts,
    /// When it was learned that the order came to its end.
    ended: Option<Timestamp>,
    /// The version was found bad here or elsewhere. Never taken back: figures of routers that are gone no longer count.
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

    /// Where requests go that are not part of the canary.
    pub fn default_filter(&self, now: Timestamp) -> VersionFilter {
        let is_recent = self.ended.is_some_and(|ended| now.since(ended) < OTHERS_END);
        match self.order.state {
            RolloutState::Completed if is_recent => VersionFilter::Only(self.order.version.clone()),
            RolloutState::Completed => VersionFilter::Any,
            _ => VersionFilter::Except(self.order.version.clone()),
        }
    }

    /// Whether the next request may be sent to the new version. `routers` are those that share the bound.
    pub fn may_expose(&self, now: Timestamp, limits: ExposureLimits, routers: usize) -> bool {
        let elapsed = now.since(self.began).as_secs_f64();
        let part = elapsed / self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        self.is_under_way() && self.exposure.allows(limits, part, routers)
    }

    fn is_under_way(&self) -> bool {
        !self.is_bad && !self.order.state.is_final()
    }

    /// The side on which a back end is.
    pub fn side(&self, back_end: &BackEnd) -> Side {
        if *back_end.version == *self.order.version { Side::Canary } else { Side::Baseline }
    }

    /// A request was sent.
    pub fn on_sent(&mut self, side: Side) {
        self.exposure.on_sent(side);
    }

    /// A request was answered, or was not.
    pub fn on_answer(&mut self, route: u32, side: Side, answer: AnswerOutcome) {
        self.own.on_answer(route, side, answer);
    }

    /// What this router counted.
    fn reports(&self) -> impl Iterator<Item = ReleaseReport> {
        self.own.reports(self.order.key())
    }

    /// Looks at what the whole fleet counted. Gives what is to be recorded, if anything is.
    fn judge(&mut self, now: Timestamp, fleet: &[ReleaseReport]) -> Option<RolloutState> {
        if self.order.state.is_final() {
            // A restored source may have lost the end.
            return (self.recorded != self.order.state).then_some(self.order.state);
        }
        let key = self.order.key();
        let of_order: Vec<&ReleaseReport> =
            fleet.iter().filter(|report| report.order == key).collect();
        let judgement = evaluation::judge(&of_order);
        self.is_bad |= judgement == CanaryEvaluation::Bad;
        if self.is_bad {
            return Some(RolloutState::Reverted);
        }
        let margin = VERDICT_MARGIN.min(self.order.duration.mul_f64(LARGEST_MARGIN_PART));
        if now.since(self.began) + margin >= self.order.duration {
            return Some(match judgement {
                CanaryEvaluation::Good => RolloutState::Completed,
                CanaryEvaluation::Bad | CanaryEvaluation::Unclear => RolloutState::Reverted,
            });
        }
        (self.order.state == RolloutState::Ordered).then_some(RolloutState::InProgress)
    }
}

/// What an answer was like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerOutcome {
    /// It came; the time is that to its first byte, in times of what such a request was expected to take.
    Answered(f64),
    /// It failed or never came.
    Failed,
}

/// The orders under way, by service.
#[derive(Debug, Default)]
pub struct RolloutRegistry {
    rollouts: BTreeMap<String, Rollout>,
}

impl RolloutRegistry {
    /// Takes the orders as they stand now. One that goes on keeps what was counted; another one begins anew.
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

    /// The roll-out of a service, if there is one.
    pub fn of(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// The same, to count at.
    pub fn of_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// What this router counted of all roll-outs.
    pub fn reports(&self) -> Vec<ReleaseReport> {
        self.rollouts.values().flat_map(Rollout::reports).collect()
    }

    /// Judges all roll-outs by what the fleet counted, and gives the states that are to be recorded.
    pub fn evaluate(&mut self, now: Timestamp, fleet: &[ReleaseReport]) -> Vec<RolloutRecord> {
        let rollouts = self.rollouts.values_mut();
        let records = rollouts.filter_map(|rollout| {
            let state = rollout.judge(now, fleet)?;
            Some(RolloutRecord { order: rollout.order.clone(), state })
        });
        records.collect()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }
}
