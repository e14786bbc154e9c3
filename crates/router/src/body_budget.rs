//! A shared memory budget for the bodies of requests and answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The logged reason when an answer is given up because the budget is used up. Another back end
/// would not help.
pub const NO_MEMORY: &str = "no_memory";
/// Bytes reserved for a body of unknown length before it is read.
const UNKNOWN_LENGTH_RESERVATION: u64 = 64 << 10;

/// A limit on the bytes that all bodies together may hold in memory.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    shared: Rc<Shared>,
}

/// Identifies a claim. Those that began earlier are less.
type ClaimId = u64;

#[derive(Debug)]
struct Shared {
    capacity: u64,
    used: Cell<u64>,
    next_claim: Cell<ClaimId>,
    /// The claims that have not grown to their ends.
    claims: RefCell<BTreeMap<ClaimId, Claim>>,
    /// Those that wait for memory.
    waiting: RefCell<BTreeMap<ClaimId, Waiter>>,
}

/// What a body holds, and may hold when it is complete.
#[derive(Debug, Clone, Copy)]
struct Claim {
    held: u64,
    max: u64,
}

/// A claim that waits for this many bytes.
#[derive(Debug)]
struct Waiter {
    bytes: u64,
    waker: Waker,
}

impl Shared {
    fn add(&self, bytes: u64) {
        self.used.set(self.used.get() + bytes);
    }

    fn release(&self, bytes: u64) {
        self.used.set(self.used.get().saturating_sub(bytes));
        self.wake_waiting();
    }

    fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.used.get())
    }

    /// Returns the free memory that is not left to an older claim than `id`.
    fn free_for(&self, id: ClaimId) -> u64 {
        match self.claims.borrow().first_key_value() {
            Some((oldest, claim)) if *oldest < id => {
                self.free().saturating_sub(claim.max.saturating_sub(claim.held))
            }
            _ => self.free(),
        }
    }

    /// Removes a claim. Returns the bytes that it holds.
    fn remove_claim(&self, id: ClaimId) -> u64 {
        self.waiting.borrow_mut().remove(&id);
        self.claims.borrow_mut().remove(&id).map_or(0, |claim| claim.held)
    }

    /// Wakes the claims, from the oldest on, for which there is enough memory now.
    fn wake_waiting(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let mut promised = 0;
        while let Some(entry) = waiting.first_entry() {
            let needed = promised + entry.get().bytes;
            if needed > self.free_for(*entry.key()) {
                return;
            }
            promised = needed;
            entry.remove().waker.wake();
        }
    }
}

/// Bytes reserved from a [`BodyBudget`], released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: u64,
    shared: Rc<Shared>,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: u64) -> Self {
        let shared = Shared {
            capacity,
            used: Cell::default(),
            next_claim: Cell::default(),
            claims: RefCell::default(),
            waiting: RefCell::default(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Reserves memory for a body of `length` bytes, or a fixed amount if the length is unknown.
    /// Returns `None` if that would exceed the budget.
    pub fn try_reserve(&self, length: Option<u64>) -> Option<BodyReservation> {
        let bytes = length.unwrap_or(UNKNOWN_LENGTH_RESERVATION);
        if bytes > self.shared.free() {
            return None;
        }
        self.shared.add(bytes);
        Some(BodyReservation { bytes, shared: self.shared.clone() })
    }

    /// Begins a reservation that grows to at most `max` bytes, or to the whole budget if that is
    /// less.
    pub fn begin_growing(&self, max: u64) -> GrowingReservation {
        let id = self.shared.next_claim.get();
        self.shared.next_claim.set(id + 1);
        let claim = Claim { held: 0, max: max.min(self.capacity()) };
        self.shared.claims.borrow_mut().insert(id, claim);
        GrowingReservation { id, shared: self.shared.clone() }
    }

    /// Returns the size of the budget, in bytes.
    pub fn capacity(&self) -> u64 {
        self.shared.capacity
    }

    /// Returns the reserved bytes.
    pub fn used(&self) -> u64 {
        self.shared.used.get()
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
        self.shared.release(self.bytes);
    }
}

/// A reservation that grows while its body is received.
///
/// Bodies that hold a part of the memory and wait for more could wait for each other forever. What
/// the oldest of them may still need is therefore left to it, as in the banker's algorithm: it comes
/// to its end when the complete bodies are released, and then the next one is the oldest.
#[derive(Debug)]
pub struct GrowingReservation {
    id: ClaimId,
    shared: Rc<Shared>,
}

impl GrowingReservation {
    /// Adds `bytes`, at once or when enough memory is free. Waits without a timeout.
    pub async fn grow(&mut self, bytes: u64) {
        poll_fn(|context| {
            if self.try_grow(bytes) {
                return Poll::Ready(());
            }
            let waiter = Waiter { bytes, waker: context.waker().clone() };
            self.shared.waiting.borrow_mut().insert(self.id, waiter);
            Poll::Pending
        })
        .await;
    }

    /// Adds `bytes`. Returns whether there was enough free memory.
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        if bytes > self.shared.free_for(self.id) {
            return false;
        }
        if let Some(claim) = self.shared.claims.borrow_mut().get_mut(&self.id) {
            claim.held += bytes;
        }
        self.shared.add(bytes);
        true
    }

    /// Returns what is reserved for a body that has come to its end.
    pub fn complete(self) -> BodyReservation {
        let bytes = self.shared.remove_claim(self.id);
        BodyReservation { bytes, shared: self.shared.clone() }
    }
}

impl Drop for GrowingReservation {
    fn drop(&mut self) {
        // Also of one that is complete: less may be left to the oldest from now on.
        let bytes = self.shared.remove_claim(self.id);
        self.shared.release(bytes);
    }
}
