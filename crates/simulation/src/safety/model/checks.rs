//! Checks of the invariants at the end of a run.

use super::super::plan::Promise;
use super::{CallerResult, Model, RunResult, Violation};
use mastbay_attempts::Outcome;

impl Model<'_> {
    pub(super) fn check(self) -> RunResult {
        let mut violations = Vec::new();
        let once = matches!(self.plan.promise, Promise::ClaimRequired | Promise::NoKey);
        let total = self.backend.total_runs();
        if once && total > 1 {
            violations.push(Violation::OperationRan { times: total });
        }
        for (number, sending) in self.sendings.iter().enumerate() {
            let runs = self.backend.runs_of(sending.id);
            match sending.reported {
                Some(CallerResult::Outcome(Outcome::NotRun(_))) if runs > 0 => {
                    violations.push(Violation::ReportedNotRunButRan { sending: number });
                }
                Some(CallerResult::Outcome(Outcome::Answered)) if runs == 0 => {
                    violations.push(Violation::AnsweredButNeverRan { sending: number });
                }
                None if self.gateways[sending.gateway].alive => {
                    violations.push(Violation::NoResult { sending: number });
                }
                _ => {}
            }
            if runs > 1 && self.plan.promise != Promise::Repeatable {
                violations.push(Violation::SendingRan { sending: number, times: runs });
            }
        }
        let reached = self.injected.iter().all(|injected| *injected);
        let reported = self.sendings.iter().map(|sending| sending.reported).collect();
        RunResult { violations, reached, reported }
    }
}
