//! How a request ended, for logs and metrics.

use derive_more::Display;
use mastbay_routing::BackEndId;

/// The kinds of outcomes. The displayed names are label values of metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum OutcomeKind {
    /// A back end's complete answer was sent to the caller.
    #[display("answered")]
    Answered,
    /// A back end's complete stream was sent to the caller.
    #[display("streamed")]
    Streamed,
    /// The stream was aborted before its end.
    #[display("broken_off")]
    BrokenOff,
    /// The router answered the request itself.
    #[display("given_up")]
    GivenUp,
    /// The answer was complete here, and its connection ended before all of it was written.
    #[display("answer_unwritten")]
    AnswerUnwritten,
    /// The caller disconnected first.
    #[display("caller_gone")]
    CallerGone,
}

/// The outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The kind.
    pub kind: OutcomeKind,
    /// The status code sent to the caller, 0 if none was sent.
    pub status: u16,
    /// The reason of a failure, empty otherwise.
    pub reason: &'static str,
    /// The back end that the answer came from, if any.
    pub back_end: Option<BackEndId>,
    /// The number of events relayed to the caller.
    pub events: u64,
    /// Bytes written of the answer, with its head.
    pub written: u64,
}

impl Outcome {
    /// Creates an outcome without further details.
    pub fn new(kind: OutcomeKind) -> Self {
        Self { kind, status: 0, reason: "", back_end: None, events: 0, written: 0 }
    }

    /// Returns whether the caller got a complete answer with a status below 500.
    pub fn is_success(&self) -> bool {
        matches!(self.kind, OutcomeKind::Answered | OutcomeKind::Streamed) && self.status < 500
    }

    /// Sets the status code sent to the caller.
    pub fn with_status(self, status: u16) -> Self {
        Self { status, ..self }
    }

    /// Sets the reason of the failure.
    pub fn with_reason(self, reason: &'static str) -> Self {
        Self { reason, ..self }
    }

    /// Sets the back end.
    pub fn with_back_end(self, back_end: &BackEndId) -> Self {
        Self { back_end: Some(back_end.clone()), ..self }
    }

    /// Returns the outcome if the answer can't be written to its end.
    pub fn unwritten(self) -> Self {
        Self { kind: OutcomeKind::AnswerUnwritten, ..self }
    }

    /// Sets the number of bytes written.
    pub fn with_written(self, written: u64) -> Self {
        Self { written, ..self }
    }

    /// Sets the number of events relayed.
    pub fn with_events(self, events: u64) -> Self {
        Self { events, ..self }
    }
}
