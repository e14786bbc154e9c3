//! Claim requests of a gateway, sent again until a keeper answers.

use crate::record::{ClaimAnswer, ClaimOutcome, ClaimRequest, Intent, ShardIndex};
use mastbay_types::{ProcessId, Timestamp, by_rendezvous};
use std::time::Duration;

/// Settings of a [`ClaimClient`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimClientConfig {
    /// Time after which an unanswered request is sent to the next keeper.
    pub answer_timeout: Duration,
    /// Time after which a claim counts as unavailable.
    pub timeout: Duration,
    /// Time for which releases and completions are retried; no caller waits for them.
    pub background_timeout: Duration,
}

impl Default for ClaimClientConfig {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_millis(700),
            timeout: Duration::from_millis(2_500),
            background_timeout: Duration::from_secs(120),
        }
    }
}

#[derive(Debug)]
struct InFlight {
    request: ClaimRequest,
    since: Timestamp,
    last_sent: Option<Timestamp>,
    attempts: usize,
}

impl InFlight {
    fn timeout(&self, config: &ClaimClientConfig) -> Duration {
        match self.request.intent {
            Intent::Take => config.timeout,
            Intent::Release | Intent::Complete { .. } => config.background_timeout,
        }
    }
}

/// Claim requests in flight of a gateway.
#[derive(Debug)]
pub struct ClaimClient {
    config: ClaimClientConfig,
    keepers: Vec<ProcessId>,
    in_flight: Vec<InFlight>,
}

impl ClaimClient {
    /// Creates a client without requests.
    pub fn new(config: ClaimClientConfig) -> Self {
        Self { config, keepers: Vec::new(), in_flight: Vec::new() }
    }

    /// Sets the keepers, which are the live schedulers.
    pub fn set_keepers(&mut self, keepers: Vec<ProcessId>) {
        self.keepers = keepers;
    }

    /// Adds a request. [`ClaimClient::poll`] must be called afterwards.
    pub fn submit(&mut self, now: Timestamp, request: ClaimRequest) {
        self.in_flight.push(InFlight { request, since: now, last_sent: None, attempts: 0 });
    }

    /// Cancels the request for a claim that is no longer needed.
    pub fn forget(&mut self, request: &ClaimRequest) {
        self.in_flight.retain(|entry| entry.request != *request);
    }

    /// Returns the requests to send now with their keepers, and answers to those that timed out.
    pub fn poll(&mut self, now: Timestamp) -> (Vec<(ProcessId, ClaimRequest)>, Vec<ClaimAnswer>) {
        let config = &self.config;
        let timed_out = self
            .in_flight
            .extract_if(.., |entry| now.since(entry.since) >= entry.timeout(config))
            .map(|entry| ClaimAnswer { request: entry.request, outcome: ClaimOutcome::Unavailable })
            .collect();
        let mut to_send = Vec::new();
        for entry in &mut self.in_flight {
            let is_due = entry
                .last_sent
                .is_none_or(|last_sent| now.since(last_sent) >= config.answer_timeout);
            if !is_due {
                continue;
            }
            let Some(keeper) = keeper_for(&self.keepers, entry.request.key.shard(), entry.attempts)
            else {
                continue;
            };
            entry.last_sent = Some(now);
            entry.attempts += 1;
            to_send.push((keeper, entry.request.clone()));
        }
        (to_send, timed_out)
    }

    /// Handles the answer of a keeper. Returns it if it is the first final one to its request.
    pub fn handle_answer(&mut self, answer: ClaimAnswer) -> Option<ClaimAnswer> {
        let position = self.in_flight.iter().position(|entry| entry.request == answer.request)?;
        let is_background = answer.request.intent != Intent::Take;
        if answer.outcome == ClaimOutcome::Unavailable && is_background {
            return None;
        }
        self.in_flight.swap_remove(position);
        Some(answer)
    }

    /// Returns the time at which [`ClaimClient::poll`] must be called next.
    pub fn next_timeout(&self) -> Timestamp {
        let next = |entry: &InFlight| match entry.last_sent {
            Some(last_sent) => last_sent + self.config.answer_timeout,
            None => entry.since,
        };
        self.in_flight.iter().map(next).min().unwrap_or(Timestamp::NEVER)
    }
}

fn keeper_for(keepers: &[ProcessId], shard: ShardIndex, attempts: usize) -> Option<ProcessId> {
    if keepers.is_empty() {
        return None;
    }
    let order = by_rendezvous(&format!("claims/{shard}"), keepers);
    Some(order[attempts % order.len()].clone())
}
