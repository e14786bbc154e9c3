//! The seams toward callers and back ends: what a dialect reads from messages and writes into them.

use derive_more::{Display, Error};
use hyper::header::HeaderMap;
use hyper::{StatusCode, http};
use mastbay_routing::Prompt;
use std::time::Duration;

pub use crate::retry_after::{RetryAfter, RetryAfterError, read_retry_after, retry_after_of};

/// What a caller's request says beside its method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's name for this request.
    pub request_id: String,
    /// Time that the caller waits.
    pub time_left: Option<Duration>,
    /// The key that it presents.
    pub key: Option<String>,
    /// Its prompt, if it is for a model.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has, if it takes a stream up again.
    pub last_event: Option<u64>,
}

/// A request that cannot be understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum MalformedRequest {
    /// It carries no name.
    #[display("the request carries no id")]
    NoId,
    /// A header is not what it should be.
    #[display("the header {name} is malformed")]
    Header {
        /// The header.
        #[error(not(source))]
        name: &'static str,
    },
}

/// What a router itself tells a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OwnAnswer {
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// No route serves it.
    #[display("no_route")]
    NoRoute,
    /// Its key is missing or unknown.
    #[display("unknown_key")]
    UnknownKey,
    /// Its body is too large.
    #[display("too_large")]
    TooLarge,
    /// It has not run and will not; the caller may come back after the time given.
    #[display("not_run")]
    NotRun {
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// It may have run; no answer came.
    #[display("unknown_outcome")]
    UnknownOutcome,
    /// It may have run; its time is over.
    #[display("out_of_time")]
    OutOfTime,
}

impl OwnAnswer {
    /// The status that goes with it.
    pub fn status(self) -> StatusCode {
        match self {
            OwnAnswer::Malformed => StatusCode::BAD_REQUEST,
            OwnAnswer::NoRoute => StatusCode::NOT_FOUND,
            OwnAnswer::UnknownKey => StatusCode::UNAUTHORIZED,
            OwnAnswer::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            OwnAnswer::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            OwnAnswer::UnknownOutcome => StatusCode::BAD_GATEWAY,
            OwnAnswer::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// What callers speak.
pub trait CallerDialect {
    /// Reads a request's head.
    ///
    /// # Errors
    /// If the head does not follow the dialect.
    fn read(&self, head: &http::request::Parts) -> Result<CallerHead, MalformedRequest>;

    /// Headers of an answer that the router gives itself.
    fn own_headers(&self, request_id: Option<&str>, answer: OwnAnswer) -> HeaderMap;
}

/// What is told to a back end about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingCall<'a> {
    /// The back end that the request is meant for.
    pub back_end: &'a str,
    /// Time that is left.
    pub time_left: Duration,
    /// The tenant, if the request presented a key.
    pub tenant: Option<&'a str>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request ran, and this is its answer.
    Answer,
    /// The request did not run, since there is no room.
    NotRunFull,
    /// The request did not run, since another life of a back end has the address.
    NotRunReplaced,
    /// The answer belongs to another request.
    Foreign,
}

/// What the head of an answer says of the back end that gave it, whatever became of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackEndNotice {
    /// It ends soon and takes nothing new.
    pub is_draining: bool,
    /// Time for which it asks this router for no further requests; absent unless it turned the request away.
    pub retry_after: RetryAfter,
}

/// What back ends speak.
pub trait BackEndDialect {
    /// The end-to-end headers of a request to a back end, from those that the caller sent.
    fn outgoing(&self, caller: &HeaderMap, call: &OutgoingCall<'_>) -> HeaderMap;

    /// What the head of an answer to the request `request_id` says.
    fn classify(&self, request_id: &str, head: &http::response::Parts) -> AnswerKind;

    /// What the head of an answer to the request `request_id` says of its back end; nothing unless it is surely the back end's answer to
    /// this request.
    fn notice(&self, request_id: &str, head: &http::response::Parts) -> BackEndNotice;

    /// The number of an event of a stream, if it has one.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
}
