//! Grants against machines, tenants, engines and requests a second.

use super::resident;
use crate::fleet::{Fleet, FleetOptions};
use crate::scenario::{Arrivals, Scenario, ServiceLoad, TenantLoad};
use crate::world::run;
use std::time::{Duration, Instant};

struct Load {
    machines: usize,
    engines: usize,
    slots: u32,
    services: usize,
    tenants: usize,
    /// Requests a second over all tenants.
    rate: f64,
    cost: u64,
    step: Duration,
    seconds: u64,
}

/// A fleet whose tenants send at random through three gateways each, with a tenth more load than the
/// engines can serve in the first tenth of the tenants, so that those are backlogged.
fn scenario(load: &Load) -> Scenario {
    let services = (0..load.services)
        .map(|number| ServiceLoad {
            name: format!("model-{number}"),
            engines: load.engines / load.services,
            slots: load.slots,
            step: load.step,
            ahead: None,
        })
        .collect();
    let backlogged = load.tenants.div_ceil(10);
    let tenants = (0..load.tenants)
        .map(|number| {
            let gateways = (0..3).map(|turn| (number * 7 + turn * 13) % load.machines).collect();
            let callers = (load.engines as f64 * f64::from(load.slots) / backlogged as f64).ceil();
            let arrivals = if number < backlogged {
                Arrivals::Closed { callers: callers as u32 }
            } else {
                Arrivals::Open { rate: load.rate / load.tenants as f64 }
            };
            TenantLoad {
                name: format!("tenant-{number:04}"),
                weight: 1,
                service: number % load.services,
                gateways,
                arrivals,
                median_cost: load.cost,
                cost_spread: 0.8,
                largest_cost: load.cost * 10,
            }
        })
        .collect();
    Scenario {
        machines: load.machines,
        zones: 3,
        delay: Duration::from_micros(1_100),
        near_delay: Duration::from_micros(200),
        duration: Duration::from_secs(load.seconds),
        load_start: Duration::from_secs(1),
        warm_up: Duration::from_secs(load.seconds / 2),
        services,
        tenants,
    }
}

fn grants(load: &Load) {
    let scenario = scenario(load);
    let before = resident();
    let mut fleet = Fleet::new(&scenario, FleetOptions::default(), 1);
    let began = Instant::now();
    let measured = run(&scenario, 1, &mut fleet);
    let took = began.elapsed();
    let memory = resident().saturating_sub(before);
    let seconds = load.seconds as f64;
    let requests = measured.ended.max(1) as f64;
    let used: f64 = measured.slots.iter().map(|slots| slots.used).sum();
    let stranded: f64 = measured.slots.iter().map(|slots| slots.stranded).sum();
    println!(
        "{:>5} {:>6} {:>6} {:>8.0} {:>7.2} {:>7.0} {:>10.0} {:>12.0} {:>8.4} {:>9.1} {:>7.0}",
        load.machines,
        load.engines,
        load.tenants,
        requests / seconds,
        measured.traffic.messages as f64 / requests,
        measured.traffic.bytes as f64 / requests,
        2.0 * measured.traffic.bytes as f64 / seconds / (2 * load.machines) as f64,
        measured.traffic.busiest_bytes as f64 / seconds,
        used / (used + stranded).max(1e-9),
        took.as_secs_f64() * 1e6 / requests,
        memory as f64 / 1e6,
    );
}

fn grants_head(what: &str) {
    println!(
        "grants by {what}: machines, engines, tenants, requests/s, messages and bytes a request, \
         bytes/s of a process, of the busiest, utilisation, simulation microseconds a request, MB"
    );
}

const BASE: Load = Load {
    machines: 9,
    engines: 36,
    slots: 16,
    services: 3,
    tenants: 60,
    rate: 60.0,
    cost: 100,
    step: Duration::from_millis(10),
    seconds: 20,
};

/// Prints the slope.
pub fn grants_by_machines() {
    grants_head("machines");
    for machines in [9, 18, 36, 72, 144] {
        grants(&Load { machines, ..BASE });
    }
}

/// Prints the slope.
pub fn grants_by_tenants() {
    grants_head("tenants");
    for tenants in [60, 120, 240, 480, 960] {
        grants(&Load { tenants, machines: 36, ..BASE });
    }
}

/// Prints the slope.
pub fn grants_by_rate() {
    grants_head("engines, and so requests a second");
    for engines in [36, 72, 144, 288, 576] {
        let rate = engines as f64 * 1.6;
        grants(&Load { engines, rate, machines: 36, ..BASE });
    }
}

/// The size to come, as far as one process carries it: every daemon, engine and tenant hollow.
pub fn full_size() {
    grants_head("the size to come");
    grants(&Load {
        machines: 360,
        engines: 7_296,
        slots: 50,
        services: 12,
        tenants: 2_600,
        rate: 11_000.0,
        cost: 300,
        step: Duration::from_millis(44),
        seconds: 30,
    });
}
