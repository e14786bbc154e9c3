//! Snapshots of configuration and back ends that routers hand to each other.
//!
//! After a change a router may hand out the same snapshot dozens of times, so the last one is kept encoded.

use crate::catalogue::{Catalogue, Versions};
use bytes::Bytes;
use mastbay_routing::Revision;

/// Where peers fetch configuration and back ends.
pub const SNAPSHOT_PATH: &str = "/snapshot";

/// The path and query that ask for what is newer than `known`.
pub fn snapshot_target(known: Versions) -> String {
    let Versions { configuration, back_ends, evacuations, rollouts } = known;
    format!(
        "{SNAPSHOT_PATH}?configuration={configuration}&back-ends={back_ends}&evacuations={evacuations}\
         &rollouts={rollouts}"
    )
}

/// The versions that a query names; what it does not name or what is no number is taken as unknown.
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

/// What an encoded snapshot holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Contents {
    versions: Versions,
    has_configuration: bool,
    /// The revision after which changes of back ends are told, if any are.
    back_ends_since: Option<Revision>,
    has_evacuations: bool,
    has_rollouts: bool,
}

/// Snapshots, encoded; the last one is kept.
#[derive(Debug, Default)]
pub struct EncodedSnapshots {
    last: Option<(Contents, Bytes)>,
}

impl EncodedSnapshots {
    /// A snapshot for a router that has `known` in force.
    ///
    /// # Errors
    /// If it cannot be encoded.
    pub fn get(
        &mut self,
        catalogue: &Catalogue,
        known: Versions,
    ) -> Result<Bytes, rmp_serde::encode::Error> {
        let versions = catalogue.versions();
        let contents = Contents {
            versions,
            has_configuration: versions.configuration > known.configuration,
            back_ends_since: (versions.back_ends > known.back_ends).then_some(known.back_ends),
            has_evacuations: versions.evacuations > known.evacuations,
            has_rollouts: versions.rollouts > known.rollouts,
        };
        if let Some((kept, encoded)) = &self.last
            && *kept == contents
        {
            return Ok(encoded.clone());
        }
        let encoded = Bytes::from(rmp_serde::to_vec(&catalogue.snapshot(known))?);
        self.last = Some((contents, encoded.clone()));
        Ok(encoded)
    }
}
