//! Parsing of the `Retry-After` header in back ends' answers.
//!
//! Only a number of seconds is accepted, with or without a fraction. A date would depend on the
//! clocks of two machines.

use derive_more::{Display, Error};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{StatusCode, http};
use std::time::Duration;

/// Longer times are reduced to this one; the back end can repeat the header.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);

/// The content of the `Retry-After` header of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryAfter {
    /// There is no such header, or it does not apply to the status.
    #[default]
    Absent,
    /// The time until the next request may be sent, one hour at most.
    After(Duration),
    /// The header has no valid value.
    Malformed(RetryAfterError),
}

/// Why the value of a `Retry-After` header is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RetryAfterError {
    /// The value is not a number.
    #[display("not_a_number")]
    NotANumber,
    /// The value is negative or not finite.
    #[display("out_of_range")]
    OutOfRange,
}

/// Reads the header of an answer with status 429 or 503. With any other status the header does not
/// limit further requests, and the result is [`RetryAfter::Absent`].
pub fn retry_after_of(head: &http::response::Parts) -> RetryAfter {
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            read_retry_after(&head.headers)
        }
        _ => RetryAfter::Absent,
    }
}

/// Reads the header, whatever the status. Of several values, the longest valid one is returned; an
/// error only if none is valid.
pub fn read_retry_after(headers: &HeaderMap) -> RetryAfter {
    let mut read = RetryAfter::Absent;
    for value in headers.get_all(RETRY_AFTER) {
        let seconds = value.to_str().map_err(|_| RetryAfterError::NotANumber).and_then(parse);
        read = match (read, seconds) {
            (RetryAfter::After(known), Ok(after)) => RetryAfter::After(known.max(after)),
            (_, Ok(after)) => RetryAfter::After(after),
            (RetryAfter::Absent, Err(error)) => RetryAfter::Malformed(error),
            (read, Err(_)) => read,
        };
    }
    read
}

fn parse(text: &str) -> Result<Duration, RetryAfterError> {
    let seconds: f64 = text.trim().parse().map_err(|_| RetryAfterError::NotANumber)?;
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(RetryAfterError::OutOfRange);
    }
    Ok(Duration::from_secs_f64(seconds.min(MAX_BACKOFF.as_secs_f64())))
}
