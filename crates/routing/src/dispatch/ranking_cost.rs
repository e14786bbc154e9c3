//! Costs of a candidate that follow from the engine's performance.

use super::Dispatcher;
use super::candidate::{ScoredBackEnd, SelectionCriteria};
use crate::demand::Demand;
use crate::engine::Engine;
use crate::first_event::PrefillWork;
use crate::policy::RankingPolicy;
use crate::ranking::{
    ImposedDelay, fast_engine_cost, imposed_delay_cost, occupancy_cost_difference, pause_cost,
};
use crate::share_class::ShareClass;
use mastbay_types::Timestamp;

impl Dispatcher {
    /// Adds the costs of the engine's performance to a candidate, if engines are ranked by it.
    pub(super) fn with_ranking_cost(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        criteria: &SelectionCriteria,
        mut scored: ScoredBackEnd,
    ) -> ScoredBackEnd {
        if self.limits.policy.ranking == RankingPolicy::Plain {
            return scored;
        }
        let estimate = self.estimate(now, engine);
        let (load, slots) = (engine.load(), engine.back_end.slots.max(1));
        let delay = ImposedDelay {
            prefill_ms: self.prefill_ms(engine, demand, &scored),
            speed: estimate.speed,
            streams: load.running,
            slots,
        };
        let occupancy = f64::from(load.running) / f64::from(slots);
        scored.cost += occupancy_cost_difference(estimate.speed, occupancy);
        scored.cost += imposed_delay_cost(delay);
        if criteria.class == ShareClass::AboveShare {
            scored.cost += fast_engine_cost(estimate.speed, occupancy);
        } else if demand.pause_objective.is_some() {
            let events = self.expected_events(demand);
            scored.cost += pause_cost(estimate.pause_probability(events));
        }
        scored
    }

    /// Returns the time that the mean engine takes to prefill the request's own prompt, in
    /// milliseconds.
    fn prefill_ms(&self, engine: &Engine, demand: &Demand, scored: &ScoredBackEnd) -> f64 {
        let estimator = self.first_events.get(&demand.service).copied().unwrap_or_default();
        let mut own = scored.work_ahead;
        own.remove(engine.load().prefill);
        estimator.estimate(own) - estimator.estimate(PrefillWork::default())
    }

    /// Returns the expected number of events of a request's stream.
    fn expected_events(&self, demand: &Demand) -> u32 {
        let output = demand.prompt.as_ref().map_or(0, |prompt| prompt.expected_output());
        let limits = self.engine_limits.get(&demand.service);
        output.div_ceil(limits.map_or(1, |limits| limits.tokens_per_event.max(1)))
    }
}
