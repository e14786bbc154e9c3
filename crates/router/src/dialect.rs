//! The protocol abstraction toward callers and back ends. A dialect maps between the headers of a
//! protocol and the information that the router needs.

use derive_more::{Display, Error};
use hyper::header::HeaderMap;
use hyper::{StatusCode, http};
use mastbay_routing::Prompt;
use std::net::SocketAddr;
use std::time::Duration;

pub use crate::resumption_headers::ResumptionHeaders;
pub use crate::retry_after::{RetryAfter, RetryAfterError, read_retry_after, retry_after_of};

/// The information in the headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// The request's ID, assigned by the caller.
    pub request_id: String,
    /// Time that the caller waits for the answer; `None` means that the route's timeout applies.
    pub time_left: Option<Duration>,
    /// The tenant's key, if the request carries one.
    pub key: Option<String>,
    /// The size and parts of the prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// The number of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The ID of the request that brought the first event of the resumed stream, if the caller names
    /// it.
    pub resumed_request: Option<String>,
}

impl CallerHead {
    /// Returns whether the request resumes a stream.
    pub fn resumes_stream(&self) -> bool {
        self.last_event.is_some() || self.resumed_request.is_some()
    }
}

/// Why the head of a request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum MalformedRequest {
    /// The request ID is missing.
    #[display("the request carries no id")]
    NoId,
    /// The value of a header is invalid.
    #[display("the header {name} is malformed")]
    Header {
        /// The name of the header.
        #[error(not(source))]
        name: &'static str,
    },
}

/// An answer that the router generates itself instead of relaying one from a back end. The
/// displayed names are the bodies of these answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OwnAnswer {
    /// The request is malformed, or its body was not received completely in time.
    #[display("malformed")]
    Malformed,
    /// No route matches the request's host and path.
    #[display("no_route")]
    NoRoute,
    /// The route requires a tenant's key, and the request's key is missing or unknown.
    #[display("unknown_key")]
    UnknownKey,
    /// The body exceeds the configured limit.
    #[display("too_large")]
    TooLarge,
    /// The request has not run and will not. The caller may retry it.
    #[display("not_run")]
    NotRun {
        /// Time after which the caller may retry, if it is known.
        retry_after: Option<Duration>,
    },
    /// The request may have run, but no answer was received.
    #[display("unknown_outcome")]
    UnknownOutcome,
    /// The request may have run, but its deadline passed.
    #[display("out_of_time")]
    OutOfTime,
}

impl OwnAnswer {
    /// Returns the status code of the answer.
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

/// A protocol between callers and the router.
pub trait CallerDialect {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// If the request ID is missing or a header is malformed.
    fn read(&self, head: &http::request::Parts) -> Result<CallerHead, MalformedRequest>;

    /// Returns the headers of an answer that the router generates. The request ID is `None` if it
    /// could not be read.
    fn own_headers(&self, request_id: Option<&str>, answer: OwnAnswer) -> HeaderMap;
}

/// The information that a dialect adds to a request for a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingCall<'a> {
    /// The name of the back end that the request is addressed to.
    pub back_end: &'a str,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// The tenant's name, if the request carried a valid key.
    pub tenant: Option<&'a str>,
    /// The number of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<u64>,
    /// Address of another back end from which it can fetch the beginning of the prompt.
    pub prefix_source: Option<SocketAddr>,
}

/// The classes of answers from back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request ran, and this is the answer to it.
    Answer,
    /// The request did not run because the back end has no capacity.
    NotRunFull,
    /// The request did not run because another incarnation of a back end now has the address.
    NotRunReplaced,
    /// The answer cannot be attributed to the request.
    Foreign,
}

/// The information about a back end's state in the head of an answer, whatever the request's
/// outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackEndNotice {
    /// The back end is shutting down and accepts no new requests.
    pub is_draining: bool,
    /// Time during which this router should send no further requests. Only set by answers that
    /// reject the request.
    pub retry_after: RetryAfter,
}

/// A protocol between the router and back ends.
pub trait BackEndDialect {
    /// Returns the headers of a request to a back end, derived from those that the caller sent.
    /// Hop-by-hop headers are removed afterwards.
    fn outgoing(&self, caller: &HeaderMap, call: &OutgoingCall<'_>) -> HeaderMap;

    /// Classifies an answer to the request `request_id` by its head.
    fn classify(&self, request_id: &str, head: &http::response::Parts) -> AnswerKind;

    /// Returns the back end's state according to the head of an answer to the request `request_id`.
    /// The notice is empty unless the answer is certainly that back end's answer to this request.
    fn notice(&self, request_id: &str, head: &http::response::Parts) -> BackEndNotice;

    /// Returns the number of a stream's event, if it has one.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
}
