//! How an accepted configuration reaches every process and never goes back.
//!
//! The platform's root object decides what is accepted. A few processes watch it; the others hear a
//! higher generation from any message of any peer and fetch the root and the parts they lack from
//! that peer. A process puts a root in force only if its generation is higher than the one in
//! force, so stale reads and late messages change nothing. A process that starts takes the highest
//! that the platform and its peers know, and serves nothing before it asked them.

mod message;
mod spread;

pub use message::SpreadMessage;
pub use spread::{Action, Readiness, Source, Spread, SpreadConfig};

#[cfg(test)]
mod tests;
