//! The fleet's configuration: tenants, services and back ends, declared in a directory of INI files
//! and applied as a whole.
//!
//! - [`load_directory`] reads and checks a directory and reports every fault at once.
//! - [`FleetConfiguration::to_parts`] cuts a configuration into immutable parts named by their hash,
//!   so that a small change makes few new parts; a [`Root`] lists them under a generation number.
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
