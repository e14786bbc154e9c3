//! The fleet's configuration: tenants, services and back ends, declared in a directory of INI files
//! and applied as a whole.
//!
//! - [`load_directory`] reads and validates a directory and reports all faults together.
//! - [`FleetConfiguration::to_parts`] splits a configuration into immutable parts named by their
//!   hash, so that a small change creates few new parts; a [`Root`] lists the parts of a
//!   generation.
//! - [`differences`] compares two configurations for operators.

mod difference;
mod fleet;
mod load;
mod parts;

pub use difference::{ChangeKind, Difference, Subject, differences};
pub use fleet::{
    Backend, ClaimPolicy, FleetConfiguration, KeyDigest, KeyDigestError, Service, ServiceKind,
    Tenant,
};
pub use load::{DirectoryError, load_directory, load_documents};
pub use parts::{AssembleError, Generation, Part, PartHash, Root};

#[cfg(test)]
mod tests;
