//! Immutable parts named by their hash, and the root that lists them.

use crate::fleet::FleetConfiguration;
use derive_more::{Display, Error};
use mastbay_types::stable_hash;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Position of a configuration in the order of those accepted; zero is "none yet".
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
    /// The one after this.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }
}

/// SHA-256 of a part's bytes, in hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub struct PartHash(String);

impl PartHash {
    /// The hash as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A piece of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its bytes, a JSON form of a [`FleetConfiguration`] that holds some entries.
    pub bytes: Vec<u8>,
}

impl Part {
    /// The part's name.
    pub fn hash(&self) -> PartHash {
        PartHash(hex::encode(Sha256::digest(&self.bytes)))
    }
}

/// What is in force: a generation and the parts that make it up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Position in the order of accepted configurations.
    pub generation: Generation,
    /// Drawn anew for each try to apply, so that the one who applied can tell whether a write
    /// whose answer was lost took effect.
    pub apply_id: String,
    /// The `apply_id`s accepted before, the latest first, [`Root::REMEMBERED`] at most: tells one
    /// whose write was accepted and soon replaced that it was.
    pub previous: Vec<String>,
    /// The parts.
    pub parts: Vec<PartHash>,
}

impl Root {
    /// Number of earlier `apply_id`s that a root remembers.
    pub const REMEMBERED: usize = 64;

    /// The root that follows `current`.
    pub fn following(current: Option<&Root>, apply_id: String, parts: Vec<PartHash>) -> Root {
        let generation = current.map_or(Generation::default(), |root| root.generation).next();
        let mut previous = Vec::new();
        if let Some(root) = current {
            previous.push(root.apply_id.clone());
            previous.extend(root.previous.iter().cloned());
            previous.truncate(Self::REMEMBERED);
        }
        Root { generation, apply_id, previous, parts }
    }

    /// Whether the try `apply_id` was accepted, now or among those remembered.
    pub fn includes(&self, apply_id: &str) -> bool {
        self.apply_id == apply_id || self.previous.iter().any(|earlier| earlier == apply_id)
    }
}

/// Why parts do not make up a configuration.
#[derive(Debug, Display, Error)]
pub enum AssembleError {
    /// A part that the root lists is not there.
    #[display("part {hash} is missing")]
    Missing {
        /// The part.
        hash: PartHash,
    },
    /// A part's bytes are no configuration.
    #[display("part {hash} cannot be read: {source}")]
    Unreadable {
        /// The part.
        hash: PartHash,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Entries aimed at for each part: small enough that one change moves a few kilobytes.
const ENTRIES_PER_PART: usize = 32;

impl FleetConfiguration {
    /// Cuts the configuration into parts. Which part an entry falls into depends on its name and,
    /// in steps of two, on the number of entries, so most parts outlive a small change.
    pub fn to_parts(&self) -> Vec<Part> {
        let entries = self.tenants.len() + self.services.len() + self.backends.len();
        let buckets = entries.div_ceil(ENTRIES_PER_PART).next_power_of_two() as u64;
        let mut parts: BTreeMap<u64, FleetConfiguration> = BTreeMap::new();
        let bucket = |name: &str| stable_hash(&[name.as_bytes()]) % buckets;
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

    /// Puts a configuration together from the parts that `root` lists.
    pub fn assemble(
        root: &Root,
        parts: &BTreeMap<PartHash, Part>,
    ) -> Result<FleetConfiguration, AssembleError> {
        let mut whole = FleetConfiguration::default();
        for hash in &root.parts {
            let part =
                parts.get(hash).ok_or_else(|| AssembleError::Missing { hash: hash.clone() })?;
            let piece: FleetConfiguration = serde_json::from_slice(&part.bytes)
                .map_err(|source| AssembleError::Unreadable { hash: hash.clone(), source })?;
            whole.tenants.extend(piece.tenants);
            whole.services.extend(piece.services);
            whole.backends.extend(piece.backends);
        }
        Ok(whole)
    }
}

fn encode(piece: &FleetConfiguration) -> Part {
    // These types hold nothing that JSON cannot: string keys and plain values only.
    Part { bytes: serde_json::to_vec(piece).unwrap_or_default() }
}
