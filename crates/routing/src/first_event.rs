//! The time to the first event of a request, estimated from the prefill that its engine has to do before it.
//!
//! Prefilling a token takes a fixed time for its weights and a time for attention to every token before it,
//! so a prompt of ten times the length takes more than ten times as long. The estimate is a weighted least
//! squares fit of three coefficients (a fixed time, one per token, one per pair of tokens) whose
//! observations fade.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefill that an engine has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PrefillWork {
    /// Prompt tokens.
    pub tokens: u64,
    /// Pairs of a prefilled token and a token before it, in thousands.
    pub kilopairs: u64,
}

impl PrefillWork {
    /// The work of a prompt whose first `cached` tokens are held and whose next `uncached` ones are not.
    pub fn of_prompt(cached: u64, uncached: u64) -> Self {
        let kilopairs = uncached * (cached + uncached / 2) / 1_000;
        Self { tokens: uncached, kilopairs }
    }

    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.tokens += other.tokens;
        self.kilopairs += other.kilopairs;
    }

    /// Takes other work away.
    pub fn remove(&mut self, other: Self) {
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.kilopairs = self.kilopairs.saturating_sub(other.kilopairs);
    }

    /// This and other work.
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }

    /// The regressors: a constant, tokens and pairs, scaled to about the same size.
    fn features(self) -> [f64; FEATURES] {
        [1.0, self.tokens as f64 / TOKENS_SCALE, self.kilopairs as f64 / KILOPAIRS_SCALE]
    }
}

const FEATURES: usize = 3;
const TOKENS_SCALE: f64 = 10_000.0;
const KILOPAIRS_SCALE: f64 = 200_000.0;

/// Part of the weight of earlier observations that each new one leaves: 200 are remembered.
const MEMORY: f64 = 0.995;
/// Observations that each point of the first guess weighs as much as.
const GUESS_WEIGHT: f64 = 12.0;
/// First guess, until observations outweigh it: 40 ms and 83 tokens a millisecond.
const GUESS: [(PrefillWork, f64); 2] = [
    (PrefillWork { tokens: 0, kilopairs: 0 }, 40.0),
    (PrefillWork { tokens: 10_000, kilopairs: 0 }, 160.0),
];
/// Weight that holds the coefficient of pairs near zero where observations do not tell it from that of
/// tokens, as long as all prompts are of about one length.
const PAIRS_RIDGE: f64 = 0.05;
/// Bounds on the fixed time in milliseconds.
const FIXED_BOUNDS: Bounds = Bounds { least: 2.0, most: 400.0 };
/// Bounds on the time per token, in milliseconds: 5 to 2,000 tokens a millisecond.
const TOKEN_BOUNDS: Bounds = Bounds { least: 0.000_5, most: 0.2 };
/// Bounds on the time per thousand pairs, in milliseconds: at most 1 ms for a million pairs.
const KILOPAIR_BOUNDS: Bounds = Bounds { least: 0.0, most: 0.001 };
/// An observation counts as at most this many times the estimate and this many milliseconds more: a flood
/// that routers could not yet see says little about the engine.
const MOST_RATIO: f64 = 1.5;
const MOST_EXCESS_MS: f64 = 40.0;

/// A range of believed values.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    least: f64,
    most: f64,
}

impl Bounds {
    fn clamp(self, value: f64) -> f64 {
        value.clamp(self.least, self.most)
    }

    fn excludes(self, value: f64) -> bool {
        self.clamp(value) != value
    }

    fn scaled(self, scale: f64) -> Self {
        Self { least: self.least * scale, most: self.most * scale }
    }
}

/// Estimates the time to the first event at the engines of one service.
#[derive(Debug, Clone, Copy)]
pub struct FirstEventEstimator {
    /// Weighted sums of products of regressors, and of regressors with the time in milliseconds.
    products: [[f64; FEATURES]; FEATURES],
    with_time: [f64; FEATURES],
    /// Milliseconds for each regressor.
    coefficients: [f64; FEATURES],
}

