//! Admission: a request is placed now, waits for a while, or is refused with a time to come back.

use super::Dispatcher;
use super::fair_level::ShareClass;
use super::messages::{Admission, Considered, Demand, Refusal, RefusalReason, TicketId, Verdicts};
use crate::engine::Engine;
use crate::waiting::{Waiter, WaitingQueue};
use mastbay_types::Timestamp;
use std::time::Duration;

/// Waiters that fail to be placed before the rest of a queue is left for later.
const MOST_FAILED_PLACEMENTS: usize = 64;
/// Longest time that a refused caller is told to stay away.
const LONGEST_RETRY_AFTER: Duration = Duration::from_millis(2_500);
/// Callers follow the time to come back only up to this part of the time that they have left.
const RETRY_AFTER_PART: f64 = 0.3;

impl Dispatcher {
    /// Places a request now, lets it wait or refuses it. `draw` is uniform in 0..1.
    pub fn admit(&mut self, now: Timestamp, demand: Demand, draw: f64) -> Admission {
        let others_wait = self.waiting.get(&demand.service).is_some_and(|queue| queue.len() > 0);
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let privileged = !demand.tried.is_empty();
        let placed = if !others_wait || privileged {
            self.try_place(now, ticket, &demand, false)
        } else {
            None
        };
        if let Some(placement) = placed {
            return Admission::Placed(placement);
        }
        // Held and then refused would be worse: without a back end no time makes room.
        if let Some(reason) = self.unservable(&demand) {
            return Admission::Refused(self.refusal(now, &demand, reason, draw));
        }
        if !privileged && self.share_class(now, &demand) == ShareClass::AboveShare {
            return Admission::Refused(self.refusal(now, &demand, RefusalReason::OverShare, draw));
        }
        let waiting = self.waiting.get(&demand.service).map_or(0, WaitingQueue::len);
        if waiting >= self.limits.most_waiting {
            return Admission::Refused(self.refusal(now, &demand, RefusalReason::QueueFull, draw));
        }
        self.note_unplaced(now, &demand);
        let until = self.hold_until(&demand);
        let queue = self.waiting.entry(demand.service.clone()).or_default();
        queue.push(Waiter { ticket, demand, until });
        Admission::Waiting(ticket)
    }

    /// Lets waiters in where there is room and gives up those whose time is over.
    pub fn poll(&mut self, now: Timestamp, draw: f64) -> Verdicts {
        let mut verdicts = Vec::new();
        let services: Vec<String> = self.waiting.keys().cloned().collect();
        for service in services {
            self.let_in(now, &service, &mut verdicts);
            self.give_up(now, &service, draw, &mut verdicts);
        }
        self.waiting.retain(|_, queue| queue.len() > 0);
        verdicts
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn let_in(&mut self, now: Timestamp, service: &str, verdicts: &mut Verdicts) {
        let shares = self.shares(now);
        let Some(queue) = self.waiting.get_mut(service) else { return };
        let mut left = Vec::new();
        let mut failed = 0;
        for waiter in queue.take_in_order(|waiter| shares.order(waiter)) {
            let placed = if failed < MOST_FAILED_PLACEMENTS {
                self.try_place(now, waiter.ticket, &waiter.demand, false)
            } else {
                None
            };
            match placed {
                Some(placement) => verdicts.push((waiter.ticket, Ok(placement))),
                None => {
                    failed += 1;
                    left.push(waiter);
                }
            }
        }
        if let Some(queue) = self.waiting.get_mut(service) {
            left.into_iter().for_each(|waiter| queue.push(waiter));
        }
    }

    fn give_up(&mut self, now: Timestamp, service: &str, draw: f64, verdicts: &mut Verdicts) {
        let Some(queue) = self.waiting.get_mut(service) else { return };
        let expired = queue.take_expired(now);
        for waiter in expired {
            let verdict = match self.try_place(now, waiter.ticket, &waiter.demand, true) {
                Some(placement) => Ok(placement),
                None => {
                    self.note_missed(now, &waiter.demand);
                    let reason = self.unservable(&waiter.demand).unwrap_or(RefusalReason::NoRoom);
                    Err(self.refusal(now, &waiter.demand, reason, draw))
                }
            };
            verdicts.push((waiter.ticket, verdict));
        }
    }

    fn refusal(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        reason: RefusalReason,
        draw: f64,
    ) -> Refusal {
        let left = demand.deadline.since(now).mul_f64(RETRY_AFTER_PART);
        let retry_after = left.min(LONGEST_RETRY_AFTER).mul_f64(0.5 + 0.5 * draw);
        Refusal { reason, retry_after, considered: self.consider(now, demand) }
    }

    fn consider(&mut self, now: Timestamp, demand: &Demand) -> Option<Considered> {
        let shares = self.shares(now);
        let tenant = demand.tenant.as_deref().unwrap_or_default();
        let rates_age = self.fleet.rates_age(now);
        let weighed = self.first_choice(now, demand)?;
        let engine = self.engines.get(&weighed.id)?;
        let load = engine.load();
        Some(Considered {
            back_end: weighed.id,
            running: load.running,
            limit: self.concurrency_limit(now, engine).round() as u32,
            pending_prefill: load.prefill.tokens,
            predicted: weighed.predicted,
            asked: shares.asked(tenant),
            given: shares.given(tenant),
            rates_age,
            level: shares.level.is_finite().then_some(shares.level),
        })
    }

    /// Why no time would make room for a request, if that is so.
    fn unservable(&self, demand: &Demand) -> Option<RefusalReason> {
        let ready = self.engines.ready(&demand.service);
        if ready.is_empty() {
            return Some(RefusalReason::NoBackEnd);
        }
        let mut engines = ready.iter().filter_map(|ready| self.engines.get(&ready.id));
        let is_allowed = |engine: &Engine| demand.regions.allow(engine.region.as_deref());
        let is_servable = demand.regions.are_all() || engines.any(is_allowed);
        (!is_servable).then_some(RefusalReason::NoBackEndInRegion)
    }

    /// Until when a request waits: a part of its objective; one that was tried before, the whole.
    fn hold_until(&self, demand: &Demand) -> Timestamp {
        let part = if demand.tried.is_empty() { self.limits.policy.hold_part } else { 1.0 };
        (demand.arrived + demand.objective.mul_f64(part)).min(demand.deadline)
    }
}
