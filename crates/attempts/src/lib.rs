//! Attempts and outcome of a request.
//!
//! [`Exchange`] is the state machine of a request from its acceptance to its answer. It decides,
//! without I/O, whether the request is sent, retried or finished, and with which outcome:
//! *answered*, *not run* or *unknown*. Invariant: once a byte of a request that is not repeatable has
//! been sent to a back end, it is never sent again and never reported as not run.

mod budget;
mod exchange;
mod outcome;

pub use budget::RetryBudget;
pub use exchange::{Exchange, RequestPolicy, Stage, Step};
pub use outcome::{Failure, NotRunReason, Outcome, UnknownReason};

#[cfg(test)]
mod tests;
