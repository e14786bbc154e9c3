//! Estimates the time to the first event of a request from the prefill work ahead of it.
//!
//! Prefilling a token takes constant time for the weights plus time for attention to every previous
//! token, so the total grows faster than linearly with the prompt. The estimate is a weighted least
//! squares fit of three coefficients (a constant, one per token, one per pair of tokens) with
//! exponential forgetting.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefill work of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PrefillWork {
    /// Number of prompt tokens to prefill.
    pub tokens: u64,
    /// Pairs of a prefilled token and a token before it, in thousands.
    pub kilopairs: u64,
}

impl PrefillWork {
    /// Computes the work for a prompt of `cached` tokens followed by `uncached` ones.
    pub fn of_prompt(cached: u64, uncached: u64) -> Self {
        let kilopairs = uncached * (cached + uncached / 2) / 1_000;
        Self { tokens: uncached, kilopairs }
    }

    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.tokens += other.tokens;
        self.kilopairs += other.kilopairs;
    }

    /// Subtracts other work, saturating at zero.
    pub fn remove(&mut self, other: Self) {
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.kilopairs = self.kilopairs.saturating_sub(other.kilopairs);
    }

    /// Returns the sum of this and other work.
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }

    /// Returns the regressors: a constant, tokens and pairs, scaled to similar magnitudes.
    fn features(self) -> [f64; FEATURES] {
        [1.0, self.tokens as f64 / TOKENS_SCALE, self.kilopairs as f64 / KILOPAIRS_SCALE]
    }
}

const FEATURES: usize = 3;
const TOKENS_SCALE: f64 = 10_000.0;
const KILOPAIRS_SCALE: f64 = 200_000.0;

/// Factor by which each observation reduces the weight of earlier ones.
const FORGETTING_FACTOR: f64 = 0.995;
/// Weight of each point of the prior, in observations.
const PRIOR_WEIGHT: f64 = 12.0;
/// Prior points, in milliseconds: 40 ms and 83 tokens a millisecond.
const PRIOR: [(PrefillWork, f64); 2] = [
    (PrefillWork { tokens: 0, kilopairs: 0 }, 40.0),
    (PrefillWork { tokens: 10_000, kilopairs: 0 }, 160.0),
];
/// Ridge penalty on the coefficient of pairs. Keeps it near zero while prompts of similar length
/// don't distinguish it from that of tokens.
const PAIRS_RIDGE: f64 = 0.05;
/// Bounds on the constant, in milliseconds.
const CONSTANT_BOUNDS: Bounds = Bounds { min: 2.0, max: 400.0 };
/// Bounds on the time per token, in milliseconds: 5 to 2,000 tokens a millisecond.
const TOKEN_BOUNDS: Bounds = Bounds { min: 0.000_5, max: 0.2 };
/// Bounds on the time per thousand pairs, in milliseconds: at most 1 ms for a million pairs.
const KILOPAIR_BOUNDS: Bounds = Bounds { min: 0.0, max: 0.001 };
/// Observations are capped at this multiple of the estimate plus [`MAX_EXCESS_MS`]. Longer ones are
/// due to load that the router did not know of yet.
const MAX_RATIO: f64 = 1.5;
const MAX_EXCESS_MS: f64 = 40.0;

/// Range of plausible values.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    min: f64,
    max: f64,
}

impl Bounds {
    fn clamp(self, value: f64) -> f64 {
        value.clamp(self.min, self.max)
    }

    fn excludes(self, value: f64) -> bool {
        self.clamp(value) != value
    }

    fn scaled(self, scale: f64) -> Self {
        Self { min: self.min * scale, max: self.max * scale }
    }
}

/// Estimates the time to the first event at the engines of one service.
#[derive(Debug, Clone, Copy)]
pub struct FirstEventEstimator {
    /// Weighted sums of products of regressors.
    products: [[f64; FEATURES]; FEATURES],
    /// Weighted sums of products of a regressor and the time in milliseconds.
    with_time: [f64; FEATURES],
    /// Milliseconds per unit of each regressor.
    coefficients: [f64; FEATURES],
}

impl Default for FirstEventEstimator {
    fn default() -> Self {
        let mut estimator = Self {
            products: [[0.0; FEATURES]; FEATURES],
            with_time: [0.0; FEATURES],
            coefficients: [0.0; FEATURES],
        };
        for (work, time) in PRIOR {
            estimator.add(work, time, PRIOR_WEIGHT);
        }
        estimator.fit();
        estimator
    }
}

impl FirstEventEstimator {
    /// Records that the first event arrived `elapsed` after `work` was ahead of it.
    pub fn observe(&mut self, work: PrefillWork, elapsed: Duration) {
        let max = self.estimate(work) * MAX_RATIO + MAX_EXCESS_MS;
        let elapsed = (elapsed.as_secs_f64() * 1e3).min(max);
        for row in &mut self.products {
            row.iter_mut().for_each(|sum| *sum *= FORGETTING_FACTOR);
        }
        self.with_time.iter_mut().for_each(|sum| *sum *= FORGETTING_FACTOR);
        self.add(work, elapsed, 1.0);
        self.fit();
    }

    /// Returns the estimated time to the first event in milliseconds.
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

    /// Fits the coefficients. One outside its bounds is fixed at the bound, and the others are
    /// fitted again.
    fn fit(&mut self) {
        let bounds = [
            CONSTANT_BOUNDS,
            TOKEN_BOUNDS.scaled(TOKENS_SCALE),
            KILOPAIR_BOUNDS.scaled(KILOPAIRS_SCALE),
        ];
        let mut fixed: [Option<f64>; FEATURES] = [None; FEATURES];
        // Starts with the pairs, whose coefficient is the least certain.
        for feature in (0..FEATURES).rev() {
            let solved = self.solve(&fixed);
            if bounds[feature].excludes(solved[feature]) {
                fixed[feature] = Some(bounds[feature].clamp(solved[feature]));
            }
        }
        let mut solved = self.solve(&fixed);
        for (value, bounds) in solved.iter_mut().zip(bounds) {
            *value = bounds.clamp(*value);
        }
        self.coefficients = solved;
    }

    /// Solves the normal equations with some coefficients fixed.
    fn solve(&self, fixed: &[Option<f64>; FEATURES]) -> [f64; FEATURES] {
        let mut rows = [[0.0; FEATURES + 1]; FEATURES];
        for (index, row) in rows.iter_mut().enumerate() {
            match fixed[index] {
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

/// Performs Gauss-Jordan elimination. The matrix is positive definite or has unit rows, so no
/// pivoting is needed; a pivot too small to divide by sets its unknown to zero.
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
