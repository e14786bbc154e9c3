//! Reads the bodies of requests within the memory budget for bodies.

use crate::body_budget::{BodyBudget, BodyReservation};
use crate::call::Body;
use crate::reserved_buffer::{ReservedBuffer, ReservedBufferError};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

/// Why the body of a request was not received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestBodyError {
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body ended early or violated the protocol.
    Broken,
    /// The budget has not enough free memory for the rest.
    NoMemory,
}

impl From<ReservedBufferError> for RequestBodyError {
    fn from(error: ReservedBufferError) -> Self {
        match error {
            ReservedBufferError::TooLarge => Self::TooLarge,
            ReservedBufferError::NoMemory => Self::NoMemory,
        }
    }
}

/// Reads a whole body of at most `limit` bytes. `reservation` holds the memory for its beginning:
/// all of it if the length is known.
///
/// # Errors
/// If the body is too large, is incomplete, or has no room in the budget. What has been read and
/// reserved is released.
pub async fn read_request_body(
    budget: &BodyBudget,
    reservation: BodyReservation,
    mut body: Incoming,
    limit: usize,
) -> Result<Body, RequestBodyError> {
    let length = body.size_hint().exact().unwrap_or_default() as usize;
    let buffer = ReservedBuffer::with_reservation(limit, reservation);
    let mut buffer = buffer.allocate(length);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestBodyError::Broken)?;
        if let Some(bytes) = frame.data_ref() {
            buffer.append(budget, bytes)?;
        }
    }
    let (bytes, reservation) = buffer.finish();
    Ok(Body { bytes, reservation })
}
