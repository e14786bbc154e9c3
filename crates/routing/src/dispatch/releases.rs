//! Selects the version of a service during a roll-out and records the responses of each version.

use super::Dispatcher;
use super::candidate::{ScoredBackEnd, SelectionCriteria};
use super::rollout_request::{PLAIN_EXPECTED_TIME, RolloutRequest};
use super::running::Running;
use crate::demand::Demand;
use crate::health::Fault;
use crate::rollout::{AnswerOutcome, RolloutRecord, Rollouts, VersionFilter};
use mastbay_types::Timestamp;
use std::time::Duration;

impl Dispatcher {
    /// Applies the current roll-out orders.
    pub fn on_rollouts(&mut self, now: Timestamp, rollouts: &Rollouts) {
        self.rollouts_revision = rollouts.revision;
        self.rollouts.on_orders(now, rollouts);
    }

    /// Evaluates roll-outs by the counts of the whole fleet. Returns the states to be recorded.
    pub fn evaluate_rollouts(&mut self, now: Timestamp) -> Vec<RolloutRecord> {
        if self.rollouts.is_empty() {
            return Vec::new();
        }
        let fleet = self.fleet.release_reports(&self.rollouts.reports());
        self.rollouts.evaluate(now, &fleet)
    }

    /// Returns the versions for requests of a service that are not part of a canary.
    pub(super) fn default_release(&self, now: Timestamp, service: &str) -> VersionFilter {
        self.rollouts.of(service).map(|rollout| rollout.default_filter(now)).unwrap_or_default()
    }

    /// Returns the versions that may serve a request. A request that resumes a stream needs the
    /// version that began it; `None` if that one may get no more requests.
    pub(super) fn allowed_versions(
        &self,
        now: Timestamp,
        demand: &Demand,
    ) -> Option<VersionFilter> {
        let default = self.default_release(now, &demand.service);
        let Some(version) = &demand.version else { return Some(default) };
        let rollout = self.rollouts.of(&demand.service);
        let is_exposed = rollout.is_some_and(|rollout| {
            rollout.rolls_out(version)
                && rollout.may_expose(now, self.limits.exposure, self.fleet.budget_spenders(now))
        });
        (default.allows(version) || is_exposed).then(|| VersionFilter::Only(version.clone()))
    }

    /// Returns the best back end of the version that is being rolled out, if the request may be
    /// part of the canary. Retries and suspects may not, since they have already failed once.
    pub(super) fn best_of_canary(
        &mut self,
        now: Timestamp,
        demand: &Demand,
        criteria: &SelectionCriteria,
    ) -> Option<ScoredBackEnd> {
        let rollout = self.rollouts.of(&demand.service)?;
        let is_first_try = !demand.is_retry() && demand.suspect.is_none();
        if !is_first_try
            || !rollout.may_expose(now, self.limits.exposure, self.fleet.budget_spenders(now))
        {
            return None;
        }
        let VersionFilter::Except(version) = rollout.default_filter(now) else { return None };
        let criteria =
            SelectionCriteria { release: VersionFilter::Only(version), ..criteria.clone() };
        self.best(now, demand, &criteria)
    }

    /// Records that a request was placed. Returns its part in a roll-out, if its service has one.
    pub(super) fn record_release(
        &mut self,
        demand: &Demand,
        scored: &ScoredBackEnd,
    ) -> Option<RolloutRequest> {
        let rollout = self.rollouts.of_mut(&demand.service)?;
        let side = rollout.side(&self.engines.get(&scored.id)?.back_end);
        rollout.on_sent(side);
        let expected = match &demand.prompt {
            Some(_) => {
                let estimator = self.first_events.get(&demand.service).copied().unwrap_or_default();
                Duration::from_secs_f64(estimator.estimate(scored.work_ahead) / 1e3)
            }
            None => PLAIN_EXPECTED_TIME,
        };
        Some(RolloutRequest { side, route: demand.route, expected, taken: None })
    }

    /// Records the response of a request that is part of a roll-out.
    pub(super) fn record_release_end(
        &mut self,
        now: Timestamp,
        running: &Running,
        outcome: Result<(), Option<Fault>>,
    ) {
        let Some(request) = running.rollout_request else { return };
        let Some(engine) = self.engines.get(&running.back_end) else { return };
        let Some(rollout) = self.rollouts.of_mut(&engine.back_end.service) else { return };
        let answer = match (outcome, request.taken) {
            (Err(Some(Fault::Full | Fault::Replaced | Fault::Unreachable)), _) => return,
            (Err(Some(Fault::Broken | Fault::Failure)), _) => AnswerOutcome::Failed,
            // For a cancelled request, the time that the caller waited counts as its latency.
            (Ok(()) | Err(None), taken) => {
                let taken = taken.unwrap_or_else(|| now.since(running.sent));
                AnswerOutcome::Answered(request.relative_to_expected(taken))
            }
        };
        rollout.on_answer(request.route, request.side, answer);
    }
}
