//! How long routers wait on a source.

use mastbay_routing::watch_wait;
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;

quickcheck! {
    /// A change that a waiting call was not told of is seen, and read, within the bound.
    fn a_router_of_a_small_fleet_keeps_the_bound_alone(millis: u16, routers: u8, draw: u8) -> TestResult {
        let propagation = Duration::from_millis(u64::from(millis) + 500);
        if routers > 12 {
            return TestResult::discard();
        }
        let wait = watch_wait(propagation, usize::from(routers), f64::from(draw) / 256.0);
        let least = propagation.mul_f64(0.2).min(Duration::from_secs(3));
        TestResult::from_bool(wait <= propagation.mul_f64(0.7) && wait >= least)
    }
}

#[test]
fn calls_a_second_grow_more_slowly_than_the_fleet() {
    let propagation = Duration::from_secs(2);
    let calls =
        |routers: usize| routers as f64 / watch_wait(propagation, routers, 0.5).as_secs_f64();
    assert!(calls(7) < 10.0, "{}", calls(7));
    assert!(calls(60) < 20.0, "{}", calls(60));
    assert!(calls(360) < 60.0, "{}", calls(360));
}
