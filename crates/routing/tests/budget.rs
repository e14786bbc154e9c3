//! The retry budget of the fleet, divided among any number of routers without coordination.

use mastbay_routing::{BudgetLimits, RetryBudget};
use mastbay_types::{Timestamp, stable_hash};
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), burst: 54.0 };

/// Returns a random number of a router in [0, 1), independent of those of the others.
fn draw(index: usize) -> f64 {
    stable_hash(&[&index.to_be_bytes()]) as f64 / (u64::MAX as f64 + 1.0)
}

/// Simulates routers that receive a request every 10 ms in turn and retry whenever they may.
/// Returns the largest number of retries in a window and the number of requests in that window.
fn max_retries(routers: usize, seconds: u64, skew: usize) -> (usize, usize) {
    let mut budgets: Vec<RetryBudget> =
        (0..routers).map(|index| RetryBudget::new(LIMITS, Timestamp::ZERO, draw(index))).collect();
    let mut retries: Vec<u64> = Vec::new();
    for step in 0..seconds * 100 {
        let now = Timestamp::from_millis(step * 10);
        let target = (step as usize / skew.max(1)) % routers;
        budgets[target].on_request(now);
        for budget in &mut budgets {
            while budget.take(now, Some(routers)) {
                budget.settle(now, 1);
                retries.push(step);
            }
        }
    }
    let in_window =
        |start: u64| retries.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
    let max_in_window = retries.iter().map(|start| in_window(*start)).max().unwrap_or(0);
    (max_in_window, 1_000)
}

#[test]
fn a_fleet_that_retries_whenever_it_may_stays_within_the_budget() {
    for routers in [1, 3, 7, 60, 985] {
        let (max_in_window, requests) = max_retries(routers, 40, 1);
        let allowed = LIMITS.ratio * requests as f64 + LIMITS.burst;
        assert!(
            max_in_window as f64 <= allowed,
            "{routers} routers: {max_in_window} retries, {allowed} allowed"
        );
        assert!(max_in_window > 0);
    }
}

/// Guards against a burst that is never used because the share of each router is below one.
#[test]
fn burst_shares_below_one_are_used_in_fleets_of_any_size() {
    for routers in [60, 985, 2_000] {
        let mut budgets: Vec<RetryBudget> = (0..routers)
            .map(|index| RetryBudget::new(LIMITS, Timestamp::ZERO, draw(index)))
            .collect();
        let now = Timestamp::from_millis(10);
        let used = budgets
            .iter_mut()
            .filter_map(|budget| budget.take(now, Some(routers)).then_some(()))
            .count();
        let (used, burst) = (used as f64, LIMITS.burst);
        assert!(used > 0.4 * burst && used <= burst, "{used} of {burst} with {routers} routers");
    }
}

#[test]
fn a_restarted_router_has_no_burst_at_first() {
    let mut budget = RetryBudget::new(LIMITS, Timestamp::from_millis(10_000), 0.5);
    assert!(!budget.take(Timestamp::from_millis(100), Some(1)));
    assert!(budget.take(Timestamp::from_millis(10_100), Some(1)));
}

/// Guards against a charge that expires while its request may still arrive.
#[test]
fn a_retry_that_may_still_arrive_stays_charged() {
    let seconds = |seconds: u64| Timestamp::from_millis(seconds * 1_000);
    let mut budget = RetryBudget::new(LIMITS, Timestamp::ZERO, 0.5);
    while budget.take(seconds(0), Some(1)) {}
    assert_eq!(budget.remaining(seconds(100), Some(1)), 0);
    budget.settle(seconds(100), 5);
    assert_eq!(budget.remaining(seconds(110), Some(1)), 0);
    assert_eq!(budget.remaining(seconds(111), Some(1)), 5);
}

/// Guards against charging retries that were never sent.
#[test]
fn a_retry_that_is_returned_can_be_taken_again() {
    let now = Timestamp::from_millis(10);
    let mut budget = RetryBudget::new(LIMITS, Timestamp::ZERO, 0.5);
    let before = budget.remaining(now, Some(1));
    assert!(budget.take(now, Some(1)));
    budget.return_one();
    assert_eq!(budget.remaining(now, Some(1)), before);
}

quickcheck! {
    fn any_skew_stays_within_the_budget(routers: u8, skew: u16) -> TestResult {
        let routers = usize::from(routers % 12) + 1;
        let (max_in_window, requests) = max_retries(routers, 12, usize::from(skew % 400));
        TestResult::from_bool(max_in_window as f64 <= LIMITS.ratio * requests as f64 + LIMITS.burst)
    }
}
