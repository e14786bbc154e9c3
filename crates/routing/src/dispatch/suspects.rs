//! Placement of requests under which back ends have ended.
//!
//! All requests that were in progress at a back end that ended are suspects. Each suspect has its
//! own order of back ends, so that suspects separate and the next back end that ends narrows down
//! the cause. The order is the same at every router, so that copies of a request affect the same
//! back end.

use super::Dispatcher;
use super::candidate::{ScoredBackEnd, SelectionCriteria};
use crate::demand::Demand;
use crate::engine::Engine;
use crate::engine_key::EngineKey;
use crate::suspect::Suspect;
use mastbay_types::{Timestamp, stable_hash};
use std::cmp::Reverse;

impl Dispatcher {
    /// Returns the first back end with free capacity in the suspect's order.
    pub(super) fn best_for_suspect(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        suspect: Suspect,
        criteria: &SelectionCriteria,
    ) -> Option<ScoredBackEnd> {
        let candidates = self.candidates(now, demand, &criteria.release);
        let mut candidates: Vec<&Engine> = candidates.collect();
        candidates.sort_by_cached_key(|engine| Reverse(rendezvous_score(suspect, engine.key)));
        candidates.into_iter().find_map(|engine| match &demand.prompt {
            Some(prompt) => self.score_if_eligible(now, engine, demand, prompt, criteria, &[]),
            None => self.score_plain_if_free(now, engine),
        })
    }
}

/// Returns the rendezvous score of a back end for a suspect, the same at every router.
fn rendezvous_score(suspect: Suspect, back_end: EngineKey) -> u64 {
    stable_hash(&[&suspect.short().to_be_bytes(), &back_end.to_bytes()])
}
