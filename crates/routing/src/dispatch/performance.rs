//! Observes the performance of engines, reports it to peers and keeps the estimates up to date.

use super::Dispatcher;
use super::running::Running;
use crate::back_end::BackEndId;
use crate::demand::TicketId;
use crate::engine::Engine;
use crate::engine_key::EngineKey;
use crate::health::Fault;
use crate::load_stats::LoadStats;
use crate::performance::{
    EnginePerformance, EnginePerformanceReport, PerformanceCounts, PerformanceEstimate,
    ServiceMeans, SpeedStep,
};
use mastbay_types::Timestamp;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Minimum time between two updates of the estimates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Engines in one router's report, so that it fits a datagram together with their loads and service
/// levels.
const MAX_REPORTED: usize = 400;

/// An engine whose speed step changed.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// The engine.
    pub back_end: BackEndId,
    /// Its performance from now on.
    pub estimate: PerformanceEstimate,
    /// The observations of all routers.
    pub counts: PerformanceCounts,
}

/// The observations of all routers by engine.
type FleetCounts = Vec<(EngineKey, PerformanceCounts)>;

/// What the estimates of the engines have in common.
#[derive(Debug, Default)]
pub struct FleetPerformance {
    updated_at: Timestamp,
    /// Engines with observations at the last update.
    measured: BTreeSet<EngineKey>,
    /// Speed of the fastest engine of each service.
    fastest: HashMap<String, SpeedStep>,
    /// Changes since they were last taken.
    changes: Vec<SpeedChange>,
    /// Number of engines with observations at each speed step.
    by_step: BTreeMap<i8, u32>,
}

impl Running {
    /// Returns whether the request is an observation of an engine's performance: it has a prompt
    /// and its answer is no error.
    pub(super) fn is_measured(&self) -> bool {
        !self.predicted.is_zero() && !self.is_error
    }
}

