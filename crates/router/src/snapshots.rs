//! Snapshots of configuration and back ends that routers fetch from each other.
//!
//! After a change a router may serve the same snapshot dozens of times, so the last one is cached
//! in encoded form.

use crate::catalogue::{Catalogue, Versions};
use bytes::Bytes;
use mastbay_routing::Revision;
use mastbay_types::Timestamp;
use std::time::Duration;

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

/// Time for which a cached snapshot with back ends that are kept for a remaining time is served.
const KEPT_TIMES_VALIDITY: Duration = Duration::from_millis(100);

/// Rounds a time up to a multiple of `step`.
fn rounded_up(time: Timestamp, step: Duration) -> Timestamp {
    let step = step.as_micros() as u64;
    Timestamp::from_micros(time.as_micros().next_multiple_of(step))
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
    /// When the remaining times of kept back ends were computed; `None` if there are none.
    kept_as_of: Option<Timestamp>,
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
        now: Timestamp,
        known: Versions,
    ) -> Result<Bytes, rmp_serde::encode::Error> {
        let versions = catalogue.versions();
        // Rounded up, so that no remaining time in a cached snapshot is too long.
        let as_of = rounded_up(now, KEPT_TIMES_VALIDITY);
        let contents = SnapshotContents {
            versions,
            has_configuration: versions.configuration > known.configuration,
            back_ends_since: (versions.back_ends > known.back_ends).then_some(known.back_ends),
            has_evacuations: versions.evacuations > known.evacuations,
            has_rollouts: versions.rollouts > known.rollouts,
            kept_as_of: (catalogue.back_ends().kept() > 0).then_some(as_of),
        };
        if let Some((cached, encoded)) = &self.last
            && *cached == contents
        {
            return Ok(encoded.clone());
        }
        let encoded = Bytes::from(rmp_serde::to_vec(&catalogue.snapshot(as_of, known))?);
        self.last = Some((contents, encoded.clone()));
        Ok(encoded)
    }
}
