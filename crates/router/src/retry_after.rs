//! The `Retry-After` header of a back end's answer.
//!
//! Only seconds are read, fractions too. A date would hang on two clocks that need not agree.

use derive_more::{Display, Error};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{StatusCode, http};
use std::time::Duration;

/// Longest time that is followed; a back end that wants more says so again.
const LONGEST_BACKOFF: Duration = Duration::from_secs(3_600);

/// What an answer says about when the next request may come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryAfter {
    /// Nothing.
    #[default]
    Absent,
    /// After this time.
    After(Duration),
    /// Something that can't be followed.
    Malformed(RetryAfterError),
}

/// A `Retry-After` that can't be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RetryAfterError {
    /// It is no number of seconds.
    #[display("not_a_number")]
    NotANumber,
    /// It is negative or not finite.
    #[display("out_of_range")]
    OutOfRange,
}

/// Reads the header of a refusal. In other answers it says nothing about when the next request may come.
pub fn retry_after_of(head: &http::response::Parts) -> RetryAfter {
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            read_retry_after(&head.headers)
        }
        _ => RetryAfter::Absent,
    }
}

/// Reads the header. Of several values the longest time counts, and one that can be followed before those that can't.
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
    Ok(Duration::from_secs_f64(seconds.min(LONGEST_BACKOFF.as_secs_f64())))
}
