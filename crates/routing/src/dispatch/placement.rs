//! Back-end selection: prefers the engine that caches the prompt's shared prefix while it can
//! respond in time.

use super::Dispatcher;
use super::candidate::{ScoredBackEnd, SelectionCriteria};
use super::overflow::BeyondRanks;
use crate::demand::Demand;
use crate::engine::Engine;
use crate::first_event::PrefillWork;
use crate::policy::{ConcurrencyPolicy, PerformanceSource, Policy};
use crate::prompt::Prompt;
use crate::ranking::EngineChoice;
use crate::rollout::VersionFilter;
use crate::share_class::ShareClass;
use crate::transfer::Source;
use mastbay_types::{Timestamp, mixed_hash};
use std::time::Duration;

/// Fraction of an engine's memory that running requests may take.
const MEMORY_FRACTION: f64 = 0.92;
/// Requests that a plain back end may queue beyond its slots.
const MAX_PLAIN_QUEUE: u32 = 2;
/// Sampled candidates with free capacity that are scored for one request. Where loads are known late,
/// the best of two is nearly as good as the best of all; of this many in five zones, one is in the
/// router's own zone in 97 of 100 cases.
const MAX_SCORED_SAMPLES: usize = 16;
/// Sampled back ends examined for one request. Examining all of 643 took 0.24 ms. If one in six may
/// serve the request, none of this many does in one of 100,000 cases.
const MAX_SAMPLED: usize = 64;
/// Recomputation cost up to which a prefix counts as cheap to prefill again.
const CHEAP_RECOMPUTATION_COST: f64 = 0.5;
/// Recomputed prefix tokens per generated token that cost as much as a fully occupied back end.
const RECOMPUTED_TOKENS_PER_GENERATED: f64 = 10.0;
/// Cost per rank in the preference order, so that all routers break ties the same way.
const RANK_COST: f64 = 0.02;
/// Failure share that costs as much as a fully occupied back end.
const FULL_COST_FAILURE_SHARE: f64 = 0.08;
/// Cost of a first event predicted to take the whole objective.
const LATE_COST: f64 = 0.5;
/// Cost of a back end in another zone for a plain request.
const OTHER_ZONE_COST: f64 = 0.08;

/// Fraction of its slots below which an engine without pending prefill is always eligible.
const IDLE_SLOT_FRACTION: f64 = 0.5;
/// Pending prompt tokens up to which an engine counts as having no pending prefill.
const IDLE_PREFILL_TOKENS: u64 = 1_500;
/// Weight of one observation in the moving average.
const LATENCY_RATIO_WEIGHT: f64 = 0.05;
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.7, 6.0);

/// Returns the moving average of the latency ratio after one more observation.
pub fn next_latency_ratio(ratio: f64, predicted: Duration, taken: Duration) -> f64 {
    let error_ratio = milliseconds(taken).max(1.0) / milliseconds(predicted).max(1.0);
    let observed = (ratio * error_ratio).clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
    ratio + LATENCY_RATIO_WEIGHT * (observed - ratio)
}

impl Dispatcher {
    /// Returns the back end with the lowest cost that has free capacity for the request.
    pub(super) fn best(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        criteria: &SelectionCriteria,
    ) -> Option<ScoredBackEnd> {
        if let Some(suspect) = demand.suspect {
            return self.best_for_suspect(now, demand, suspect, criteria);
        }
        let scored = match &demand.prompt {
            Some(prompt) => self.score_engines(now, demand, prompt, criteria),
            None if demand.version.is_some() => self.score_plain(now, demand, &criteria.release),
            None => self.score_plain_sample(now, demand, &criteria.release),
        };
        self.cheapest(scored)
    }

    pub(super) fn is_candidate(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        release: &VersionFilter,
    ) -> bool {
        engine.back_end.service == demand.service
            && engine.accepts_work()
            && demand.regions.allow(engine.region.as_deref())
            && release.allows(&engine.back_end.version)
            && (demand.version.is_some() || self.may_begin_stream(&engine.back_end))
            && self.accepts_more(now, engine)
            && !engine.health.is_cooling_down(now)
            && self.announcements.admits(now, &engine.back_end.id)
            && !engine.is_ended(now)
            && !self.excludes_silent(now, engine, demand)
            && !demand.tried.contains(&engine.back_end.id)
    }

