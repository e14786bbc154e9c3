//! The first events and the ends of placed requests, and what they show about back ends.

use super::{Dispatcher, placement};
use crate::demand::TicketId;
use crate::health::Fault;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Event-loop lag up to which measured times are attributed to the back ends.
const TOLERATED_LAG: Duration = Duration::from_millis(15);
/// Time after a larger lag during which measured times are ignored.
const LAG_RECOVERY: Duration = Duration::from_millis(600);

impl Dispatcher {
    /// Records that the router's event loop runs late by `lag`. After a large lag, measured times
    /// reflect the router's delay and not that of the back ends, so they are ignored for a while.
    pub fn on_lag(&mut self, now: Timestamp, lag: Duration) {
        if lag > TOLERATED_LAG {
            self.lagging_until = now + LAG_RECOVERY;
        }
    }

    /// Records a request's first event, or its complete response if it has no events.
    pub fn on_first_event(&mut self, now: Timestamp, ticket: TicketId) {
        let Some(running) = self.running.get_mut(&ticket) else { return };
        if std::mem::replace(&mut running.has_first_event, true) {
            return;
        }
        running.observed = now;
        let is_measured = self.limits.policy.performance.is_fleet() && running.is_measured();
        let prefill = std::mem::take(&mut running.load.prefill);
        let taken = now.since(running.sent);
        if let Some(rollout_request) = &mut running.rollout_request {
            rollout_request.on_first_event(taken);
        }
        let (predicted, work_ahead) = running.applicable_prediction(taken);
        self.announcements.on_served(&running.back_end, running.sent);
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return };
        engine.last_response = now;
        engine.own.prefill.remove(prefill);
        if now < self.lagging_until || engine.warmup.is_cold(now) {
            return;
        }
        if let Some(transfer) = running.transfer {
            let saved_time = transfer.has_saved_time(taken);
            self.transfers.on_result(now, transfer.source, saved_time);
        }
        if let Some(due) = running.service_level_due {
            engine.on_service(now, now <= due);
        }
        engine.latency_ratio =
            placement::next_latency_ratio(engine.latency_ratio, predicted, taken);
        let estimator = self.first_events.entry(engine.back_end.service.clone()).or_default();
        if is_measured {
            let alone = Duration::from_secs_f64(estimator.estimate(work_ahead) / 1e3);
            engine.performance.observe_first_event(now, alone, taken);
        }
        estimator.observe(work_ahead, taken);
        engine.limit.observe_first_event(now);
        let back_end = running.back_end.clone();
        self.adjust_limit(now, &back_end);
    }

    /// Records the end of a request, whether it succeeded, failed or was cancelled by its caller,
    /// and releases its capacity. Returns whether a back end may have more free capacity than
    /// before.
    pub fn on_end(
        &mut self,
        now: Timestamp,
        ticket: TicketId,
        outcome: Result<(), Option<Fault>>,
    ) -> bool {
        let Some(running) = self.running.remove(&ticket) else {
            self.waiting.values_mut().any(|queue| queue.remove(ticket).is_some());
            return false;
        };
        self.record_release_end(now, &running, outcome);
        self.observe_end(now, &running, outcome);
        if outcome.is_ok() {
            self.observe_slot_time(now, &running);
        }
        self.record_class_end(now, &running, outcome.is_ok());
        match outcome {
            Ok(()) => self.announcements.on_served(&running.back_end, running.sent),
            Err(_) => self.announcements.on_not_served(&running.back_end, running.sent),
        }
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return false };
        self.freed_slots.on_end(engine);
        engine.own.remove(running.load);
        match outcome {
            Ok(()) => {
                engine.last_response = now;
                engine.health.on_success(now);
            }
            Err(Some(fault)) => {
                engine.health.on_fault(now, fault);
                if matches!(fault, Fault::Unreachable | Fault::Replaced) {
                    engine.clear_prompt_parts();
                }
            }
            Err(None) => {}
        }
        true
    }
}
