//! Figures of a run, as a table and as JSON.

use crate::scenario::Scenario;
use crate::world::Measurements;
use serde::Serialize;
use std::fmt::Write;

/// Figures of one dispatcher in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// The dispatcher.
    pub dispatcher: String,
    /// Figures of each service.
    pub services: Vec<ServiceFigures>,
    /// Figures of each tenant.
    pub tenants: Vec<TenantFigures>,
    /// Longest wait of the tenant with the fewest requests, in seconds.
    pub longest_small_wait: f64,
    /// Wait that 95 in 100 requests do not exceed, in seconds.
    pub wait_95: f64,
    /// Time from arrival to the first token or cost unit at the engine that 95 in 100 requests do
    /// not exceed, in seconds.
    pub first_unit_95: f64,
    /// Requests that ended.
    pub ended: u64,
    /// Requests sent to an engine that had no free slot.
    pub queued_at_engine: u64,
    /// Control messages for each request.
    pub messages_per_request: f64,
    /// Control bytes for each request.
    pub bytes_per_request: f64,
    /// Control bytes a second of the busiest process, sent and received.
    pub busiest_bytes_per_second: f64,
}

/// Figures of one tenant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TenantFigures {
    /// The tenant.
    pub tenant: String,
    /// Service delivered over weight, in cost units.
    pub delivered: f64,
    /// Requests that began to run.
    pub requests: u64,
    /// Wait that half of them did not exceed, in seconds.
    pub wait_50: f64,
    /// Longest wait, in seconds.
    pub longest_wait: f64,
}

/// Figures of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceFigures {
    /// The service.
    pub service: String,
    /// Largest service gap of two tenants backlogged together, in cost units over weight.
    pub gap: f64,
    /// The two tenants between which it was.
    pub worst_pair: String,
    /// The gap that 99 in 100 samples do not exceed.
    pub gap_99: f64,
    /// The largest gap as a share of the bound.
    pub gap_of_bound: f64,
    /// Share of slot time used, of that which waiting work could have used.
    pub utilisation: f64,
    /// Slot seconds that were free while work waited that could have used them.
    pub stranded_seconds: f64,
}

impl Figures {
    /// The figures of a run.
    pub fn new(dispatcher: &str, scenario: &Scenario, measured: &Measurements) -> Self {
        let smallest = measured
            .waits
            .iter()
            .filter(|waits| waits.count() > 0)
            .min_by_key(|waits| waits.count());
        let ended = measured.ended.max(1) as f64;
        Self {
            dispatcher: dispatcher.to_owned(),
            services: (0..scenario.services.len())
                .map(|service| ServiceFigures::new(scenario, measured, service))
                .collect(),
            tenants: (0..scenario.tenants.len())
                .map(|tenant| TenantFigures::new(scenario, measured, tenant))
                .collect(),
            longest_small_wait: smallest.map_or(0.0, |waits| waits.longest()),
            wait_95: measured.all_waits.quantile(0.95),
            first_unit_95: measured.first_units.quantile(0.95),
            ended: measured.ended,
            queued_at_engine: measured.queued_at_engine,
            messages_per_request: measured.traffic.messages as f64 / ended,
            bytes_per_request: measured.traffic.bytes as f64 / ended,
            busiest_bytes_per_second: measured.traffic.busiest_bytes as f64
                / scenario.duration.as_secs_f64(),
        }
    }
}

impl TenantFigures {
    fn new(scenario: &Scenario, measured: &Measurements, tenant: usize) -> Self {
        let load = &scenario.tenants[tenant];
        let waits = &measured.waits[tenant];
        Self {
            tenant: load.name.clone(),
            delivered: measured.delivered[tenant] as f64 / f64::from(load.weight),
            requests: waits.count(),
            wait_50: waits.quantile(0.5),
            longest_wait: waits.longest(),
        }
    }
}

impl ServiceFigures {
    fn new(scenario: &Scenario, measured: &Measurements, service: usize) -> Self {
        let (gap, slots) = (&measured.gaps[service], &measured.slots[service]);
        let bound = gap_bound(scenario, service, measured.largest_costs[service]);
        Self {
            service: scenario.services[service].name.clone(),
            gap: gap.largest(),
            worst_pair: gap.worst().map(|pair| pair_name(scenario, pair)).unwrap_or_default(),
            gap_99: gap.percentile_99(),
            gap_of_bound: gap.largest() / bound,
            utilisation: slots.utilisation(),
            stranded_seconds: slots.stranded,
        }
    }
}

