//! Evaluates a canary by comparing its bad answers with those of the other versions at the same
//! time and on the same routes, which excludes faults that affect all versions.

use super::counts::{ReleaseCounts, ReleaseReport};

/// Result of evaluating a canary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CanaryEvaluation {
    /// It answers significantly worse than the other versions.
    Bad,
    /// It answers as well as the other versions.
    Good,
    /// It has not answered enough requests.
    Unclear,
}

/// Standard deviations above the expected number of bad answers from which a canary is bad. High,
/// as the counts are tested many times a second on several routes.
const DEVIATIONS: f64 = 3.5;
/// Minimum number of bad answers beyond the expected number and its deviations. Tolerates a few
/// failures with a common cause outside the version.
const MIN_EXCESS: f64 = 8.0;
/// Prior fraction of bad answers, used while the other versions have few answers.
const PRIOR_FRACTION: f64 = 0.05;
/// Number of answers that the prior weighs as much as.
const PRIOR_ANSWERS: f64 = 20.0;
/// Minimum number of answers of a good canary.
const MIN_ANSWERS: u32 = 20;

/// Evaluates a canary by the reports on its order, both per route and over all routes.
pub fn evaluate_canary(reports: &[&ReleaseReport]) -> CanaryEvaluation {
    let mut all = ReleaseCounts::default();
    reports.iter().for_each(|report| all.add(report.counts));
    let is_bad_on_one = reports.iter().any(|report| is_bad(report.counts));
    if is_bad_on_one || is_bad(all) {
        CanaryEvaluation::Bad
    } else if all.canary.answers >= MIN_ANSWERS {
        CanaryEvaluation::Good
    } else {
        CanaryEvaluation::Unclear
    }
}

fn is_bad(ReleaseCounts { baseline, canary }: ReleaseCounts) -> bool {
    let answers = f64::from(canary.answers);
    let fraction = (f64::from(baseline.bad) + PRIOR_FRACTION * PRIOR_ANSWERS)
        / (f64::from(baseline.answers) + PRIOR_ANSWERS);
    let expected = answers * fraction;
    let deviation = (answers * fraction * (1.0 - fraction).max(0.0)).sqrt();
    f64::from(canary.bad) > expected + DEVIATIONS * deviation + MIN_EXCESS
}
