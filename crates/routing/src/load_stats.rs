//! Load statistics that are summed over the fleet: in-flight load per engine, request rates per
//! tenant, and observed event intervals per service.
//!
//! All values are absolute, which makes lost and repeated messages harmless. Slowly changing values
//! are omitted from most messages; the last reported ones stay in effect.

use crate::admission::BacklogReport;
use crate::concurrency::LimitSum;
use crate::engine_key::EngineKey;
use crate::load::Load;
use crate::performance::{EnginePerformanceReport, PerformanceCounts};
use crate::prefix_demand::{PrefixRate, most_demanding};
use crate::rollout::{ReleaseCounts, ReleaseReport};
use crate::service_level::ServiceLevelCounts;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Load that one or several routers have at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineKey,
    /// Requests in flight there and the resources they take.
    pub load: Load,
}

/// Service quality of an engine as observed by routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineServiceLevel {
    /// The engine.
    pub engine: EngineKey,
    /// Concurrency limits estimated by the routers.
    pub limits: LimitSum,
    /// Recent request outcomes of tenants within their fair share.
    pub level: ServiceLevelCounts,
}

/// Time between streamed events of an unloaded engine of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEventInterval {
    /// Name of the service.
    pub service: String,
    /// Shortest observed time between two events, in microseconds.
    pub unloaded_micros: u32,
}

/// Request rates of one tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TenantReport {
    /// Name of the tenant.
    pub name: String,
    /// Requested service, in tokens a second.
    pub asked: f32,
    /// Granted service, in tokens a second.
    pub given: f32,
}

/// Load statistics of one router, or the sums over several.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadStats {
    /// Load at engines; zero at those that are not listed.
    pub loads: Vec<EngineLoad>,
    /// Service levels of engines; `None` if the last reported ones still apply.
    pub service_levels: Option<Vec<EngineServiceLevel>>,
    /// Request rates of tenants, sorted by name; `None` if the last reported ones still apply.
    pub tenants: Option<Vec<TenantReport>>,
    /// Updated rates of the tenants with the highest demand, in messages without the full list.
    pub heaviest: Vec<TenantReport>,
    /// Event intervals of services; `None` if the last reported ones still apply.
    pub event_intervals: Option<Vec<ServiceEventInterval>>,
    /// Answer counts of roll-outs.
    pub releases: Vec<ReleaseReport>,
    /// Performance of engines; `None` if the last reported one still applies.
    #[serde(default)]
    pub performance: Option<Vec<EnginePerformanceReport>>,
    /// Rates of the most requested prefixes; `None` if the last reported ones still apply.
    #[serde(default)]
    pub prefixes: Option<Vec<PrefixRate>>,
    /// Waiting requests.
    #[serde(default)]
    pub backlog: Vec<BacklogReport>,
}

impl LoadStats {
    /// Applies newer statistics, keeping what they omit, and returns the replaced values.
    pub fn replace(&mut self, newer: Self) -> Self {
        let replaced = Self {
            loads: std::mem::replace(&mut self.loads, newer.loads),
            service_levels: replace_if_some(&mut self.service_levels, newer.service_levels),
            tenants: replace_if_some(&mut self.tenants, newer.tenants),
            heaviest: Vec::new(),
            event_intervals: replace_if_some(&mut self.event_intervals, newer.event_intervals),
            releases: std::mem::replace(&mut self.releases, newer.releases),
            performance: replace_if_some(&mut self.performance, newer.performance),
            prefixes: replace_if_some(&mut self.prefixes, newer.prefixes),
            backlog: std::mem::replace(&mut self.backlog, newer.backlog),
        };
        self.update_tenants(newer.heaviest);
        replaced
    }

    fn update_tenants(&mut self, heaviest: Vec<TenantReport>) {
        if heaviest.is_empty() {
            return;
        }
        let tenants = self.tenants.get_or_insert_default();
        for report in heaviest {
            match tenants.binary_search_by(|held| held.name.cmp(&report.name)) {
                Ok(index) => tenants[index] = report,
                Err(index) => tenants.insert(index, report),
            }
        }
    }

