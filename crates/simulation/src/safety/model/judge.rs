//! What must hold in the end.

use super::super::plan::Promise;
use super::{Model, Told, Verdict, Violation};
use mastbay_attempts::Outcome;

impl Model<'_> {
    pub(super) fn judge(self) -> Verdict {
        let mut violations = Vec::new();
        let once = matches!(self.plan.promise, Promise::ClaimRequired | Promise::NoKey);
        let total = self.backend.total_runs();
        if once && total > 1 {
            violations.push(Violation::OperationRan { times: total });
        }
        for (number, sending) in self.sendings.iter().enumerate() {
            let runs = self.backend.runs_of(sending.id);
            match sending.told {
                Some(Told::Outcome(Outcome::NotRun(_))) if runs > 0 => {
                    violations.push(Violation::ToldNotRunAndRan { sending: number });
                }
                Some(Told::Outcome(Outcome::Answered)) if runs == 0 => {
                    violations.push(Violation::AnsweredAndNeverRan { sending: number });
                }
                None if self.gateways[sending.gateway].alive => {
                    violations.push(Violation::NeverTold { sending: number });
                }
                _ => {}
            }
            if runs > 1 && self.plan.promise != Promise::Repeatable {
                violations.push(Violation::SendingRan { sending: number, times: runs });
            }
        }
        let reached = self.begun.iter().all(|begun| *begun);
        let told = self.sendings.iter().map(|sending| sending.told).collect();
        Verdict { violations, reached, told }
    }
}
