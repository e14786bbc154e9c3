//! Max-min shares.

use mastbay_routing::{Usage, water_level};
use mastbay_types::Timestamp;
use quickcheck::{TestResult, quickcheck};
use std::sync::Arc;
use std::time::Duration;

quickcheck! {
    fn the_level_shares_out_the_capacity(demands: Vec<u16>, capacity: u16) -> TestResult {
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
fn the_largest_demand_alone_is_cut() {
    assert_eq!(water_level(&mut [10.0, 100.0, 20.0], 80.0), 50.0);
}

/// A router that has just started knows a tenant's rate within a second, though its window is longer.
#[test]
fn a_window_that_is_not_full_yet_tells_the_whole_rate() {
    let tenant: Arc<str> = Arc::from("hot");
    let mut usage = Usage::new(Duration::from_secs(4));
    for turn in 0..=100 {
        usage.on_asked(Timestamp::from_millis(5_000 + turn * 10), &tenant, 1_000);
    }
    let reports = usage.reports(Timestamp::from_millis(6_000));
    let asked = f64::from(reports[0].asked);
    assert!((90_000.0..=112_000.0).contains(&asked), "{asked}");
}
