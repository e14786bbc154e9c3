//! Weighted rendezvous hashing: an engine ranks first for a share of the prefixes in proportion to
//! its weight.

use std::cmp::{Ordering, Reverse};

/// Exponent of the speed in an engine's weight. Above 1, since a long prompt that is prefilled at a
/// slow engine also delays the streams there.
const SPEED_EXPONENT: f64 = 1.5;
/// Bounds on the speed in weights and costs, so that a wrong estimate neither idles an engine nor
/// gives it all prefixes.
pub const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Number of 64-bit hashes, as a float.
const HASHES: f64 = 18_446_744_073_709_551_616.0;

/// Returns the weight of an engine of the given speed; 1 is the mean engine.
pub fn rank_weight(speed: f64) -> f64 {
    speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1).powf(SPEED_EXPONENT)
}

/// Position of an engine in the order of one prefix: the smallest score ranks first.
#[derive(Debug, Clone, Copy)]
pub struct RankScore {
    /// -ln(u) / weight, with u in (0, 1) from the hash; 0 in an order without weights.
    distance: f64,
    hash: u64,
}

impl RankScore {
    /// Returns the score in an order without weights, in which the largest hash ranks first.
    pub fn plain(hash: u64) -> Self {
        Self { distance: 0.0, hash }
    }

    /// Returns the score of an engine of positive weight. Equal weights give the plain order.
    pub fn weighted(hash: u64, weight: f64) -> Self {
        Self { distance: -(-complement(hash)).ln_1p() / weight, hash }
    }

    /// Returns whether this score certainly precedes that of `hash` and `weight`. Cheaper than
    /// computing the latter, and true for most engines of a large service.
    pub fn certainly_precedes(self, hash: u64, weight: f64) -> bool {
        // -ln(1 - x) is at least x.
        self.distance < complement(hash) / weight
    }
}

/// Returns 1 - u, which is more precise than u for the largest hashes.
fn complement(hash: u64) -> f64 {
    ((!hash) as f64 + 0.5) / HASHES
}

impl Ord for RankScore {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_distance = self.distance.total_cmp(&other.distance);
        by_distance.then(Reverse(self.hash).cmp(&Reverse(other.hash)))
    }
}

impl PartialOrd for RankScore {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankScore {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankScore {}
