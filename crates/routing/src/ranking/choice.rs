//! How an engine was found for a request.

use crate::back_end::BackEndId;
use derive_more::Display;

/// Speeds that differ by more than this factor count as different. Between two steps of an
/// estimate.
const SPEED_TOLERANCE: f64 = 1.1;

/// How a back end was found for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum EngineChoice {
    /// Rank in the order of the prompt's shared prefix; 0 is the first.
    #[display("{_0}")]
    Rank(usize),
    /// Outside that order, because no ranked engine had capacity.
    #[display("overflow")]
    Overflow,
    /// Without regard to an order, such as a plain back end.
    #[display("none")]
    Unranked,
}

impl EngineChoice {
    /// Returns the position of a back end in a ranking.
    pub fn of(ranking: &[BackEndId], id: &BackEndId) -> Self {
        ranking.iter().position(|ranked| ranked == id).map_or(Self::Unranked, Self::Rank)
    }
}

/// Returns whether engines of these speeds are worth telling apart.
pub fn are_unequal(speeds: impl Iterator<Item = f64>) -> bool {
    let bounds =
        speeds.fold((f64::INFINITY, 0.0_f64), |(min, max), speed| (min.min(speed), max.max(speed)));
    bounds.1 > bounds.0 * SPEED_TOLERANCE
}
