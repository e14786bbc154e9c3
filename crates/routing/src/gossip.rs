//! What a router tells others in a few rounds each, since a datagram may be lost.

use std::collections::VecDeque;

/// Rounds in which one thing is told. With three targets a round and as many rounds, one router of a large fleet misses it once in
/// 8,000 times.
pub const TRANSMISSIONS: u32 = 3;

/// Things that are still to be told.
#[derive(Debug)]
pub struct GossipQueue<T> {
    /// Each with the rounds in which it is told on.
    due: VecDeque<(T, u32)>,
}

impl<T> Default for GossipQueue<T> {
    fn default() -> Self {
        Self { due: VecDeque::new() }
    }
}

impl<T: Clone> GossipQueue<T> {
    /// Something is to be told in so many rounds.
    pub fn push(&mut self, news: T, tellings: u32) {
        if tellings > 0 {
            self.due.push_back((news, tellings));
        }
    }

    /// What is told in one round, `most` at most; those that have waited longest go first.
    pub fn next_round(&mut self, most: usize) -> Vec<T> {
        let mut told = Vec::new();
        for _ in 0..self.due.len().min(most) {
            let Some((news, tellings)) = self.due.pop_front() else { break };
            told.push(news.clone());
            self.push(news, tellings - 1);
        }
        told
    }
}
