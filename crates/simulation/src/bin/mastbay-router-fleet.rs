//! `mastbay-router-fleet`: compares fleets of independent routers with a single router.

use mastbay_simulation::router_fleet::{RouterFleet, simulate_router_fleet};
use std::time::Duration;

/// Prints a line for each load and size of fleet.
#[derive(argh::FromArgs)]
struct Arguments {
    /// comma-separated fleet sizes (1,7,60)
    #[argh(option, default = "String::from(\"1,7,60\")")]
    routers: String,
    /// seconds of traffic (12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// seed of the random number generator (1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Number of engines, and the loads in requests per second and engine.
const ENGINES: usize = 24;
const LOADS: [f64; 3] = [10.0, 20.0, 30.0];

fn main() {
    let arguments: Arguments = argh::from_env();
    println!("requests/s  routers  in time  late  refused  read again, k  most at an engine");
    for load in LOADS {
        for routers in arguments.routers.split(',').filter_map(|text| text.trim().parse().ok()) {
            let report = simulate_router_fleet(RouterFleet {
                routers,
                engines: ENGINES,
                slots: 48,
                requests_per_second: load * ENGINES as f64,
                length: Duration::from_secs(arguments.seconds),
                seed: arguments.seed,
            });
            println!(
                "{:10.0}  {routers:7}  {:7.3}  {:4}  {:7}  {:13}  {:17}",
                load * ENGINES as f64,
                report.in_time_fraction(),
                report.late,
                report.refused,
                report.repeated_prefill_thousands,
                report.max_at_engine,
            );
        }
    }
}
