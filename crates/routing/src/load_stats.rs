//! Figures that routers add up over the fleet: what they have at engines, what tenants ask of them, and the
//! paces that they observed.
//!
//! All figures are absolute, so that a lost or repeated message does no harm. Those that change slowly are
//! left out of most messages; the last ones told hold on.

use crate::back_end::BackEndId;
use crate::concurrency::LimitSum;
use crate::engine::Load;
use crate::rollout::{ReleaseCounts, ReleaseReport};
use crate::service_level::ServiceLevelCounts;
use derive_more::{Display, Error};
use mastbay_types::short_hash;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::str::FromStr;

/// Names a life of an engine in messages between routers: a hash of its id, which takes fewer bytes and is compared
/// faster. Of a thousand engines two share a hash once in ten thousand lists; their figures are then added up.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{_0:08x}")]
pub struct EngineKey(u32);

/// A text names no engine: it is no number of up to eight hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an engine is named by up to eight hexadecimal digits")]
pub struct ParseEngineKeyError;

impl FromStr for EngineKey {
    type Err = ParseEngineKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self).map_err(|_| ParseEngineKeyError)
    }
}

impl From<&BackEndId> for EngineKey {
    fn from(id: &BackEndId) -> Self {
        Self(match id.incarnation {
            0 => short_hash(&[id.name.as_bytes()]),
            incarnation => short_hash(&[id.name.as_bytes(), &incarnation.to_be_bytes()]),
        })
    }
}

impl EngineKey {
    /// The hash, for further hashing.
    pub fn to_bytes(self) -> [u8; 4] {
        self.0.to_be_bytes()
    }

    /// The part that the engine belongs to where all are split into `parts`.
    pub fn part(self, parts: u32) -> u32 {
        self.0 % parts.max(1)
    }
}

/// What routers have at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineKey,
    /// What the routers have there.
    pub load: Load,
}

/// How well an engine serves, as routers observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineServiceLevel {
    /// The engine.
    pub engine: EngineKey,
    /// The concurrency limits that the routers found.
    pub limits: LimitSum,
    /// What tenants within their fair share met with there lately.
    pub level: ServiceLevelCounts,
}

/// The time between events of a service's engines without load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEventInterval {
    /// The service's name.
    pub service: String,
    /// Least time between two events that was observed, in microseconds.
    pub unloaded_micros: u32,
}

/// What a tenant asks of routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TenantReport {
    /// The tenant's name.
    pub name: String,
    /// Service asked for, in tokens a second.
    pub asked: f32,
    /// Service given, in tokens a second.
    pub given: f32,
}

/// The figures of one router, or the sums over several.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadStats {
    /// What they have at engines; nothing at those that are not listed.
    pub loads: Vec<EngineLoad>,
    /// How well engines serve; left out where the last ones told hold on.
    pub service_levels: Option<Vec<EngineServiceLevel>>,
    /// What tenants ask of them, by name; left out where the last ones told hold on.
    pub tenants: Option<Vec<TenantReport>>,
    /// Newer rates of the tenants that ask for most, where those of the others are left out.
    pub heaviest: Vec<TenantReport>,
    /// The paces of services that they observed; left out where the last ones told hold on.
    pub event_intervals: Option<Vec<ServiceEventInterval>>,
    /// What they counted of roll-outs.
    pub releases: Vec<ReleaseReport>,
}

impl LoadStats {
    /// Takes newer figures; what they leave out holds on. Gives what they replace.
    pub fn replace(&mut self, newer: Self) -> Self {
        let replaced = Self {
            loads: std::mem::replace(&mut self.loads, newer.loads),
            service_levels: take_newer(&mut self.service_levels, newer.service_levels),
            tenants: take_newer(&mut self.tenants, newer.tenants),
            heaviest: Vec::new(),
            event_intervals: take_newer(&mut self.event_intervals, newer.event_intervals),
            releases: std::mem::replace(&mut self.releases, newer.releases),
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

    /// Whether they tell any tenant's rates.
    pub fn has_tenant_rates(&self) -> bool {
        self.tenants.is_some() || !self.heaviest.is_empty()
    }

    /// These figures with the rates of only the `count` tenants that ask for most.
    pub fn with_heaviest_tenants(mut self, count: usize) -> Self {
        let mut tenants = self.tenants.take().unwrap_or_default();
        tenants.sort_by(|left, right| right.asked.total_cmp(&left.asked));
        tenants.truncate(count);
        self.heaviest = tenants;
        self
    }

    /// Engines of which they tell.
    pub fn engine_count(&self) -> usize {
        self.loads.len().max(self.service_levels.as_ref().map_or(0, Vec::len))
    }

    /// These figures split by engine; those of tenants and services stay with the first part.
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
            service_levels: self.service_levels.as_ref().map(|service_levels| {
                service_levels
                    .iter()
                    .copied()
                    .filter(|entry| entry.engine.part(parts) == part)
                    .collect()
            }),
            tenants: self.tenants.clone().filter(|_| part == 0),
            heaviest: if part == 0 { self.heaviest.clone() } else { Vec::new() },
            event_intervals: self.event_intervals.clone().filter(|_| part == 0),
            releases: if part == 0 { self.releases.clone() } else { Vec::new() },
        };
        (0..parts).map(of_part).collect()
    }

