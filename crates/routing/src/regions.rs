//! Restriction of requests to regions.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maps zones to regions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneRegions(BTreeMap<String, Arc<str>>);

impl ZoneRegions {
    /// Returns the region of a zone, if known.
    pub fn of(&self, zone: &str) -> Option<Arc<str>> {
        self.0.get(zone).cloned()
    }
}

impl FromIterator<(String, String)> for ZoneRegions {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(zones: I) -> Self {
        let zones = zones.into_iter();
        Self(zones.map(|(zone, region)| (zone, Arc::from(region))).collect())
    }
}

/// Regions in which a request may be served; all by default.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct AllowedRegions(Option<Arc<BTreeSet<String>>>);

impl AllowedRegions {
    /// Restricts to the given regions.
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// Returns the regions that both allow.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(these), Some(those)) => Self::only(these.intersection(those).cloned()),
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }

    /// Returns whether a back end in `region` may serve the request. An unknown region is allowed
    /// only without a restriction.
    pub fn allow(&self, region: Option<&str>) -> bool {
        self.0.as_ref().is_none_or(|allowed| region.is_some_and(|region| allowed.contains(region)))
    }

    /// Returns whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }
}
