//! Content-addressed parts of a configuration, and the root that lists them.

use crate::fleet::FleetConfiguration;
use derive_more::{Display, Error};
use mastbay_types::stable_hash;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Generation number of an accepted configuration; zero before the first one.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the following generation.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }
}

/// SHA-256 of a part's bytes, in hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub struct PartHash(String);

impl PartHash {
    /// Returns the hash as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An immutable part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// JSON of a [`FleetConfiguration`] with some of the entries.
    pub bytes: Vec<u8>,
}

impl Part {
    /// Returns the hash of the bytes, by which the part is stored.
    pub fn hash(&self) -> PartHash {
        PartHash(hex::encode(Sha256::digest(&self.bytes)))
    }
}

/// A generation of the configuration and its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Generation number.
    pub generation: Generation,
    /// Random identifier of an attempt to apply; shows whether a write whose answer was lost took
    /// effect.
    pub apply_id: String,
    /// Earlier accepted `apply_id`s, latest first, at most [`Root::MAX_PREVIOUS`]; show whether a
    /// write was accepted that was soon replaced.
    pub previous: Vec<String>,
    /// Hashes of the parts.
    pub parts: Vec<PartHash>,
}

impl Root {
    /// Maximum number of earlier `apply_id`s in a root.
    pub const MAX_PREVIOUS: usize = 64;

    /// Creates the root that follows `current`.
    pub fn following(current: Option<&Root>, apply_id: String, parts: Vec<PartHash>) -> Root {
        let generation = current.map_or(Generation::default(), |root| root.generation).next();
        let mut previous = Vec::new();
        if let Some(root) = current {
            previous.push(root.apply_id.clone());
            previous.extend(root.previous.iter().cloned());
            previous.truncate(Self::MAX_PREVIOUS);
        }
        Root { generation, apply_id, previous, parts }
    }

    /// Returns whether the attempt `apply_id` was accepted in this or a listed earlier generation.
    pub fn includes(&self, apply_id: &str) -> bool {
        self.apply_id == apply_id || self.previous.iter().any(|earlier| earlier == apply_id)
    }
}

/// Error of assembling a configuration from parts.
#[derive(Debug, Display, Error)]
pub enum AssembleError {
    /// A part that the root lists is missing.
    #[display("part {hash} is missing")]
    Missing {
        /// The part.
        hash: PartHash,
    },
    /// A part cannot be decoded.
    #[display("part {hash} cannot be read: {source}")]
    Unreadable {
        /// The part.
        hash: PartHash,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Target number of entries per part; keeps parts at a few kilobytes.
const ENTRIES_PER_PART: usize = 32;

impl FleetConfiguration {
    /// Splits the configuration into parts. The part of an entry depends on the hash of its name
    /// and on the number of buckets, a power of two, so a small change leaves most parts as they
    /// are.
    pub fn to_parts(&self) -> Vec<Part> {
        let entries = self.tenants.len() + self.services.len() + self.backends.len();
        let bucket_count = entries.div_ceil(ENTRIES_PER_PART).next_power_of_two() as u64;
        let mut parts: BTreeMap<u64, FleetConfiguration> = BTreeMap::new();
        let bucket = |name: &str| stable_hash(&[name.as_bytes()]) % bucket_count;
        for (name, tenant) in &self.tenants {
            let part = parts.entry(bucket(name.as_str())).or_default();
            part.tenants.insert(name.clone(), tenant.clone());
        }
        for (name, service) in &self.services {
            let part = parts.entry(bucket(name.as_str())).or_default();
            part.services.insert(name.clone(), service.clone());
        }
        for (name, backend) in &self.backends {
            let part = parts.entry(bucket(name.as_str())).or_default();
            part.backends.insert(name.clone(), backend.clone());
        }
        parts.values().map(encode).collect()
    }

    /// Assembles the configuration from the parts that `root` lists.
    pub fn assemble(
        root: &Root,
        parts: &BTreeMap<PartHash, Part>,
    ) -> Result<FleetConfiguration, AssembleError> {
        let mut configuration = FleetConfiguration::default();
        for hash in &root.parts {
            let part =
                parts.get(hash).ok_or_else(|| AssembleError::Missing { hash: hash.clone() })?;
            let partial: FleetConfiguration = serde_json::from_slice(&part.bytes)
                .map_err(|source| AssembleError::Unreadable { hash: hash.clone(), source })?;
            configuration.tenants.extend(partial.tenants);
            configuration.services.extend(partial.services);
            configuration.backends.extend(partial.backends);
        }
        Ok(configuration)
    }
}

fn encode(partial: &FleetConfiguration) -> Part {
    // Serialization cannot fail: the types contain only string keys and plain values.
    Part { bytes: serde_json::to_vec(partial).unwrap_or_default() }
}
