//! Admission control: places a request, queues it, or refuses it with a retry delay.

use super::Dispatcher;
use super::engines::ReadyEngine;
use super::messages::{
    Admission, AdmissionResults, Placement, Refusal, RefusalDetails, RefusalReason,
};
use crate::demand::{Demand, TicketId};
use crate::engine::Engine;
use crate::policy::ConcurrencyPolicy;
use crate::share_class::ShareClass;
use crate::waiting::{Waiter, WaitingQueue};
use mastbay_types::Timestamp;
use std::time::Duration;

/// Failed placements after which one pass over a queue stops trying.
const MAX_FAILED_PLACEMENTS: usize = 64;
/// Maximum retry delay sent to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_500);
/// Interval over which callers return after a backoff, as a fraction of the remaining backoff.
const RETURN_SPREAD_FRACTION: f64 = 0.25;
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(100);
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Longest retry delay that callers follow, as a fraction of the time left to the deadline.
const RETRY_AFTER_FRACTION: f64 = 0.3;

impl Dispatcher {
    /// Places, queues or refuses a request. `draw` is uniform in 0..1 and randomizes the retry
    /// delay.
    pub fn admit(&mut self, now: Timestamp, demand: Demand, draw: f64) -> Admission {
        let has_waiters = self.waiting.get(&demand.service).is_some_and(|queue| queue.len() > 0);
        let ticket = self.new_ticket();
        let is_retry = demand.is_retry();
        let is_above_share = self.share_class(now, &demand) == ShareClass::AboveShare;
        // Requests of tenants above their share never wait. They may take what those that wait leave,
        // if the limit for them leaves these enough.
        let may_pass_waiters =
            is_above_share && self.limits.policy.concurrency == ConcurrencyPolicy::Spare;
        let placed = if !has_waiters || is_retry || may_pass_waiters {
            self.try_place(now, ticket, &demand, false)
        } else {
            None
        };
        if let Some(placement) = placed {
            return Admission::Placed(placement);
        }
        // Without a back end that accepts requests, waiting cannot help.
        if let Some(reason) = self.unservable_reason(now, &demand) {
            return Admission::Refused(self.refusal(now, &demand, reason, draw));
        }
        // Any caller can claim to resume a stream, so that alone does not exempt a tenant.
        if demand.tried.is_empty() && is_above_share {
            return Admission::Refused(self.refusal(now, &demand, RefusalReason::OverShare, draw));
        }
        if let Some(reason) = self.early_refusal(now, &demand) {
            self.record_unplaced(now, &demand);
            self.record_missed(now, &demand);
            return Admission::Refused(self.refusal(now, &demand, reason, draw));
        }
        let waiting = self.waiting.get(&demand.service).map_or(0, WaitingQueue::len);
        if waiting >= self.limits.most_waiting {
            return Admission::Refused(self.refusal(now, &demand, RefusalReason::QueueFull, draw));
        }
        self.record_unplaced(now, &demand);
        let until = self.wait_deadline(&demand);
        let queue = self.waiting.entry(demand.service.clone()).or_default();
        queue.push(Waiter { ticket, demand, until });
        Admission::Waiting(ticket)
    }

    /// Places a request at a back end outside `demand.tried` if one has capacity now. It neither
    /// waits nor counts as refused otherwise.
    pub fn admit_at_once(&mut self, now: Timestamp, demand: &Demand) -> Option<Placement> {
        let ticket = self.new_ticket();
        self.try_place(now, ticket, demand, false)
    }

    fn new_ticket(&mut self) -> TicketId {
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        ticket
    }

    /// Places waiting requests for which there is capacity and refuses those whose waiting time is
    /// over.
    pub fn poll(&mut self, now: Timestamp, draw: f64) -> AdmissionResults {
        let mut results = Vec::new();
        let services: Vec<String> = self.waiting.keys().cloned().collect();
        for service in services {
            self.place_waiting(now, &service, &mut results);
            self.expire_waiting(now, &service, draw, &mut results);
        }
        self.waiting.retain(|_, queue| queue.len() > 0);
        results
    }

