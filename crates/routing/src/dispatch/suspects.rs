//! Where requests go under which back ends ended before.
//!
//! All that were under way at a back end that ended are suspects, one of them with reason. Each of them has an order of back ends of its
//! own, so that they part: the next back end that ends tells one from the others. Copies of the same request meet, at whatever
//! router they come, and end one back end where they would have ended several.

use super::placement::{ScoredBackEnd, SelectionCriteria};
use super::{Demand, Dispatcher};
use crate::engine::Engine;
use crate::fingerprint::RequestFingerprint;
use crate::load_stats::EngineKey;
use mastbay_types::{Timestamp, stable_hash};
use std::cmp::Reverse;

impl Dispatcher {
    /// The first back end with room in a suspect's own order.
    pub(super) fn best_for_suspect(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        suspect: RequestFingerprint,
        criteria: &SelectionCriteria,
    ) -> Option<ScoredBackEnd> {
        let candidates = self.candidates(now, demand, &criteria.release);
        let mut candidates: Vec<&Engine> = candidates.collect();
        candidates.sort_by_cached_key(|engine| Reverse(rendezvous_score(suspect, engine.key)));
        candidates.into_iter().find_map(|engine| match &demand.prompt {
            Some(prompt) => self.score_if_eligible(now, engine, demand, prompt, criteria),
            None => self.score_plain_if_free(now, engine),
        })
    }
}

/// Where a suspect stands in the order of a back end: the same at every router, and another for each request.
fn rendezvous_score(suspect: RequestFingerprint, back_end: EngineKey) -> u64 {
    stable_hash(&[&suspect.short().to_be_bytes(), &back_end.to_bytes()])
}
