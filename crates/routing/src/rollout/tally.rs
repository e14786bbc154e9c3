//! Counts of good and bad answers of both sides of a roll-out, by route.

use super::{AnswerQuality, Side};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times of the usual time to the first byte from which on an answer is slow. A version that is several times slower exceeds this with
/// most answers, and the usual spread of answers seldom does; those that do on the old side are held against it.
const SLOW_TIMES: f64 = 2.5;
/// Answers over which the usual time moves to a new mean.
const USUAL_GAIN: f64 = 0.05;

/// Answers, and the bad ones among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// All answers, and requests that never got one.
    pub answers: u32,
    /// Those that failed, were slow or never came.
    pub bad: u32,
}

impl Tally {
    /// Adds another one.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// Counts of both sides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReleaseTallies {
    /// The versions that were there before.
    pub before: Tally,
    /// The version that is rolled out.
    pub canary: Tally,
}

impl ReleaseTallies {
    /// Adds others.
    pub fn add(&mut self, other: Self) {
        self.before.add(other.before);
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
    pub tallies: ReleaseTallies,
}

#[derive(Debug, Default)]
struct RouteTallies {
    tallies: ReleaseTallies,
    /// The usual time of answers of the versions before.
    usual: Option<f64>,
}

/// What this router counted, by route.
#[derive(Debug, Default)]
pub struct OwnTallies(BTreeMap<u32, RouteTallies>);

impl OwnTallies {
    /// A request was answered, or was not.
    pub fn on_answer(&mut self, route: u32, side: Side, answer: AnswerQuality) {
        let counted = self.0.entry(route).or_default();
        let is_bad = match answer {
            AnswerQuality::Failed => true,
            AnswerQuality::Came(time) => {
                let is_slow = counted.usual.is_some_and(|usual| time > usual * SLOW_TIMES);
                if side == Side::Before {
                    let usual = counted.usual.get_or_insert(time);
                    *usual += USUAL_GAIN * (time.min(*usual * SLOW_TIMES) - *usual);
                }
                is_slow
            }
        };
        let tally = match side {
            Side::Before => &mut counted.tallies.before,
            Side::Canary => &mut counted.tallies.canary,
        };
        tally.add(Tally { answers: 1, bad: u32::from(is_bad) });
    }

    /// The counts as they are told to others.
    pub fn reports(&self, order: u32) -> impl Iterator<Item = ReleaseReport> {
        self.0.iter().map(move |(route, counted)| ReleaseReport {
            order,
            route: *route,
            tallies: counted.tallies,
        })
    }
}
