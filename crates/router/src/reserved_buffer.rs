//! A buffer for a body whose memory is reserved, before it is read or as it grows.

use crate::body_budget::{BodyBudget, BodyReservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use mastbay_web::MeteredBody;

/// Why a body was not received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveBodyError {
    /// The body exceeds its maximum size.
    TooLarge,
    /// The body ended early or violated the protocol.
    Broken,
    /// The budget has not enough free memory.
    NoMemory,
}

/// A complete body.
#[derive(Debug)]
pub struct ReservedBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    /// The memory reserved for it, released on drop.
    pub reservation: BodyReservation,
}

/// The part of a body that was received.
#[derive(Debug)]
pub struct ReservedBuffer {
    bytes: BytesMut,
    reservation: BodyReservation,
    /// Maximum size of the body.
    max_bytes: usize,
}

impl ReservedBuffer {
    /// Creates an empty buffer with the space of a reservation, for a body of at most `max_bytes`.
    pub fn new(max_bytes: usize, reservation: BodyReservation) -> Self {
        Self { bytes: BytesMut::new(), reservation, max_bytes }
    }

    /// Allocates space for `bytes` at once.
    pub fn allocate(mut self, bytes: usize) -> Self {
        self.bytes.reserve(bytes);
        self
    }

    /// Reads a whole body, and reserves more memory as necessary.
    ///
    /// # Errors
    /// If the body is incomplete or too large, or there is not enough memory for it. What was read
    /// and reserved is released.
    pub async fn read(
        mut self,
        budget: &BodyBudget,
        mut body: MeteredBody,
    ) -> Result<ReservedBody, ReserveBodyError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReserveBodyError::Broken)?;
            if let Some(bytes) = frame.data_ref() {
                self.append(budget, bytes)?;
            }
        }
        Ok(ReservedBody { bytes: self.bytes.freeze(), reservation: self.reservation })
    }

    fn append(&mut self, budget: &BodyBudget, bytes: &[u8]) -> Result<(), ReserveBodyError> {
        let length = self.bytes.len() + bytes.len();
        if length > self.max_bytes {
            return Err(ReserveBodyError::TooLarge);
        }
        if length as u64 > self.reservation.bytes() {
            self.grow(budget, (2 * length).min(self.max_bytes))?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Moves the bytes to a larger allocation. Both are reserved until they are copied.
    fn grow(&mut self, budget: &BodyBudget, capacity: usize) -> Result<(), ReserveBodyError> {
        let reservation = budget.try_reserve(Some(capacity as u64));
        let reservation = reservation.ok_or(ReserveBodyError::NoMemory)?;
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(&self.bytes);
        self.bytes = larger;
        self.reservation = reservation;
        Ok(())
    }
}
