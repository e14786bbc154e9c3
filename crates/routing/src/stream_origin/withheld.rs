//! Versions that begin no streams yet, since an archive that outlives the routers does not hold them.
//!
//! A router that missed that a version joined learns of it from the archive, which it reads before it
//! takes a version for the only one that a stream can have begun at. That holds only if each version
//! is archived before the first stream begins there. While no back end of an archived version is
//! ready, the others are used all the same: a fleet that has just started has archived none. A router
//! that has not read the archive yet withholds none: the others have archived what they use.

use super::messages::StreamOrigin;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The versions that begin no streams yet, by what a router knows of the archive's contents.
#[derive(Debug, Default)]
pub struct WithheldVersions {
    /// Origins that the archive holds; `None` before it was read, and if there is none.
    archived: Option<BTreeSet<StreamOrigin>>,
    /// Versions that begin no streams yet, by service.
    withheld: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl WithheldVersions {
    /// Replaces what is known of the contents: an archive that was restored may lack origins.
    pub fn on_read(&mut self, origins: &BTreeSet<StreamOrigin>) {
        self.archived = Some(origins.clone());
    }

    /// Records that the archive holds an origin. Returns whether that is new; it is not used before the
    /// archive was read.
    pub fn on_archived(&mut self, origin: &StreamOrigin) -> bool {
        let archived = self.archived.as_mut().filter(|archived| !archived.contains(origin));
        archived.is_some_and(|archived| archived.insert(origin.clone()))
    }

    /// Returns whether the archive is not known to hold all of `origins`.
    pub fn lacks_any(&self, origins: &BTreeSet<StreamOrigin>) -> bool {
        self.archived.as_ref().is_some_and(|archived| !origins.is_subset(archived))
    }

    /// Computes the withheld versions anew. `ready` holds the versions of the ready back ends of each
    /// service of streams.
    pub fn update(&mut self, ready: impl Iterator<Item = (Arc<str>, BTreeSet<Arc<str>>)>) {
        self.withheld.clear();
        let Some(archived) = &self.archived else { return };
        for (service, versions) in ready {
            let is_archived = |version: &Arc<str>| {
                archived
                    .contains(&StreamOrigin { service: service.clone(), version: version.clone() })
            };
            let (usable, withheld): (BTreeSet<_>, BTreeSet<_>) =
                versions.into_iter().partition(is_archived);
            if !usable.is_empty() && !withheld.is_empty() {
                self.withheld.insert(service, withheld);
            }
        }
    }

    /// Returns whether a back end of a version begins no streams yet.
    pub fn withholds(&self, service: &str, version: &str) -> bool {
        self.withheld.get(service).is_some_and(|withheld| withheld.contains(version))
    }
}
