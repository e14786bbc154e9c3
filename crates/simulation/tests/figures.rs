//! Regression tests of the fleet against the ideal queue and the baselines in two deployments. The
//! runs are deterministic; the bounds leave a margin for changes of the code.

use mastbay_grants::CellConfig;
use mastbay_simulation::baselines::{EarlyBinding, IndependentGateways, SingleQueue};
use mastbay_simulation::faults::{Fault, TimedFault, rotating_faults};
use mastbay_simulation::fleet::{Fleet, FleetOptions};
use mastbay_simulation::report::{DispatcherReport, split_allowance};
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

fn report(scenario: &Scenario, dispatcher: &mut impl Dispatcher) -> DispatcherReport {
    DispatcherReport::new("one", scenario, &run(scenario, SEED, dispatcher))
}

fn fleet(scenario: &Scenario, faults: Vec<TimedFault>) -> DispatcherReport {
    let options = FleetOptions { membership: true, faults, ..FleetOptions::default() };
    report(scenario, &mut Fleet::new(scenario, options, SEED))
}

/// Maximum ratio of the gap to that of the ideal queue, and minimum utilisation, by service.
struct Bounds {
    gap_ratios: [f64; 2],
    utilisations: [f64; 2],
}

fn check(name: &str, report: &DispatcherReport, ideal: &DispatcherReport, bounds: &Bounds) {
    for (index, service) in report.services.iter().enumerate() {
        let ratio = service.gap / ideal.services[index].gap;
        let what = format!("{name}, {}: gap ratio {ratio:.2}, {service:?}", service.service);
        assert!(ratio <= bounds.gap_ratios[index], "{what}");
        assert!(service.utilisation >= bounds.utilisations[index], "{what}");
        assert!(service.gap_of_bound <= 0.1, "{what}");
    }
}

fn scheduler_kills(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(20), Duration::from_secs(8));
    rotating_faults(scenario.machines, first, period, scenario.duration, |machine| {
        Fault::KillScheduler { machine, down: Duration::from_secs(3) }
    })
}

fn scheduler_freezes(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(20), Duration::from_secs(7));
    rotating_faults(scenario.machines, first, period, scenario.duration, |machine| {
        Fault::FreezeScheduler { machine, span: Duration::from_secs(2) }
    })
}

fn partitions(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(20), Duration::from_secs(12));
    let machines = scenario.machines;
    rotating_faults(machines, first, period, scenario.duration, |machine| Fault::Cut {
        machines: vec![machine, (machine + 1) % machines],
        both_ways: machine % 2 == 0,
        span: Duration::from_secs(4),
    })
}

fn message_loss(scenario: &Scenario) -> Vec<TimedFault> {
    let (first, period) = (Duration::from_secs(15), Duration::from_secs(10));
    rotating_faults(scenario.machines, first, period, scenario.duration, |_| Fault::Loss {
        share: 0.05,
        span: Duration::from_secs(10),
    })
}

/// Checks a deployment without faults and with killed schedulers. Returns the report of the latter.
fn check_against_ideal_queue(
    scenario: &Scenario,
    without_faults_bounds: &Bounds,
    max_bytes_per_request: f64,
    schedulers_lost_bounds: &Bounds,
) -> DispatcherReport {
    let ideal = report(scenario, &mut SingleQueue::fair(scenario));
    let without_faults = fleet(scenario, Vec::new());
    check("no fault", &without_faults, &ideal, without_faults_bounds);
    assert!(without_faults.bytes_per_request <= max_bytes_per_request, "{without_faults:?}");
    let schedulers_lost = fleet(scenario, scheduler_kills(scenario));
    check("schedulers lost", &schedulers_lost, &ideal, schedulers_lost_bounds);
    schedulers_lost
}

#[test]
fn patagonia_stays_near_the_ideal_queue() {
    let without_faults = Bounds { gap_ratios: [1.5, 1.6], utilisations: [0.99, 0.99] };
    let schedulers_lost = Bounds { gap_ratios: [1.5, 2.5], utilisations: [0.98, 0.98] };
    let report =
        check_against_ideal_queue(&scenario("patagonia"), &without_faults, 800.0, &schedulers_lost);
    let small = report.tenants.iter().find(|tenant| tenant.tenant == "ranger-limay");
    let small = small.expect("the smallest tenant");
    assert!(small.longest_wait <= 2.0, "the small tenant starved: {small:?}");
}

