//! Reports of runs, as a table or as JSON.

use crate::scenario::Scenario;
use crate::world::Measurements;
use serde::Serialize;
use std::fmt::Write;

/// Results of one dispatcher in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DispatcherReport {
    /// Label of the dispatcher.
    pub dispatcher: String,
    /// Results by service.
    pub services: Vec<ServiceReport>,
    /// Results by tenant.
    pub tenants: Vec<TenantReport>,
    /// Longest wait of the tenant with the fewest requests, in seconds.
    pub longest_small_wait: f64,
    /// 95th percentile of the wait, in seconds.
    pub wait_95: f64,
    /// 95th percentile of the time from arrival to the first token or cost unit at the engine, in
    /// seconds.
    pub first_unit_95: f64,
    /// Number of requests that ended.
    pub ended: u64,
    /// Number of requests sent to an engine without a free slot.
    pub queued_at_engine: u64,
    /// Control messages per ended request.
    pub messages_per_request: f64,
    /// Control bytes per ended request.
    pub bytes_per_request: f64,
    /// Control bytes per second that the busiest process sends and receives.
    pub busiest_bytes_per_second: f64,
}

/// Results of one tenant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TenantReport {
    /// Name of the tenant.
    pub tenant: String,
    /// Service delivered over weight, in cost units.
    pub delivered: f64,
    /// Number of requests that began to run after the warm-up.
    pub requests: u64,
    /// Median wait, in seconds.
    pub wait_50: f64,
    /// Longest wait, in seconds.
    pub longest_wait: f64,
}

/// Results of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Largest service gap of two tenants that are backlogged together, in cost units over weight.
    pub gap: f64,
    /// Names of the two tenants with the largest gap; empty if there is none.
    pub worst_pair: String,
    /// 99th percentile of the gap, in cost units over weight.
    pub gap_99: f64,
    /// Largest gap as a fraction of [`gap_bound`].
    pub gap_of_bound: f64,
    /// Used fraction of the slot time that waiting work could use.
    pub utilisation: f64,
    /// Slot seconds left idle that waiting work could have used.
    pub stranded_seconds: f64,
}

impl DispatcherReport {
    /// Creates the report of a run.
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
                .map(|service| ServiceReport::new(scenario, measured, service))
                .collect(),
            tenants: (0..scenario.tenants.len())
                .map(|tenant| TenantReport::new(scenario, measured, tenant))
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

impl TenantReport {
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

impl ServiceReport {
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

/// Maximum age of a scheduler's state in seconds: the interval of cost reports, a message each way,
/// and the time to replace a lost scheduler.
const STALENESS_SECONDS: f64 = 0.1 + 0.004 + 0.6;

/// Returns the bound on a service's gap, in cost units over weight: `(2 S L + 2 R C) / w`, with `S`
/// the slots of the cell, `L` the largest cost of a request, `w` the smallest weight, `R` the
/// maximum age of a scheduler's state in seconds and `C` the service that all slots deliver per
/// second.
pub fn gap_bound(scenario: &Scenario, service: usize, largest_cost: u64) -> f64 {
    let of_service = scenario.tenants.iter().filter(|tenant| tenant.service == service);
    let weight = of_service.map(|tenant| tenant.weight).min().unwrap_or(1);
    let slots = f64::from(scenario.slots(service));
    let rate = slots / scenario.services[service].step.as_secs_f64();
    (2.0 * slots * largest_cost as f64 + 2.0 * STALENESS_SECONDS * rate) / f64::from(weight)
}

/// Returns what a network partition adds to the bound: `2 T C` cost units, with `T` the `seconds`
/// for which each side schedules independently, until the schedulers have detected its end.
pub fn split_allowance(scenario: &Scenario, service: usize, seconds: f64) -> f64 {
    let slots = f64::from(scenario.slots(service));
    2.0 * seconds * slots / scenario.services[service].step.as_secs_f64()
}

/// Formats reports as a table, with ratios to the first, which is that of the ideal dispatcher.
pub fn table(reports: &[DispatcherReport]) -> String {
    let mut text = String::new();
    let mut line = |content: std::fmt::Arguments<'_>| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{content}");
    };
    let ideal = &reports[0];
    for (index, ideal_service) in ideal.services.iter().enumerate() {
        line(format_args!(
            "{:<26} {:>9} {:>6} {:>9} {:>8} {:>7} {:>6} {:>9}  {}",
            format!("service {}", ideal_service.service),
            "gap",
            "ratio",
            "gap p99",
            "of bound",
            "util",
            "ratio",
            "stranded",
            "worst pair",
        ));
        for report in reports {
            let service = &report.services[index];
            line(format_args!(
                "{:<26} {:>9.0} {:>6.2} {:>9.0} {:>8.4} {:>7.4} {:>6.3} {:>9.2}  {}",
                report.dispatcher,
                service.gap,
                service.gap / ideal_service.gap,
                service.gap_99,
                service.gap_of_bound,
                service.utilisation,
                service.utilisation / ideal_service.utilisation,
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
    for report in reports {
        line(format_args!(
            "{:<26} {:>8.3} {:>8.3} {:>8.3} {:>8} {:>8} {:>8.2} {:>8.0} {:>9.0}",
            report.dispatcher,
            report.longest_small_wait,
            report.wait_95,
            report.first_unit_95,
            report.ended,
            report.queued_at_engine,
            report.messages_per_request,
            report.bytes_per_request,
            report.busiest_bytes_per_second,
        ));
    }
    line(format_args!(
        "{:<26} {:>24} {:>24}",
        "tenants: service, longest wait",
        ideal.dispatcher,
        reports.get(1).map_or("", |report| &report.dispatcher),
    ));
    for (index, tenant) in ideal.tenants.iter().enumerate() {
        let other = reports.get(1).map_or(tenant, |report| &report.tenants[index]);
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
