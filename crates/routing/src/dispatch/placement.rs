//! The choice of a back end: the predicted time to the first event, and what the fleet has to read.

use super::{Demand, Dispatcher};
use crate::back_end::{BackEndId, BackEndState};
use crate::engine::Engine;
use crate::prompt::Prompt;
use mastbay_types::{Timestamp, stable_hash};
use std::time::Duration;

/// Prompt tokens read in a millisecond until the first measurement.
const FIRST_PACE: f64 = 60.0;
/// Slowest and fastest pace believed.
const PACE_RANGE: (f64, f64) = (5.0, 2_000.0);
/// Work below this tells little about the pace, in tokens.
const LEAST_OBSERVED_WORK: u64 = 1_500;
/// Part of the pace that one observation moves.
const PACE_GAIN: f64 = 0.04;
/// Time of connections, links and steps before the first event.
const FIXED_TIME: Duration = Duration::from_millis(12);
/// Part of a back end's slowness that one observation moves.
const SLOWNESS_GAIN: f64 = 0.05;
/// Least and most slowness believed.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 6.0);
/// Part of the slots that tenants over the fair level may take.
const OVER_SHARE_SLOTS: f64 = 0.85;
/// Part of the memory that running requests may take.
const MEMORY_PART: f64 = 0.92;
/// Requests that a plain back end may have beyond its slots.
const PLAIN_QUEUE: u32 = 2;
/// A back end that fails all requests counts as this many objectives late.
const FAILURE_OBJECTIVES: f64 = 6.0;
/// What another zone costs, in milliseconds.
const OTHER_ZONE_MS: f64 = 3.0;
/// What a full batch costs those that run in it, as part of the objective.
const CROWDING_PART: f64 = 0.25;
/// A request at the end of its wait is placed where it is up to this many objectives late.
const LATE_OBJECTIVES: f64 = 1.5;

/// The pace at which the engines of a service read prompts.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    tokens_per_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { tokens_per_ms: FIRST_PACE }
    }
}

impl Pace {
    /// The first event came `taken` after `work` tokens were ahead.
    pub fn observe(&mut self, work: u64, taken: Duration) {
        if work < LEAST_OBSERVED_WORK {
            return;
        }
        let reading = taken.saturating_sub(FIXED_TIME).max(Duration::from_millis(1));
        let seen = work as f64 / milliseconds(reading);
        let seen = seen.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.tokens_per_ms *= (seen / self.tokens_per_ms).powf(PACE_GAIN);
    }

    fn time_for(self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms
    }
}

/// The slowness after one more observation.
pub fn next_slowness(slowness: f64, predicted: Duration, taken: Duration) -> f64 {
    let floor = milliseconds(FIXED_TIME);
    let seen = slowness * (milliseconds(taken) + floor) / (milliseconds(predicted) + floor);
    let seen = seen.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
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
    /// What the choice goes by, in milliseconds.
    cost: f64,
}

impl Dispatcher {
    /// The best back end with room for a request.
    pub(super) fn best(
        &self,
        now: Timestamp,
        demand: &Demand,
        over_share: bool,
        last_call: bool,
    ) -> Option<Weighed> {
        let candidates = self.engines.values().filter(|engine| {
            engine.back_end.service == demand.service
                && engine.back_end.state == BackEndState::Ready
                && !engine.health.is_paused(now)
                && !demand.tried.contains(&engine.back_end.id)
        });
        let candidates: Vec<&Engine> = candidates.collect();
        let home = demand.prompt.as_ref().and_then(|prompt| home_of(prompt, &candidates));
        let weighed = candidates.iter().filter(|engine| self.has_room(engine, demand, over_share));
        let weighed = weighed.map(|engine| {
            let is_home = home.as_ref() == Some(&engine.back_end.id);
            self.weigh(now, engine, demand, is_home)
        });
        let in_time = weighed.filter(|weighed| is_in_time(now, weighed, demand, last_call));
        in_time.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn has_room(&self, engine: &Engine, demand: &Demand, over_share: bool) -> bool {
        let load = engine.load();
        let slots = engine.back_end.slots.max(1);
        let Some(prompt) = &demand.prompt else {
            return load.running < slots + PLAIN_QUEUE;
        };
        let slots = if over_share { (f64::from(slots) * OVER_SHARE_SLOTS) as u32 } else { slots };
        let memory = self.engine_limits.get(&demand.service).map(|limits| limits.memory_tokens);
        let fits = memory.is_none_or(|memory| {
            (load.memory + prompt.memory()) as f64 <= memory as f64 * MEMORY_PART
        });
        load.running < slots && fits
    }

    fn weigh(&self, now: Timestamp, engine: &Engine, demand: &Demand, is_home: bool) -> Weighed {
        let load = engine.load();
        let slots = f64::from(engine.back_end.slots.max(1));
        let objective = milliseconds(demand.objective);
        let mut uncached = demand.prompt.as_ref().map_or(0, |prompt| engine.uncached(prompt));
        if let Some(prompt) = demand.prompt.as_ref().filter(|_| is_home) {
            uncached = uncached.min(own_part(prompt));
        }
        let pace = self.paces.get(&demand.service).copied().unwrap_or_default();
        let work_ahead = load.unread + uncached;
        let queue = (f64::from(load.running + 1) - slots).max(0.0) / slots;
        let reading = pace.time_for(work_ahead) * engine.slowness;
        let predicted = milliseconds(FIXED_TIME) + reading + queue * objective;
        let zone = if engine.back_end.zone == self.limits.zone { 0.0 } else { OTHER_ZONE_MS };
        let cost = predicted
            + pace.time_for(uncached)
            + f64::from(load.running) / slots * objective * CROWDING_PART
            + engine.health.failure_share(now) * objective * FAILURE_OBJECTIVES
            + zone;
        let predicted = Duration::from_secs_f64(predicted / 1e3);
        Weighed { id: engine.back_end.id.clone(), predicted, uncached, work_ahead, cost }
    }
}

/// Whether a back end's first event would come in time; at the last call it may be late.
fn is_in_time(now: Timestamp, weighed: &Weighed, demand: &Demand, last_call: bool) -> bool {
    let waited = now.since(demand.arrived);
    let allowed = if last_call {
        demand.objective.mul_f64(LATE_OBJECTIVES)
    } else if demand.tried.is_empty() {
        demand.objective
    } else {
        demand.deadline.since(demand.arrived)
    };
    waited + weighed.predicted <= allowed
}

/// The back end to which requests with the same beginning go if it has room.
fn home_of(prompt: &Prompt, candidates: &[&Engine]) -> Option<BackEndId> {
    let key = prompt.affinity_key()?.to_be_bytes();
    let ranked = candidates
        .iter()
        .max_by_key(|engine| stable_hash(&[&key, engine.back_end.id.0.as_bytes()]));
    ranked.map(|engine| engine.back_end.id.clone())
}

/// Tokens of the part that belongs to the request alone.
fn own_part(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(1);
    let shared: u64 = prompt.parts[..shared].iter().map(|part| u64::from(part.tokens)).sum();
    u64::from(prompt.input_tokens).saturating_sub(shared)
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
