//! Identifiers, time and cost shared by every mastbay crate.
//!
//! Nothing here does I/O. Time is always an argument: production code derives a [`Timestamp`] from
//! the monotonic clock, the simulation from its event queue.

mod cost;
mod identifier;
mod rendezvous;
mod time;

pub use cost::{Cost, Weight};
pub use identifier::{
    BackendName, CellId, Incarnation, ParseRequestIdError, ProcessId, RequestId, ServiceName,
    TenantName,
};
pub use rendezvous::{by_rendezvous, mixed_hash, ranks_before, short_hash, stable_hash};
pub use time::Timestamp;

#[cfg(test)]
mod tests;
