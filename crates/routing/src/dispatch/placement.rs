//! The choice of a back end: the one that holds the prompt's shared prefix, as long as it is in time.

use super::fair_level::ShareClass;
use super::{Demand, Dispatcher};
use crate::back_end::BackEndId;
use crate::engine::Engine;
use crate::first_event::PrefillWork;
use crate::policy::{ConcurrencyPolicy, Policy};
use crate::prompt::Prompt;
use crate::rollout::VersionFilter;
use mastbay_types::{Timestamp, mixed_hash};
use std::time::Duration;

/// Part of the memory that running requests may take.
const MEMORY_PART: f64 = 0.92;
/// Requests that a plain back end may have beyond its slots.
const PLAIN_QUEUE: u32 = 2;
/// Drawn back ends with room among which a request's is chosen. The best of two drawn ones is nearly as good as the best of all where
/// loads are known late; of this many of five zones, one is in the router's own zone 97 times in a hundred.
const ENOUGH_DRAWN: usize = 16;
/// Drawn back ends looked at for one request. If one in six may serve it, none of this many does so once in a hundred thousand times.
const MOST_DRAWN_LOOKS: usize = 64;
/// Cost up to which a prefix is cheap to prefill again.
const CHEAP: f64 = 0.5;
/// Tokens prefilled again for each token generated that cost as much as a back end whose slots are all taken. What
/// moves to another back end frees a slot here for as long as it generates tokens.
const RECOMPUTED_PER_GENERATED: f64 = 10.0;
/// Cost of each further rank: between equals, the same back end is chosen everywhere.
const RANK_COST: f64 = 0.02;
/// Share of failures that costs as much as a back end whose slots are all taken.
const FAILURE_STEP: f64 = 0.08;
/// Cost of a predicted first event as late as the objective.
const LATE_COST: f64 = 0.5;
/// What another zone costs a plain request, in slots.
const OTHER_ZONE_SLOTS: f64 = 0.08;

/// Part of its slots up to which an engine that has nothing to prefill is never refused.
const IDLE_SLOTS: f64 = 0.5;
/// Prompt tokens to prefill up to which an engine counts as having nothing to prefill.
const IDLE_PREFILL: u64 = 1_500;
/// Part of a back end's latency ratio that one observation moves.
const LATENCY_RATIO_GAIN: f64 = 0.05;
/// Least and most latency ratio believed.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.7, 6.0);

/// The latency ratio after one more observation.
pub fn next_latency_ratio(ratio: f64, predicted: Duration, taken: Duration) -> f64 {
    let missed_by = milliseconds(taken).max(1.0) / milliseconds(predicted).max(1.0);
    let seen = (ratio * missed_by).clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
    ratio + LATENCY_RATIO_GAIN * (seen - ratio)
}

/// A back end weighed for a request.
#[derive(Debug, Clone)]
pub struct Weighed {
    /// The back end.
    pub id: BackEndId,
    /// Time to the first event.
    pub predicted: Duration,
    /// The same if nothing else were pending there.
    pub alone: Duration,
    /// Prompt tokens that it prefills for the request.
    pub uncached: u64,
    /// Prefill that it does until the request's first event.
    pub work_ahead: PrefillWork,
    /// What the choice goes by; less is better.
    cost: f64,
}

/// How a request is looked at.
#[derive(Debug, Clone)]
pub struct Terms {
    /// How much of its share its tenant is given.
    pub class: ShareClass,
    /// Its time to wait is over.
    pub last_call: bool,
    /// The versions that may serve it.
    pub release: VersionFilter,
}

impl Dispatcher {
    /// The best back end with room for a request.
    pub(super) fn best(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        terms: &Terms,
    ) -> Option<Weighed> {
        if let Some(suspect) = demand.suspect {
            return self.best_for_suspect(now, demand, suspect, terms);
        }
        let weighed = match &demand.prompt {
            Some(prompt) => self.weigh_engines(now, demand, prompt, terms),
            None => self.weigh_plain(now, demand, &terms.release),
        };
        weighed.into_iter().min_by(|left, right| left.cost.total_cmp(&right.cost))
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
            && self.bears_more(now, engine)
            && !engine.health.is_cooling_down(now)
            && self.announcements.admits(now, &engine.back_end.id)
            && !engine.is_ended(now)
            && !demand.tried.contains(&engine.back_end.id)
    }

    /// All back ends that may serve a demand.
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

    /// Engines drawn from all, for a prompt whose preferred engines all want no requests.
    fn weigh_drawn(
        &self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        terms: &Terms,
    ) -> Vec<Weighed> {
        let candidates = self.drawn_candidates(now, demand, &terms.release);
        let fit =
            candidates.filter_map(|engine| self.weigh_if_fit(now, engine, demand, prompt, terms));
        fit.take(ENOUGH_DRAWN).collect()
    }

