//! Transfer of prompt prefixes between engines.
//!
//! An engine can fetch the cached part of a prompt from another engine before it prefills the rest.
//! This module decides from which engine, and whether that is faster than prefilling again. A failed
//! transfer makes a first event later than predicted and has no other effect.

mod holders;
mod limits;
mod plan;
mod sources;

pub use holders::PrefixHolders;
pub use limits::TransferLimits;
pub use plan::{PlannedTransfer, Source, Target, plan};
pub use sources::TransferSources;
