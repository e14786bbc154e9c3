//! Snapshots of configuration and back ends that routers fetch from each other.
//!
//! After a change a router may serve the same snapshot dozens of times, so the last one is cached
//! in encoded form.

use crate::catalogue::{Catalogue, Versions};
use bytes::Bytes;
use mastbay_routing::Revision;

/// Path at which peers fetch snapshots.
pub const SNAPSHOT_PATH: &str = "/snapshot";

/// Returns the path and query that request what is newer than `known`.
pub fn snapshot_target(known: Versions) -> String {
    let Versions { configuration, back_ends, evacuations, rollouts } = known;
    format!(
        "{SNAPSHOT_PATH}?configuration={configuration}&back-ends={back_ends}&evacuations={evacuations}\
         &rollouts={rollouts}"
    )
}

/// Parses the versions in a query; those that are missing or malformed count as unknown.
pub fn known_versions(query: Option<&str>) -> Versions {
    let mut known = Versions::default();
    for (name, value) in
        query.unwrap_or_default().split('&').filter_map(|part| part.split_once('='))
    {
        match name {
            "configuration" => known.configuration = value.parse().unwrap_or_default(),
            "back-ends" => known.back_ends = value.parse().unwrap_or_default(),
            "evacuations" => known.evacuations = value.parse().unwrap_or_default(),
            "rollouts" => known.rollouts = value.parse().unwrap_or_default(),
            _ => {}
        }
    }
    known
}

/// Identifies the contents of an encoded snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SnapshotContents {
    versions: Versions,
    has_configuration: bool,
    /// The revision since which it holds the changes of back ends; `None` if it holds none.
    back_ends_since: Option<Revision>,
    has_evacuations: bool,
    has_rollouts: bool,
}

/// Encodes snapshots and caches the last one.
#[derive(Debug, Default)]
pub struct EncodedSnapshots {
    last: Option<(SnapshotContents, Bytes)>,
}

impl EncodedSnapshots {
    /// Returns the encoded snapshot for a router that has `known` in force.
    ///
    /// # Errors
    /// If the snapshot cannot be encoded.
    pub fn get(
        &mut self,
        catalogue: &Catalogue,
        known: Versions,
    ) -> Result<Bytes, rmp_serde::encode::Error> {
        let versions = catalogue.versions();
        let contents = SnapshotContents {
            versions,
            has_configuration: versions.configuration > known.configuration,
            back_ends_since: (versions.back_ends > known.back_ends).then_some(known.back_ends),
            has_evacuations: versions.evacuations > known.evacuations,
            has_rollouts: versions.rollouts > known.rollouts,
        };
        if let Some((cached, encoded)) = &self.last
            && *cached == contents
        {
            return Ok(encoded.clone());
        }
        let encoded = Bytes::from(rmp_serde::to_vec(&catalogue.snapshot(known))?);
        self.last = Some((contents, encoded.clone()));
        Ok(encoded)
    }
}
