//! The gateway's side: wishes under way, asked again until a keeper answers.

use crate::record::{ClaimAnswer, ClaimRequest, Intent, ShardIndex, Verdict};
use mastbay_types::{ProcessId, Timestamp, by_rendezvous};
use std::time::Duration;

/// Settings of a [`ClaimClient`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimClientConfig {
    /// Time a keeper has to answer before the next one is asked.
    pub answer_timeout: Duration,
    /// Time after which a claim counts as unavailable.
    pub patience: Duration,
    /// How long releases and completions are tried.
    pub note_patience: Duration,
}

impl Default for ClaimClientConfig {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_millis(700),
            patience: Duration::from_millis(2_500),
            note_patience: Duration::from_secs(120),
        }
    }
}

#[derive(Debug)]
struct UnderWay {
    wish: ClaimRequest,
    since: Timestamp,
    asked: Option<Timestamp>,
    tries: usize,
}

impl UnderWay {
    fn patience(&self, config: &ClaimClientConfig) -> Duration {
        match self.wish.intent {
            Intent::Take => config.patience,
            Intent::Release | Intent::Complete { .. } => config.note_patience,
        }
    }
}

/// One gateway's wishes.
#[derive(Debug)]
pub struct ClaimClient {
    config: ClaimClientConfig,
    keepers: Vec<ProcessId>,
    under_way: Vec<UnderWay>,
}

impl ClaimClient {
    /// A client with no wishes.
    pub fn new(config: ClaimClientConfig) -> Self {
        Self { config, keepers: Vec::new(), under_way: Vec::new() }
    }

    /// Sets the live schedulers.
    pub fn set_keepers(&mut self, keepers: Vec<ProcessId>) {
        self.keepers = keepers;
    }

    /// Adds a wish. Call [`ClaimClient::poll`] after it.
    pub fn wish(&mut self, now: Timestamp, wish: ClaimRequest) {
        self.under_way.push(UnderWay { wish, since: now, asked: None, tries: 0 });
    }

    /// Drops the wish to take a claim whose request is over.
    pub fn forget(&mut self, wish: &ClaimRequest) {
        self.under_way.retain(|entry| entry.wish != *wish);
    }

    /// Wishes to send now, and those given up.
    pub fn poll(&mut self, now: Timestamp) -> (Vec<(ProcessId, ClaimRequest)>, Vec<ClaimAnswer>) {
        let config = &self.config;
        let given_up = self
            .under_way
            .extract_if(.., |entry| now.since(entry.since) >= entry.patience(config))
            .map(|entry| ClaimAnswer { wish: entry.wish, verdict: Verdict::Unavailable })
            .collect();
        let mut sent = Vec::new();
        for entry in &mut self.under_way {
            let due = entry.asked.is_none_or(|asked| now.since(asked) >= config.answer_timeout);
            if !due {
                continue;
            }
            let Some(keeper) = keeper_for(&self.keepers, entry.wish.key.shard(), entry.tries)
            else {
                continue;
            };
            entry.asked = Some(now);
            entry.tries += 1;
            sent.push((keeper, entry.wish.clone()));
        }
        (sent, given_up)
    }

    /// Takes a keeper's answer. Returns it if it is the first and final one for its wish.
    pub fn handle_answer(&mut self, answer: ClaimAnswer) -> Option<ClaimAnswer> {
        let position = self.under_way.iter().position(|entry| entry.wish == answer.wish)?;
        let is_note = answer.wish.intent != Intent::Take;
        if answer.verdict == Verdict::Unavailable && is_note {
            return None;
        }
        self.under_way.swap_remove(position);
        Some(answer)
    }

    /// When [`ClaimClient::poll`] should be called next.
    pub fn next_timeout(&self) -> Timestamp {
        let next = |entry: &UnderWay| match entry.asked {
            Some(asked) => asked + self.config.answer_timeout,
            None => entry.since,
        };
        self.under_way.iter().map(next).min().unwrap_or(Timestamp::NEVER)
    }
}

fn keeper_for(keepers: &[ProcessId], shard: ShardIndex, tries: usize) -> Option<ProcessId> {
    if keepers.is_empty() {
        return None;
    }
    let order = by_rendezvous(&format!("claims/{shard}"), keepers);
    Some(order[tries % order.len()].clone())
}
