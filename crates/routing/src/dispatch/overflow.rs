//! Engines for requests whose ranked engines have no capacity.

use super::Dispatcher;
use super::candidate::{ScoredBackEnd, SelectionCriteria};
use super::placement::is_cheap;
use crate::admission::SPARE_SLOT_FRACTION;
use crate::back_end::BackEndId;
use crate::demand::Demand;
use crate::engine::Engine;
use crate::policy::RankingPolicy;
use crate::prompt::Prompt;
use crate::ranking::{EngineChoice, are_unequal};
use crate::share_class::ShareClass;
use crate::transfer::Source;
use mastbay_types::{Timestamp, mixed_hash};
use std::time::Duration;

/// Engines examined for one request beyond its ranked ones. A request that waits is tried again
/// with each free slot, so this is smaller than the sample for plain requests.
const MAX_OVERFLOW_SAMPLED: usize = 24;
/// Engines with capacity that are scored of these.
const MAX_OVERFLOW_SCORED: usize = 8;
/// Samples without capacity after which no more are taken until [`FAILED_SAMPLES_PERIOD`] is over.
/// Otherwise a full queue takes one for each waiting request whenever a slot becomes free.
const MAX_FAILED_SAMPLES: u32 = 8;
const FAILED_SAMPLES_PERIOD: Duration = Duration::from_millis(10);

/// Samples in which no engine had capacity for a request within its tenant's share. Those for other
/// requests are not counted: these are refused instead of tried again.
#[derive(Debug, Default)]
pub struct FailedSamples {
    since: Timestamp,
    count: u32,
}

impl FailedSamples {
    fn allow_another(&self, now: Timestamp) -> bool {
        self.count < MAX_FAILED_SAMPLES || now.since(self.since) >= FAILED_SAMPLES_PERIOD
    }

    fn add(&mut self, now: Timestamp) {
        if now.since(self.since) >= FAILED_SAMPLES_PERIOD {
            *self = Self { since: now, count: 0 };
        }
        self.count += 1;
    }
}

/// The engines of a ranking that are not candidates.
#[derive(Debug, Clone, Copy)]
pub struct BeyondRanks<'a> {
    /// The ranking.
    pub preferred: &'a [BackEndId],
    /// Number of candidates at its beginning.
    pub ranks: usize,
    /// Whether the request still waits for an engine that holds its prefix.
    pub waits: bool,
}

impl Dispatcher {
    /// Returns whether ranked engines differ in speed.
    pub(super) fn has_unequal_speeds(&self, preferred: &[BackEndId]) -> bool {
        let engines = preferred.iter().filter_map(|id| self.engines.get(id));
        self.limits.policy.ranking == RankingPolicy::Weighted
            && are_unequal(engines.map(|engine| engine.ranked_speed))
    }

    /// Returns whether a request that would wait for the engine that holds its prefix may be placed
    /// at `engine` at once. Requests of tenants above their share are refused instead of waiting;
    /// they may use an engine with spare capacity that no request within its share needs.
    pub(super) fn is_spare(&self, engine: &Engine, criteria: &SelectionCriteria) -> bool {
        let slots = f64::from(engine.back_end.slots.max(1));
        self.limits.policy.ranking == RankingPolicy::Weighted
            && criteria.class == ShareClass::AboveShare
            && engine.load().unplaced == 0
            && f64::from(engine.load().running) < slots * SPARE_SLOT_FRACTION
    }

    /// Scores engines beyond the candidates among the ranked ones, of which none has capacity: the
    /// rest of the ranking, and if none of these has capacity either, a sample of the service's
    /// engines.
    pub(super) fn score_overflow(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        criteria: &SelectionCriteria,
        beyond: BeyondRanks<'_>,
    ) -> Vec<ScoredBackEnd> {
        let is_weighted = self.limits.policy.ranking == RankingPolicy::Weighted;
        let sources = self.transfer_sources(now, demand, prompt, beyond.preferred.first());
        if !is_weighted && sources.is_empty() {
            return Vec::new();
        }
        let is_above_share = criteria.class == ShareClass::AboveShare;
        // Where a prefix can be transferred, tenants above their share do not cause it to be
        // prefilled again.
        let may_recompute =
            if is_above_share { sources.is_empty() || is_cheap(prompt) } else { !beyond.waits };
        let score = |engine| {
            let scored =
                self.score_overflow_engine(now, engine, demand, prompt, criteria, &sources)?;
            (may_recompute || !scored.recomputes(prompt)).then_some(scored)
        };
        let remaining = beyond.preferred.iter().enumerate().skip(beyond.ranks);
        let remaining = remaining.filter_map(|(rank, id)| {
            let scored = score(self.engines.get(id)?)?;
            Some(ScoredBackEnd { choice: EngineChoice::Rank(rank), ..scored })
        });
        let mut scored: Vec<ScoredBackEnd> = remaining.collect();
        let may_sample = is_weighted && (is_above_share || !beyond.waits);
        if scored.is_empty() && may_sample && self.failed_samples.allow_another(now) {
            let sampled = self.overflow_sample(now, demand).filter_map(score);
            let sampled = sampled.take(MAX_OVERFLOW_SCORED);
            let choice = EngineChoice::Overflow;
            scored = sampled.map(|sampled| ScoredBackEnd { choice, ..sampled }).collect();
            if scored.is_empty() && !is_above_share {
                self.failed_samples.add(now);
            }
        }
        scored
    }

    /// Scores an engine that is not among the candidates, if the request may be placed there.
    fn score_overflow_engine(
        &self,
        now: Timestamp,
        engine: &Engine,
        demand: &Demand,
        prompt: &Prompt,
        criteria: &SelectionCriteria,
        sources: &[Source<'_>],
    ) -> Option<ScoredBackEnd> {
        let is_allowed =
            criteria.class != ShareClass::AboveShare || self.is_spare(engine, criteria);
        if !is_allowed || !self.is_candidate(now, engine, demand, &criteria.release) {
            return None;
        }
        self.score_if_eligible(now, engine, demand, prompt, criteria, sources)
    }

    /// Returns a bounded sample of the service's engines, evenly spaced from a pseudorandom position
    /// on, so that routers choose different ones.
    fn overflow_sample(&self, now: Timestamp, demand: &Demand) -> impl Iterator<Item = &Engine> {
        let ready = self.engines.ready(&demand.service);
        let first = mixed_hash(now.as_micros(), self.fleet.tiebreak()) as usize;
        let count = ready.len().min(MAX_OVERFLOW_SAMPLED);
        let stride = ready.len() / count.max(1);
        let first = first % ready.len().max(1);
        let positions = (0..count).map(move |index| (first + index * stride) % ready.len());
        positions.filter_map(|position| self.engines.get(&ready[position].id))
    }
}
