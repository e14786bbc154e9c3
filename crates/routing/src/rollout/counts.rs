//! Counts of good and bad answers of both sides of a roll-out, by route.

use super::{AnswerOutcome, Side};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times of the usual time to the first byte from which on an answer is slow. A version that is several times slower exceeds this with
/// most answers, and the usual spread of answers seldom does; those that do on the old side are held against it.
const SLOW_TIMES: f64 = 2.5;
/// Answers over which the usual time moves to a new mean.
const USUAL_GAIN: f64 = 0.05;

/// Answers, and the bad ones among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All answers, and requests that never got one.
    pub answers: u32,
    /// Those that failed, were slow or never came.
    pub bad: u32,
}

impl AnswerCounts {
    /// Adds another one.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// Counts of both sides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReleaseCounts {
    /// The versions that were there before.
    pub baseline: AnswerCounts,
    /// The version that is rolled out.
    pub canary: AnswerCounts,
}

impl ReleaseCounts {
    /// Adds others.
    pub fn add(&mut self, other: Self) {
        self.baseline.add(other.baseline);
        self.canary.add(other.canary);
    }
}

/// What one router, or several, counted of an order on one route. Counts are of the whole time since the order, so a lost or repeated
/// message does no harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// The order's key.
    pub order: u32,
    /// A hash of the route's name.
    pub route: u32,
    /// The counts.
    pub counts: ReleaseCounts,
}

#[derive(Debug, Default)]
struct RouteCounts {
    counts: ReleaseCounts,
    /// The usual time of answers of the versions before.
    usual: Option<f64>,
}

/// What this router counted, by route.
#[derive(Debug, Default)]
pub struct OwnCounts(BTreeMap<u32, RouteCounts>);

impl OwnCounts {
    /// A request was answered, or was not.
    pub fn on_answer(&mut self, route: u32, side: Side, answer: AnswerOutcome) {
        let counted = self.0.entry(route).or_default();
        let is_bad = match answer {
            AnswerOutcome::Failed => true,
            AnswerOutcome::Answered(time) => {
                let is_slow = counted.usual.is_some_and(|usual| time > usual * SLOW_TIMES);
                if side == Side::Baseline {
                    let usual = counted.usual.get_or_insert(time);
                    *usual += USUAL_GAIN * (time.min(*usual * SLOW_TIMES) - *usual);
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

    /// The counts as they are told to others.
    pub fn reports(&self, order: u32) -> impl Iterator<Item = ReleaseReport> {
        self.0.iter().map(move |(route, counted)| ReleaseReport {
            order,
            route: *route,
            counts: counted.counts,
        })
    }
}
