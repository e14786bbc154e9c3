//! Reading a whole answer within the memory that bodies may take.
//!
//! An answer that is ready waits at its back end until there is room for it, and is held until its caller has read it.

use crate::body_budget::{BodyBudget, BodyReservation, NO_MEMORY, SMALL_ANSWER};
use crate::runtime::Runtime;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// Largest answer that is not a stream, in bytes.
const LARGEST: usize = 16 << 20;
/// Time between two looks for room.
const ROOM_PAUSE: Duration = Duration::from_millis(10);

/// A whole answer's body.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Its bytes.
    pub bytes: Bytes,
    /// Memory taken for it: none for a small one.
    pub share: Option<BodyReservation>,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WholeAnswerError {
    /// It broke off, or it is larger than any may be.
    Broken,
    /// It takes more memory than is left, or than there is.
    NoMemory,
}

impl WholeAnswerError {
    /// Its name in logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Broken => "answer_broke_off",
            Self::NoMemory => NO_MEMORY,
        }
    }
}

/// Reads an answer. One that tells its length waits for room, for as long as its request may take.
///
/// # Errors
/// If it did not come whole, or there is no memory for it. One that tells no length waits for none: several that are held in
/// part would wait for each other.
pub async fn read_whole(
    runtime: Runtime,
    budget: &BodyBudget,
    body: Incoming,
) -> Result<WholeAnswer, WholeAnswerError> {
    match body.size_hint().exact() {
        Some(length) if length > LARGEST as u64 => Err(WholeAnswerError::Broken),
        Some(length) if length > SMALL_ANSWER => {
            let share = room(runtime, budget, length).await?;
            let reading =
                Reading { held: BytesMut::with_capacity(length as usize), share: Some(share) };
            reading.read(budget, body).await
        }
        _ => Reading::default().read(budget, body).await,
    }
}

/// Waits for room, if there can be any.
async fn room(
    runtime: Runtime,
    budget: &BodyBudget,
    length: u64,
) -> Result<BodyReservation, WholeAnswerError> {
    if length > budget.most() {
        return Err(WholeAnswerError::NoMemory);
    }
    loop {
        if let Some(share) = budget.try_reserve(Some(length)) {
            return Ok(share);
        }
        runtime.sleep(ROOM_PAUSE).await;
    }
}

/// What has come of an answer.
#[derive(Debug, Default)]
struct Reading {
    held: BytesMut,
    share: Option<BodyReservation>,
}

impl Reading {
    async fn read(
        mut self,
        budget: &BodyBudget,
        mut body: Incoming,
    ) -> Result<WholeAnswer, WholeAnswerError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| WholeAnswerError::Broken)?;
            if let Some(bytes) = frame.data_ref() {
                self.take(budget, bytes)?;
            }
        }
        Ok(WholeAnswer { bytes: self.held.freeze(), share: self.share })
    }

    fn take(&mut self, budget: &BodyBudget, bytes: &[u8]) -> Result<(), WholeAnswerError> {
        let length = self.held.len() + bytes.len();
        if length > LARGEST {
            return Err(WholeAnswerError::Broken);
        }
        let allowed = self.share.as_ref().map_or(SMALL_ANSWER, BodyReservation::bytes);
        if length as u64 > allowed {
            // Twice as much each time, as the buffer grows.
            let larger = (2 * length).min(LARGEST) as u64;
            self.share = None;
            self.share = Some(budget.try_reserve(Some(larger)).ok_or(WholeAnswerError::NoMemory)?);
        }
        self.held.extend_from_slice(bytes);
        Ok(())
    }
}
