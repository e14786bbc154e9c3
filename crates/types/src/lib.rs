//! Types for identifiers, time and cost that are shared by all mastbay crates.
//!
//! The crate does no I/O. Time is always passed in: production code takes a [`Timestamp`] from the
//! monotonic clock, simulations from their event queue.

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
