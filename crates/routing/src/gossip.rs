//! A queue of items that are sent to peers in several gossip rounds, as datagrams may be lost.

use std::collections::VecDeque;

/// Number of rounds in which an item is sent. With three targets per round, a peer in a large fleet
/// very rarely misses an item.
pub const TRANSMISSIONS: u32 = 3;

/// Items that are still to be sent.
#[derive(Debug)]
pub struct GossipQueue<T> {
    /// Items with their remaining number of transmissions.
    due: VecDeque<(T, u32)>,
}

impl<T> Default for GossipQueue<T> {
    fn default() -> Self {
        Self { due: VecDeque::new() }
    }
}

impl<T: Clone> GossipQueue<T> {
    /// Adds an item to be sent in a number of rounds; with 0 it is dropped.
    pub fn push(&mut self, item: T, transmissions: u32) {
        if transmissions > 0 {
            self.due.push_back((item, transmissions));
        }
    }

    /// Returns the items to send in one round, at most `max`, those that have waited longest first.
    pub fn next_round(&mut self, max: usize) -> Vec<T> {
        let mut items = Vec::new();
        for _ in 0..self.due.len().min(max) {
            let Some((item, transmissions)) = self.due.pop_front() else { break };
            items.push(item.clone());
            self.push(item, transmissions - 1);
        }
        items
    }
}
