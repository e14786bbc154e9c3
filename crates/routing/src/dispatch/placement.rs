//! The choice of a back end: the one that holds the prompt's beginning, as long as it is in time.

use super::fair_level::TenantStanding;
use super::{Demand, Dispatcher};
use crate::back_end::{BackEndId, BackEndState};
use crate::engine::Engine;
use crate::policy::{ConcurrencyPolicy, Policy};
use crate::prompt::Prompt;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Part of the memory that running requests may take.
const MEMORY_PART: f64 = 0.92;
/// Requests that a plain back end may have beyond its slots.
const PLAIN_QUEUE: u32 = 2;
/// Cost up to which a beginning is cheap to read again.
const CHEAP: f64 = 0.5;
/// Tokens read again for each token made that cost as much as a back end whose slots are all taken. What
/// moves to another back end frees a slot here for as long as it makes tokens.
const READ_AGAIN_PER_MADE: f64 = 10.0;
/// Cost of each further rank: between equals, the same back end is chosen everywhere.
const RANK_COST: f64 = 0.02;
/// Share of failures that costs as much as a back end whose slots are all taken.
const FAILURE_STEP: f64 = 0.08;
/// Cost of a predicted first event as late as the objective.
const LATE_COST: f64 = 0.5;
/// What another zone costs a plain request, in slots.
const OTHER_ZONE_SLOTS: f64 = 0.08;

/// Part of the weight of earlier observations that each new one leaves.
const MEMORY_OF_PACE: f64 = 0.995;
/// Observations that the first guess weighs as much as.
const FIRST_WEIGHT: f64 = 12.0;
/// First guess: time to the first event without anything to read, and with `GUESS_TOKENS` to read.
const GUESS_MS: (f64, f64) = (40.0, 160.0);
const GUESS_TOKENS: f64 = 10_000.0;
/// Bounds on the fixed time, in milliseconds, and on the time for a token.
const FIXED_MS: (f64, f64) = (2.0, 400.0);
const TOKEN_MS: (f64, f64) = (0.000_5, 0.2);
/// An observation counts as at most this many times the prediction and this many milliseconds more: a
/// flood that routers could not yet see says little about the pace.
const MOST_OBSERVED: (f64, f64) = (1.5, 40.0);
/// Part of its slots up to which an engine that has nothing to read is never refused.
const IDLE_SLOTS: f64 = 0.5;
/// Prompt tokens to read up to which an engine counts as having nothing to read.
const IDLE_UNREAD: u64 = 1_500;
/// Part of a back end's slowness that one observation moves.
const SLOWNESS_GAIN: f64 = 0.05;
/// Least and most slowness believed.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 6.0);

/// The time to the first event of a service's engines as a line over the tokens that they have to read
/// before it, fitted to what was seen with weights that fade.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    weight: f64,
    tokens: f64,
    time: f64,
    tokens_tokens: f64,
    tokens_time: f64,
}

impl Default for Pace {
    fn default() -> Self {
        let mut pace =
            Self { weight: 0.0, tokens: 0.0, time: 0.0, tokens_tokens: 0.0, tokens_time: 0.0 };
        pace.add(0.0, GUESS_MS.0, FIRST_WEIGHT);
        pace.add(GUESS_TOKENS, GUESS_MS.1, FIRST_WEIGHT);
        pace
    }
}

impl Pace {
    /// The first event came `taken` after `work` tokens were ahead.
    pub fn observe(&mut self, work: u64, taken: Duration) {
        let most = self.predict(work) * MOST_OBSERVED.0 + MOST_OBSERVED.1;
        let taken = milliseconds(taken).min(most);
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.time,
            &mut self.tokens_tokens,
            &mut self.tokens_time,
        ] {
            *sum *= MEMORY_OF_PACE;
        }
        self.add(work as f64, taken, 1.0);
    }

    /// The predicted time to the first event, in milliseconds.
    pub fn predict(&self, work: u64) -> f64 {
        let spread = self.weight * self.tokens_tokens - self.tokens * self.tokens;
        let slope = (self.weight * self.tokens_time - self.tokens * self.time) / spread.max(1.0);
        let slope = slope.clamp(TOKEN_MS.0, TOKEN_MS.1);
        let fixed = (self.time - slope * self.tokens) / self.weight;
        fixed.clamp(FIXED_MS.0, FIXED_MS.1) + slope * work as f64
    }

    fn add(&mut self, tokens: f64, time: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.time += weight * time;
        self.tokens_tokens += weight * tokens * tokens;
        self.tokens_time += weight * tokens * time;
    }
}

