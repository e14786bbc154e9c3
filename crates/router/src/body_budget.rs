//! A bound on the memory that bodies of requests, and large events of answers, take over all requests that are under way.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of an answer up to which it counts as part of its connection, whose memory is bounded by itself.
pub const SMALL_ANSWER: u64 = 16 << 10;
/// Why an answer is given up for which no memory is left. Another back end would not help.
pub const NO_MEMORY: &str = "no_memory";
/// Bytes taken for a body whose length its caller does not tell, before it is read.
const UNTOLD_LENGTH: u64 = 64 << 10;

/// The bytes that bodies may take together.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    most: u64,
    used: Rc<Cell<u64>>,
}

/// Bytes taken from a budget; dropped, they are given back.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: u64,
    used: Rc<Cell<u64>>,
}

impl BodyBudget {
    /// A budget of `most` bytes.
    pub fn new(most: u64) -> Self {
        Self { most, used: Rc::default() }
    }

    /// Takes room for a body of `length` bytes, if there is any.
    pub fn try_reserve(&self, length: Option<u64>) -> Option<BodyReservation> {
        let bytes = length.unwrap_or(UNTOLD_LENGTH);
        let used = self.used.get().saturating_add(bytes);
        if used > self.most {
            return None;
        }
        self.used.set(used);
        Some(BodyReservation { bytes, used: self.used.clone() })
    }

    /// Bytes that bodies may take together.
    pub fn most(&self) -> u64 {
        self.most
    }

    /// Bytes in use.
    pub fn used(&self) -> u64 {
        self.used.get()
    }
}

impl BodyReservation {
    /// The bytes that it is of.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.set(self.used.get().saturating_sub(self.bytes));
    }
}
