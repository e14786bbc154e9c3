//! Buffers complete answers within the memory budget for bodies.
//!
//! An answer is not read further than memory is reserved for it. The reservation is held until the
//! caller has received the answer.

use crate::body_budget::{BodyBudget, BodyReservation, GrowingReservation, NO_MEMORY};
use crate::segmented_body::SegmentedBody;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body;
use mastbay_web::MeteredBody;
use std::collections::VecDeque;

/// Maximum size of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Maximum size of the body of an error, in bytes. Many may come at once.
const MAX_ERROR_BYTES: u64 = 64 << 10;
/// Size of the first segment of an answer, in bytes, for which nothing is reserved: it counts as
/// part of the connection.
const MAX_UNRESERVED_BYTES: usize = 4 << 10;
/// Size of the other segments, in bytes.
const SEGMENT_BYTES: usize = 32 << 10;

/// Why an answer was not received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferedAnswerError {
    /// The connection failed, or the answer exceeds the maximum size.
    Broken,
    /// The answer takes more of the budget than one may.
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

/// The complete body of an answer.
#[derive(Debug)]
pub struct BufferedAnswer {
    segments: VecDeque<Bytes>,
    /// The memory reserved for it; `None` for a small one.
    reservation: Option<BodyReservation>,
}

impl BufferedAnswer {
    /// Returns the body, which holds its memory until it is dropped.
    pub fn into_body(self) -> SegmentedBody<Option<BodyReservation>> {
        SegmentedBody::new(self.segments, self.reservation)
    }
}

/// Returns the maximum size of the body of an answer, in bytes.
fn max_bytes(status: StatusCode) -> u64 {
    if status.is_success() { MAX_ANSWER_BYTES } else { MAX_ERROR_BYTES }
}

/// Reads the body of an answer with `status`. Waits for free memory without a timeout; callers of
/// this function have to bound the wait.
///
/// # Errors
/// If the body is incomplete, too large, or does not fit into the budget.
pub async fn read_answer(
    budget: &BodyBudget,
    status: StatusCode,
    mut body: MeteredBody,
) -> Result<BufferedAnswer, BufferedAnswerError> {
    let length = body.size_hint().exact();
    let mut buffer = AnswerBuffer::new(budget, max_bytes(status), length);
    buffer.check_length()?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BufferedAnswerError::Broken)?;
        if let Ok(bytes) = frame.into_data() {
            buffer.append(bytes).await?;
        }
    }
    Ok(buffer.complete())
}

/// The part of an answer that was received.
struct AnswerBuffer<'a> {
    budget: &'a BodyBudget,
    /// Maximum size of the body, in bytes.
    max: u64,
    /// Length of the body; `None` if it is unknown.
    length: Option<u64>,
    received: u64,
    full_segments: VecDeque<Bytes>,
    last_segment: BytesMut,
    reservation: Option<GrowingReservation>,
    /// Bytes that are reserved and not allocated.
    spare: u64,
}

impl<'a> AnswerBuffer<'a> {
    fn new(budget: &'a BodyBudget, max: u64, length: Option<u64>) -> Self {
        Self {
            budget,
            max,
            length,
            received: 0,
            full_segments: VecDeque::new(),
            last_segment: BytesMut::new(),
            reservation: None,
            spare: 0,
        }
    }

    /// Checks whether an answer of known length can be received.
    fn check_length(&self) -> Result<(), BufferedAnswerError> {
        match self.length {
            Some(length) if length > self.max => Err(BufferedAnswerError::Broken),
            Some(length) if length > self.budget.capacity() => Err(BufferedAnswerError::NoMemory),
            _ => Ok(()),
        }
    }

    /// Returns the size up to which the answer is received. One of unknown length leaves half of the
    /// budget to the others while it grows, however slowly.
    fn largest(&self) -> u64 {
        self.length.unwrap_or_else(|| self.max.min(self.budget.capacity() / 2))
    }

    async fn append(&mut self, mut bytes: Bytes) -> Result<(), BufferedAnswerError> {
        let received = self.received + bytes.len() as u64;
        if received > self.max {
            return Err(BufferedAnswerError::Broken);
        }
        if received > self.largest() {
            return Err(BufferedAnswerError::NoMemory);
        }
        while !bytes.is_empty() {
            let room = self.last_segment.capacity() - self.last_segment.len();
            if room == 0 {
                self.add_segment(bytes.len()).await;
                continue;
            }
            let part = bytes.split_to(room.min(bytes.len()));
            self.last_segment.extend_from_slice(&part);
            self.received += part.len() as u64;
        }
        Ok(())
    }

    /// Adds an empty segment, of which at least `needed` bytes will be filled if it can hold them.
    async fn add_segment(&mut self, needed: usize) {
        let left = self.length.map(|length| length.saturating_sub(self.received) as usize);
        let is_first = self.last_segment.capacity() == 0;
        let size = match left {
            Some(left) => left.clamp(1, SEGMENT_BYTES),
            None if is_first => needed.min(MAX_UNRESERVED_BYTES),
            None => SEGMENT_BYTES,
        };
        if !is_first || size > MAX_UNRESERVED_BYTES {
            // All at once if the length is known.
            self.reserve(left.unwrap_or(size) as u64, size as u64).await;
        }
        let full = std::mem::replace(&mut self.last_segment, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full_segments.push_back(full.freeze());
        }
    }

    /// Reserves `size` bytes, and waits for `wanted` bytes if they have to be reserved anew.
    async fn reserve(&mut self, wanted: u64, size: u64) {
        if self.spare < size {
            let largest = self.largest();
            let reservation =
                self.reservation.get_or_insert_with(|| self.budget.begin_growing(largest));
            reservation.grow(wanted).await;
            self.spare += wanted;
        }
        self.spare -= size;
    }

    fn complete(mut self) -> BufferedAnswer {
        if !self.last_segment.is_empty() {
            self.full_segments.push_back(self.last_segment.freeze());
        }
        let reservation = self.reservation.take().map(GrowingReservation::complete);
        BufferedAnswer { segments: self.full_segments, reservation }
    }
}
