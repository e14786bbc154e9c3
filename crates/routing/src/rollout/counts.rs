//! Counts of good and bad answers on both sides of a roll-out, by route.

use super::{AnswerOutcome, Side};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Factor over the typical time to the first byte from which an answer is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of one answer in the moving average of the typical time.
const TYPICAL_TIME_SMOOTHING: f64 = 0.05;

/// Number of answers and of bad ones among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All answers, including requests that were never answered.
    pub answers: u32,
    /// Answers that failed, were slow or never arrived.
    pub bad: u32,
}

impl AnswerCounts {
    /// Adds other counts, saturating.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// Answer counts of both sides of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReleaseCounts {
    /// Counts of the previous versions.
    pub baseline: AnswerCounts,
    /// Counts of the version that is rolled out.
    pub canary: AnswerCounts,
}

impl ReleaseCounts {
    /// Adds other counts, saturating.
    pub fn add(&mut self, other: Self) {
        self.baseline.add(other.baseline);
        self.canary.add(other.canary);
    }
}

/// Answer counts of an order on one route, from one or several routers. They cover the whole time
/// since the order, which makes lost and repeated messages harmless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// Key of the order, see [`super::RolloutOrder::key`].
    pub order: u32,
    /// Hash of the route's name.
    pub route: u32,
    /// The counts.
    pub counts: ReleaseCounts,
}

#[derive(Debug, Default)]
struct RouteCounts {
    counts: ReleaseCounts,
    /// Moving average of the answer time of the baseline, in multiples of the expected time.
    typical_time: Option<f64>,
}

/// Answer counts of this router by route.
#[derive(Debug, Default)]
pub struct OwnCounts(BTreeMap<u32, RouteCounts>);

impl OwnCounts {
    /// Records the outcome of a request.
    pub fn on_answer(&mut self, route: u32, side: Side, answer: AnswerOutcome) {
        let counted = self.0.entry(route).or_default();
        let is_bad = match answer {
            AnswerOutcome::Failed => true,
            AnswerOutcome::Answered(time) => {
                let is_slow =
                    counted.typical_time.is_some_and(|typical| time > typical * SLOW_FACTOR);
                if side == Side::Baseline {
                    let typical = counted.typical_time.get_or_insert(time);
                    *typical +=
                        TYPICAL_TIME_SMOOTHING * (time.min(*typical * SLOW_FACTOR) - *typical);
                }
                is_slow
            }
        };
        let counts = match side {
            Side::Baseline => &mut counted.counts.baseline,
            Side::Canary => &mut counted.counts.canary,
        };
        counts.add(AnswerCounts { answers: 1, bad: u32::from(is_bad) });
    }

    /// Returns the counts as reported to peers.
    pub fn reports(&self, order: u32) -> impl Iterator<Item = ReleaseReport> {
        self.0.iter().map(move |(route, counted)| ReleaseReport {
            order,
            route: *route,
            counts: counted.counts,
        })
    }
}
