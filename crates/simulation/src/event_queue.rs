//! A queue of events in virtual time. Events with equal times are returned in order of insertion.

use mastbay_types::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Timestamp,
    number: u64,
    event: E,
}

impl<E> Entry<E> {
    fn order(&self) -> Reverse<(Timestamp, u64)> {
        Reverse((self.at, self.number))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order().cmp(&other.order())
    }
}

/// Pending events, ordered by time.
pub struct EventQueue<E> {
    entries: BinaryHeap<Entry<E>>,
    pushed: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { entries: BinaryHeap::new(), pushed: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at a time.
    pub fn push(&mut self, at: Timestamp, event: E) {
        self.pushed += 1;
        self.entries.push(Entry { at, number: self.pushed, event });
    }

    /// Returns the time of the next event, or `None` if the queue is empty.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.entries.peek().map(|entry| entry.at)
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Timestamp, E)> {
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
