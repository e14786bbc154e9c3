//! Applying a configuration: immutable parts first, then one conditional update of the root.
//!
//! Whatever the platform does, "accepted" is reported only if the root holds the change, and "not
//! accepted" only if it certainly never will: a write whose answer was lost is repeated with the same
//! condition and the same id until the root itself tells.

use crate::store::ObjectStore;
use bytes::Bytes;
use derive_more::{Display, Error};
use mastbay_configuration::{
    AssembleError, Difference, FleetConfiguration, Generation, Part, PartHash, Root, differences,
};
use mastbay_node::{ROOT_KEY, part_key};
use mastbay_object_store::{Object, Precondition, ReadError, WriteError};
use std::collections::BTreeMap;

/// How applying ended well.
#[derive(Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is accepted as this generation.
    Accepted(Generation),
    /// The configuration accepted before is the same; nothing was written.
    Unchanged(Generation),
}

/// Why a configuration was not applied, or may not have been.
#[derive(Debug, Display, Error)]
pub enum ApplyError {
    /// Another operator's change was accepted first.
    #[display("generation {found} was applied by another operator meanwhile")]
    Conflict {
        /// The generation accepted instead.
        found: Generation,
        /// What that change did.
        change: Vec<Difference>,
    },
    /// The platform did not answer, and certainly nothing was accepted.
    #[display("not accepted: the platform cannot be read: {source}")]
    Unreadable {
        /// The last cause.
        source: ReadError,
    },
    /// The platform took no write, so nothing was accepted.
    #[display("not accepted: {source}")]
    NotWritten {
        /// The last cause.
        source: WriteError,
    },
    /// The platform stopped to answer at the wrong moment.
    #[display("unknown: the platform stopped to answer while the change was being written; {hint}")]
    Unknown {
        /// What to do.
        hint: &'static str,
    },
    /// What the platform holds is not understood.
    #[display("the configuration in the platform is not understood: {source}")]
    Stored {
        /// The cause.
        source: StoredError,
    },
}

/// Why a stored configuration is not understood.
#[derive(Debug, Display, Error)]
pub enum StoredError {
    /// The root is no root.
    #[display("{_0}")]
    Root(serde_json::Error),
    /// Parts are missing or no parts.
    #[display("{_0}")]
    Parts(AssembleError),
}

const HINT: &str = "run `mastbayctl diff` once it answers";

/// The configuration accepted at one moment.
#[derive(Debug)]
pub struct Current {
    version: Option<u64>,
    root: Option<Root>,
    /// The whole configuration, empty if none was ever applied.
    pub configuration: FleetConfiguration,
}

impl Current {
    /// Its generation.
    pub fn generation(&self) -> Generation {
        self.root.as_ref().map_or(Generation::default(), |root| root.generation)
    }
}

/// Reads the configuration accepted now.
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

/// Applies `configuration` on top of `current`. `apply_id` must never have been used before.
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

/// A part is named by its contents, so it does not matter who wrote it or how often.
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
    // The type holds nothing that JSON cannot.
    let value = Bytes::from(serde_json::to_vec(&root).unwrap_or_default());
    // Whether any write so far may have taken effect, or may yet.
    let mut perhaps_written = false;
    loop {
        let error = match store.write(ROOT_KEY, value.clone(), precondition).await {
            Ok(_) => return Ok(Applied::Accepted(root.generation)),
            Err(WriteError::Conflict) => return judge_conflict(store, current, &root).await,
            Err(error) => error,
        };
        perhaps_written |= !matches!(error, WriteError::NotWritten(_));
        if !store.pause().await {
            return Err(match perhaps_written {
                true => ApplyError::Unknown { hint: HINT },
                false => ApplyError::NotWritten { source: error },
            });
        }
    }
}

/// The root is another than the one that the change was worked out from: by our own write, whose
/// answer was lost, or by another operator's.
async fn judge_conflict(
    store: &impl ObjectStore,
    current: &Current,
    root: &Root,
) -> Result<Applied, ApplyError> {
    let found = loop {
        match read_current(store).await {
            Ok(found) if found.version > current.version => break found,
            // A stale read: the conflict says that there is a later version.
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
