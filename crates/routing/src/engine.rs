//! One back end as a router sees it: its load from all routers, its pace, and what it has in memory.

use crate::back_end::BackEnd;
use crate::health::Health;
use crate::prompt::Prompt;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// What is under way at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens of them that are still to be read.
    pub unread: u64,
    /// Memory that they take, in tokens.
    pub memory: u64,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.running += other.running;
        self.unread += other.unread;
        self.memory += other.memory;
    }

    /// Takes another load away.
    pub fn remove(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.unread = self.unread.saturating_sub(other.unread);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

/// Parts remembered for one back end.
const MOST_PARTS: usize = 4_096;
/// Parts older than this are taken as given way when room is needed in the memory of parts.
const PART_LIFE: Duration = Duration::from_secs(30);

/// A back end's state.
#[derive(Debug)]
pub struct Engine {
    /// What its source tells of it.
    pub back_end: BackEnd,
    /// What this router has there.
    pub own: Load,
    /// What other routers have there.
    pub others: Load,
    /// What exchanges tell of it.
    pub health: Health,
    /// Its time to first events over the time predicted, as a moving mean.
    pub slowness: f64,
    parts: HashMap<u64, Timestamp>,
}

impl Engine {
    /// A back end that nothing is known of yet.
    pub fn new(back_end: BackEnd) -> Self {
        Self {
            back_end,
            own: Load::default(),
            others: Load::default(),
            health: Health::default(),
            slowness: 1.0,
            parts: HashMap::new(),
        }
    }

    /// The same back end as its source tells of it now.
    pub fn with(self, back_end: BackEnd) -> Self {
        Self { back_end, ..self }
    }

    /// The load from all routers.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Prompt tokens that it has to read: those after the first part that it does not hold.
    pub fn uncached(&self, prompt: &Prompt) -> u64 {
        let held = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        let cached: u64 = held.map(|part| u64::from(part.tokens)).sum();
        u64::from(prompt.input_tokens).saturating_sub(cached)
    }

    /// It has been given a prompt.
    pub fn remember(&mut self, prompt: &Prompt, now: Timestamp) {
        for part in &prompt.parts {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > MOST_PARTS {
            self.parts.retain(|_, used| now.since(*used) < PART_LIFE);
        }
        if self.parts.len() > MOST_PARTS {
            self.parts.clear();
        }
    }

    /// It has lost its memory.
    pub fn forget(&mut self) {
        self.parts.clear();
    }
}
