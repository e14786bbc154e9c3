//! Why a back end did not take or answer a request, in enough detail for the log to tell a back end
//! that is gone from one that is slow and from a router that is late.

use crate::pool::PoolError;
use derive_more::Display;
use mastbay_routing::Fault;
use std::time::Duration;

/// What went wrong. The displayed names are values in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FailureCause {
    /// Connecting was refused or failed.
    #[display("unreachable")]
    Unreachable,
    /// Connecting took too long.
    #[display("connect_timeout")]
    ConnectTimeout,
    /// This router's limit of connections to the back end is reached.
    #[display("connection_limit")]
    ConnectionLimit,
    /// The back end stopped accepting requests or asked for a backoff after the placement.
    #[display("excluded")]
    Excluded,
    /// The request cannot be expressed in the back end's protocol.
    #[display("unsendable")]
    Unsendable,
    /// The connection closed before any byte was written.
    #[display("closed_before_send")]
    ClosedBeforeSend,
    /// The connection broke after bytes were written.
    #[display("broke_after_send")]
    BrokeAfterSend,
    /// The back end sent many bytes that are no head of an answer.
    #[display("excess_bytes")]
    ExcessBytes,
    /// No answer began within the silence timeout.
    #[display("silent")]
    Silent,
    /// The answer belongs to another request.
    #[display("foreign_answer")]
    ForeignAnswer,
    /// The back end answered that it has no capacity.
    #[display("rejected")]
    Rejected,
    /// The back end answered with an error instead of a stream.
    #[display("error_answer")]
    ErrorAnswer,
    /// Another incarnation of a back end has the address.
    #[display("replaced")]
    Replaced,
}

/// A failed attempt at one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TryFailure {
    /// The fault that counts against the back end.
    pub fault: Fault,
    /// What went wrong.
    pub cause: FailureCause,
}

impl TryFailure {
    /// Creates a failure.
    pub fn new(fault: Fault, cause: FailureCause) -> Self {
        Self { fault, cause }
    }
}

impl From<PoolError> for TryFailure {
    fn from(error: PoolError) -> Self {
        match error {
            PoolError::Exhausted => Self::new(Fault::Full, FailureCause::ConnectionLimit),
            PoolError::TimedOut => Self::new(Fault::Unreachable, FailureCause::ConnectTimeout),
            PoolError::Unreachable => Self::new(Fault::Unreachable, FailureCause::Unreachable),
        }
    }
}

/// Circumstances of a failed attempt, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TryCircumstances {
    /// Number of the request's placements at back ends so far, this one included.
    pub send: u32,
    /// Time since the attempt began.
    pub took: Duration,
    /// Whether the back end sent events or answers to other requests of this router meanwhile.
    pub has_responded: bool,
}
