//! Regression bounds on the figures of both deployments. The runs are seeded, so the figures are the
//! same to the last digit each time; the bounds leave a little room for changes of the code.

use mastbay_grants::CellConfig;
use mastbay_simulation::baselines::{EarlyBinding, IndependentGateways, SingleQueue};
use mastbay_simulation::faults::{Fault, TimedFault, rotating_faults};
use mastbay_simulation::fleet::{Fleet, FleetOptions};
use mastbay_simulation::report::{Figures, split_allowance};
use mastbay_simulation::scenario::Scenario;
use mastbay_simulation::world::{Dispatcher, run};
use std::path::Path;
use std::time::Duration;

const SEED: u64 = 1;

fn scenario(name: &str) -> Scenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let scenario = Scenario::load(&folder.join(format!("{name}.ini"))).expect("a scenario");
    Scenario { duration: Duration::from_secs(70), ..scenario }
}

fn figures(scenario: &Scenario, dispatcher: &mut impl Dispatcher) -> Figures {
    Figures::new("one", scenario, &run(scenario, SEED, dispatcher))
}

fn fleet(scenario: &Scenario, faults: Vec<TimedFault>) -> Figures {
    let options = FleetOptions { membership: true, faults, ..FleetOptions::default() };
    figures(scenario, &mut Fleet::new(scenario, options, SEED))
}

/// Largest gap over that of the ideal queue, and least utilisation, of each service.
struct Bounds {
    gap_ratios: [f64; 2],
    utilisations: [f64; 2],
}

fn check(name: &str, figures: &Figures, ideal: &Figures, bounds: &Bounds) {
    for (index, service) in figures.services.iter().enumerate() {
        let ratio = service.gap / ideal.services[index].gap;
        let what = format!("{name}, {}: gap ratio {ratio:.2}, {service:?}", service.service);
        assert!(ratio <= bounds.gap_ratios[index], "{what}");
        assert!(service.utilisation >= bounds.utilisations[index], "{what}");
        assert!(service.gap_of_bound <= 0.1, "{what}");
    }
}

fn losing_schedulers(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(20), Duration::from_secs(8));
    rotating_faults(scenario.machines, first, period, scenario.duration, |machine| {
        Fault::KillScheduler { machine, down: Duration::from_secs(3) }
    })
}

fn freezing(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(20), Duration::from_secs(7));
    rotating_faults(scenario.machines, first, period, scenario.duration, |machine| {
        Fault::FreezeScheduler { machine, span: Duration::from_secs(2) }
    })
}

fn cutting(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(20), Duration::from_secs(12));
    let machines = scenario.machines;
    rotating_faults(machines, first, period, scenario.duration, |machine| Fault::Cut {
        machines: vec![machine, (machine + 1) % machines],
        both_ways: machine % 2 == 0,
        span: Duration::from_secs(4),
    })
}

fn losing_messages(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(15), Duration::from_secs(10));
    rotating_faults(scenario.machines, first, period, scenario.duration, |_| Fault::Loss {
        share: 0.05,
        span: Duration::from_secs(10),
    })
}

/// Checks a deployment without fault and with schedulers lost. Gives the figures of the latter.
fn stays_near_the_ideal(
    scenario: &Scenario,
    calm_bounds: &Bounds,
    most_bytes_per_request: f64,
    lost_bounds: &Bounds,
) -> Figures {
    let ideal = figures(scenario, &mut SingleQueue::fair(scenario));
    let calm = fleet(scenario, Vec::new());
    check("no fault", &calm, &ideal, calm_bounds);
    assert!(calm.bytes_per_request <= most_bytes_per_request, "{calm:?}");
    let lost = fleet(scenario, losing_schedulers(scenario));
    check("schedulers lost", &lost, &ideal, lost_bounds);
    lost
}

#[test]
fn patagonia_stays_near_the_ideal_queue() {
    let calm = Bounds { gap_ratios: [1.5, 1.6], utilisations: [0.99, 0.99] };
    let lost = Bounds { gap_ratios: [1.5, 2.5], utilisations: [0.98, 0.98] };
    let figures = stays_near_the_ideal(&scenario("patagonia"), &calm, 800.0, &lost);
    let small = figures.tenants.iter().find(|tenant| tenant.tenant == "ranger-limay");
    let small = small.expect("the smallest tenant");
    assert!(small.longest_wait <= 2.0, "the small tenant starved: {small:?}");
}

