//! The estimate of the time to the first event.

use mastbay_routing::{FirstEventEstimator, PrefillWork};
use quickcheck::quickcheck;
use std::time::Duration;

/// Milliseconds that an engine takes: 50, one for 112 tokens, 0.154 for a million pairs.
fn taken(work: PrefillWork) -> f64 {
    50.0 + work.tokens as f64 / 112.0 + work.kilopairs as f64 * 0.154e-3
}

fn observe(estimator: &mut FirstEventEstimator, work: PrefillWork) {
    estimator.observe(work, Duration::from_secs_f64(taken(work) / 1e3));
}

/// Prompts of many lengths, as engines see them: most short, some very long.
fn mixed(turn: u64) -> PrefillWork {
    let length =
        200 + (turn * 7_919 % 3_000) + if turn.is_multiple_of(9) { turn * 131 % 50_000 } else { 0 };
    PrefillWork::of_prompt(500, length)
}

#[test]
fn attention_makes_a_long_prompt_more_than_proportionally_long() {
    let mut estimator = FirstEventEstimator::default();
    (0..2_000).for_each(|turn| observe(&mut estimator, mixed(turn)));
    for tokens in [100, 1_000, 10_000, 30_000, 54_000] {
        let work = PrefillWork::of_prompt(5_000, tokens);
        let (estimate, real) = (estimator.estimate(work), taken(work));
        assert!((estimate / real - 1.0).abs() < 0.05, "{tokens}: {estimate} for {real}");
    }
}

#[test]
fn prompts_of_one_length_teach_nothing_absurd() {
    let mut estimator = FirstEventEstimator::default();
    (0..3_000).for_each(|_| observe(&mut estimator, PrefillWork::of_prompt(0, 1_000)));
    let long = estimator.estimate(PrefillWork::of_prompt(0, 50_000));
    assert!((100.0..=12_000.0).contains(&long), "{long}");
    let same = estimator.estimate(PrefillWork::of_prompt(0, 1_000));
    assert!((same - taken(PrefillWork::of_prompt(0, 1_000))).abs() < 5.0, "{same}");
}

#[test]
fn one_flood_moves_the_estimate_little() {
    let mut estimator = FirstEventEstimator::default();
    (0..500).for_each(|turn| observe(&mut estimator, mixed(turn)));
    let work = PrefillWork::of_prompt(0, 2_000);
    let before = estimator.estimate(work);
    estimator.observe(work, Duration::from_secs(20));
    assert!(estimator.estimate(work) < before * 1.02);
}

quickcheck! {
    fn estimates_are_finite_and_grow_with_the_work(seen: Vec<(u16, u16, u16)>, more: u16) -> bool {
        let mut estimator = FirstEventEstimator::default();
        for (cached, tokens, millis) in seen {
            let work = PrefillWork::of_prompt(u64::from(cached), u64::from(tokens));
            estimator.observe(work, Duration::from_millis(u64::from(millis)));
        }
        let none = estimator.estimate(PrefillWork::default());
        let some = estimator.estimate(PrefillWork::of_prompt(0, u64::from(more)));
        none.is_finite() && none >= 2.0 && some.is_finite() && some >= none
    }
}