    /// These figures without `loads` that are part of them.
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

/// Puts a newer value in place, if there is one, and gives the one that it replaces.
fn take_newer<T>(held: &mut Option<T>, newer: Option<T>) -> Option<T> {
    newer.and_then(|newer| held.replace(newer))
}

/// Adds up figures.
#[derive(Debug, Clone, Default)]
pub struct LoadStatsSum {
    loads: BTreeMap<EngineKey, Load>,
    service_levels: BTreeMap<EngineKey, (LimitSum, ServiceLevelCounts)>,
    /// Rates asked and given.
    tenants: BTreeMap<String, (f32, f32)>,
    event_intervals: BTreeMap<String, u32>,
    /// Counts by order and route.
    releases: BTreeMap<(u32, u32), ReleaseCounts>,
}

impl LoadStatsSum {
    /// Adds what one more router, or several, have at engines.
    pub fn add_loads(&mut self, stats: &LoadStats) {
        for entry in &stats.loads {
            self.loads.entry(entry.engine).or_default().add(entry.load);
        }
    }

    /// Adds what one more router, or several, counted of roll-outs.
    pub fn add_releases(&mut self, stats: &LoadStats) {
        stats.releases.iter().for_each(|report| self.add_release(report));
    }

    /// Adds one count.
    pub fn add_release(&mut self, report: &ReleaseReport) {
        self.releases.entry((report.order, report.route)).or_default().add(report.counts);
    }

    /// The counts of roll-outs that were added.
    pub fn release_reports(&self) -> Vec<ReleaseReport> {
        let releases = self.releases.iter();
        let report = |(&(order, route), &counts)| ReleaseReport { order, route, counts };
        releases.map(report).collect()
    }

    /// Adds what tenants ask of one more router, or of several.
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

    /// Adds those figures of one more router, or of several, that change slowly.
    pub fn add_slow_changing(&mut self, stats: &LoadStats) {
        for entry in stats.service_levels.iter().flatten() {
            let (limits, level) = self.service_levels.entry(entry.engine).or_default();
            limits.add(entry.limits);
            level.add(entry.level);
        }
        for pace in stats.event_intervals.iter().flatten() {
            let least = self.event_intervals.entry(pace.service.clone()).or_insert(u32::MAX);
            *least = pace.unloaded_micros.min(*least);
        }
    }

    /// The sums, all of them or only loads and rates.
    pub fn into_stats(self, with_slow_ones: bool) -> LoadStats {
        let releases = self.release_reports();
        let loads = self.loads.into_iter().map(|(engine, load)| EngineLoad { engine, load });
        let loads = loads.collect();
        let tenants = self.tenants.into_iter();
        let tenants =
            tenants.map(|(name, (asked, given))| TenantReport { name, asked, given }).collect();
        if !with_slow_ones {
            return LoadStats { loads, tenants: Some(tenants), releases, ..LoadStats::default() };
        }
        let service_levels = self.service_levels.into_iter();
        let service_levels = service_levels
            .map(|(engine, (limits, level))| EngineServiceLevel { engine, limits, level })
            .collect();
        let event_intervals = self.event_intervals.into_iter();
        let event_intervals = event_intervals
            .map(|(service, unloaded_micros)| ServiceEventInterval { service, unloaded_micros })
            .collect();
        LoadStats {
            loads,
            service_levels: Some(service_levels),
            tenants: Some(tenants),
            heaviest: Vec::new(),
            event_intervals: Some(event_intervals),
            releases,
        }
    }
}
