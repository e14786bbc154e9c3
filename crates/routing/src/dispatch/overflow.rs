//! Engines for requests whose ranked engines have no capacity.

use super::Dispatcher;
use super::candidate::{ScoredBackEnd, SelectionCriteria};
use super::placement::is_idle;
use crate::back_end::BackEndId;
use crate::demand::Demand;
use crate::engine::Engine;
use crate::policy::RankingPolicy;
use crate::prompt::Prompt;
use crate::ranking::{EngineChoice, are_unequal};
use crate::share_class::ShareClass;
use mastbay_types::{Timestamp, mixed_hash};

/// Engines examined for one request beyond its ranked ones. A request that waits is tried again
/// with each free slot, so this is smaller than the sample for plain requests.
const MAX_OVERFLOW_SAMPLED: usize = 24;
/// Engines with capacity that are scored of these.
const MAX_OVERFLOW_SCORED: usize = 8;

impl Dispatcher {
    /// Returns how many engines of a ranking are candidates, where `base` is the number if they are
    /// equally fast: all of them if their speeds differ.
    pub(super) fn candidate_ranks(&self, preferred: &[BackEndId], base: usize) -> usize {
        if self.limits.policy.ranking == RankingPolicy::Plain {
            return base;
        }
        let engines = preferred.iter().filter_map(|id| self.engines.get(id));
        let differ = are_unequal(engines.map(|engine| engine.ranked_speed));
        if differ { base.max(preferred.len()) } else { base }
    }

    /// Returns whether a request that would wait for the engine that holds its prefix may be placed
    /// at `engine` at once. Requests of tenants above their share are refused instead of waiting;
    /// they may use an engine with spare capacity that no request within its share needs.
    pub(super) fn is_spare(&self, engine: &Engine, criteria: &SelectionCriteria) -> bool {
        self.limits.policy.ranking == RankingPolicy::Weighted
            && criteria.class == ShareClass::AboveShare
            && is_idle(engine)
            && engine.load().unplaced == 0
    }

    /// Scores engines beyond the candidates among the ranked ones, of which none has capacity: the
    /// rest of the ranking, from position `ranks` on, and if none of these has capacity either, a
    /// sample of the service's engines.
    pub(super) fn score_overflow(
        &self,
        now: Timestamp,
        demand: &Demand,
        prompt: &Prompt,
        criteria: &SelectionCriteria,
        (preferred, ranks): (&[BackEndId], usize),
    ) -> Vec<ScoredBackEnd> {
        if self.limits.policy.ranking == RankingPolicy::Plain {
            return Vec::new();
        }
        let is_allowed = |engine: &&Engine| {
            criteria.class != ShareClass::AboveShare || self.is_spare(engine, criteria)
        };
        let score = |engine| self.score_if_eligible(now, engine, demand, prompt, criteria);
        let is_candidate =
            |engine: &&Engine| self.is_candidate(now, engine, demand, &criteria.release);
        let remaining = preferred.iter().enumerate().skip(ranks);
        let ranked: Vec<ScoredBackEnd> = remaining
            .filter_map(|(rank, id)| {
                let engine = self.engines.get(id).filter(is_candidate).filter(is_allowed)?;
                score(engine)
                    .map(|scored| ScoredBackEnd { choice: EngineChoice::Rank(rank), ..scored })
            })
            .collect();
        if !ranked.is_empty() {
            return ranked;
        }
        let sampled = self.overflow_sample(now, demand).filter(is_candidate).filter(is_allowed);
        let scored = sampled.filter_map(score).take(MAX_OVERFLOW_SCORED);
        scored.map(|scored| ScoredBackEnd { choice: EngineChoice::Overflow, ..scored }).collect()
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
