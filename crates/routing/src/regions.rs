//! In which regions requests may be served.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The region of each zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneRegions(BTreeMap<String, Arc<str>>);

impl ZoneRegions {
    /// The region of a zone, if it is known.
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

/// The regions in which a request may be served; all, if nothing restricts it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct AllowedRegions(Option<Arc<BTreeSet<String>>>);

impl AllowedRegions {
    /// These regions and no other.
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// Those that both allow.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(these), Some(those)) => Self::only(these.intersection(those).cloned()),
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }

    /// Whether a back end may serve that is in `region`. Where the region is not known, only an unrestricted request may go.
    pub fn allow(&self, region: Option<&str>) -> bool {
        self.0.as_ref().is_none_or(|allowed| region.is_some_and(|region| allowed.contains(region)))
    }

    /// Whether all regions may serve.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }
}
