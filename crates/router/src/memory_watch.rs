//! Watches how much memory the process has allocated, so that it admits no further connections
//! before its limit is reached.
//!
//! Bodies and replies have budgets. What remains grows with the number of connections.

use std::cell::Cell;

/// Fraction of the memory limit from which no further connections are admitted. The rest is for
/// those that are open, and for what the allocator does not give back.
const MAX_HEAP_FRACTION: f64 = 0.75;

/// Returns the number of bytes that the process has allocated.
pub type HeapUsage = fn() -> usize;

/// Compares the allocated memory with the limit of the process.
#[derive(Debug)]
pub struct MemoryWatch {
    /// Allocated bytes from which the memory is short.
    max_heap: u64,
    heap: Cell<HeapUsage>,
    /// Whether the memory was short at the last observation.
    was_short: Cell<bool>,
}

impl MemoryWatch {
    /// Creates a watch for a process that may take `limit` bytes. Its memory is never short unless
    /// the usage is known.
    pub fn new(limit: u64) -> Self {
        let max_heap = (limit as f64 * MAX_HEAP_FRACTION) as u64;
        Self { max_heap, heap: Cell::new(|| 0), was_short: Cell::default() }
    }

    /// Sets how the allocated memory is learned.
    pub fn set_usage(&self, heap: HeapUsage) {
        self.heap.set(heap);
    }

    /// Returns the allocated memory, in bytes; 0 if it is not known.
    pub fn heap_bytes(&self) -> u64 {
        self.heap.get()() as u64
    }

    /// Returns whether no further connection may be admitted.
    pub fn is_short(&self) -> bool {
        self.heap_bytes() >= self.max_heap
    }

    /// Returns whether the memory is short, if that has changed since the last call.
    pub fn take_change(&self) -> Option<bool> {
        let is_short = self.is_short();
        (self.was_short.replace(is_short) != is_short).then_some(is_short)
    }
}
