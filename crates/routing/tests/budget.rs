//! The fleet's budget of second sends, with any number of routers and no message between them.

use mastbay_routing::{BudgetLimits, RetryBudget};
use mastbay_types::{Timestamp, stable_hash};
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), burst: 54.0 };

/// The draw of a router: uniform, and independent of the others'.
fn draw(index: usize) -> f64 {
    stable_hash(&[&index.to_be_bytes()]) as f64 / (u64::MAX as f64 + 1.0)
}

/// Routers that get a request each 10 ms in turn and retry whenever they may; the most second sends in a
/// window and the requests of that window.
fn most_repeats(routers: usize, seconds: u64, skew: usize) -> (usize, usize) {
    let mut budgets: Vec<RetryBudget> =
        (0..routers).map(|index| RetryBudget::new(LIMITS, Timestamp::ZERO, draw(index))).collect();
    let mut repeats: Vec<u64> = Vec::new();
    for step in 0..seconds * 100 {
        let now = Timestamp::from_millis(step * 10);
        let turn = (step as usize / skew.max(1)) % routers;
        budgets[turn].on_request(now);
        for budget in &mut budgets {
            while budget.take(now, routers) {
                repeats.push(step);
            }
        }
    }
    let in_window =
        |start: u64| repeats.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
    let most = repeats.iter().map(|start| in_window(*start)).max().unwrap_or(0);
    (most, 1_000)
}

#[test]
fn a_fleet_that_retries_all_it_can_stays_within_the_budget() {
    for routers in [1, 3, 7, 60, 985] {
        let (most, requests) = most_repeats(routers, 40, 1);
        let allowed = LIMITS.ratio * requests as f64 + LIMITS.burst;
        assert!(most as f64 <= allowed, "{routers} routers: {most} repeats, {allowed} allowed");
        assert!(most > 0);
    }
}

/// Each router's part of the burst is a fraction of one: without rounding none was ever used in a fleet larger than seven tenths of it.
#[test]
fn parts_below_one_are_used_in_fleets_of_any_size() {
    for routers in [60, 985, 2_000] {
        let mut budgets: Vec<RetryBudget> = (0..routers)
            .map(|index| RetryBudget::new(LIMITS, Timestamp::ZERO, draw(index)))
            .collect();
        let now = Timestamp::from_millis(10);
        let used =
            budgets.iter_mut().filter_map(|one| one.take(now, routers).then_some(())).count();
        let (used, burst) = (used as f64, LIMITS.burst);
        assert!(used > 0.4 * burst && used <= burst, "{used} of {burst} with {routers} routers");
    }
}

#[test]
fn a_router_that_starts_again_has_no_burst_at_first() {
    let mut budget = RetryBudget::new(LIMITS, Timestamp::from_millis(10_000), 0.5);
    assert!(!budget.take(Timestamp::from_millis(100), 1));
    assert!(budget.take(Timestamp::from_millis(10_100), 1));
}

quickcheck! {
    fn any_skew_stays_within_the_budget(routers: u8, skew: u16) -> TestResult {
        let routers = usize::from(routers % 12) + 1;
        let (most, requests) = most_repeats(routers, 12, usize::from(skew % 400));
        TestResult::from_bool(most as f64 <= LIMITS.ratio * requests as f64 + LIMITS.burst)
    }
}
