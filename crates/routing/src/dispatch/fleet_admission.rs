//! Admission by figures of the whole fleet: its backlog, the delays of refused callers, and the
//! spare capacity of engines.

use super::Dispatcher;
use super::candidate::ScoredBackEnd;
use super::fleet::ROUND_PERIOD;
use super::messages::RefusalReason;
use super::running::Running;
use crate::admission::{
    Backlog, BacklogReport, ClassBacklog, DelayFigures, OrderClass, RetryDelay, SpareCapacity,
};
use crate::back_end::BackEndId;
use crate::configuration::RoutingConfiguration;
use crate::demand::Demand;
use crate::engine::Engine;
use crate::policy::{ConcurrencyPolicy, RetryAfterPolicy, WaitingScope};
use crate::prompt::Prompt;
use crate::share_class::ShareClass;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Time after its arrival for which a request leaves capacity to those that precede it at other
/// routers: two rounds. Capacity that is still free then was of no use to them.
const YIELD_TIME: Duration = Duration::from_millis(2 * ROUND_PERIOD.as_millis() as u64);
/// Time for which the summed reports of the peers are reused.
const PEER_BACKLOG_TTL: Duration = Duration::from_millis(20);

/// State of the fleet-wide admission.
#[derive(Debug, Default)]
pub struct FleetAdmission {
    backlog: Backlog,
    retry_delay: RetryDelay,
    /// Shortest latency objective of the routes to each service.
    objectives: HashMap<String, Duration>,
    /// Summed reports of the peers and when they were summed.
    peers: Option<(Timestamp, Rc<Vec<BacklogReport>>)>,
}

impl FleetAdmission {
    /// Applies the configuration that is now in force.
    pub fn on_configuration(&mut self, configuration: &RoutingConfiguration) {
        self.objectives.clear();
        for route in &configuration.routes {
            for target in &route.targets {
                let shortest = self.objectives.entry(target.service.clone());
                let shortest = shortest.or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
            }
        }
    }
}

impl Dispatcher {
    /// Returns the number of waiting requests of the fleet.
    pub fn fleet_backlog(&mut self, now: Timestamp) -> u64 {
        self.fleet_reports(now).iter().map(|report| u64::from(report.requests)).sum()
    }

    fn uses_backlog(&self) -> bool {
        let policy = &self.limits.policy;
        policy.waiting_scope == WaitingScope::Fleet
            || policy.retry_after == RetryAfterPolicy::Backlog
    }

    /// Returns this router's backlog as reported to peers; empty while no policy uses it.
    pub(super) fn own_backlog(&mut self, now: Timestamp) -> Vec<BacklogReport> {
        if !self.uses_backlog() {
            return Vec::new();
        }
        let shares = self.shares(now);
        for class in self.fleet_admission.retry_delay.expire(now) {
            self.fleet_admission.backlog.on_not_taken(now, class);
        }
        let waiters = self
            .waiting
            .iter()
            .flat_map(|(service, queue)| queue.iter().map(move |waiter| (service, waiter)));
        let waiting = waiters.map(|(service, waiter)| {
            let order = shares.order(waiter);
            let tokens = waiter.demand.prompt.as_ref().map_or(0, Prompt::cost);
            (OrderClass::new(service, order.priority, order.over_share), tokens)
        });
        let FleetAdmission { backlog, retry_delay, .. } = &self.fleet_admission;
        backlog.reports(now, waiting, retry_delay.callers())
    }

    /// Returns the summed backlog of all other routers.
    fn peer_backlog(&mut self, now: Timestamp) -> Rc<Vec<BacklogReport>> {
        if let Some((summed_at, reports)) = &self.fleet_admission.peers
            && now.since(*summed_at) < PEER_BACKLOG_TTL
        {
            return reports.clone();
        }
        let reports = Rc::new(self.fleet.backlog());
        self.fleet_admission.peers = Some((now, reports.clone()));
        reports
    }

