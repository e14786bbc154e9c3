//! Claim records and messages.

use derive_more::{Display, Error};
use mastbay_types::{RequestId, ServiceName, TenantName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Number of shard objects.
pub const SHARD_COUNT: u16 = 16;

/// Index of a shard object.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:02}")]
pub struct ShardIndex(pub u16);

/// Length of a key digest, in bytes.
const KEY_BYTES: usize = 16;

/// Key of a claim: a digest of tenant, service and the caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Computes the key for an idempotency key. Keys of different tenants and services differ.
    pub fn new(tenant: &TenantName, service: &ServiceName, idempotency_key: &str) -> Self {
        let mut digest = Sha256::new();
        for part in [tenant.as_str(), service.as_str(), idempotency_key] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part.as_bytes());
        }
        Self(hex::encode(&digest.finalize()[..KEY_BYTES]))
    }

    /// Returns the shard that contains the claim.
    pub fn shard(&self) -> ShardIndex {
        let number = u16::from_str_radix(self.0.get(..4).unwrap_or_default(), 16);
        ShardIndex(number.unwrap_or(0) % SHARD_COUNT)
    }
}

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request may run or have run.
    Held,
    /// The request did not run and never will; the key can be claimed again.
    Released,
    /// The request was answered.
    Completed {
        /// The HTTP status of the answer.
        status: u16,
    },
}

/// Stored record of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The request that holds the claim.
    pub request: RequestId,
    /// State of the claim.
    pub state: ClaimState,
    /// Unix time in seconds after which the record may be removed.
    pub expires: u64,
}

/// The contents of one shard object.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimShard {
    /// Claims by key.
    pub records: BTreeMap<ClaimKey, ClaimRecord>,
}

/// Error of decoding a shard object.
#[derive(Debug, Display, Error)]
#[display("the claim shard cannot be read: {source}")]
pub struct ShardReadError {
    /// The cause.
    pub source: serde_json::Error,
}

impl ClaimShard {
    /// Decodes the bytes of an object.
    pub fn decode(bytes: &[u8]) -> Result<Self, ShardReadError> {
        serde_json::from_slice(bytes).map_err(|source| ShardReadError { source })
    }

    /// Encodes the shard for storage.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization cannot fail: the types contain only string keys and plain values.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Action of a gateway on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Intent {
    /// Acquire the claim; required before the request is sent.
    Take,
    /// Release the claim: the request did not run and never will.
    Release,
    /// Record that the request was answered.
    Complete {
        /// The HTTP status of the answer.
        status: u16,
    },
}

/// A gateway's request to change a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// The caller's request.
    pub request: RequestId,
    /// Action on the claim.
    pub intent: Intent,
}

/// Outcome of a claim request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claim is stored as requested.
    Kept,
    /// Another request holds the claim.
    Taken {
        /// The other request.
        by: RequestId,
        /// State of its claim.
        state: ClaimState,
    },
    /// The platform did not answer in time. The claim request may still take effect.
    Unavailable,
}

/// Answer of a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The answered request.
    pub request: ClaimRequest,
    /// Its outcome.
    pub outcome: ClaimOutcome,
}

/// A message about claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// From a gateway to a keeper.
    #[serde(rename = "Wish")]
    Request(ClaimRequest),
    /// From a keeper to a gateway.
    Answer(ClaimAnswer),
}
