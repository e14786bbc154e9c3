//! Applies a configuration: writes immutable parts first, then updates the root conditionally.
//!
//! "Accepted" is reported only if the root includes the change, "not accepted" only if it never
//! will. A write without an answer is retried with the same precondition and apply ID until the
//! outcome can be read from the root.

use crate::store::ObjectStore;
use bytes::Bytes;
use derive_more::{Display, Error};
use mastbay_configuration::{
    AssembleError, Difference, FleetConfiguration, Generation, Part, PartHash, Root, differences,
};
use mastbay_node::{ROOT_KEY, part_key};
use mastbay_object_store::{Object, Precondition, ReadError, WriteError};
use std::collections::BTreeMap;

/// Result of a successful apply.
#[derive(Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is accepted as this generation.
    Accepted(Generation),
    /// The accepted configuration is identical; nothing was written.
    Unchanged(Generation),
}

/// An error after which a configuration is not applied, or possibly applied for `Unknown`.
#[derive(Debug, Display, Error)]
pub enum ApplyError {
    /// Another operator's change was accepted first.
    #[display("generation {found} was applied by another operator meanwhile")]
    Conflict {
        /// The generation accepted instead.
        found: Generation,
        /// Differences made by that change.
        change: Vec<Difference>,
    },
    /// The platform cannot be read; nothing was accepted.
    #[display("not accepted: the platform cannot be read: {source}")]
    Unreadable {
        /// The last cause.
        source: ReadError,
    },
    /// No write of the root took effect; nothing was accepted.
    #[display("not accepted: {source}")]
    NotWritten {
        /// The last cause.
        source: WriteError,
    },
    /// The outcome of a write is unknown because the platform stopped answering.
    #[display("unknown: the platform stopped to answer while the change was being written; {hint}")]
    Unknown {
        /// Advice to the operator.
        hint: &'static str,
    },
    /// The stored configuration is invalid.
    #[display("the configuration in the platform is not understood: {source}")]
    Stored {
        /// The cause.
        source: StoredError,
    },
}

/// The invalid part of a stored configuration.
#[derive(Debug, Display, Error)]
pub enum StoredError {
    /// The root cannot be decoded.
    #[display("{_0}")]
    Root(serde_json::Error),
    /// Parts are missing or cannot be decoded.
    #[display("{_0}")]
    Parts(AssembleError),
}

const HINT: &str = "run `mastbayctl diff` once it answers";

/// The accepted configuration at the time of a read.
#[derive(Debug)]
pub struct Current {
    version: Option<u64>,
    root: Option<Root>,
    /// The full configuration, empty if none was ever applied.
    pub configuration: FleetConfiguration,
}

impl Current {
    /// Returns its generation, zero if none was ever applied.
    pub fn generation(&self) -> Generation {
        self.root.as_ref().map_or(Generation::default(), |root| root.generation)
    }
}

/// Reads the accepted configuration.
pub async fn read_current(store: &impl ObjectStore) -> Result<Current, ApplyError> {
    let Some(object) = read(store, ROOT_KEY).await? else {
        return Ok(Current { version: None, root: None, configuration: Default::default() });
    };
    let root = decode_root(&object)?;
    let mut parts = BTreeMap::new();
    for hash in &root.parts {
        if let Some(part) = read(store, &part_key(hash)).await? {
            parts.insert(hash.clone(), Part { bytes: part.value.to_vec() });
        }
    }
    let configuration = FleetConfiguration::assemble(&root, &parts)
        .map_err(|source| ApplyError::Stored { source: StoredError::Parts(source) })?;
    Ok(Current { version: Some(object.version), root: Some(root), configuration })
}

/// Applies `configuration` on top of `current`. `apply_id` must be unique.
pub async fn apply(
    store: &impl ObjectStore,
    current: &Current,
    configuration: &FleetConfiguration,
    apply_id: String,
) -> Result<Applied, ApplyError> {
    let parts = configuration.to_parts();
    let hashes: Vec<PartHash> = parts.iter().map(Part::hash).collect();
    let known = current.root.as_ref().map_or(&[][..], |root| &root.parts);
    if current.root.is_some() && known == hashes {
        return Ok(Applied::Unchanged(current.generation()));
    }
    for (part, hash) in parts.iter().zip(&hashes) {
        if !known.contains(hash) {
            write_part(store, part, hash).await?;
        }
    }
    let root = Root::following(current.root.as_ref(), apply_id, hashes);
    write_root(store, current, root).await
}

/// Writes a part. Parts are content-addressed, so a conflict means that it exists already.
async fn write_part(
    store: &impl ObjectStore,
    part: &Part,
    hash: &PartHash,
) -> Result<(), ApplyError> {
    loop {
        let value = Bytes::from(part.bytes.clone());
        match store.write(&part_key(hash), value, Precondition::Absent).await {
            Ok(_) | Err(WriteError::Conflict) => return Ok(()),
            Err(source) => {
                if !store.pause().await {
                    return Err(ApplyError::NotWritten { source });
                }
            }
        }
    }
}

async fn write_root(
    store: &impl ObjectStore,
    current: &Current,
    root: Root,
) -> Result<Applied, ApplyError> {
    let precondition = current.version.map_or(Precondition::Absent, Precondition::Version);
    // Cannot fail: every field of the type is representable in JSON.
    let value = Bytes::from(serde_json::to_vec(&root).unwrap_or_default());
    // Whether any write may have taken effect or may still do so.
    let mut possibly_written = false;
    loop {
        let error = match store.write(ROOT_KEY, value.clone(), precondition).await {
            Ok(_) => return Ok(Applied::Accepted(root.generation)),
            Err(WriteError::Conflict) => return resolve_conflict(store, current, &root).await,
            Err(error) => error,
        };
        possibly_written |= !matches!(error, WriteError::NotWritten(_));
        if !store.pause().await {
            return Err(match possibly_written {
                true => ApplyError::Unknown { hint: HINT },
                false => ApplyError::NotWritten { source: error },
            });
        }
    }
}

/// Determines whether the root was changed by this apply, in a write whose answer was lost, or by
/// another operator.
async fn resolve_conflict(
    store: &impl ObjectStore,
    current: &Current,
    root: &Root,
) -> Result<Applied, ApplyError> {
    let found = loop {
        match read_current(store).await {
            Ok(found) if found.version > current.version => break found,
            // A stale read: the conflict implies a later version.
            Ok(_) | Err(ApplyError::Unreadable { .. }) => {}
            Err(error) => return Err(error),
        }
        if !store.pause().await {
            return Err(ApplyError::Unknown { hint: HINT });
        }
    };
    match &found.root {
        Some(stored) if stored.includes(&root.apply_id) => Ok(Applied::Accepted(root.generation)),
        _ => Err(ApplyError::Conflict {
            found: found.generation(),
            change: differences(&current.configuration, &found.configuration),
        }),
    }
}

async fn read(store: &impl ObjectStore, key: &str) -> Result<Option<Object>, ApplyError> {
    loop {
        match store.read(key).await {
            Ok(object) => return Ok(object),
            Err(source) => {
                if !store.pause().await {
                    return Err(ApplyError::Unreadable { source });
                }
            }
        }
    }
}

fn decode_root(object: &Object) -> Result<Root, ApplyError> {
    serde_json::from_slice(&object.value)
        .map_err(|source| ApplyError::Stored { source: StoredError::Root(source) })
}