    /// Returns the backlog of all routers.
    fn fleet_reports(&mut self, now: Timestamp) -> Vec<BacklogReport> {
        let mut reports = self.own_backlog(now);
        reports.extend(self.peer_backlog(now).iter());
        reports
    }

    fn order_class(&mut self, now: Timestamp, demand: &Demand) -> OrderClass {
        let is_above_share = self.share_class(now, demand) == ShareClass::AboveShare;
        OrderClass::new(&demand.service, demand.priority, is_above_share)
    }

    /// Returns what a request finds before it in the fleet's order; nothing if no policy uses the
    /// backlog.
    pub(super) fn class_backlog(&mut self, now: Timestamp, demand: &Demand) -> ClassBacklog {
        if !self.uses_backlog() {
            return ClassBacklog::default();
        }
        let class = self.order_class(now, demand);
        let mut backlog = ClassBacklog::of(class, &self.fleet_reports(now));
        let peers = self.fleet.size().saturating_sub(1) as f64;
        let unreported = self.fleet_admission.retry_delay.unreported(now, class) * peers;
        backlog.returning = backlog.returning.saturating_add(unreported as u32);
        backlog
    }

    /// Records the arrival of a request, if a policy uses the rate of arrivals.
    pub(super) fn record_class_arrival(&mut self, now: Timestamp, demand: &Demand) {
        if self.uses_backlog() {
            let class = self.order_class(now, demand);
            self.fleet_admission.backlog.on_arrival(now, class);
        }
    }

    /// Records a placement. Returns the order class with which the request runs.
    pub(super) fn record_class_placement(
        &mut self,
        demand: &Demand,
        class: ShareClass,
    ) -> OrderClass {
        let is_above_share = class == ShareClass::AboveShare;
        let class = OrderClass::new(&demand.service, demand.priority, is_above_share);
        self.fleet_admission.backlog.on_placed(class);
        class
    }

    /// Records the end of a request. Only the time of a served one counts.
    pub(super) fn record_class_end(&mut self, now: Timestamp, running: &Running, is_served: bool) {
        let taken = is_served.then(|| now.since(running.sent));
        self.fleet_admission.backlog.on_ended(running.order_class, taken);
    }

    /// Returns whether a request leaves an engine's free slots to requests that precede it and wait
    /// at other routers.
    pub(super) fn yields_to_peers(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        id: &BackEndId,
    ) -> bool {
        let policy = self.limits.policy;
        let is_first_try = !demand.is_retry() && demand.suspect.is_none();
        let has_waited = now.since(demand.arrived) >= YIELD_TIME;
        if policy.waiting_scope == WaitingScope::Router || !is_first_try || has_waited {
            return false;
        }
        let peers = self.peer_backlog(now);
        let class = self.order_class(now, demand);
        let engines = self.engines.ready(&demand.service).len();
        let Some(engine) = self.engines.get(id) else { return false };
        let free = engine.back_end.slots.saturating_sub(engine.load().running);
        let backlog = ClassBacklog::of(class, &peers);
        backlog.preceding > 0 && backlog.needs_slots(free, policy.preferred_engines, engines)
    }

    /// Returns the reason why a request that was not placed at once is refused without waiting: it
    /// cannot be served before its deadline, or requests that precede it will take all slots that
    /// free up while it may wait. Those of its own class are not counted, since capacity that they
    /// leave would go to tenants above their share, which do not wait.
    pub(super) fn early_refusal(
        &mut self,
        now: Timestamp,
        demand: &Demand,
    ) -> Option<RefusalReason> {
        if self.limits.policy.retry_after != RetryAfterPolicy::Backlog || demand.is_retry() {
            return None;
        }
        let first = self.first_choice(now, demand);
        if first.is_some_and(|first| now + first.predicted_idle > demand.deadline) {
            return Some(RefusalReason::PastDeadline);
        }
        if self.share_class(now, demand) == ShareClass::BelowHalf {
            return None;
        }
        let backlog = self.class_backlog(now, demand);
        let may_wait = self.wait_deadline(demand).since(now);
        let is_too_long = backlog.preceding_time().is_some_and(|time| time > may_wait);
        is_too_long.then_some(RefusalReason::Backlog)
    }

