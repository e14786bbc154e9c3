//! Asking processes at their admin addresses.

use crate::outcome::CommandError;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use mastbay_configuration::Generation;
use mastbay_web::{Client, ClientConfig};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time that a process has to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Time between two looks whether a change is in force.
const CHECK: Duration = Duration::from_millis(20);
/// Time for an accepted change to come into force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Asks processes.
#[derive(Debug)]
pub struct Fleet {
    client: Client,
    addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// The processes at these admin addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, CommandError> {
        if addresses.is_empty() {
            return Err(CommandError::NoAdmin);
        }
        Ok(Self { client: Client::new(ClientConfig::default()), addresses })
    }

    /// The status of every process, or why it could not be had.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Result<Value, CommandError>)> {
        let mut statuses = Vec::new();
        for address in &self.addresses {
            let status = self
                .ask(*address, "/status")
                .await
                .and_then(|found| found.ok_or(CommandError::Answer { address: *address }));
            statuses.push((*address, status));
        }
        statuses
    }

    /// What each process knows about `subject`.
    pub async fn explain(&self, subject: &str) -> Result<Vec<Value>, CommandError> {
        let mut accounts = Vec::new();
        let mut failure = None;
        for address in &self.addresses {
            match self.ask(*address, &format!("/explain/{subject}")).await {
                Ok(account) => accounts.extend(account),
                Err(error) => failure = Some(error),
            }
        }
        match (accounts.is_empty(), failure) {
            (true, Some(error)) => Err(error),
            (true, None) => Err(CommandError::NotKnown { subject: subject.to_owned() }),
            (false, _) => Ok(accounts),
        }
    }

    /// Waits until every process has `generation` in force. Returns how long it took.
    pub async fn wait_in_force(&self, generation: Generation) -> Result<Duration, CommandError> {
        let began = Instant::now();
        loop {
            let mut waiting = Vec::new();
            for (address, status) in self.statuses().await {
                let in_force = status.ok().and_then(|status| status["generation"].as_u64());
                if in_force.is_none_or(|in_force| in_force < generation.0) {
                    waiting.push(address.to_string());
                }
            }
            if waiting.is_empty() {
                return Ok(began.elapsed());
            }
            if began.elapsed() >= IN_FORCE_LIMIT {
                return Err(CommandError::NotInForce { waiting: waiting.join(", ") });
            }
            smol::Timer::after(CHECK).await;
        }
    }

    async fn ask(&self, address: SocketAddr, path: &str) -> Result<Option<Value>, CommandError> {
        let request = Request::builder().uri(path).body(Full::default()).unwrap_or_default();
        let reply = self
            .client
            .call(address, request, ANSWER_LIMIT)
            .await
            .map_err(|source| CommandError::Ask { address, source })?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let value = serde_json::from_slice(&reply.body);
        value.map(Some).map_err(|_| CommandError::Answer { address })
    }
}
