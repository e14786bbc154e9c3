//! Reserves capacity at the selected back end for a request.

use super::Dispatcher;
use super::candidate::{ScoredBackEnd, SelectionCriteria};
use super::messages::Placement;
use super::running::Running;
use crate::demand::{Demand, TicketId};
use crate::performance::StreamProgress;
use crate::prompt::Prompt;
use mastbay_types::Timestamp;

impl Dispatcher {
    /// Reserves capacity for a request at the best back end that has any. With `is_final_attempt`
    /// set, it may also be placed where its first event will be late.
    pub(super) fn try_place(
        &mut self,
        now: Timestamp,
        ticket: TicketId,
        demand: &Demand,
        is_final_attempt: bool,
    ) -> Option<Placement> {
        let class = self.share_class(now, demand);
        let release = self.allowed_versions(now, demand)?;
        let criteria = SelectionCriteria { class, is_final_attempt, release };
        let scored = match self.best_of_canary(now, demand, &criteria) {
            Some(scored) => scored,
            None => self.best(now, demand, &criteria)?,
        };
        if !is_final_attempt && self.yields_to_peers(now, demand, &scored.id) {
            return None;
        }
        let rollout_request = self.record_release(demand, &scored);
        let expected_transfer = self.record_transfer(now, demand, &scored);
        let share = self.share_of(now, demand);
        let stats_age = self.fleet.oldest_stats_age(now);
        let service_level_due = self.service_level_due(demand, class, scored.uncached);
        let ScoredBackEnd { id, predicted, uncached, work_ahead, choice, transfer, .. } = scored;
        let speed = self.estimate(now, self.engines.get(&id)?).speed;
        let load = demand.load(uncached, class);
        let limit = self.concurrency_limit(now, self.engines.get(&id)?).round() as u32;
        let engine = self.engines.get_mut_busy(&id)?;
        let running = engine.load().running;
        engine.own.add(load);
        engine.warmup.on_sent(now);
        engine.observe_fleet_interval(now);
        self.announcements.on_sent(now, &id);
        if let Some(prompt) = &demand.prompt {
            engine.record_prompt(prompt, now);
        }
        let back_end = engine.back_end.clone();
        if let (Some(tenant), Some(prompt)) = (&demand.tenant, &demand.prompt) {
            self.usage.on_given(now, tenant, prompt.cost());
        }
        let entry = Running {
            back_end: id,
            prefix: demand.prompt.as_ref().and_then(Prompt::prefix_key),
            load,
            order_class: self.record_class_placement(demand, class),
            sent: now,
            predicted,
            work_ahead,
            has_first_event: false,
            service_level_due,
            events: 0,
            observed: now,
            progress: StreamProgress::new(demand.pause_objective),
            is_error: false,
            rollout_request,
            transfer: expected_transfer,
        };
        self.running.insert(ticket, entry);
        let excluded = self.excluded(now, &demand.service);
        Some(Placement {
            ticket,
            back_end,
            predicted,
            running,
            limit,
            uncached,
            choice,
            speed,
            share,
            prefix_source: transfer.map(|transfer| transfer.address),
            transferred: transfer.map_or(0, |transfer| transfer.tokens),
            stats_age,
            excluded,
        })
    }
}
