//! How a request ended.

use derive_more::Display;
use mastbay_routing::BackEndId;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum OutcomeKind {
    /// With a whole answer of a back end.
    #[display("answered")]
    Answered,
    /// With a whole stream.
    #[display("streamed")]
    Streamed,
    /// With a stream that broke off.
    #[display("broken_off")]
    BrokenOff,
    /// With an answer of the router's own.
    #[display("given_up")]
    GivenUp,
    /// Its caller went away.
    #[display("caller_gone")]
    CallerGone,
}

/// How a request ended, with what is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The kind.
    pub kind: OutcomeKind,
    /// The status that the caller was told, 0 if none.
    pub status: u16,
    /// Why, if it did not end well.
    pub reason: &'static str,
    /// The back end that it ended at.
    pub back_end: Option<BackEndId>,
    /// Events passed on.
    pub events: u64,
}

impl Outcome {
    /// An outcome of which only the kind is known.
    pub fn new(kind: OutcomeKind) -> Self {
        Self { kind, status: 0, reason: "", back_end: None, events: 0 }
    }

    /// Whether its caller got what it asked for.
    pub fn is_success(&self) -> bool {
        matches!(self.kind, OutcomeKind::Answered | OutcomeKind::Streamed) && self.status < 500
    }

    /// With the status told to the caller.
    pub fn status(self, status: u16) -> Self {
        Self { status, ..self }
    }

    /// With the reason.
    pub fn because(self, reason: &'static str) -> Self {
        Self { reason, ..self }
    }

    /// With the back end.
    pub fn at(self, back_end: &BackEndId) -> Self {
        Self { back_end: Some(back_end.clone()), ..self }
    }

    /// With the number of events.
    pub fn events(self, events: u64) -> Self {
        Self { events, ..self }
    }
}
