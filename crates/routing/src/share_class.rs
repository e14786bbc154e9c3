//! Classes of tenants by their usage relative to their fair share.

/// A tenant's usage relative to its max-min fair share of the capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareClass {
    /// Up to half of the fair share.
    BelowHalf,
    /// Above half of the fair share, up to all of it.
    BelowShare,
    /// Above the fair share.
    AboveShare,
}