    /// Back ends that may serve a demand, from a drawn one on, as many as are looked at for one request.
    fn drawn_candidates(
        &self,
        now: Timestamp,
        demand: &Demand,
        release: &VersionFilter,
    ) -> impl Iterator<Item = &Engine> {
        let ready = self.engines.ready(&demand.service);
        let first =
            mixed_hash(now.as_micros(), self.fleet.tiebreak()) as usize % ready.len().max(1);
        let (earlier, later) = ready.split_at(first);
        let drawn = later.iter().chain(earlier).take(MOST_DRAWN_LOOKS);
        let engines = drawn.filter_map(|ready| self.engines.get(&ready.id));
        engines.filter(move |engine| self.is_candidate(now, engine, demand, release))
    }

    /// Plain back ends by their load. Of many, some are drawn, others each time: looking at all cost 0.24 ms a request before 643 of
    /// them, and all routers met at the first one that they took for idle.
    fn weigh_plain(
        &self,
        now: Timestamp,
        demand: &Demand,
        release: &VersionFilter,
    ) -> Vec<Weighed> {
        let candidates = self.drawn_candidates(now, demand, release);
        let with_room = candidates.filter_map(|engine| self.weigh_if_plain_room(now, engine));
        with_room.take(ENOUGH_DRAWN).collect()
    }

    /// A plain back end, if it has room.
    pub(super) fn weigh_if_plain_room(&self, now: Timestamp, engine: &Engine) -> Option<Weighed> {
        if engine.load().running >= engine.back_end.slots.max(1) + PLAIN_QUEUE {
            return None;
        }
        let slots = f64::from(engine.back_end.slots.max(1));
        let is_near = engine.back_end.zone == self.limits.zone;
        let zone = if is_near { 0.0 } else { OTHER_ZONE_SLOTS };
        let failures = engine.health.failure_rate(now) / FAILURE_STEP;
        let cost =
            f64::from(engine.load().running) / slots * engine.latency_ratio + zone + failures;
        Some(Weighed {
            id: engine.back_end.id.clone(),
            predicted: Duration::ZERO,
            alone: Duration::ZERO,
            uncached: 0,
            work_ahead: PrefillWork::default(),
            cost,
        })
    }

    /// An engine that need not hold the prompt's shared prefix, if it has room and is in time.
    pub(super) fn weigh_if_fit(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        terms: &Terms,
    ) -> Option<Weighed> {
        if !self.has_room(now, engine, demand, prompt, terms) {
            return None;
        }
        let weighed = self.weigh(now, engine, demand, prompt, 1);
        let is_fit =
            is_idle(engine) || is_in_time(now, &weighed, demand, terms, &self.limits.policy);
        is_fit.then_some(weighed)
    }

    /// Engines that are in time, by their rank for the prompt's shared prefix.
    fn weigh_engines(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        terms: &Terms,
    ) -> Vec<Weighed> {
        let policy = self.limits.policy;
        let prefix = prompt.prefix_key().unwrap_or_default();
        let preferred = self.preferred.of(&self.engines, demand, &terms.release, prefix);
        let held_cold = self.held_cold_engines(now, &demand.service);
        let is_cheap = cost_of_recomputing(prompt, prompt.shared_tokens()) < CHEAP;
        let waited = now.since(demand.arrived);
        let backs_off = |id| self.announcements.backs_off_until(now, id).is_some();
        let waits_for_locality = !is_cheap
            && demand.tried.is_empty()
            && !preferred.iter().any(backs_off)
            && waited < demand.objective.mul_f64(policy.locality_wait_fraction);
        let ranks =
            if is_cheap { policy.preferred_engines_cheap } else { policy.preferred_engines };
        let candidate = |id| {
            let engine = self.engines.get(id)?;
            self.is_candidate(now, engine, demand, &terms.release).then_some(engine)
        };
        let ranked = preferred.iter().filter_map(candidate).take(ranks).enumerate();
        if !preferred.is_empty() && preferred.iter().all(backs_off) {
            return self.weigh_drawn(now, demand, prompt, terms);
        }
        let elsewhere = held_cold.iter().filter(|id| is_cheap && !preferred.contains(id));
        let cold = elsewhere.filter_map(candidate).map(|engine| (ranks, engine));
        let mut weighed = Vec::new();
        for (rank, engine) in ranked.chain(cold) {
            if !self.has_room(now, engine, demand, prompt, terms) {
                continue;
            }
            let candidate = self.weigh(now, engine, demand, prompt, rank);
            let recomputes = candidate.uncached > prompt.own_tokens();
            if recomputes && waits_for_locality {
                continue;
            }
            if is_idle(engine) || is_in_time(now, &candidate, demand, terms, &policy) {
                weighed.push(candidate);
            }
        }
        weighed
    }