    /// Returns whether request rates of any tenant are included.
    pub fn has_tenant_rates(&self) -> bool {
        self.tenants.is_some() || !self.heaviest.is_empty()
    }

    /// Reduces the tenant rates to those of the `count` tenants with the highest demand.
    pub fn with_heaviest_tenants(mut self, count: usize) -> Self {
        let mut tenants = self.tenants.take().unwrap_or_default();
        tenants.sort_by(|left, right| right.asked.total_cmp(&left.asked));
        tenants.truncate(count);
        self.heaviest = tenants;
        self
    }

    /// Returns the number of engine entries, for sizing messages.
    pub fn engine_count(&self) -> usize {
        let performance = self.performance.as_ref().map_or(0, Vec::len);
        self.loads.len().max(self.service_levels.as_ref().map_or(0, Vec::len)).max(performance)
    }

    /// Partitions the statistics by engine; those of tenants and services are in the first part.
    pub fn split(self, parts: u32) -> Vec<Self> {
        if parts <= 1 {
            return vec![self];
        }
        let of_part = |part: u32| Self {
            loads: self
                .loads
                .iter()
                .copied()
                .filter(|entry| entry.engine.part(parts) == part)
                .collect(),
            service_levels: self.service_levels.as_ref().map(|levels| {
                levels.iter().copied().filter(|entry| entry.engine.part(parts) == part).collect()
            }),
            tenants: self.tenants.clone().filter(|_| part == 0),
            heaviest: if part == 0 { self.heaviest.clone() } else { Vec::new() },
            event_intervals: self.event_intervals.clone().filter(|_| part == 0),
            releases: if part == 0 { self.releases.clone() } else { Vec::new() },
            performance: self.performance.as_ref().map(|reports| {
                reports.iter().copied().filter(|entry| entry.engine.part(parts) == part).collect()
            }),
            prefixes: self.prefixes.clone().filter(|_| part == 0),
            backlog: if part == 0 { self.backlog.clone() } else { Vec::new() },
        };
        (0..parts).map(of_part).collect()
    }

    /// Subtracts `backlog`, which was previously added to these statistics.
    pub fn without_backlog(mut self, backlog: &[BacklogReport]) -> Self {
        for report in &mut self.backlog {
            if let Some(own) = backlog.iter().find(|own| own.has_key_of(report)) {
                report.remove(own);
            }
        }
        self.backlog.retain(|report| !report.is_empty());
        self
    }

    /// Subtracts `loads`, which were previously added to these statistics.
    pub fn without_loads(mut self, loads: &[EngineLoad]) -> Self {
        let removed: HashMap<EngineKey, Load> =
            loads.iter().map(|entry| (entry.engine, entry.load)).collect();
        for entry in &mut self.loads {
            if let Some(load) = removed.get(&entry.engine) {
                entry.load.remove(*load);
            }
        }
        self.loads.retain(|entry| entry.load != Load::default());
        self
    }
}

/// Replaces a value if there is a newer one, and returns the replaced value.
fn replace_if_some<T>(held: &mut Option<T>, newer: Option<T>) -> Option<T> {
    newer.and_then(|newer| held.replace(newer))
}

/// Accumulates the load statistics of several routers.
#[derive(Debug, Clone, Default)]
pub struct LoadStatsSum {
    loads: BTreeMap<EngineKey, Load>,
    service_levels: BTreeMap<EngineKey, (LimitSum, ServiceLevelCounts)>,
    /// Requested and granted rates by tenant.
    tenants: BTreeMap<String, (f32, f32)>,
    event_intervals: BTreeMap<String, u32>,
    /// Answer counts by order and route.
    releases: BTreeMap<(u32, u32), ReleaseCounts>,
    /// `None` if no added statistics include any.
    performance: Option<BTreeMap<EngineKey, PerformanceCounts>>,
    /// Demand by prefix.
    prefixes: BTreeMap<u64, PrefixRate>,
    backlog: Vec<BacklogReport>,
}

impl LoadStatsSum {
    /// Adds the loads at engines.
    pub fn add_loads(&mut self, stats: &LoadStats) {
        for entry in &stats.loads {
            self.loads.entry(entry.engine).or_default().add(entry.load);
        }
    }

