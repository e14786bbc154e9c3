//! A buffer for a body of unknown length whose memory is reserved as it grows.

use crate::body_budget::{BodyBudget, BodyReservation};
use bytes::{Bytes, BytesMut};

/// Why no more bytes can be appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservedBufferError {
    /// The body exceeds its maximum size.
    TooLarge,
    /// The budget has not enough free memory.
    NoMemory,
}

/// The part of a body that was received.
#[derive(Debug)]
pub struct ReservedBuffer {
    bytes: BytesMut,
    reservation: Option<BodyReservation>,
    /// Bytes that need no reservation.
    unreserved: u64,
    /// Maximum size of the body.
    max_bytes: usize,
}

impl ReservedBuffer {
    /// Creates an empty buffer for a body of at most `max_bytes`, the first `unreserved` of which
    /// need no reservation.
    pub fn new(max_bytes: usize, unreserved: u64) -> Self {
        Self { bytes: BytesMut::new(), reservation: None, unreserved, max_bytes }
    }

    /// Creates an empty buffer with the space of a reservation.
    pub fn with_reservation(max_bytes: usize, reservation: BodyReservation) -> Self {
        let unreserved = reservation.bytes();
        Self { bytes: BytesMut::new(), reservation: Some(reservation), unreserved, max_bytes }
    }

    /// Allocates space for `bytes` at once.
    pub fn allocate(mut self, bytes: usize) -> Self {
        self.bytes.reserve(bytes);
        self
    }

    /// Appends bytes, and reserves more memory if necessary.
    ///
    /// # Errors
    /// If the body becomes too large, or there is not enough memory for it.
    pub fn append(&mut self, budget: &BodyBudget, bytes: &[u8]) -> Result<(), ReservedBufferError> {
        let length = self.bytes.len() + bytes.len();
        if length > self.max_bytes {
            return Err(ReservedBufferError::TooLarge);
        }
        let reserved = self.reservation.as_ref().map_or(self.unreserved, BodyReservation::bytes);
        if length as u64 > reserved {
            self.grow(budget, (2 * length).min(self.max_bytes))?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Moves the bytes to a larger allocation. Both are reserved until they are copied.
    fn grow(&mut self, budget: &BodyBudget, capacity: usize) -> Result<(), ReservedBufferError> {
        let reservation = budget.try_reserve(Some(capacity as u64));
        let reservation = reservation.ok_or(ReservedBufferError::NoMemory)?;
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(&self.bytes);
        self.bytes = larger;
        self.reservation = Some(reservation);
        Ok(())
    }

    /// Returns the body and its reservation, `None` for a small one.
    pub fn finish(self) -> (Bytes, Option<BodyReservation>) {
        (self.bytes.freeze(), self.reservation)
    }
}
