//! The configuration's types.

use derive_more::{Display, Error};
use mastbay_types::{BackendName, ServiceName, TenantName, Weight};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// SHA-256 of a caller's key. Keys themselves are never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The digest's bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl std::fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

/// Text that is no key digest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a key digest is the SHA-256 of the key in 64 hexadecimal digits")]
pub struct KeyDigestError;

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, KeyDigestError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| KeyDigestError)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = KeyDigestError;

    fn try_from(text: String) -> Result<Self, KeyDigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}

/// A group that shares the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Share relative to other tenants.
    pub weight: Weight,
    /// Digests of the keys that its callers show.
    pub keys: Vec<KeyDigest>,
    /// Most requests that may wait in one gateway.
    pub most_waiting: u32,
}

/// How a service is called and how its cost is counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model behind the chat-completions interface; cost in tokens.
    Model {
        /// The name that callers give as `model`.
        model: String,
    },
    /// Any HTTP under a path prefix; cost in milliseconds.
    Plain {
        /// The prefix, such as `/permits`.
        prefix: String,
    },
}

/// What happens to a request with an idempotency key while claims cannot be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPolicy {
    /// It is refused as not run: a repeat through another gateway never runs twice.
    Required,
    /// It runs: no call is lost, but a repeat through another gateway may run twice.
    WhenAvailable,
}

/// A service that callers may ask for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// How it is called.
    pub kind: ServiceKind,
    /// Whether a request may be sent again when it may have run.
    pub repeatable: bool,
    /// What happens while claims cannot be kept.
    pub claims: ClaimPolicy,
    /// Time a request has if its caller names none.
    pub deadline: Duration,
    /// Grants beyond the slots of each back end; `None` lets the scheduler learn how many.
    pub ahead: Option<u32>,
}

/// A process that runs requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it checks the epoch of those who give it orders.
    pub checks_fences: bool,
    /// Whether it is to get no new work.
    pub leaving: bool,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FleetConfiguration {
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Back ends by name.
    pub backends: BTreeMap<BackendName, Backend>,
}

impl FleetConfiguration {
    /// The back ends of a service.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a BackendName, &'a Backend)> {
        self.backends.iter().filter(move |(_, backend)| backend.service == *service)
    }
}
