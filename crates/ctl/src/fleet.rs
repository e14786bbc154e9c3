//! Queries to the admin addresses of processes.

use crate::outcome::CommandError;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use mastbay_configuration::Generation;
use mastbay_web::{Client, ClientConfig};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of a query to a process.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks whether a change is in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for an accepted change to come into force at all queried processes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the admin addresses of a fleet.
#[derive(Debug)]
pub struct Fleet {
    client: Client,
    addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// Creates a client of these admin addresses, of which at least one is required.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, CommandError> {
        if addresses.is_empty() {
            return Err(CommandError::NoAdmin);
        }
        Ok(Self { client: Client::new(ClientConfig::default()), addresses })
    }

    /// Returns the status of each process, or the error of its query.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Result<Value, CommandError>)> {
        let mut statuses = Vec::new();
        for address in &self.addresses {
            let status = self
                .query(*address, "/status")
                .await
                .and_then(|found| found.ok_or(CommandError::Answer { address: *address }));
            statuses.push((*address, status));
        }
        statuses
    }

    /// Returns the reports of all processes that know `subject`. Fails if none does.
    pub async fn explain(&self, subject: &str) -> Result<Vec<Value>, CommandError> {
        let mut reports = Vec::new();
        let mut failure = None;
        for address in &self.addresses {
            match self.query(*address, &format!("/explain/{subject}")).await {
                Ok(report) => reports.extend(report),
                Err(error) => failure = Some(error),
            }
        }
        match (reports.is_empty(), failure) {
            (true, Some(error)) => Err(error),
            (true, None) => Err(CommandError::NotKnown { subject: subject.to_owned() }),
            (false, _) => Ok(reports),
        }
    }

    /// Waits until every process has `generation` or a later one in force. Returns the time waited.
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
            if began.elapsed() >= IN_FORCE_TIMEOUT {
                return Err(CommandError::NotInForce { waiting: waiting.join(", ") });
            }
            smol::Timer::after(CHECK_INTERVAL).await;
        }
    }

    async fn query(&self, address: SocketAddr, path: &str) -> Result<Option<Value>, CommandError> {
        let request = Request::builder().uri(path).body(Full::default()).unwrap_or_default();
        let reply = self
            .client
            .call(address, request, QUERY_TIMEOUT)
            .await
            .map_err(|source| CommandError::Ask { address, source })?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let value = serde_json::from_slice(&reply.body);
        value.map(Some).map_err(|_| CommandError::Answer { address })
    }
}
