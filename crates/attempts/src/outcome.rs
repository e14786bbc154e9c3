//! Outcomes of requests and their reasons, with stable codes for callers.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Outcome of a request as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer was sent to the caller.
    #[display("answered")]
    Answered,
    /// The request did not run and never will.
    #[display("not-run")]
    NotRun(NotRunReason),
    /// The request may have run.
    #[display("unknown")]
    Unknown(UnknownReason),
}

impl Outcome {
    /// Returns the stable code of the reason.
    pub fn code(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun(reason) => reason.code(),
            Outcome::Unknown(reason) => reason.code(),
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Outcome::Answered => 200,
            Outcome::NotRun(reason) => reason.status(),
            Outcome::Unknown(reason) => reason.status(),
        }
    }
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The key is missing or unknown.
    #[display("the key is missing or not known")]
    Unauthorized,
    /// The service does not exist.
    #[display("no such service")]
    UnknownService,
    /// The request is malformed.
    #[display("the request cannot be understood")]
    BadRequest,
    /// The body is larger than allowed.
    #[display("the body is larger than allowed")]
    BodyTooLarge,
    /// Too many requests of the tenant are waiting at this gateway.
    #[display("too many requests of this tenant are waiting")]
    QueueFull,
    /// The deadline passed before the request was sent to a back end.
    #[display("the deadline passed before the request could be sent")]
    DeadlinePassed,
    /// All attempts to reach a back end failed.
    #[display("no back end could be reached")]
    NoBackend,
    /// This gateway is shutting down.
    #[display("this gateway is stopping")]
    Stopping,
    /// Claims cannot be stored at present.
    #[display("claims for idempotency keys cannot be kept just now")]
    ClaimsUnavailable,
    /// This gateway has no configuration yet.
    #[display("no configuration is in force here yet")]
    NotConfigured,
    /// The caller disconnected while its request was waiting.
    #[display("the caller went away")]
    CallerGone,
}

impl NotRunReason {
    /// Returns the stable code.
    pub fn code(self) -> &'static str {
        match self {
            NotRunReason::Unauthorized => "unauthorized",
            NotRunReason::UnknownService => "unknown_service",
            NotRunReason::BadRequest => "bad_request",
            NotRunReason::BodyTooLarge => "body_too_large",
            NotRunReason::QueueFull => "queue_full",
            NotRunReason::DeadlinePassed => "deadline_passed",
            NotRunReason::NoBackend => "no_backend",
            NotRunReason::Stopping => "stopping",
            NotRunReason::ClaimsUnavailable => "claims_unavailable",
            NotRunReason::NotConfigured => "not_configured",
            NotRunReason::CallerGone => "caller_gone",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            NotRunReason::Unauthorized => 401,
            NotRunReason::UnknownService => 404,
            NotRunReason::BadRequest => 400,
            NotRunReason::BodyTooLarge => 413,
            NotRunReason::QueueFull => 429,
            NotRunReason::DeadlinePassed => 504,
            NotRunReason::NoBackend
            | NotRunReason::Stopping
            | NotRunReason::ClaimsUnavailable
            | NotRunReason::NotConfigured => 503,
            NotRunReason::CallerGone => 499,
        }
    }

    /// Returns the time after which the caller may retry; longest for requests that are invalid.
    pub fn retry_after(self) -> Duration {
        let seconds = match self {
            NotRunReason::Stopping | NotRunReason::NotConfigured | NotRunReason::CallerGone => 1,
            NotRunReason::NoBackend | NotRunReason::QueueFull => 2,
            NotRunReason::ClaimsUnavailable | NotRunReason::DeadlinePassed => 5,
            NotRunReason::Unauthorized
            | NotRunReason::UnknownService
            | NotRunReason::BadRequest
            | NotRunReason::BodyTooLarge => 60,
        };
        Duration::from_secs(seconds)
    }
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The back end failed after part of the request was sent.
    #[display("the back end failed after the request was sent to it")]
    BackendFailed,
    /// The deadline passed while the request was running.
    #[display("the deadline passed while the request ran")]
    DeadlinePassed,
    /// An earlier request with this idempotency key may have run.
    #[display("an earlier request with this idempotency key was taken up; it may have run")]
    Duplicate,
    /// An earlier request with this idempotency key ran and was answered.
    #[display("an earlier request with this idempotency key has run and was answered")]
    AlreadyAnswered,
    /// The answer of the back end had the identifier of another request.
    #[display("the back end answered another request")]
    AnswerMismatch,
    /// The caller disconnected while its request was running.
    #[display("the caller went away")]
    CallerGone,
}

impl UnknownReason {
    /// Returns the stable code.
    pub fn code(self) -> &'static str {
        match self {
            UnknownReason::BackendFailed => "backend_failed",
            UnknownReason::DeadlinePassed => "deadline_passed_while_running",
            UnknownReason::Duplicate => "duplicate_request",
            UnknownReason::AlreadyAnswered => "already_answered",
            UnknownReason::AnswerMismatch => "answer_mismatch",
            UnknownReason::CallerGone => "caller_gone_while_running",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            UnknownReason::BackendFailed | UnknownReason::AnswerMismatch => 502,
            UnknownReason::DeadlinePassed => 504,
            UnknownReason::Duplicate | UnknownReason::AlreadyAnswered => 409,
            UnknownReason::CallerGone => 499,
        }
    }
}

/// Failure of an attempt at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Failure {
    /// The connection could not be opened.
    #[display("connect")]
    Connect,
    /// The connection was lost, or the answer was incomplete or violated the protocol.
    #[display("broken")]
    Broken,
    /// The answer belongs to another request.
    #[display("mismatch")]
    Mismatch,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The caller disconnected.
    #[display("caller-gone")]
    CallerGone,
    /// This gateway is shutting down.
    #[display("stopping")]
    Stopping,
}