    /// Returns all back ends that may serve the request.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        demand: &Demand,
        release: &VersionFilter,
    ) -> impl Iterator<Item = &Engine> {
        let ready = self.engines.ready(&demand.service).iter();
        let engines = ready.filter_map(|ready| self.engines.get(&ready.id));
        engines.filter(move |engine| self.is_candidate(now, engine, demand, release))
    }

    /// Scores sampled engines. Used when all preferred engines are backing off.
    fn score_sampled(
        &self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        criteria: &SelectionCriteria,
    ) -> Vec<ScoredBackEnd> {
        let candidates = self.sampled_candidates(now, demand, &criteria.release);
        let sources = self.transfer_sources(now, demand, prompt, None);
        let eligible = candidates.filter_map(|engine| {
            self.score_if_eligible(now, engine, demand, prompt, criteria, &sources)
        });
        eligible.take(MAX_SCORED_SAMPLES).collect()
    }

    /// Returns candidates from a bounded sample of the service's back ends that starts at a
    /// pseudorandom position.
    fn sampled_candidates(
        &self,
        now: Timestamp,
        demand: &Demand,
        release: &VersionFilter,
    ) -> impl Iterator<Item = &Engine> {
        let ready = self.engines.ready(&demand.service);
        let first =
            mixed_hash(now.as_micros(), self.fleet.tiebreak()) as usize % ready.len().max(1);
        let (earlier, later) = ready.split_at(first);
        let sampled = later.iter().chain(earlier).take(MAX_SAMPLED);
        let engines = sampled.filter_map(|ready| self.engines.get(&ready.id));
        engines.filter(move |engine| self.is_candidate(now, engine, demand, release))
    }

    /// Scores all plain back ends, as a sample may contain none of a version that few have.
    fn score_plain(
        &self,
        now: Timestamp,
        demand: &Demand,
        release: &VersionFilter,
    ) -> Vec<ScoredBackEnd> {
        let candidates = self.candidates(now, demand, release);
        candidates.filter_map(|engine| self.score_plain_if_free(now, engine)).collect()
    }

    /// Scores plain back ends. A sample bounds the cost per request and keeps routers from all
    /// choosing the same idle back end.
    fn score_plain_sample(
        &self,
        now: Timestamp,
        demand: &Demand,
        release: &VersionFilter,
    ) -> Vec<ScoredBackEnd> {
        let candidates = self.sampled_candidates(now, demand, release);
        let free = candidates.filter_map(|engine| self.score_plain_if_free(now, engine));
        free.take(MAX_SCORED_SAMPLES).collect()
    }

    /// Scores a plain back end, if it has free capacity.
    pub(super) fn score_plain_if_free(
        &self,
        now: Timestamp,
        engine: &Engine,
    ) -> Option<ScoredBackEnd> {
        if engine.load().running >= engine.back_end.slots.max(1).saturating_add(MAX_PLAIN_QUEUE) {
            return None;
        }
        let slots = f64::from(engine.back_end.slots.max(1));
        let is_near = engine.back_end.zone == self.limits.zone;
        let zone = if is_near { 0.0 } else { OTHER_ZONE_COST };
        let failures = engine.health.failure_rate(now) / FULL_COST_FAILURE_SHARE;
        let cost =
            f64::from(engine.load().running) / slots * engine.latency_ratio + zone + failures;
        Some(ScoredBackEnd {
            id: engine.back_end.id.clone(),
            predicted: Duration::ZERO,
            predicted_idle: Duration::ZERO,
            uncached: 0,
            work_ahead: PrefillWork::default(),
            choice: EngineChoice::Unranked,
            transfer: None,
            cost,
        })
    }

    /// Scores an engine outside the preference order, if it has free capacity and would respond in
    /// time.
    pub(super) fn score_if_eligible(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        criteria: &SelectionCriteria,
        sources: &[Source<'_>],
    ) -> Option<ScoredBackEnd> {
        if !self.has_capacity(now, engine, demand, prompt, criteria) {
            return None;
        }
        let scored = self.score(now, engine, demand, prompt, 1, sources);
        let scored = self.with_ranking_cost(now, engine, demand, criteria, scored);
        let is_eligible =
            is_idle(engine) || is_in_time(now, &scored, demand, criteria, &self.limits.policy);
        let is_eligible =
            is_eligible && !self.delays_streams(engine, demand, &scored, criteria.class);
        is_eligible.then_some(scored)
    }

    /// Scores the engines that would respond in time, in preference order for the prompt's shared
    /// prefix.
    fn score_engines(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        criteria: &SelectionCriteria,
    ) -> Vec<ScoredBackEnd> {
        let policy = self.limits.policy;
        let prefix = prompt.prefix_key().unwrap_or_default();
        let is_cheap = is_cheap(prompt);
        let preferred = self.preferred.of(&self.engines, demand, &criteria.release, prefix);
        let held_cold = self.held_cold_engines(now, &demand.service);
        let ranks =
            if is_cheap { policy.preferred_engines_cheap } else { policy.preferred_engines };
        let ranks = self.rank_count(now, prefix, ranks, &preferred);
        let waited = now.since(demand.arrived);
        let backs_off = |id| self.announcements.backs_off_until(now, id).is_some();
        let waits_for_locality = !is_cheap
            && !demand.is_retry()
            && !preferred.iter().any(backs_off)
            && waited < demand.objective.mul_f64(policy.locality_wait_fraction);
        let is_unequal = self.has_unequal_speeds(&preferred);
        let sources = self.transfer_sources(now, demand, prompt, preferred.first());
        // Prefixes that are spread over more engines are evicted before they are requested again,
        // and then cannot be transferred either.
        let is_spread = is_unequal && (is_cheap || sources.is_empty()) || demand.version.is_some();
        let ranks = if is_spread { ranks.max(preferred.len()) } else { ranks };
        let candidate = |id| {
            let engine = self.engines.get(id)?;
            self.is_candidate(now, engine, demand, &criteria.release).then_some(engine)
        };
        let ranked = preferred.iter().filter_map(candidate).take(ranks).enumerate();
        if !preferred.is_empty() && preferred.iter().all(backs_off) {
            return self.score_sampled(now, demand, prompt, criteria);
        }
        let cold_only = held_cold.iter().filter(|id| is_cheap && !preferred.contains(id));
        let cold = cold_only.filter_map(candidate).map(|engine| (ranks, engine));
        let mut scored = Vec::new();
        // Engines of another speed that would prefill the prefix again, although the request may
        // wait for one that holds it. They are considered only if that one has capacity.
        let mut recomputing = Vec::new();
        for (rank, engine) in ranked.chain(cold) {
            if !self.has_capacity(now, engine, demand, prompt, criteria) {
                continue;
            }
            let mut candidate = self.score(now, engine, demand, prompt, rank, &sources);
            let is_spare = sources.is_empty() && self.is_spare(engine, criteria);
            let waits = waits_for_locality && candidate.recomputes(prompt) && !is_spare;
            if waits && !is_unequal {
                continue;
            }
            if self.delays_streams(engine, demand, &candidate, criteria.class) {
                continue;
            }
            if is_idle(engine) || is_in_time(now, &candidate, demand, criteria, &policy) {
                candidate.choice = EngineChoice::of(&preferred, &candidate.id);
                let candidate = self.with_ranking_cost(now, engine, demand, criteria, candidate);
                if waits { &mut recomputing } else { &mut scored }.push(candidate);
            }
        }
        if !scored.is_empty() {
            scored.append(&mut recomputing);
        }
        if scored.is_empty() {
            let beyond = BeyondRanks { preferred: &preferred, ranks, waits: waits_for_locality };
            return self.score_overflow(now, demand, prompt, criteria, beyond);
        }
        scored
    }

    /// Returns the most preferred engine for the request's prompt, whether it has free capacity or
    /// not.
    pub(super) fn first_choice(
        &mut self,
        now: Timestamp,
        demand: &Demand,
    ) -> Option<ScoredBackEnd> {
        let prompt = demand.prompt.as_ref()?;
        let prefix = prompt.prefix_key().unwrap_or_default();
        let release = self.allowed_versions(now, demand)?;
        let preferred = self.preferred.of(&self.engines, demand, &release, prefix);
        let engine = self.engines.get(preferred.first()?)?;
        Some(self.score(now, engine, demand, prompt, 0, &[]))
    }

    fn has_capacity(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        criteria: &SelectionCriteria,
    ) -> bool {
        let load = engine.load();
        let policy = &self.limits.policy;
        let slots = f64::from(engine.back_end.slots.max(1));
        let reserved = f64::from(load.unplaced).min(slots * policy.reserve_below_half);
        let max_running = match criteria.class {
            ShareClass::BelowHalf => slots,
            ShareClass::BelowShare | ShareClass::AboveShare => slots - reserved,
        };
        let limit = self.concurrency_limit(now, engine);
        let is_limited =
            criteria.class == ShareClass::AboveShare && f64::from(load.above_share + 1) > limit;
        let memory = self.engine_limits.get(&demand.service).map(|limits| limits.memory_tokens);
        let fits = memory.is_none_or(|memory| {
            (load.memory + prompt.memory()) as f64 <= memory as f64 * MEMORY_FRACTION
        });
        f64::from(load.running + 1) <= max_running && !is_limited && fits
    }

    /// Returns the concurrency limit of an engine, in requests.
    pub(super) fn concurrency_limit(&self, now: Timestamp, engine: &Engine) -> f64 {
        let slots = f64::from(engine.back_end.slots.max(1));
        match self.limits.policy.concurrency {
            ConcurrencyPolicy::Slots => slots,
            ConcurrencyPolicy::Adaptive => engine.agreed_limit(now).min(slots),
            ConcurrencyPolicy::Spare => self.spare_limit(now, engine),
            ConcurrencyPolicy::Fixed(max) => slots.min(f64::from(max.max(1))),
        }
    }

    /// Returns the observed over the predicted time to the first event of an engine.
    pub(super) fn latency_ratio(&self, now: Timestamp, engine: &Engine) -> f64 {
        let policy = &self.limits.policy;
        match policy.performance {
            _ if !policy.latency_ratio => 1.0,
            PerformanceSource::Own => engine.latency_ratio,
            PerformanceSource::Fleet => engine.performance(now).latency_ratio,
        }
    }

    fn score(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        rank: usize,
        sources: &[Source<'_>],
    ) -> ScoredBackEnd {
        let load = engine.load();
        let mut uncached = engine.uncached(prompt);
        let transfer = self.plan_transfer(now, engine, prompt, uncached, sources);
        if rank == 0 {
            uncached = uncached.min(prompt.own_tokens());
        }
        uncached = transfer.map_or(uncached, |transfer| transfer.uncached.min(uncached));
        let estimator = self.first_events.get(&demand.service).copied().unwrap_or_default();
        let work_ahead = load.prefill.plus(prompt.prefill(uncached));
        let ratio = self.latency_ratio(now, engine);
        let predicted = estimator.estimate(work_ahead) * ratio;
        let predicted_idle = estimator.estimate(prompt.prefill(uncached)) * ratio;
        let predicted_idle = Duration::from_secs_f64(predicted_idle / 1e3);
        let slots = f64::from(engine.back_end.slots.max(1));
        let occupancy = f64::from(load.running) / slots;
        let failures = engine.health.failure_rate(now) / FULL_COST_FAILURE_SHARE;
        let recomputed = cost_of_recomputing(prompt, uncached.saturating_sub(prompt.own_tokens()));
        let late = predicted / milliseconds(demand.objective).max(1.0) * LATE_COST;
        let cost = recomputed + occupancy + failures + late + rank as f64 * RANK_COST;
        let predicted = Duration::from_secs_f64(predicted / 1e3);
        ScoredBackEnd {
            id: engine.back_end.id.clone(),
            predicted,
            predicted_idle,
            uncached,
            work_ahead,
            choice: EngineChoice::Unranked,
            transfer,
            cost,
        }
    }
}

/// Returns whether the prompt's shared prefix is cheap to prefill again.
pub(super) fn is_cheap(prompt: &Prompt) -> bool {
    cost_of_recomputing(prompt, prompt.shared_tokens()) < CHEAP_RECOMPUTATION_COST
}

/// Returns the cost of prefilling `tokens` of a prompt's shared prefix again.
fn cost_of_recomputing(prompt: &Prompt, tokens: u64) -> f64 {
    let generated = f64::from(prompt.expected_output().max(1));
    tokens as f64 / generated / RECOMPUTED_TOKENS_PER_GENERATED
}

/// Returns whether an engine has so little load that predictions are ignored. Otherwise a wrong
/// prediction could exclude every engine and never be corrected by new observations.
fn is_idle(engine: &Engine) -> bool {
    let load = engine.load();
    let slots = f64::from(engine.back_end.slots.max(1));
    load.prefill.tokens <= IDLE_PREFILL_TOKENS
        && f64::from(load.running) < slots * IDLE_SLOT_FRACTION
}

/// Returns whether a back end's first event is predicted to be in time. The limit is the deadline
/// for retries, the objective for final attempts, and otherwise a fraction of the objective. It is
/// longer for requests that would be late on an idle engine too.
fn is_in_time(
    now: Timestamp,
    scored: &ScoredBackEnd,
    demand: &Demand,
    criteria: &SelectionCriteria,
    policy: &Policy,
) -> bool {
    let waited = now.since(demand.arrived);
    let is_above_share = criteria.class == ShareClass::AboveShare;
    let fraction =
        if is_above_share { policy.above_share_time_fraction } else { policy.time_fraction };
    let allowed = if demand.is_retry() {
        demand.deadline.since(demand.arrived)
    } else if criteria.is_final_attempt {
        demand.objective
    } else {
        demand.objective.mul_f64(fraction)
    };
    let is_late_when_idle = scored.predicted_idle > demand.objective.mul_f64(fraction);
    let late_factor = if is_late_when_idle && !is_above_share { policy.late_slack } else { 0.0 };
    waited + scored.predicted <= allowed.max(scored.predicted_idle.mul_f64(late_factor))
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