    /// The engine that comes first for a request's prompt, whether it has room or not.
    pub(super) fn first_choice(&mut self, now: Timestamp, demand: &Demand) -> Option<Weighed> {
        let prompt = demand.prompt.as_ref()?;
        let prefix = prompt.prefix_key().unwrap_or_default();
        let release = self.usual_release(now, &demand.service);
        let preferred = self.preferred.of(&self.engines, demand, &release, prefix);
        let engine = self.engines.get(preferred.first()?)?;
        Some(self.weigh(now, engine, demand, prompt, 0))
    }

    fn has_room(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        terms: &Terms,
    ) -> bool {
        let load = engine.load();
        let policy = &self.limits.policy;
        let slots = f64::from(engine.back_end.slots.max(1));
        let reserved = f64::from(load.unplaced).min(slots * policy.reserve_below_half);
        let most = match terms.class {
            ShareClass::BelowHalf => slots,
            ShareClass::BelowShare | ShareClass::AboveShare => slots - reserved,
        };
        let limit = self.concurrency_limit(now, engine);
        let is_limited =
            terms.class == ShareClass::AboveShare && f64::from(load.above_share + 1) > limit;
        let memory = self.engine_limits.get(&demand.service).map(|limits| limits.memory_tokens);
        let fits = memory.is_none_or(|memory| {
            (load.memory + prompt.memory()) as f64 <= memory as f64 * MEMORY_PART
        });
        f64::from(load.running + 1) <= most && !is_limited && fits
    }

    /// The concurrency limit of an engine, in requests.
    pub(super) fn concurrency_limit(&self, now: Timestamp, engine: &Engine) -> f64 {
        let slots = f64::from(engine.back_end.slots.max(1));
        match self.limits.policy.concurrency {
            ConcurrencyPolicy::Slots => slots,
            ConcurrencyPolicy::Adaptive => engine.agreed_limit(now).min(slots),
            ConcurrencyPolicy::Fixed(most) => slots.min(f64::from(most.max(1))),
        }
    }

    fn weigh(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        rank: usize,
    ) -> Weighed {
        let load = engine.load();
        let mut uncached = engine.uncached(prompt);
        if rank == 0 {
            uncached = uncached.min(prompt.own_tokens());
        }
        let estimator = self.first_events.get(&demand.service).copied().unwrap_or_default();
        let work_ahead = load.prefill.plus(prompt.prefill(uncached));
        let ratio = if self.limits.policy.latency_ratio { engine.latency_ratio } else { 1.0 };
        let predicted = estimator.estimate(work_ahead) * ratio;
        let alone = estimator.estimate(prompt.prefill(uncached)) * ratio;
        let alone = Duration::from_secs_f64(alone / 1e3);
        let slots = f64::from(engine.back_end.slots.max(1));
        let occupancy = f64::from(load.running) / slots;
        let failures = engine.health.failure_rate(now) / FAILURE_STEP;
        let recomputed = cost_of_recomputing(prompt, uncached.saturating_sub(prompt.own_tokens()));
        let late = predicted / milliseconds(demand.objective).max(1.0) * LATE_COST;
        let cost = recomputed + occupancy + failures + late + rank as f64 * RANK_COST;
        let predicted = Duration::from_secs_f64(predicted / 1e3);
        Weighed { id: engine.back_end.id.clone(), predicted, alone, uncached, work_ahead, cost }
    }
}

/// What it costs to prefill `tokens` of a prompt's shared prefix again.
fn cost_of_recomputing(prompt: &Prompt, tokens: u64) -> f64 {
    let generated = f64::from(prompt.expected_output().max(1));
    tokens as f64 / generated / RECOMPUTED_PER_GENERATED
}

/// Whether an engine has so little to do that no prediction speaks against it. Without this a wrong
/// prediction would refuse all, and nothing would be seen that could mend it.
fn is_idle(engine: &Engine) -> bool {
    let load = engine.load();
    let slots = f64::from(engine.back_end.slots.max(1));
    load.prefill.tokens <= IDLE_PREFILL && f64::from(load.running) < slots * IDLE_SLOTS
}

/// Whether a back end's first event would come in time; at the last call it may be late.
fn is_in_time(
    now: Timestamp,
    weighed: &Weighed,
    demand: &Demand,
    terms: &Terms,
    policy: &Policy,
) -> bool {
    let waited = now.since(demand.arrived);
    let is_over = terms.class == ShareClass::AboveShare;
    let part = if is_over { policy.above_share_time_fraction } else { policy.time_fraction };
    let allowed = if !demand.tried.is_empty() {
        demand.deadline.since(demand.arrived)
    } else if terms.last_call {
        demand.objective
    } else {
        demand.objective.mul_f64(part)
    };
    let is_too_long = weighed.alone > demand.objective.mul_f64(part);
    let late = if is_too_long && !is_over { policy.late_slack } else { 0.0 };
    waited + weighed.predicted <= allowed.max(weighed.alone.mul_f64(late))
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
