//! Types of the fleet's configuration.

use derive_more::{Display, Error};
use mastbay_types::{BackendName, ServiceName, TenantName, Weight};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// SHA-256 digest of a caller's key. Keys themselves are never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl std::fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

/// Error for text that is not a key digest.
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

/// A group of callers with a share of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Share of capacity relative to other tenants.
    pub weight: Weight,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Maximum number of requests that wait at one gateway.
    pub most_waiting: u32,
}

/// Interface of a service and unit of its cost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model with the chat-completions interface; cost in tokens.
    Model {
        /// Value of `model` in requests.
        model: String,
    },
    /// Any HTTP requests below a path prefix; cost in milliseconds.
    Plain {
        /// Path prefix, such as `/permits`.
        prefix: String,
    },
}

/// Handling of requests with an idempotency key while claims cannot be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPolicy {
    /// Refuse them as not run: a repeat through another gateway never runs twice.
    Required,
    /// Run them without a claim: a repeat through another gateway may run twice.
    WhenAvailable,
}

/// A service for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Interface of the service.
    pub kind: ServiceKind,
    /// Whether a request may be sent again if it may have run.
    pub repeatable: bool,
    /// Handling of idempotent requests while claims cannot be stored.
    pub claims: ClaimPolicy,
    /// Default time until the deadline of a request.
    pub deadline: Duration,
    /// Number of grants beyond the slots of each back end; `None` if the scheduler determines it.
    pub ahead: Option<u32>,
}

/// A back end process that runs requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service that it runs.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it checks the epoch (fencing token) of schedulers.
    pub checks_fences: bool,
    /// Whether it is drained: it gets no new requests.
    pub leaving: bool,
}

/// The configuration of the whole fleet.
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
    /// Returns the back ends of a service.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a BackendName, &'a Backend)> {
        self.backends.iter().filter(move |(_, backend)| backend.service == *service)
    }
}
