//! Reads the bodies of requests within the memory budget for bodies.

use crate::body_budget::BodyBudget;
use crate::reserved_buffer::{ReserveBodyError, ReservedBody, ReservedBuffer};
use hyper::body::Body;
use mastbay_web::MeteredBody;

/// Reads a whole body of at most `limit` bytes. Memory is reserved before: all of it if the length
/// is known, otherwise a part, and more as the body arrives.
///
/// # Errors
/// If the body is too large, is incomplete, or has no room in the budget.
pub async fn read_request_body(
    budget: &BodyBudget,
    body: MeteredBody,
    limit: usize,
) -> Result<ReservedBody, ReserveBodyError> {
    let length = body.size_hint().exact();
    let reservation = budget.try_reserve(length).ok_or(ReserveBodyError::NoMemory)?;
    let buffer = ReservedBuffer::new(limit, reservation);
    buffer.allocate(length.unwrap_or_default() as usize).read(budget, body).await
}
