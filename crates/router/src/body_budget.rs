//! A shared memory budget for request bodies and large answers.

use std::cell::Cell;
use std::rc::Rc;

/// Largest answer, in bytes, that needs no reservation: the buffers of its connection bound it.
pub const MAX_UNRESERVED_ANSWER: u64 = 16 << 10;
/// The logged reason when an answer is given up because the budget is used up. Another back end
/// would not help.
pub const NO_MEMORY: &str = "no_memory";
/// Bytes reserved for a body of unknown length before it is read.
const UNKNOWN_LENGTH_RESERVATION: u64 = 64 << 10;

/// A limit on the bytes that all bodies together may hold in memory.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    capacity: u64,
    used: Rc<Cell<u64>>,
}

/// Bytes reserved from a [`BodyBudget`], released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: u64,
    used: Rc<Cell<u64>>,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, used: Rc::default() }
    }

    /// Reserves memory for a body of `length` bytes, or a fixed amount if the length is unknown.
    /// Returns `None` if that would exceed the budget.
    pub fn try_reserve(&self, length: Option<u64>) -> Option<BodyReservation> {
        let bytes = length.unwrap_or(UNKNOWN_LENGTH_RESERVATION);
        let used = self.used.get().saturating_add(bytes);
        if used > self.capacity {
            return None;
        }
        self.used.set(used);
        Some(BodyReservation { bytes, used: self.used.clone() })
    }

    /// Returns the size of the budget, in bytes.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the reserved bytes.
    pub fn used(&self) -> u64 {
        self.used.get()
    }
}

impl BodyReservation {
    /// Returns the size of the reservation, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.set(self.used.get().saturating_sub(self.bytes));
    }
}
