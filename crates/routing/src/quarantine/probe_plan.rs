//! Which quarantined suspects the others explain away.
//!
//! Suspects that were in flight at the same back ends are quarantined together, although one of
//! them may be the cause of all terminations. A few of them that account for every termination stay
//! suspect; the others are explained and may be probed at once, one at a time. Should one of those
//! be the cause after all, its probe ends a back end that none of the others was at, and from then
//! on it explains them.

use crate::engine_key::EngineKey;
use crate::suspect::Suspect;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A quarantined suspect and the incarnations that terminated while it was in flight.
pub type Evidence = (Suspect, BTreeSet<EngineKey>);

/// The explained suspects. All routers that know the same terminations have the same plan.
#[derive(Debug, Default)]
pub struct ProbePlan {
    /// Of each explained one, the suspect that shares most terminations with it.
    explained_by: HashMap<Suspect, Suspect>,
}

impl ProbePlan {
    /// Determines which of the quarantined suspects are explained.
    pub fn new(mut quarantined: Vec<Evidence>) -> Self {
        // Those with few terminations are the least suspect.
        quarantined.sort_unstable_by_key(|(suspect, back_ends)| (back_ends.len(), *suspect));
        let mut suspects_at = count_suspects(&quarantined);
        let (explained, suspects): (Vec<&Evidence>, Vec<&Evidence>) =
            quarantined.iter().partition(|(_, back_ends)| {
                let is_explained = back_ends.iter().all(|back_end| suspects_at[back_end] > 1);
                if is_explained {
                    back_ends.iter().for_each(|back_end| decrement(&mut suspects_at, back_end));
                }
                is_explained
            });
        let explained_by = explained
            .into_iter()
            .filter_map(|(suspect, back_ends)| Some((*suspect, closest(&suspects, back_ends)?)));
        Self { explained_by: explained_by.collect() }
    }

    /// Returns the suspect that explains another one best; `None` if it is not explained.
    pub fn explained_by(&self, suspect: Suspect) -> Option<Suspect> {
        self.explained_by.get(&suspect).copied()
    }
}

/// Returns the number of suspects that were in flight at each back end.
fn count_suspects(quarantined: &[Evidence]) -> BTreeMap<EngineKey, usize> {
    let mut counts = BTreeMap::new();
    for back_end in quarantined.iter().flat_map(|(_, back_ends)| back_ends) {
        *counts.entry(*back_end).or_default() += 1;
    }
    counts
}

fn decrement(counts: &mut BTreeMap<EngineKey, usize>, back_end: &EngineKey) {
    if let Some(count) = counts.get_mut(back_end) {
        *count -= 1;
    }
}

/// Returns the suspect with the most of `back_ends`.
fn closest(suspects: &[&Evidence], back_ends: &BTreeSet<EngineKey>) -> Option<Suspect> {
    let shared = |suspect: &Evidence| (suspect.1.intersection(back_ends).count(), suspect.0);
    suspects.iter().max_by_key(|suspect| shared(suspect)).map(|suspect| suspect.0)
}
