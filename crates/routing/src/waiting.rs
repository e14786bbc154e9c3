//! Requests that wait in a router until a back end has room.

use crate::dispatch::{Demand, TicketId};
use mastbay_types::Timestamp;

/// A request that waits.
#[derive(Debug)]
pub struct Waiter {
    /// Its ticket.
    pub ticket: TicketId,
    /// What it asks for.
    pub demand: Demand,
    /// When it is given up.
    pub until: Timestamp,
}

/// The place of a waiter in the order; less goes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct WaitingOrder {
    /// Rank of its tenant or route.
    pub priority: u32,
    /// Whether its tenant has more than the fair level.
    pub over_share: bool,
    /// What its tenant is given, in tokens a second.
    pub given: f64,
    /// Its ticket, which rises with time.
    pub ticket: u64,
}

/// The waiters of one service.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    waiters: Vec<Waiter>,
}

impl WaitingQueue {
    /// Number of waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Adds a waiter.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Takes a waiter out by its ticket.
    pub fn remove(&mut self, ticket: TicketId) -> Option<Waiter> {
        let index = self.waiters.iter().position(|waiter| waiter.ticket == ticket)?;
        Some(self.waiters.swap_remove(index))
    }

    /// Takes out those whose time is over.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<Waiter> {
        let (expired, waiting) =
            std::mem::take(&mut self.waiters).into_iter().partition(|waiter| waiter.until <= now);
        self.waiters = waiting;
        expired
    }

    /// Takes out the waiters, in the order in which they are let in.
    pub fn take_in_order(&mut self, order: impl Fn(&Waiter) -> WaitingOrder) -> Vec<Waiter> {
        let mut ordered: Vec<(WaitingOrder, Waiter)> =
            self.waiters.drain(..).map(|waiter| (order(&waiter), waiter)).collect();
        ordered.sort_by(|left, right| {
            left.0.partial_cmp(&right.0).unwrap_or(std::cmp::Ordering::Equal)
        });
        ordered.into_iter().map(|(_, waiter)| waiter).collect()
    }
}
