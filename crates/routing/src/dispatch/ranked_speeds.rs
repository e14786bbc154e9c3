//! The speeds by which engines are ranked.

use super::Dispatcher;
use crate::back_end::BackEndId;
use crate::engine::Engine;
use crate::performance::PerformanceEstimate;
use crate::policy::RankingPolicy;
use mastbay_types::Timestamp;
use std::collections::HashMap;

/// Engines whose speed is compared with the ranked one in each round of messages.
const CHECKED_PER_ROUND: usize = 64;

/// Progress of the checks, and fixed estimates.
#[derive(Debug, Default)]
pub struct RankedSpeeds {
    /// The engine checked last; `None` to start with the first one.
    last: Option<BackEndId>,
    /// Estimates that replace those from observations.
    fixed: HashMap<BackEndId, PerformanceEstimate>,
}

impl Dispatcher {
    /// Replaces an engine's estimate from observations by a fixed one. Used by tests.
    pub fn fix_performance(&mut self, id: &BackEndId, estimate: PerformanceEstimate) {
        self.ranked_speeds.fixed.insert(id.clone(), estimate);
    }

    /// Returns the estimated performance of an engine.
    pub(super) fn estimate(&self, now: Timestamp, engine: &Engine) -> PerformanceEstimate {
        match self.ranked_speeds.fixed.get(&engine.back_end.id) {
            Some(estimate) => *estimate,
            None => engine.performance(now),
        }
    }

    /// Compares the speed of some engines, in turn, with the one by which they are ranked. Where it
    /// has changed, the engine is ranked by the new one.
    pub(super) fn refresh_ranked_speeds(&mut self, now: Timestamp) {
        if self.limits.policy.ranking != RankingPolicy::Weighted {
            return;
        }
        let mut changed = Vec::new();
        let mut last = None;
        let mut checked = 0;
        for engine in self.engines.after(self.ranked_speeds.last.as_ref(), CHECKED_PER_ROUND) {
            let speed = self.estimate(now, engine).speed;
            if speed != engine.ranked_speed {
                changed.push((engine.back_end.id.clone(), speed));
            }
            checked += 1;
            last = Some(&engine.back_end.id);
        }
        self.ranked_speeds.last = last.filter(|_| checked == CHECKED_PER_ROUND).cloned();
        for (id, speed) in changed {
            self.engines.set_ranked_speed(&id, speed);
            self.preferred.on_speed(&self.engines, &id);
        }
    }
}
