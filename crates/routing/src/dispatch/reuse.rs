//! Preference for back ends to which this router has an idle connection.

use super::Dispatcher;
use super::candidate::ScoredBackEnd;
use crate::back_end::BackEndId;

/// Difference of costs up to which an idle connection decides: less than one request in progress at
/// an engine of 12 slots costs.
const NEARLY_EQUAL_COST: f64 = 0.05;

impl Dispatcher {
    /// Records whether this router has an idle connection to a back end.
    pub fn set_idle_connection(&mut self, id: &BackEndId, has_idle: bool) {
        if !self.limits.policy.reuse_connections || !has_idle {
            self.idle_connections.remove(id);
        } else if !self.idle_connections.contains(id) {
            self.idle_connections.insert(id.clone());
        }
    }

    /// Returns the candidate with the lowest cost, or one of nearly the same cost to which this
    /// router has an idle connection.
    pub(super) fn cheapest(&self, scored: Vec<ScoredBackEnd>) -> Option<ScoredBackEnd> {
        let costs = scored.iter().map(|candidate| candidate.cost);
        let limit = costs.min_by(f64::total_cmp)? + NEARLY_EQUAL_COST;
        let opens_connection = |candidate: &ScoredBackEnd| {
            candidate.cost > limit || !self.idle_connections.contains(&candidate.id)
        };
        scored.into_iter().min_by(|left, right| {
            let by_connection = opens_connection(left).cmp(&opens_connection(right));
            by_connection.then(left.cost.total_cmp(&right.cost))
        })
    }
}