    /// Returns whether any request is waiting.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn place_waiting(&mut self, now: Timestamp, service: &str, results: &mut AdmissionResults) {
        let shares = self.shares(now);
        let Some(queue) = self.waiting.get_mut(service) else { return };
        let mut unplaced = Vec::new();
        let mut failed = 0;
        for waiter in queue.take_in_order(|waiter| shares.order(waiter)) {
            let placed = if failed < MAX_FAILED_PLACEMENTS {
                self.try_place(now, waiter.ticket, &waiter.demand, false)
            } else {
                None
            };
            match placed {
                Some(placement) => results.push((waiter.ticket, Ok(placement))),
                None => {
                    failed += 1;
                    unplaced.push(waiter);
                }
            }
        }
        if let Some(queue) = self.waiting.get_mut(service) {
            unplaced.into_iter().for_each(|waiter| queue.push(waiter));
        }
    }

    fn expire_waiting(
        &mut self,
        now: Timestamp,
        service: &str,
        draw: f64,
        results: &mut AdmissionResults,
    ) {
        let Some(queue) = self.waiting.get_mut(service) else { return };
        let expired = queue.take_expired(now);
        for waiter in expired {
            let result = match self.try_place(now, waiter.ticket, &waiter.demand, true) {
                Some(placement) => Ok(placement),
                None => {
                    self.record_missed(now, &waiter.demand);
                    let reason = self.unservable_reason(now, &waiter.demand);
                    let reason = reason.unwrap_or(RefusalReason::NoRoom);
                    Err(self.refusal(now, &waiter.demand, reason, draw))
                }
            };
            results.push((waiter.ticket, result));
        }
    }

    fn refusal(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        reason: RefusalReason,
        draw: f64,
    ) -> Refusal {
        let remaining = demand.deadline.since(now).mul_f64(RETRY_AFTER_FRACTION);
        let default_delay = remaining.min(MAX_RETRY_AFTER).mul_f64(0.5 + 0.5 * draw);
        let until_available = self.until_available(now, demand, draw);
        let retry_after = until_available
            .or_else(|| self.backlog_delay(now, demand, reason, draw))
            .unwrap_or(default_delay);
        let excluded = self.excluded(now, &demand.service);
        Refusal { reason, retry_after, details: self.refusal_details(now, demand), excluded }
    }

    /// Returns the time until one of the back ends that may serve `demand` accepts requests again,
    /// if all of them are backing off or cannot be reached. A random delay is added so that callers
    /// do not return all at once. `draw` is uniform in 0..1.
    pub fn until_available(&self, now: Timestamp, demand: &Demand, draw: f64) -> Option<Duration> {
        let backoff_end = self.earliest_backoff_end(now, demand);
        let earliest = backoff_end.or_else(|| self.earliest_reconnect(now, demand))?;
        let remaining = earliest.since(now);
        let spread =
            remaining.mul_f64(RETURN_SPREAD_FRACTION).clamp(MIN_RETURN_SPREAD, MAX_RETURN_SPREAD);
        Some(remaining + spread.mul_f64(draw))
    }

    fn refusal_details(&mut self, now: Timestamp, demand: &Demand) -> Option<RefusalDetails> {
        let share = self.tenant_share(now, demand.tenant.as_deref().unwrap_or_default());
        let backlog = self.class_backlog(now, demand);
        let scored = self.first_choice(now, demand)?;
        let engine = self.engines.get(&scored.id)?;
        let load = engine.load();
        Some(RefusalDetails {
            back_end: scored.id,
            running: load.running,
            limit: self.concurrency_limit(now, engine).round() as u32,
            pending_prefill: load.prefill.tokens,
            predicted: scored.predicted,
            class: share.class,
            asked: share.asked,
            given: share.given,
            rates_age: share.rates_age,
            fair_level: share.fair_level,
            backlog_ahead: backlog.ahead(),
            drain_rate: backlog.drain_rate,
        })
    }

    /// Returns the reason why waiting could not make capacity for the request, if there is one.
    fn unservable_reason(&self, now: Timestamp, demand: &Demand) -> Option<RefusalReason> {
        if self.engines.ready(&demand.service).is_empty() {
            return Some(RefusalReason::NoBackEnd);
        }
        if demand.version.is_some() && !self.has_back_end_of_version(now, demand) {
            return Some(RefusalReason::NoBackEndOfVersion);
        }
        let is_servable = demand.regions.is_unrestricted() || self.allowed(demand).next().is_some();
        if !is_servable {
            return Some(RefusalReason::NoBackEndInRegion);
        }
        let wait_deadline = self.wait_deadline(demand);
        if let Some(first) = self.earliest_backoff_end(now, demand) {
            return (first > wait_deadline).then_some(RefusalReason::BackingOff);
        }
        let first = self.earliest_reconnect(now, demand)?;
        (first > wait_deadline).then_some(RefusalReason::Unreachable)
    }

    /// Returns whether a back end of the version that began the request's stream accepts requests.
    fn has_back_end_of_version(&self, now: Timestamp, demand: &Demand) -> bool {
        let Some(versions) = self.allowed_versions(now, demand) else { return false };
        let mut ready = self.engines.ready(&demand.service).iter();
        let engine = |ready: &ReadyEngine| self.engines.get(&ready.id);
        ready.any(|ready| {
            engine(ready).is_some_and(|engine| versions.allows(&engine.back_end.version))
        })
    }

    /// Returns the back ends that accept requests, are in an allowed region and have the version
    /// that the request needs.
    fn allowed(&self, demand: &Demand) -> impl Iterator<Item = &Engine> {
        let ready = self.engines.ready(&demand.service).iter();
        let engines = ready.filter_map(|ready| self.engines.get(&ready.id));
        let needed = demand.version.as_deref();
        engines
            .filter(move |engine| needed.is_none_or(|version| *engine.back_end.version == *version))
            .filter(|engine| demand.regions.allow(engine.region.as_deref()))
    }

    /// Returns the earliest end of a backoff, if all back ends that may serve `demand` are backing
    /// off.
    fn earliest_backoff_end(&self, now: Timestamp, demand: &Demand) -> Option<Timestamp> {
        if self.backing_off(now) == 0 {
            return None;
        }
        let mut first = None;
        for engine in self.allowed(demand) {
            let until = self.announcements.backs_off_until(now, &engine.back_end.id)?;
            first = Some(first.map_or(until, |first: Timestamp| first.min(until)));
        }
        first
    }

    /// Returns when the first of the back ends that may serve `demand` is tried again, if connecting
    /// to all of them failed.
    fn earliest_reconnect(&self, now: Timestamp, demand: &Demand) -> Option<Timestamp> {
        let mut first = None;
        for engine in self.allowed(demand) {
            let until = engine.health.unreachable_until(now)?;
            first = Some(first.map_or(until, |first: Timestamp| first.min(until)));
        }
        first
    }

    /// Returns the end of the waiting time: a fraction of the objective, or all of it for a retry.
    pub(super) fn wait_deadline(&self, demand: &Demand) -> Timestamp {
        let fraction = if demand.is_retry() { 1.0 } else { self.limits.policy.wait_fraction };
        (demand.arrived + demand.objective.mul_f64(fraction)).min(demand.deadline)
    }
}