#[test]
fn kolkata_stays_near_the_ideal_queue() {
    let without_faults = Bounds { gap_ratios: [1.5, 1.8], utilisations: [0.99, 0.99] };
    let schedulers_lost = Bounds { gap_ratios: [1.5, 2.5], utilisations: [0.98, 0.97] };
    check_against_ideal_queue(&scenario("kolkata"), &without_faults, 950.0, &schedulers_lost);
}

#[test]
fn frozen_cut_and_lossy_fleets_keep_within_the_bound() {
    let scenario = scenario("patagonia");
    for (name, faults, split_seconds) in [
        ("frozen schedulers", scheduler_freezes(&scenario), 0.0),
        ("cuts", partitions(&scenario), 5.5),
        ("lost messages", message_loss(&scenario), 0.0),
    ] {
        let report = fleet(&scenario, faults);
        for (index, service) in report.services.iter().enumerate() {
            let what = format!("{name}: {service:?}");
            let bound = service.gap / service.gap_of_bound;
            let allowed = bound / 2.0 + split_allowance(&scenario, index, split_seconds) / 2.0;
            assert!(service.gap <= allowed, "{what}");
            assert!(service.utilisation >= 0.85, "{what}");
        }
        let small = report.tenants.iter().find(|tenant| tenant.tenant == "ranger-limay");
        let small = small.expect("the smallest tenant");
        assert!(small.longest_wait <= 8.0, "{name}: the small tenant starved: {small:?}");
    }
}

#[test]
fn the_baselines_fail_where_the_fleet_does_not() {
    let scenario = scenario("patagonia");
    let ideal = report(&scenario, &mut SingleQueue::fair(&scenario));
    let ratio = |report: &DispatcherReport| report.services[0].gap / ideal.services[0].gap;
    assert!(ratio(&report(&scenario, &mut SingleQueue::first_come_first_served(&scenario))) > 20.0);
    assert!(ratio(&report(&scenario, &mut EarlyBinding::new(&scenario))) > 20.0);
    let alone = report(&scenario, &mut IndependentGateways::new(&scenario));
    assert!(ratio(&alone) > 10.0);
    assert!(alone.services[0].utilisation < 0.9);
}

#[test]
fn the_same_seed_gives_the_same_figures_to_the_last_digit() {
    let scenario = Scenario { duration: Duration::from_secs(25), ..scenario("kolkata") };
    let first = fleet(&scenario, scheduler_kills(&scenario));
    let second = fleet(&scenario, scheduler_kills(&scenario));
    assert_eq!(first, second);
}

/// Runs a fleet with changed cell settings while schedulers are killed.
fn with_cells(scenario: &Scenario, change: impl FnOnce(&mut CellConfig)) -> DispatcherReport {
    let faults = scheduler_kills(scenario);
    let mut options = FleetOptions { membership: true, faults, ..FleetOptions::default() };
    change(&mut options.cell);
    report(scenario, &mut Fleet::new(scenario, options, SEED))
}

#[test]
fn without_its_mechanism_each_bound_is_broken() {
    let scenario = scenario("patagonia");
    let ideal = report(&scenario, &mut SingleQueue::fair(&scenario));
    let ratio = |report: &DispatcherReport, service: usize| {
        report.services[service].gap / ideal.services[service].gap
    };
    let with_ahead = |ahead: u32| {
        let mut changed = scenario.clone();
        for service in &mut changed.services {
            service.ahead = Some(ahead);
        }
        fleet(&changed, Vec::new())
    };
    // Without grants ahead, slots of short calls are idle between grants.
    let no_grants_ahead = with_ahead(0);
    assert!(no_grants_ahead.services[1].utilisation < 0.97, "{no_grants_ahead:?}");
    // With too many grants ahead, requests queue at back ends out of fair order.
    let much_ahead = with_ahead(8);
    assert!(ratio(&much_ahead, 0) > 1.5, "{}", ratio(&much_ahead, 0));
    // A replacement scheduler that does not wait for reports grants occupied slots.
    let no_settle_time = with_cells(&scenario, |cell| cell.settle_time = Duration::ZERO);
    assert!(ratio(&no_settle_time, 0) > 1.5, "{}", ratio(&no_settle_time, 0));
}
