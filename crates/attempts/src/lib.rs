//! What may be done with one request, and what its caller may be told.
//!
//! [`Exchange`] is the state machine of a request from accept to answer. It decides, without doing
//! I/O, whether a request may be sent, sent again, or must end, and with which of the three
//! outcomes: *answered*, *not run* or *unknown*. Its one rule: once a byte of a request that may not
//! be repeated has gone to a back end, the request is never sent again and its caller is never told
//! that it was not run.

mod budget;
mod exchange;
mod outcome;

pub use budget::RetryBudget;
pub use exchange::{Exchange, Stage, Step, Terms};
pub use outcome::{Failure, NotRunReason, Outcome, UnknownReason};

#[cfg(test)]
mod tests;