fn pair_name(scenario: &Scenario, (left, right): (usize, usize)) -> String {
    format!("{} / {}", scenario.tenants[left].name, scenario.tenants[right].name)
}

/// Time in which what a scheduler knows may be out of date: the interval of reports on cost, a
/// message each way, and the time in which a lost scheduler is replaced.
const STALENESS_SECONDS: f64 = 0.1 + 0.004 + 0.6;

/// The bound on a service's gap, in cost units over weight: `(2 S L + 2 R C) / w`, with `S` the slots
/// of the cell, `L` the largest cost of a request, `w` the least weight, `R` the time in which
/// knowledge may be out of date and `C` the service that all slots give in a second.
pub fn gap_bound(scenario: &Scenario, service: usize, largest_cost: u64) -> f64 {
    let of_service = scenario.tenants.iter().filter(|tenant| tenant.service == service);
    let weight = of_service.map(|tenant| tenant.weight).min().unwrap_or(1);
    let slots = f64::from(scenario.slots(service));
    let rate = slots / scenario.services[service].step.as_secs_f64();
    (2.0 * slots * largest_cost as f64 + 2.0 * STALENESS_SECONDS * rate) / f64::from(weight)
}

/// What a split of the fleet adds to the bound: while it lasts, and until schedulers have found it and
/// its end, each side schedules for itself, so `2 T C / w` for `T` seconds.
pub fn split_allowance(scenario: &Scenario, service: usize, seconds: f64) -> f64 {
    let slots = f64::from(scenario.slots(service));
    2.0 * seconds * slots / scenario.services[service].step.as_secs_f64()
}

/// Figures side by side, with ratios to the first dispatcher's, which is the ideal one.
pub fn table(figures: &[Figures]) -> String {
    let mut text = String::new();
    let mut line = |content: std::fmt::Arguments<'_>| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{content}");
    };
    let ideal = &figures[0];
    for (index, of_ideal) in ideal.services.iter().enumerate() {
        line(format_args!(
            "{:<26} {:>9} {:>6} {:>9} {:>8} {:>7} {:>6} {:>9}  {}",
            format!("service {}", of_ideal.service),
            "gap",
            "ratio",
            "gap p99",
            "of bound",
            "util",
            "ratio",
            "stranded",
            "worst pair",
        ));
        for one in figures {
            let service = &one.services[index];
            line(format_args!(
                "{:<26} {:>9.0} {:>6.2} {:>9.0} {:>8.4} {:>7.4} {:>6.3} {:>9.2}  {}",
                one.dispatcher,
                service.gap,
                service.gap / of_ideal.gap,
                service.gap_99,
                service.gap_of_bound,
                service.utilisation,
                service.utilisation / of_ideal.utilisation,
                service.stranded_seconds,
                service.worst_pair,
            ));
        }
    }
    line(format_args!(
        "{:<26} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}",
        "all services",
        "small",
        "wait95",
        "first95",
        "ended",
        "queued",
        "msg/req",
        "B/req",
        "B/s busy",
    ));
    for one in figures {
        line(format_args!(
            "{:<26} {:>8.3} {:>8.3} {:>8.3} {:>8} {:>8} {:>8.2} {:>8.0} {:>9.0}",
            one.dispatcher,
            one.longest_small_wait,
            one.wait_95,
            one.first_unit_95,
            one.ended,
            one.queued_at_engine,
            one.messages_per_request,
            one.bytes_per_request,
            one.busiest_bytes_per_second,
        ));
    }
    line(format_args!(
        "{:<26} {:>24} {:>24}",
        "tenants: service, longest wait",
        ideal.dispatcher,
        figures.get(1).map_or("", |one| &one.dispatcher),
    ));
    for (index, tenant) in ideal.tenants.iter().enumerate() {
        let other = figures.get(1).map_or(tenant, |one| &one.tenants[index]);
        line(format_args!(
            "{:<30} {:>11.0} {:>8.3} {:>15.0} {:>8.3}",
            tenant.tenant,
            tenant.delivered,
            tenant.longest_wait,
            other.delivered,
            other.longest_wait,
        ));
    }
    text
}
