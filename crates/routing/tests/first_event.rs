//! Accuracy and robustness of the estimated time to the first event.

use mastbay_routing::{FirstEventEstimator, PrefillWork};
use quickcheck::quickcheck;
use std::time::Duration;

/// Returns the simulated time to the first event in milliseconds: 50, plus 1 per 112 tokens, plus
/// 0.154 per million token pairs.
fn actual(work: PrefillWork) -> f64 {
    50.0 + work.tokens as f64 / 112.0 + work.kilopairs as f64 * 0.154e-3
}

fn observe(estimator: &mut FirstEventEstimator, work: PrefillWork) {
    estimator.observe(work, Duration::from_secs_f64(actual(work) / 1e3));
}

/// Returns prompts of many lengths: most short, some very long.
fn mixed(index: u64) -> PrefillWork {
    let length = 200
        + (index * 7_919 % 3_000)
        + if index.is_multiple_of(9) { index * 131 % 50_000 } else { 0 };
    PrefillWork::of_prompt(500, length)
}

#[test]
fn estimates_grow_faster_than_linearly_with_the_prompt() {
    let mut estimator = FirstEventEstimator::default();
    (0..2_000).for_each(|index| observe(&mut estimator, mixed(index)));
    for tokens in [100, 1_000, 10_000, 30_000, 54_000] {
        let work = PrefillWork::of_prompt(5_000, tokens);
        let (estimate, actual) = (estimator.estimate(work), actual(work));
        assert!((estimate / actual - 1.0).abs() < 0.05, "{tokens}: {estimate} for {actual}");
    }
}

#[test]
fn samples_of_one_length_extrapolate_within_bounds() {
    let mut estimator = FirstEventEstimator::default();
    (0..3_000).for_each(|_| observe(&mut estimator, PrefillWork::of_prompt(0, 1_000)));
    let long = estimator.estimate(PrefillWork::of_prompt(0, 50_000));
    assert!((100.0..=12_000.0).contains(&long), "{long}");
    let same = estimator.estimate(PrefillWork::of_prompt(0, 1_000));
    assert!((same - actual(PrefillWork::of_prompt(0, 1_000))).abs() < 5.0, "{same}");
}

#[test]
fn a_single_outlier_barely_changes_the_estimate() {
    let mut estimator = FirstEventEstimator::default();
    (0..500).for_each(|index| observe(&mut estimator, mixed(index)));
    let work = PrefillWork::of_prompt(0, 2_000);
    let before = estimator.estimate(work);
    estimator.observe(work, Duration::from_secs(20));
    assert!(estimator.estimate(work) < before * 1.02);
}

quickcheck! {
    fn estimates_are_finite_and_grow_with_the_work(samples: Vec<(u16, u16, u16)>, length: u16) -> bool {
        let mut estimator = FirstEventEstimator::default();
        for (cached, tokens, millis) in samples {
            let work = PrefillWork::of_prompt(u64::from(cached), u64::from(tokens));
            estimator.observe(work, Duration::from_millis(u64::from(millis)));
        }
        let none = estimator.estimate(PrefillWork::default());
        let some = estimator.estimate(PrefillWork::of_prompt(0, u64::from(length)));
        none.is_finite() && none >= 2.0 && some.is_finite() && some >= none
    }
}
