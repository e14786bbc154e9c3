//! Claim records and the messages about them.

use derive_more::{Display, Error};
use mastbay_types::{RequestId, ServiceName, TenantName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Number of shard objects.
pub const SHARD_COUNT: u16 = 16;

/// One of the shard objects.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:02}")]
pub struct ShardIndex(pub u16);

/// Bytes of the digest kept for a key.
const KEY_BYTES: usize = 16;

/// What a claim is about: a digest of tenant, service and the caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// The key for a caller's idempotency key. Tenants never share one.
    pub fn new(tenant: &TenantName, service: &ServiceName, idempotency_key: &str) -> Self {
        let mut digest = Sha256::new();
        for part in [tenant.as_str(), service.as_str(), idempotency_key] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part.as_bytes());
        }
        Self(hex::encode(&digest.finalize()[..KEY_BYTES]))
    }

    /// The shard that holds the claim.
    pub fn shard(&self) -> ShardIndex {
        let number = u16::from_str_radix(self.0.get(..4).unwrap_or_default(), 16);
        ShardIndex(number.unwrap_or(0) % SHARD_COUNT)
    }
}

/// How far the request that holds a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may run or have run.
    Held,
    /// It certainly did not run and never will: the key is free again.
    Released,
    /// It was answered.
    Completed {
        /// The HTTP status of the answer.
        status: u16,
    },
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The request that holds the claim.
    pub request: RequestId,
    /// How far it has come.
    pub state: ClaimState,
    /// Unix time in seconds after which the record may be dropped.
    pub expires: u64,
}

/// The contents of one shard object.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimShard {
    /// Claims by key.
    pub records: BTreeMap<ClaimKey, ClaimRecord>,
}

/// A shard object's bytes are no shard.
#[derive(Debug, Display, Error)]
#[display("the claim shard cannot be read: {source}")]
pub struct ShardReadError {
    /// The cause.
    pub source: serde_json::Error,
}

impl ClaimShard {
    /// Reads an object's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, ShardReadError> {
        serde_json::from_slice(bytes).map_err(|source| ShardReadError { source })
    }

    /// The bytes to store.
    pub fn encode(&self) -> Vec<u8> {
        // The types hold nothing that JSON cannot.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// What a gateway wants with a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Intent {
    /// Take it, before the request may be sent.
    Take,
    /// Give it back: the request did not run and never will.
    Release,
    /// Note that the request was answered.
    Complete {
        /// The HTTP status of the answer.
        status: u16,
    },
}

/// A gateway's wish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim.
    pub key: ClaimKey,
    /// The request on whose behalf.
    pub request: RequestId,
    /// What for.
    pub intent: Intent,
}

/// What became of a wish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is kept as wished.
    Kept,
    /// Another request holds the claim.
    Taken {
        /// That request.
        by: RequestId,
        /// How far it has come.
        state: ClaimState,
    },
    /// The platform did not answer in time. The wish may yet take effect.
    Unavailable,
}

/// A keeper's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The wish.
    pub wish: ClaimRequest,
    /// What became of it.
    pub verdict: Verdict,
}

/// A message about claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// From a gateway to a keeper.
    Wish(ClaimRequest),
    /// From a keeper to a gateway.
    Answer(ClaimAnswer),
}