impl Default for FirstEventEstimator {
    fn default() -> Self {
        let mut estimator = Self {
            products: [[0.0; FEATURES]; FEATURES],
            with_time: [0.0; FEATURES],
            coefficients: [0.0; FEATURES],
        };
        for (work, time) in GUESS {
            estimator.add(work, time, GUESS_WEIGHT);
        }
        estimator.fit();
        estimator
    }
}

impl FirstEventEstimator {
    /// The first event came `taken` after `work` was ahead of it.
    pub fn observe(&mut self, work: PrefillWork, taken: Duration) {
        let most = self.estimate(work) * MOST_RATIO + MOST_EXCESS_MS;
        let taken = (taken.as_secs_f64() * 1e3).min(most);
        for row in &mut self.products {
            row.iter_mut().for_each(|sum| *sum *= MEMORY);
        }
        self.with_time.iter_mut().for_each(|sum| *sum *= MEMORY);
        self.add(work, taken, 1.0);
        self.fit();
    }

    /// The estimated time to the first event in milliseconds.
    pub fn estimate(&self, work: PrefillWork) -> f64 {
        let features = work.features();
        self.coefficients.iter().zip(features).map(|(each, feature)| each * feature).sum()
    }

    fn add(&mut self, work: PrefillWork, time: f64, weight: f64) {
        let features = work.features();
        for (row, left) in self.products.iter_mut().zip(features) {
            for (sum, right) in row.iter_mut().zip(features) {
                *sum += weight * left * right;
            }
        }
        for (sum, feature) in self.with_time.iter_mut().zip(features) {
            *sum += weight * feature * time;
        }
    }

    /// Fits the coefficients. One that leaves its bounds is held there and the others are fitted again.
    fn fit(&mut self) {
        let bounds = [
            FIXED_BOUNDS,
            TOKEN_BOUNDS.scaled(TOKENS_SCALE),
            KILOPAIR_BOUNDS.scaled(KILOPAIRS_SCALE),
        ];
        let mut held: [Option<f64>; FEATURES] = [None; FEATURES];
        // The pairs are held first: they are the least certain.
        for feature in (0..FEATURES).rev() {
            let solved = self.solve(&held);
            if bounds[feature].excludes(solved[feature]) {
                held[feature] = Some(bounds[feature].clamp(solved[feature]));
            }
        }
        let mut solved = self.solve(&held);
        for (value, bounds) in solved.iter_mut().zip(bounds) {
            *value = bounds.clamp(*value);
        }
        self.coefficients = solved;
    }

    /// Solves the normal equations with some coefficients held.
    fn solve(&self, held: &[Option<f64>; FEATURES]) -> [f64; FEATURES] {
        let mut rows = [[0.0; FEATURES + 1]; FEATURES];
        for (index, row) in rows.iter_mut().enumerate() {
            match held[index] {
                Some(value) => {
                    row[index] = 1.0;
                    row[FEATURES] = value;
                }
                None => {
                    row[..FEATURES].copy_from_slice(&self.products[index]);
                    row[FEATURES] = self.with_time[index];
                    if index == FEATURES - 1 {
                        row[index] += PAIRS_RIDGE;
                    }
                }
            }
        }
        eliminate(&mut rows);
        std::array::from_fn(|index| rows[index][FEATURES])
    }
}

/// Gauss-Jordan elimination. The matrix is positive definite or has unit rows, so no pivoting is needed; a
/// pivot too small to divide by leaves its unknown at zero.
fn eliminate(rows: &mut [[f64; FEATURES + 1]; FEATURES]) {
    for pivot in 0..FEATURES {
        let divisor = rows[pivot][pivot];
        if divisor.abs() < 1e-9 {
            rows[pivot] = [0.0; FEATURES + 1];
            continue;
        }
        rows[pivot].iter_mut().for_each(|value| *value /= divisor);
        let pivot_row = rows[pivot];
        for (index, row) in rows.iter_mut().enumerate() {
            if index != pivot {
                let factor = row[pivot];
                row.iter_mut().zip(pivot_row).for_each(|(value, of)| *value -= factor * of);
            }
        }
    }
}