    /// Returns the delay after which the caller of a refused request returns, and counts it as
    /// returning. `None` if the backlog does not determine it.
    pub(super) fn backlog_delay(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        reason: RefusalReason,
        draw: f64,
    ) -> Option<Duration> {
        let is_for_capacity = matches!(
            reason,
            RefusalReason::OverShare
                | RefusalReason::NoRoom
                | RefusalReason::QueueFull
                | RefusalReason::Backlog
        );
        if self.limits.policy.retry_after != RetryAfterPolicy::Backlog || !is_for_capacity {
            return None;
        }
        let drain_time = self.class_backlog(now, demand).drain_time()?;
        let class = self.order_class(now, demand);
        let tenant_time =
            if class.above_share { self.tenant_time(now, demand) } else { Duration::ZERO };
        let engine_time = self.engine_time(now, demand, class);
        let remaining = demand.deadline.since(now);
        let delay = DelayFigures { drain_time, engine_time, tenant_time, remaining }.delay(draw);
        let tokens = demand.prompt.as_ref().map_or(0, Prompt::cost);
        let tenant = demand.tenant.clone();
        self.fleet_admission.backlog.on_not_taken(now, class);
        self.fleet_admission.retry_delay.on_refused(now, now + delay, class, tenant, tokens);
        Some(delay)
    }

    /// Returns the time until a slot frees up at the preferred engine, which may have been given more
    /// requests than it has slots by routers that did not know of each other's.
    fn engine_time(&mut self, now: Timestamp, demand: &Demand, class: OrderClass) -> Duration {
        let Some(first) = self.first_choice(now, demand) else { return Duration::ZERO };
        let Some(engine) = self.engines.get(&first.id) else { return Duration::ZERO };
        let slots = engine.back_end.slots.max(1);
        let excess = (engine.load().running + 1).saturating_sub(slots);
        self.fleet_admission
            .backlog
            .service_time(class)
            .mul_f64(f64::from(excess) / f64::from(slots))
    }

    /// Returns the time until this router's part of the service given to the request's tenant
    /// admits it after the tenant's other returning requests.
    fn tenant_time(&mut self, now: Timestamp, demand: &Demand) -> Duration {
        let (Some(tenant), Some(prompt)) = (&demand.tenant, &demand.prompt) else {
            return Duration::ZERO;
        };
        let rate = self.shares(now).given(tenant) / self.fleet.size().max(1) as f64;
        let tokens = self.fleet_admission.retry_delay.tokens(tenant) + prompt.cost();
        Duration::try_from_secs_f64(tokens as f64 / rate).unwrap_or_default()
    }

    /// Returns the limit for requests of tenants above their share by an engine's spare capacity.
    pub(super) fn spare_limit(&self, now: Timestamp, engine: &Engine) -> f64 {
        let spare = SpareCapacity {
            slots: engine.back_end.slots,
            load: engine.load(),
            level: engine.fleet_service_level(now),
            slowdown: engine.fleet_slowdown(now),
        };
        spare.limit(&self.limits.policy)
    }

    /// Returns whether the prefill of a request of a tenant above its share would delay the streams
    /// of tenants within theirs too long: all prefill ahead of its first event is bounded by a
    /// fraction of the shortest objective of the service.
    pub(super) fn delays_streams(
        &self,
        engine: &Engine,
        demand: &Demand,
        scored: &ScoredBackEnd,
        class: ShareClass,
    ) -> bool {
        let policy = &self.limits.policy;
        let load = engine.load();
        let has_streams = load.running > load.above_share;
        if policy.concurrency != ConcurrencyPolicy::Spare
            || class != ShareClass::AboveShare
            || !has_streams
        {
            return false;
        }
        let objective = self.fleet_admission.objectives.get(&demand.service);
        let objective = objective.copied().unwrap_or(demand.objective);
        scored.predicted > objective.mul_f64(policy.above_share_time_fraction)
    }
}