impl Dispatcher {
    /// Records that the answer to a request is an error, which says nothing about the speed of the
    /// back end.
    pub fn on_error_answer(&mut self, ticket: TicketId) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.is_error = true;
        }
    }

    /// Returns the engines whose speed step changed since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.performance.changes)
    }

    /// Returns the number of engines with observations at each speed step.
    pub fn engines_by_speed(&self) -> &BTreeMap<i8, u32> {
        &self.performance.by_step
    }

    /// Returns the estimated performance of a listed back end.
    pub fn performance(&self, now: Timestamp, id: &BackEndId) -> Option<PerformanceEstimate> {
        self.engines.get(id).map(|engine| engine.performance(now))
    }

    /// Records the time between events of a stream, and the pause that they may end.
    pub(super) fn observe_stream(&mut self, now: Timestamp, ticket: TicketId, count: u32) {
        let lagging_until = self.lagging_until;
        let Some(running) = self.running.get_mut(&ticket) else { return };
        if !self.limits.policy.performance.is_fleet() || !running.is_measured() {
            return;
        }
        let is_lagging = now < lagging_until || running.progress.is_since_before(lagging_until);
        let is_pause = running.progress.take_pause(now);
        let elapsed = running.progress.on_events(now);
        let Some(elapsed) = elapsed.filter(|_| !is_lagging) else { return };
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return };
        if engine.warmup.is_cold(now) {
            return;
        }
        engine.performance.observe_events(now, count, elapsed);
        if is_pause {
            engine.performance.observe_pause(now);
        }
    }

    /// Records the missing first event of a request that has ended, or the pause that was under
    /// way.
    pub(super) fn observe_end(
        &mut self,
        now: Timestamp,
        running: &Running,
        outcome: Result<(), Option<Fault>>,
    ) {
        let mut progress = running.progress;
        let is_observed = self.limits.policy.performance.is_fleet()
            && running.is_measured()
            && now >= self.lagging_until
            && !progress.is_since_before(self.lagging_until);
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return };
        if !is_observed || engine.warmup.is_cold(now) {
            return;
        }
        if progress.take_pause(now) {
            engine.performance.observe_pause(now);
        }
        let waited = now.since(running.sent);
        let is_failure = matches!(outcome, Err(Some(_)));
        if !running.has_first_event && !is_failure && waited > running.predicted {
            let estimator = self.first_events.get(&engine.back_end.service).copied();
            let predicted = estimator.unwrap_or_default().estimate(running.work_ahead);
            let predicted = Duration::from_secs_f64(predicted / 1e3);
            engine.performance.observe_missing_first_event(now, predicted, waited);
        }
    }

    /// Records the pauses under way that are longer than the routes allow, so that an engine that
    /// stalls is known before its next event.
    fn observe_pauses_under_way(&mut self, now: Timestamp) {
        let lagging_until = self.lagging_until;
        if now < lagging_until {
            return;
        }
        for running in self.running.values_mut().filter(|running| running.is_measured()) {
            if running.progress.is_since_before(lagging_until) || !running.progress.take_pause(now)
            {
                continue;
            }
            let engine = self.engines.get_mut(&running.back_end);
            if let Some(engine) = engine.filter(|engine| !engine.warmup.is_cold(now)) {
                engine.performance.observe_pause(now);
            }
        }
    }

    /// Returns this router's observations for the next round, or `None` if it has none of them.
    pub(super) fn own_performance(&self, now: Timestamp) -> Option<Vec<EnginePerformanceReport>> {
        if !self.limits.policy.performance.is_fleet() || !self.fleet.includes_performance() {
            return None;
        }
        let reports = self.engines.busy().filter_map(|engine| engine.own_performance(now));
        let mut reports: Vec<EnginePerformanceReport> = reports.collect();
        if reports.len() > MAX_REPORTED {
            reports.sort_by_key(|report| Reverse(report.counts.first_events));
            reports.truncate(MAX_REPORTED);
        }
        Some(reports)
    }

    /// Applies a change to the peers' observations of each engine in `stats`.
    pub(super) fn update_peer_performance(
        &mut self,
        stats: &LoadStats,
        change: fn(&mut EnginePerformance, PerformanceCounts),
    ) {
        for report in stats.performance.iter().flatten() {
            if let Some(engine) = self.engines.by_key(report.engine) {
                change(&mut engine.performance, report.counts);
            }
        }
    }

    /// Computes the estimates of the engines with observations, unless that was done a moment ago.
    pub(super) fn refresh_performance(&mut self, now: Timestamp) {
        let is_due = now.since(self.performance.updated_at) >= UPDATE_INTERVAL;
        if !self.limits.policy.performance.is_fleet() || !is_due {
            return;
        }
        self.performance.updated_at = now;
        self.observe_pauses_under_way(now);
        let (counts, means) = self.fleet_counts(now);
        self.performance.fastest.clear();
        self.performance.by_step.clear();
        self.performance.measured.clear();
        for (key, counts) in counts {
            self.update_estimate(now, key, &counts, &means);
        }
    }

    /// Returns the observations of all routers of each engine that has any or had some at the last
    /// update, and the means of their services.
    fn fleet_counts(&mut self, now: Timestamp) -> (FleetCounts, HashMap<String, ServiceMeans>) {
        let mut keys = self.performance.measured.clone();
        keys.extend(self.fleet.performance().map(|report| report.engine));
        keys.extend(self.engines.busy().map(|engine| engine.key));
        let includes_own = self.fleet.includes_own_stats();
        let mut all = Vec::with_capacity(keys.len());
        let mut means: HashMap<String, ServiceMeans> = HashMap::new();
        for key in keys {
            let Some(engine) = self.engines.by_key(key) else { continue };
            let counts = engine.performance.counts(now, includes_own);
            let service = &engine.back_end.service;
            match means.get_mut(service) {
                Some(means) => means.add(&counts),
                None => means.entry(service.clone()).or_default().add(&counts),
            }
            all.push((key, counts));
        }
        (all, means)
    }

    fn update_estimate(
        &mut self,
        now: Timestamp,
        key: EngineKey,
        counts: &PerformanceCounts,
        means: &HashMap<String, ServiceMeans>,
    ) {
        let Some(engine) = self.engines.by_key(key) else { return };
        let service = &engine.back_end.service;
        let Some(means) = means.get(service) else { return };
        if engine.performance.update(now, counts, means) {
            let (back_end, estimate) = (engine.back_end.id.clone(), engine.performance(now));
            self.performance.changes.push(SpeedChange { back_end, estimate, counts: *counts });
        }
        let step = engine.performance.step();
        match self.performance.fastest.get_mut(service) {
            Some(fastest) => *fastest = step.max(*fastest),
            None => {
                self.performance.fastest.insert(service.clone(), step);
            }
        }
        if *counts != PerformanceCounts::default() {
            self.performance.measured.insert(key);
            *self.performance.by_step.entry(step.index()).or_default() += 1;
        }
    }

    /// Returns the time between events of an engine, as observed by all routers if the policy says
    /// so. `None` if it is not known, or not known whether it is long for this engine.
    pub(super) fn event_interval(&self, now: Timestamp, engine: &Engine) -> Option<Duration> {
        if !self.limits.policy.performance.is_fleet() {
            return engine.limit.event_interval();
        }
        let is_comparable = engine.performance.is_speed_known();
        engine.performance(now).event_interval.filter(|_| is_comparable)
    }

    /// Returns the ratio of an engine's event interval without load to the lowest one of the
    /// service, which is that of its fastest engine.
    pub(super) fn unloaded_interval_factor(&self, now: Timestamp, engine: &Engine) -> f64 {
        let fastest = self.performance.fastest.get(&engine.back_end.service);
        fastest.map_or(1.0, |fastest| (fastest.speed() / engine.performance(now).speed).max(1.0))
    }
}
