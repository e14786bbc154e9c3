//! Whether a version is bad: compared with those beside it, at the same time and on the same routes.
//!
//! A bad day of everyone is no bad version, so the share of bad answers of the other versions is what is expected of this one.

use super::counts::{ReleaseCounts, ReleaseReport};

/// What the counts say of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CanaryEvaluation {
    /// It answers worse than the versions beside it.
    Bad,
    /// It answers as they do.
    Good,
    /// It has not answered often enough to tell.
    Unclear,
}

/// Standard deviations above what is expected from which on bad answers are no chance. Counts are looked at a dozen times a second on a
/// few routes.
const DEVIATIONS: f64 = 3.5;
/// Bad answers beyond what is expected and its deviations: a few may come together by one cause that is not the version.
const LEAST_EXCESS: f64 = 4.0;
/// Share of bad answers expected where the other versions have answered too little to tell.
const PRIOR_SHARE: f64 = 0.05;
/// Answers that this expectation weighs as much as.
const PRIOR_ANSWERS: f64 = 20.0;
/// Answers from which on a version without a sign of badness counts as good.
const ENOUGH_ANSWERS: u32 = 20;

/// Judges an order by the reports on it: over all routes and on each of them.
pub fn judge(reports: &[&ReleaseReport]) -> CanaryEvaluation {
    let mut all = ReleaseCounts::default();
    reports.iter().for_each(|report| all.add(report.counts));
    let is_bad_on_one = reports.iter().any(|report| is_bad(report.counts));
    if is_bad_on_one || is_bad(all) {
        CanaryEvaluation::Bad
    } else if all.canary.answers >= ENOUGH_ANSWERS {
        CanaryEvaluation::Good
    } else {
        CanaryEvaluation::Unclear
    }
}

fn is_bad(ReleaseCounts { baseline, canary }: ReleaseCounts) -> bool {
    let answers = f64::from(canary.answers);
    let share = (f64::from(baseline.bad) + PRIOR_SHARE * PRIOR_ANSWERS)
        / (f64::from(baseline.answers) + PRIOR_ANSWERS);
    let expected = answers * share;
    let deviation = (answers * share * (1.0 - share).max(0.0)).sqrt();
    f64::from(canary.bad) > expected + DEVIATIONS * deviation + LEAST_EXCESS
}