/// The slowness after one more observation.
pub fn next_slowness(slowness: f64, predicted: Duration, taken: Duration) -> f64 {
    let ratio = milliseconds(taken).max(1.0) / milliseconds(predicted).max(1.0);
    let seen = (slowness * ratio).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
    slowness + SLOWNESS_GAIN * (seen - slowness)
}

/// A back end weighed for a request.
#[derive(Debug, Clone)]
pub struct Weighed {
    /// The back end.
    pub id: BackEndId,
    /// Time to the first event.
    pub predicted: Duration,
    /// Prompt tokens that it reads for the request.
    pub uncached: u64,
    /// Prompt tokens that it reads until the request's first event.
    pub work_ahead: u64,
    /// What the choice goes by; less is better.
    cost: f64,
}

/// How a request is looked at.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// How much of its share its tenant is given.
    pub standing: TenantStanding,
    /// Its time to wait is over.
    pub last_call: bool,
}

impl Dispatcher {
    /// The best back end with room for a request.
    pub(super) fn best(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        terms: Terms,
    ) -> Option<Weighed> {
        let weighed = match &demand.prompt {
            Some(prompt) => self.weigh_engines(now, demand, prompt, terms),
            None => self.weigh_plain(now, demand),
        };
        weighed.into_iter().min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn is_candidate(&self, now: Timestamp, engine: &Engine, demand: &Demand) -> bool {
        engine.back_end.service == demand.service
            && engine.back_end.state == BackEndState::Ready
            && !engine.health.is_paused(now)
            && !demand.tried.contains(&engine.back_end.id)
    }

    /// Plain back ends by their load.
    fn weigh_plain(&self, now: Timestamp, demand: &Demand) -> Vec<Weighed> {
        let candidates =
            self.engines.values().filter(|engine| self.is_candidate(now, engine, demand));
        let with_room = candidates
            .filter(|engine| engine.load().running < engine.back_end.slots.max(1) + PLAIN_QUEUE);
        let weighed = with_room.map(|engine| {
            let slots = f64::from(engine.back_end.slots.max(1));
            let is_near = engine.back_end.zone == self.limits.zone;
            let zone = if is_near { 0.0 } else { OTHER_ZONE_SLOTS };
            let failures = engine.health.failure_share(now) / FAILURE_STEP;
            let cost = f64::from(engine.load().running) / slots * engine.slowness + zone + failures;
            let id = engine.back_end.id.clone();
            Weighed { id, predicted: Duration::ZERO, uncached: 0, work_ahead: 0, cost }
        });
        weighed.collect()
    }

    /// Engines that are in time, by their rank for the prompt's beginning.
    fn weigh_engines(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        terms: Terms,
    ) -> Vec<Weighed> {
        let policy = self.limits.policy.clone();
        let beginning = prompt.affinity_key().unwrap_or_default();
        let homes = self.homes.of(&self.engines, &demand.service, beginning);
        let is_cheap = cost_of_reading(prompt, prompt.shared_tokens()) < CHEAP;
        let waited = now.since(demand.arrived);
        let waits_for_locality = !is_cheap
            && demand.tried.is_empty()
            && waited < demand.objective.mul_f64(policy.locality_wait);
        let ranks =
            if is_cheap { policy.preferred_engines_cheap } else { policy.preferred_engines };
        let candidates = homes.iter().filter_map(|id| self.engines.get(id));
        let candidates = candidates.filter(|engine| self.is_candidate(now, engine, demand));
        let mut weighed = Vec::new();
        for (rank, engine) in candidates.take(ranks).enumerate() {
            if !self.has_room(now, engine, demand, prompt, terms) {
                continue;
            }
            let candidate = self.weigh(now, engine, demand, prompt, rank);
            let reads_again = candidate.uncached > prompt.own_tokens();
            if reads_again && waits_for_locality {
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
        let beginning = prompt.affinity_key().unwrap_or_default();
        let homes = self.homes.of(&self.engines, &demand.service, beginning);
        let engine = self.engines.get(homes.first()?)?;
        Some(self.weigh(now, engine, demand, prompt, 0))
    }

    fn has_room(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        terms: Terms,
    ) -> bool {
        let load = engine.load();
        let policy = &self.limits.policy;
        let slots = f64::from(engine.back_end.slots.max(1));
        let limit = self.concurrency_limit(now, engine);
        let within_share = (limit * policy.within_share).min(slots);
        let left_for_light = f64::from(load.unmet).min(within_share * policy.light_reserve);
        let most = match terms.standing {
            TenantStanding::Light => within_share,
            TenantStanding::Large => within_share - left_for_light,
            TenantStanding::OverShare => {
                (limit * policy.over_share).min(within_share - left_for_light)
            }
        };
        let memory = self.engine_limits.get(&demand.service).map(|limits| limits.memory_tokens);
        let fits = memory.is_none_or(|memory| {
            (load.memory + prompt.memory()) as f64 <= memory as f64 * MEMORY_PART
        });
        f64::from(load.running + 1) <= most && fits
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
        let pace = self.paces.get(&demand.service).copied().unwrap_or_default();
        let work_ahead = load.unread + uncached;
        let ratio = if self.limits.policy.latency_ratio { engine.slowness } else { 1.0 };
        let predicted = pace.predict(work_ahead) * ratio;
        let slots = f64::from(engine.back_end.slots.max(1));
        let occupancy = f64::from(load.running) / slots;
        let failures = engine.health.failure_share(now) / FAILURE_STEP;
        let read_again = cost_of_reading(prompt, uncached.saturating_sub(prompt.own_tokens()));
        let late = predicted / milliseconds(demand.objective).max(1.0) * LATE_COST;
        let cost = read_again + occupancy + failures + late + rank as f64 * RANK_COST;
        let predicted = Duration::from_secs_f64(predicted / 1e3);
        Weighed { id: engine.back_end.id.clone(), predicted, uncached, work_ahead, cost }
    }
}

/// What it costs to read `tokens` of a prompt's beginning again.
fn cost_of_reading(prompt: &Prompt, tokens: u64) -> f64 {
    let made = f64::from(prompt.expected_output().max(1));
    tokens as f64 / made / READ_AGAIN_PER_MADE
}

/// Whether an engine has so little to do that no prediction speaks against it. Without this a wrong
/// prediction would refuse all, and nothing would be seen that could mend it.
fn is_idle(engine: &Engine) -> bool {
    let load = engine.load();
    let slots = f64::from(engine.back_end.slots.max(1));
    load.unread <= IDLE_UNREAD && f64::from(load.running) < slots * IDLE_SLOTS
}

/// Whether a back end's first event would come in time; at the last call it may be late.
fn is_in_time(
    now: Timestamp,
    weighed: &Weighed,
    demand: &Demand,
    terms: Terms,
    policy: &Policy,
) -> bool {
    let waited = now.since(demand.arrived);
    let is_over = terms.standing == TenantStanding::OverShare;
    let part = if is_over { policy.over_share_time } else { policy.time_part };
    let allowed = if !demand.tried.is_empty() {
        demand.deadline.since(demand.arrived)
    } else if terms.last_call {
        demand.objective
    } else {
        demand.objective.mul_f64(part)
    };
    waited + weighed.predicted <= allowed
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
