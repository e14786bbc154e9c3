//! Use of prefix transfers in the selection of engines.

use super::Dispatcher;
use super::candidate::ScoredBackEnd;
use super::running::ExpectedTransfer;
use crate::back_end::BackEndId;
use crate::demand::Demand;
use crate::engine::Engine;
use crate::prompt::Prompt;
use crate::transfer::{PlannedTransfer, Source, Target, plan};
use mastbay_types::Timestamp;
use std::time::Duration;

impl Dispatcher {
    /// Returns the engines from which the beginning of a prompt can be transferred: those to which
    /// this router sent its prefix recently, and the `first` engine in the prefix's order.
    pub(super) fn transfer_sources(
        &self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        first: Option<&BackEndId>,
    ) -> Vec<Source<'_>> {
        let limits = self.engine_limits.get(&demand.service);
        let is_possible = limits.is_some_and(|limits| limits.transfer.is_some());
        if !self.limits.policy.prefix_transfer || !is_possible || demand.suspect.is_some() {
            return Vec::new();
        }
        let prefix = prompt.prefix_key().unwrap_or_default();
        let recent: Vec<&BackEndId> = self.prefix_holders.of(now, prefix).collect();
        let first = first.filter(|first| !recent.contains(first));
        let usable = |id: &&BackEndId| self.is_usable_source(now, demand, id);
        let recent = recent.iter().copied().filter(usable);
        let recent = recent.filter_map(|id| self.source(now, prompt, id, true));
        let first = first.filter(usable).and_then(|id| self.source(now, prompt, id, false));
        recent.chain(first).collect()
    }

    fn source(
        &self,
        now: Timestamp,
        prompt: &Prompt,
        id: &BackEndId,
        is_recent: bool,
    ) -> Option<Source<'_>> {
        let engine = self.engines.get(id)?;
        let held = u64::from(prompt.input_tokens).saturating_sub(engine.uncached(prompt));
        let tokens = if is_recent { held } else { prompt.shared_tokens() };
        let in_progress = self.transfers.in_progress(now, engine.key);
        let back_end = &engine.back_end;
        Some(Source { back_end, key: engine.key, tokens, is_recent, in_progress })
    }

    /// Returns whether an engine is alive, reachable and in an allowed region. It may be draining.
    fn is_usable_source(&self, now: Timestamp, demand: &Demand, id: &BackEndId) -> bool {
        self.engines.get(id).is_some_and(|engine| {
            engine.back_end.service == demand.service
                && !engine.is_evacuated
                && !engine.is_ended(now)
                && !engine.health.is_cooling_down(now)
                && demand.regions.allow(engine.region.as_deref())
                && self.announcements.backs_off_until(now, id).is_none()
                && !self.transfers.backs_off(now, engine.key)
                && !demand.tried.contains(id)
        })
    }

    /// Plans a transfer to an engine that does not hold the last `uncached` tokens of a prompt.
    pub(super) fn plan_transfer(
        &self,
        now: Timestamp,
        engine: &Engine,
        prompt: &Prompt,
        uncached: u64,
        sources: &[Source<'_>],
    ) -> Option<PlannedTransfer> {
        if sources.is_empty() {
            return None;
        }
        let service = &engine.back_end.service;
        let limits = self.engine_limits.get(service)?.transfer?;
        let estimator = self.first_events.get(service).copied().unwrap_or_default();
        let ratio = self.latency_ratio(now, engine);
        let prefill_time = |tokens| estimator.estimate(prompt.prefill(tokens)) * ratio;
        let input_tokens = u64::from(prompt.input_tokens);
        let target = Target { back_end: &engine.back_end, input_tokens, uncached, prefill_time };
        plan(limits, &target, sources)
    }

    /// Records that a request was placed, and the start of its transfer. Returns what is expected
    /// of the transfer, including the time to the first event without it.
    pub(super) fn record_transfer(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        scored: &ScoredBackEnd,
    ) -> Option<ExpectedTransfer> {
        let prompt = demand.prompt.as_ref()?;
        if !self.limits.policy.prefix_transfer {
            return None;
        }
        if let Some(prefix) = prompt.prefix_key() {
            self.prefix_holders.record(now, prefix, &scored.id);
        }
        let transfer = scored.transfer?;
        self.transfers.on_start(now, transfer.source, transfer.time);
        let engine = self.engines.get(&scored.id)?;
        let own_work = prompt.prefill(transfer.uncached_without);
        let work_ahead = engine.load().prefill.plus(own_work);
        let estimator = self.first_events.get(&demand.service).copied().unwrap_or_default();
        let predicted = estimator.estimate(work_ahead) * self.latency_ratio(now, engine);
        let predicted = Duration::from_secs_f64(predicted / 1e3);
        Some(ExpectedTransfer { source: transfer.source, predicted, work_ahead })
    }
}
