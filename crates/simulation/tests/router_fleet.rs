//! Regression tests of independent routers against a single router with complete state.

use mastbay_simulation::router_fleet::{RouterFleet, RouterFleetReport, simulate_router_fleet};
use std::time::Duration;

const ENGINES: usize = 24;

fn simulate(routers: usize, requests_per_engine: f64, seed: u64) -> RouterFleetReport {
    simulate_router_fleet(RouterFleet {
        routers,
        engines: ENGINES,
        slots: 48,
        requests_per_second: requests_per_engine * ENGINES as f64,
        length: Duration::from_secs(8),
        seed,
    })
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    assert_eq!(simulate(7, 20.0, 3), simulate(7, 20.0, 3));
}

#[test]
fn seven_routers_serve_as_much_in_time_as_one_that_knows_everything() {
    for seed in [1, 2, 3] {
        for load in [10.0, 20.0, 30.0] {
            let alone = simulate(1, load, seed).in_time_fraction();
            let fleet = simulate(7, load, seed).in_time_fraction();
            assert!(fleet >= alone - 0.02, "seed {seed}, load {load}: {fleet} against {alone}");
        }
    }
}

#[test]
fn sixty_routers_lose_little_until_engines_are_full() {
    for seed in [1, 2] {
        let fleet = simulate(60, 20.0, seed).in_time_fraction();
        assert!(fleet >= 0.97, "seed {seed}: {fleet}");
        let full = simulate(60, 30.0, seed).in_time_fraction();
        assert!(full >= 0.75, "seed {seed}: {full}");
    }
}

#[test]
fn prefixes_are_seldom_prefilled_again_below_full_load() {
    let report = simulate(7, 10.0, 1);
    assert!(report.repeated_prefill_thousands <= 20, "{report:?}");
    assert_eq!(report.refused, 0, "{report:?}");
}
