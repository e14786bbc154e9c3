//! Cost units and tenant weights.

use derive_more::{Add, AddAssign, Display, Sum};
use serde::{Deserialize, Serialize};

/// An amount of service, in the cost unit of its service: tokens for model services,
/// milliseconds of back-end time for plain services.
///
/// Signed, because a charge made from an estimate may be corrected downwards.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
pub struct Cost(pub i64);

impl Cost {
    /// Zero cost.
    pub const ZERO: Cost = Cost(0);

    /// Returns `self - other`, which is negative if `other` is larger.
    pub const fn minus(self, other: Cost) -> Cost {
        Cost(self.0 - other.0)
    }
}

/// A tenant's share relative to other tenants of a service; at least 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct Weight(u32);

impl Weight {
    /// Default weight of a tenant.
    pub const ONE: Weight = Weight(1);

    /// Creates a weight. Returns `None` for zero, as such a tenant would never be served.
    pub const fn new(value: u32) -> Option<Weight> {
        match value {
            0 => None,
            value => Some(Weight(value)),
        }
    }

    /// Returns the weight as a number, at least 1.
    pub const fn get(self) -> u32 {
        self.0
    }
}
