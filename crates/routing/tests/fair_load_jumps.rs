//! Fairness while the load of tenants jumps, by the windows of rule FAIR.

mod support;

use mastbay_routing::Policy;
use support::tenants_day::{COUNTED, Day, DaySimulation};

/// Simulates a day. Returns the least part of its due that a tenant is given in a window.
fn least_fraction(day: Day) -> f64 {
    let label = format!("seed {}, {} requests a second", day.seed, day.rate);
    let mut simulation = DaySimulation::new(day, Policy::default());
    simulation.run();
    let shortest = simulation.counts.shortest(COUNTED);
    println!(
        "{label}: {} tries, {} refusals, {} of them with half of the slots free",
        simulation.tries, simulation.refusals, simulation.refused_with_room
    );
    let Some(least) = shortest.first() else { return 1.0 };
    for window in shortest.iter().take(3) {
        println!("  {:.2} {window:?}", window.fraction());
    }
    simulation.print(0);
    simulation.print(least.tenant);
    least.fraction()
}

fn assert_fair_while_load_jumps(rate: f64, seeds: std::ops::RangeInclusive<u64>) {
    let fractions: Vec<f64> = seeds.map(|seed| least_fraction(Day::of_jumps(seed, rate))).collect();
    let least = fractions.iter().copied().fold(1.0, f64::min);
    assert!(
        least >= 0.5,
        "a tenant is given {least:.2} of its due over six seconds; by seed {fractions:.2?}"
    );
}

/// Guards against serving a tenant that returns after a quiet time instead of those that were
/// served meanwhile. The rate is that of a crest of the users' days of high load: 1,772 requests a
/// second and 27 % more.
#[test]
fn no_tenant_is_short_while_the_largest_returns_at_a_crest() {
    assert_fair_while_load_jumps(2_250.0, 1..=4);
}

/// The same at a burst on top of the crest.
#[test]
fn no_tenant_is_short_while_the_largest_returns_in_a_burst() {
    assert_fair_while_load_jumps(2_600.0, 1..=4);
}