    /// Adds the answer counts of roll-outs.
    pub fn add_releases(&mut self, stats: &LoadStats) {
        stats.releases.iter().for_each(|report| self.add_release(report));
    }

    /// Adds the answer counts of one roll-out on one route.
    pub fn add_release(&mut self, report: &ReleaseReport) {
        self.releases.entry((report.order, report.route)).or_default().add(report.counts);
    }

    /// Returns the summed answer counts of roll-outs.
    pub fn release_reports(&self) -> Vec<ReleaseReport> {
        let releases = self.releases.iter();
        let report = |(&(order, route), &counts)| ReleaseReport { order, route, counts };
        releases.map(report).collect()
    }

    /// Adds the request rates of tenants.
    pub fn add_rates(&mut self, stats: &LoadStats) {
        for tenant in stats.tenants.iter().flatten() {
            match self.tenants.get_mut(&tenant.name) {
                Some((asked, given)) => {
                    *asked += tenant.asked;
                    *given += tenant.given;
                }
                None => {
                    self.tenants.insert(tenant.name.clone(), (tenant.asked, tenant.given));
                }
            }
        }
    }

    /// Adds the numbers of waiting requests.
    pub fn add_backlog(&mut self, stats: &LoadStats) {
        for report in &stats.backlog {
            match self.backlog.iter_mut().find(|known| known.has_key_of(report)) {
                Some(known) => known.add(report),
                None => self.backlog.push(*report),
            }
        }
    }

    /// Adds the performance of engines.
    pub fn add_performance(&mut self, stats: &LoadStats) {
        let Some(reports) = &stats.performance else { return };
        let performance = self.performance.get_or_insert_default();
        for report in reports {
            performance.entry(report.engine).or_default().add(report.counts);
        }
    }

    /// Adds the slowly changing values: service levels, event intervals and rates of prefixes.
    pub fn add_slow_changing(&mut self, stats: &LoadStats) {
        for entry in stats.service_levels.iter().flatten() {
            let (limits, level) = self.service_levels.entry(entry.engine).or_default();
            limits.add(entry.limits);
            level.add(entry.level);
        }
        for interval in stats.event_intervals.iter().flatten() {
            let shortest = self.event_intervals.entry(interval.service.clone()).or_insert(u32::MAX);
            *shortest = interval.unloaded_micros.min(*shortest);
        }
        for report in stats.prefixes.iter().flatten() {
            let none = PrefixRate { rate: 0.0, slots: 0.0, ..*report };
            self.prefixes.entry(report.prefix).or_insert(none).add(report);
        }
    }

    /// Returns the sums, with or without the slowly changing values.
    pub fn into_stats(self, with_slow_changing: bool) -> LoadStats {
        let releases = self.release_reports();
        let loads = self.loads.into_iter().map(|(engine, load)| EngineLoad { engine, load });
        let loads = loads.collect();
        let report = |(engine, counts)| EnginePerformanceReport { engine, counts };
        let performance =
            self.performance.map(|performance| performance.into_iter().map(report).collect());
        let tenants = self.tenants.into_iter();
        let tenants =
            tenants.map(|(name, (asked, given))| TenantReport { name, asked, given }).collect();
        if !with_slow_changing {
            return LoadStats {
                loads,
                tenants: Some(tenants),
                releases,
                performance,
                backlog: self.backlog,
                ..LoadStats::default()
            };
        }
        let levels = self.service_levels.into_iter();
        let service_levels = levels
            .map(|(engine, (limits, level))| EngineServiceLevel { engine, limits, level })
            .collect();
        let intervals = self.event_intervals.into_iter();
        let event_intervals = intervals
            .map(|(service, unloaded_micros)| ServiceEventInterval { service, unloaded_micros })
            .collect();
        let prefixes = most_demanding(self.prefixes.into_values().collect());
        LoadStats {
            loads,
            service_levels: Some(service_levels),
            tenants: Some(tenants),
            heaviest: Vec::new(),
            event_intervals: Some(event_intervals),
            releases,
            performance,
            prefixes: Some(prefixes),
            backlog: self.backlog,
        }
    }
}
