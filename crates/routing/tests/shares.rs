//! Max-min shares.

use mastbay_routing::water_level;
use quickcheck::{TestResult, quickcheck};

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
