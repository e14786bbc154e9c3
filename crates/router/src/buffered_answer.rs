//! Buffers complete answers within the memory budget for bodies.
//!
//! An answer of known length is not read until its memory is reserved. The reservation is held
//! until the caller has received the answer.

use crate::body_budget::{BodyBudget, BodyReservation, MAX_UNRESERVED_ANSWER, NO_MEMORY};
use crate::reserved_buffer::{ReserveBodyError, ReservedBody, ReservedBuffer};
use crate::runtime::Runtime;
use hyper::StatusCode;
use hyper::body::Body;
use mastbay_web::MeteredBody;
use std::time::Duration;

/// Maximum size of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum size of the body of an error, in bytes. Many may come at once.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Time between two attempts to reserve memory.
const RESERVE_INTERVAL: Duration = Duration::from_millis(10);

/// Why an answer was not received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferedAnswerError {
    /// The connection failed, or the answer exceeds the maximum size.
    Broken,
    /// The budget has not enough free memory, or is smaller than the answer.
    NoMemory,
}

impl BufferedAnswerError {
    /// Returns the error's name in logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Broken => "answer_broke_off",
            Self::NoMemory => NO_MEMORY,
        }
    }
}

impl From<ReserveBodyError> for BufferedAnswerError {
    fn from(error: ReserveBodyError) -> Self {
        match error {
            ReserveBodyError::TooLarge | ReserveBodyError::Broken => Self::Broken,
            ReserveBodyError::NoMemory => Self::NoMemory,
        }
    }
}

/// Returns the maximum size of the body of an answer, in bytes.
fn max_bytes(status: StatusCode) -> usize {
    if status.is_success() { MAX_ANSWER_BYTES } else { MAX_ERROR_BYTES }
}

/// Reads the body of an answer with `status`. For a large one of known length, waits for free memory without a
/// timeout; callers of this function have to bound the wait.
///
/// # Errors
/// If the body is incomplete, too large, or does not fit into the budget. A body of unknown length
/// does not wait for memory, since several partly read ones could wait for each other forever.
pub async fn read_answer(
    runtime: Runtime,
    budget: &BodyBudget,
    status: StatusCode,
    body: MeteredBody,
) -> Result<ReservedBody, BufferedAnswerError> {
    let max_bytes = max_bytes(status);
    let buffer = match body.size_hint().exact() {
        Some(length) if length > max_bytes as u64 => {
            return Err(BufferedAnswerError::Broken);
        }
        Some(length) if length > MAX_UNRESERVED_ANSWER => {
            let reservation = wait_for_memory(runtime, budget, length).await?;
            let buffer = ReservedBuffer::with_reservation(max_bytes, reservation);
            buffer.allocate(length as usize)
        }
        _ => ReservedBuffer::new(max_bytes, MAX_UNRESERVED_ANSWER),
    };
    Ok(buffer.read(budget, body).await?)
}

/// Reserves memory, waiting until enough is free.
async fn wait_for_memory(
    runtime: Runtime,
    budget: &BodyBudget,
    length: u64,
) -> Result<BodyReservation, BufferedAnswerError> {
    if length > budget.capacity() {
        return Err(BufferedAnswerError::NoMemory);
    }
    loop {
        if let Some(reservation) = budget.try_reserve(Some(length)) {
            return Ok(reservation);
        }
        runtime.sleep(RESERVE_INTERVAL).await;
    }
}