#[test]
fn kolkata_stays_near_the_ideal_queue() {
    let calm = Bounds { gap_ratios: [1.5, 1.8], utilisations: [0.99, 0.99] };
    let lost = Bounds { gap_ratios: [1.5, 2.5], utilisations: [0.98, 0.97] };
    stays_near_the_ideal(&scenario("kolkata"), &calm, 950.0, &lost);
}

#[test]
fn frozen_cut_and_lossy_fleets_keep_within_the_bound() {
    let scenario = scenario("patagonia");
    for (name, faults, split_seconds) in [
        ("frozen schedulers", freezing(&scenario), 0.0),
        ("cuts", cutting(&scenario), 5.5),
        ("lost messages", losing_messages(&scenario), 0.0),
    ] {
        let figures = fleet(&scenario, faults);
        for (index, service) in figures.services.iter().enumerate() {
            let what = format!("{name}: {service:?}");
            let bound = service.gap / service.gap_of_bound;
            let allowed = bound / 2.0 + split_allowance(&scenario, index, split_seconds) / 2.0;
            assert!(service.gap <= allowed, "{what}");
            assert!(service.utilisation >= 0.85, "{what}");
        }
        let small = figures.tenants.iter().find(|tenant| tenant.tenant == "ranger-limay");
        let small = small.expect("the smallest tenant");
        assert!(small.longest_wait <= 8.0, "{name}: the small tenant starved: {small:?}");
    }
}

#[test]
fn the_baselines_fail_where_the_fleet_does_not() {
    let scenario = scenario("patagonia");
    let ideal = figures(&scenario, &mut SingleQueue::fair(&scenario));
    let ratio = |figures: &Figures| figures.services[0].gap / ideal.services[0].gap;
    assert!(
        ratio(&figures(&scenario, &mut SingleQueue::first_come_first_served(&scenario))) > 20.0
    );
    assert!(ratio(&figures(&scenario, &mut EarlyBinding::new(&scenario))) > 20.0);
    let alone = figures(&scenario, &mut IndependentGateways::new(&scenario));
    assert!(ratio(&alone) > 10.0);
    assert!(alone.services[0].utilisation < 0.9);
}

#[test]
fn the_same_seed_gives_the_same_figures_to_the_last_digit() {
    let scenario = Scenario { duration: Duration::from_secs(25), ..scenario("kolkata") };
    let first = fleet(&scenario, losing_schedulers(&scenario));
    let second = fleet(&scenario, losing_schedulers(&scenario));
    assert_eq!(first, second);
}

/// Figures of a fleet with other settings of its cells, schedulers being lost.
fn with_cells(scenario: &Scenario, change: impl FnOnce(&mut CellConfig)) -> Figures {
    let faults = losing_schedulers(scenario);
    let mut options = FleetOptions { membership: true, faults, ..FleetOptions::default() };
    change(&mut options.cell);
    figures(scenario, &mut Fleet::new(scenario, options, SEED))
}

#[test]
fn without_its_mechanism_each_bound_is_broken() {
    let scenario = scenario("patagonia");
    let ideal = figures(&scenario, &mut SingleQueue::fair(&scenario));
    let ratio = |figures: &Figures, service: usize| {
        figures.services[service].gap / ideal.services[service].gap
    };
    let with_ahead = |ahead: u32| {
        let mut changed = scenario.clone();
        for service in &mut changed.services {
            service.ahead = Some(ahead);
        }
        fleet(&changed, Vec::new())
    };
    // Nothing granted ahead: slots of short calls idle.
    let no_grants_ahead = with_ahead(0);
    assert!(no_grants_ahead.services[1].utilisation < 0.97, "{no_grants_ahead:?}");
    // Everything granted early: requests queue at back ends, out of order.
    let much_ahead = with_ahead(8);
    assert!(ratio(&much_ahead, 0) > 1.5, "{}", ratio(&much_ahead, 0));
    // A successor that does not wait for reports grants slots that are taken.
    let no_settle_time = with_cells(&scenario, |cell| cell.settle_time = Duration::ZERO);
    assert!(ratio(&no_settle_time, 0) > 1.5, "{}", ratio(&no_settle_time, 0));
}
