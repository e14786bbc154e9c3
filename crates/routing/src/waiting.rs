//! Queues of requests that wait until a back end has capacity.

use crate::demand::{Demand, TicketId};
use mastbay_types::Timestamp;

/// A waiting request.
#[derive(Debug)]
pub struct Waiter {
    /// Ticket of the request.
    pub ticket: TicketId,
    /// What the request needs.
    pub demand: Demand,
    /// When it stops waiting.
    pub until: Timestamp,
}

/// Sort key of a waiter; the lowest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct WaitingOrder {
    /// Priority of its tenant or route.
    pub priority: u32,
    /// Whether its tenant is above the fair level.
    pub over_share: bool,
    /// Rate granted to its tenant, in tokens a second.
    pub given: f64,
    /// Number of its ticket, which increases with time.
    pub ticket: u64,
}

/// Waiters of one service.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    waiters: Vec<Waiter>,
}

impl WaitingQueue {
    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the waiters in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters.iter()
    }

    /// Adds a waiter.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Removes a waiter by its ticket.
    pub fn remove(&mut self, ticket: TicketId) -> Option<Waiter> {
        let index = self.waiters.iter().position(|waiter| waiter.ticket == ticket)?;
        Some(self.waiters.swap_remove(index))
    }

    /// Removes and returns the waiters whose time is over.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<Waiter> {
        let (expired, waiting) =
            std::mem::take(&mut self.waiters).into_iter().partition(|waiter| waiter.until <= now);
        self.waiters = waiting;
        expired
    }

    /// Removes and returns all waiters, sorted by `order`.
    pub fn take_in_order(&mut self, order: impl Fn(&Waiter) -> WaitingOrder) -> Vec<Waiter> {
        let mut ordered: Vec<(WaitingOrder, Waiter)> =
            self.waiters.drain(..).map(|waiter| (order(&waiter), waiter)).collect();
        ordered.sort_by(|left, right| {
            left.0.partial_cmp(&right.0).unwrap_or(std::cmp::Ordering::Equal)
        });
        ordered.into_iter().map(|(_, waiter)| waiter).collect()
    }
}
