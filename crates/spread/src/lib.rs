//! Propagation of accepted configurations to all processes, with monotonic generations.
//!
//! The root object in the platform is the source of truth. A few processes watch it. The others
//! learn of a higher generation from any peer message and fetch the root and the missing parts from
//! that peer. A process installs a root only if its generation is higher than the one in force, so
//! stale reads and delayed messages have no effect. A starting process queries the platform and its
//! peers, and is not ready before it has installed the highest generation they reported.

mod message;
mod spread;

pub use message::SpreadMessage;
pub use spread::{Action, Readiness, Source, Spread, SpreadConfig};

#[cfg(test)]
mod tests;
