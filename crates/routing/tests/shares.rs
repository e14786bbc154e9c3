//! Max-min fair shares, and the request rates of tenants that they are computed from.

use mastbay_routing::{Usage, water_level};
use mastbay_types::Timestamp;
use quickcheck::{TestResult, quickcheck};
use std::sync::Arc;
use std::time::Duration;

quickcheck! {
    fn the_level_distributes_the_whole_capacity(demands: Vec<u16>, capacity: u16) -> TestResult {
        let mut demands: Vec<f64> = demands.into_iter().map(f64::from).collect();
        let capacity = f64::from(capacity);
        let asked: f64 = demands.iter().sum();
        let level = water_level(&mut demands, capacity);
        if asked <= capacity {
            return TestResult::from_bool(level.is_infinite());
        }
        let given: f64 = demands.iter().map(|demand| demand.min(level)).sum();
        TestResult::from_bool((given - capacity).abs() < 1e-6 * capacity.max(1.0))
    }
}

#[test]
fn only_the_largest_demand_is_cut() {
    assert_eq!(water_level(&mut [10.0, 100.0, 20.0], 80.0), 50.0);
}

/// A router that has just started must not report too low rates while its window fills.
#[test]
fn a_partly_filled_window_yields_the_full_rate() {
    let tenant: Arc<str> = Arc::from("hot");
    let mut usage = Usage::new(Duration::from_secs(4));
    for index in 0..=100 {
        usage.on_asked(Timestamp::from_millis(5_000 + index * 10), &tenant, 1_000);
    }
    let reports = usage.reports(Timestamp::from_millis(6_000));
    let asked = f64::from(reports[0].asked);
    assert!((90_000.0..=112_000.0).contains(&asked), "{asked}");
}
