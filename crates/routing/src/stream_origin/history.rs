//! Origins that streams of a route may have had in the recent past.
//!
//! Where the origin of a stream is not recorded, it is still certain if only one was possible in all
//! of the time in which the stream may have begun. A router observes its own life; an archive that
//! outlives the routers tells which origins were possible before.

use super::messages::StreamOrigin;
use crate::configuration::{RouteKind, RoutingConfiguration};
use mastbay_types::{Timestamp, short_hash};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Longest time without current lists of back ends after which the history is still complete: a
/// back end is listed for longer.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Age of the last observation up to which the lists count as current.
const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(250);
/// Longest time since the first event of a stream after which its caller may still resume it. It
/// bounds how long callers wait over all their requests; timeouts of routes do not, since a caller
/// may return after one, and a configuration may shorten it. Versions of removed back ends are kept
/// for as long.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(600);

/// The services that a route sends requests to.
#[derive(Debug)]
struct RouteTargets {
    services: BTreeSet<Arc<str>>,
    /// Since when; `None` until the next observation after a change.
    since: Option<Timestamp>,
}

/// What a router knows of the source's configuration and back ends at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListView {
    /// It may lack changes: no call to the source is answered, or a peer has newer lists.
    Outdated,
    /// It is current, but the configuration or the list of back ends is not known yet.
    Incomplete,
    /// It is current and complete.
    Complete,
}

/// What this router has observed of routes and of the versions of back ends.
#[derive(Debug, Default)]
pub struct OriginHistory {
    /// Since when the lists of back ends have been current, but for short gaps; `None` before.
    observed_since: Option<Timestamp>,
    /// When they were current last.
    last_current: Timestamp,
    /// Targets of streams, by the hash of the route's name.
    routes: HashMap<u32, RouteTargets>,
    /// When the last back end of each version was removed, by service.
    removed: HashMap<String, BTreeMap<Arc<str>, Timestamp>>,
    /// Versions that were listed in this life of the router, by service.
    listed: HashMap<String, BTreeSet<Arc<str>>>,
    /// Services that routes of streams had as targets in this life.
    stream_services: BTreeSet<Arc<str>>,
    /// Origins that were possible before `observed_since`; `None` if they are not known.
    earlier: Option<BTreeSet<StreamOrigin>>,
    /// Until when the source had no configuration, and never had one before: no stream can have begun
    /// until then. `None` if that is not known, or too long ago to know what came since.
    last_unconfigured: Option<Timestamp>,
}

impl OriginHistory {
    /// Records whether the lists of back ends are current. Called in each round of messages.
    pub fn observe(&mut self, now: Timestamp, view: ListView) {
        for targets in self.routes.values_mut() {
            targets.since.get_or_insert(now);
        }
        self.track_unconfigured(now, view);
        if view != ListView::Complete {
            return;
        }
        if self.observed_since.is_none() || now.since(self.last_current) > MAX_GAP {
            self.observed_since = Some(now);
            self.earlier = self.last_unconfigured.take().map(|_| BTreeSet::new());
        }
        self.last_current = now;
        self.removed.retain(|_, versions| {
            versions.retain(|_, removed| now.since(*removed) <= MAX_STREAM_AGE);
            !versions.is_empty()
        });
    }

    /// Records that the source has never had a configuration.
    pub fn on_unconfigured_source(&mut self, now: Timestamp) {
        self.last_unconfigured = self.routes.is_empty().then_some(now);
    }

    /// Follows until when there was no configuration. A router that was out of touch, or suspended,
    /// may have missed the first one.
    fn track_unconfigured(&mut self, now: Timestamp, view: ListView) {
        self.last_unconfigured = self.last_unconfigured.filter(|last| now.since(*last) <= MAX_GAP);
        if view == ListView::Incomplete && self.routes.is_empty() {
            self.last_unconfigured = self.last_unconfigured.map(|_| now);
        }
    }

    /// Records the targets of the routes in force.
    pub fn on_configuration(&mut self, configuration: &RoutingConfiguration) {
        let mut earlier = std::mem::take(&mut self.routes);
        for route in &configuration.routes {
            let used = route.targets.iter().filter(|target| target.weight > 0);
            let services: BTreeSet<Arc<str>> =
                used.map(|target| Arc::from(target.service.as_str())).collect();
            // Whether its streams may be resumed is a matter of the configuration at that time.
            if route.kind == RouteKind::Streaming {
                self.stream_services.extend(services.iter().cloned());
            }
            let key = short_hash(&[route.name.as_bytes()]);
            let same = earlier.remove(&key).filter(|targets| targets.services == services);
            self.routes.insert(key, same.unwrap_or(RouteTargets { services, since: None }));
        }
    }

    /// Records that a back end of a version is listed.
    pub fn on_listed(&mut self, service: &str, version: &Arc<str>) {
        match self.listed.get_mut(service) {
            Some(versions) if versions.contains(version) => {}
            Some(versions) => {
                versions.insert(version.clone());
            }
            None => {
                self.listed.insert(service.to_owned(), BTreeSet::from([version.clone()]));
            }
        }
    }

    /// Returns the services that routes of streams had as targets in this life of the router.
    pub fn stream_services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.stream_services.iter()
    }

    /// Returns the origins that streams may have had in this life of the router.
    pub fn observed_origins(&self) -> BTreeSet<StreamOrigin> {
        let services = self.stream_services.iter();
        let versions = services.flat_map(|service| {
            let versions = self.listed.get(&**service).into_iter().flatten();
            versions.map(move |version| (service.clone(), version.clone()))
        });
        versions.map(|(service, version)| StreamOrigin { service, version }).collect()
    }

    /// Returns all origins that streams may have had whose callers can still resume them; `None` if
    /// they are not known.
    pub fn possible_origins(&self, now: Timestamp) -> Option<BTreeSet<StreamOrigin>> {
        let is_observed = self.observed_for(now).is_some_and(|span| span >= MAX_STREAM_AGE);
        let earlier = self.earlier.clone().or(is_observed.then(BTreeSet::new))?;
        Some(&earlier | &self.observed_origins())
    }

    /// Returns since when the lists have been observed, if the origins of the time before are still
    /// to be read.
    pub fn needs_origins_before(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.observed_since.filter(|_| self.earlier.is_none())?;
        (now.since(since) < MAX_STREAM_AGE).then_some(since)
    }

    /// Returns whether the lists of back ends have been current at any time.
    pub fn has_observed(&self) -> bool {
        self.observed_since.is_some()
    }

    /// Records the origins that an archive held at `read`, when it began to be read. If the archive
    /// is not complete, it tells nothing of the others.
    pub fn on_archive(
        &mut self,
        read: Timestamp,
        origins: &BTreeSet<StreamOrigin>,
        is_complete: bool,
    ) {
        // What became possible while this router did not observe the lists may be missing.
        let is_since = self.observed_since.is_some_and(|since| since <= read);
        if is_since && is_complete {
            self.earlier.get_or_insert_default();
        }
        if let Some(earlier) = &mut self.earlier {
            earlier.extend(origins.iter().cloned());
        }
    }

    /// Forgets an origin of which no stream can be resumed any more.
    pub fn forget(&mut self, origin: &StreamOrigin) {
        if let Some(versions) = self.listed.get_mut(&*origin.service) {
            versions.remove(&origin.version);
        }
        if let Some(earlier) = &mut self.earlier {
            earlier.remove(origin);
        }
    }

    /// Returns whether no stream of an origin can be resumed any more, since no back end of it has
    /// been listed for as long as a caller may wait. `listed` returns the versions of a service's
    /// listed back ends.
    pub fn is_obsolete(
        &self,
        now: Timestamp,
        origin: &StreamOrigin,
        listed: impl Fn(&str) -> BTreeSet<Arc<str>>,
    ) -> bool {
        let is_observed = self.observed_for(now).is_some_and(|span| span >= MAX_STREAM_AGE);
        let removed = self.removed.get(&*origin.service);
        let is_recent = removed.is_some_and(|versions| versions.contains_key(&origin.version));
        is_observed && !is_recent && !listed(&origin.service).contains(&origin.version)
    }

    /// Records that a back end of a version was removed, or changed to another version.
    pub fn on_removed(&mut self, now: Timestamp, service: &str, version: &Arc<str>) {
        let versions = self.removed.entry(service.to_owned()).or_default();
        versions.insert(version.clone(), now);
    }

    /// Returns the origin that streams of a route have now, if only one is possible. `listed`
    /// returns the versions of a service's listed back ends.
    pub fn current(
        &self,
        route: u32,
        listed: impl Fn(&str) -> BTreeSet<Arc<str>>,
    ) -> Option<StreamOrigin> {
        let service = only(&self.routes.get(&route)?.services)?;
        let version = only(&listed(service))?.clone();
        Some(StreamOrigin { service: service.clone(), version })
    }

    /// Returns for how long the lists have been observed without a gap; `None` before.
    pub fn observed_for(&self, now: Timestamp) -> Option<Duration> {
        self.observed_since.map(|since| now.since(since))
    }

    /// Returns the only origin that a stream of a route can have had if it began within `age_limit`;
    /// `None` if several were possible, or if not all of that time was observed.
    pub fn only(
        &self,
        now: Timestamp,
        route: u32,
        age_limit: Duration,
        listed: impl Fn(&str) -> BTreeSet<Arc<str>>,
    ) -> Option<StreamOrigin> {
        if age_limit > MAX_STREAM_AGE {
            return None;
        }
        if now.since(self.last_current) > MAX_OBSERVATION_AGE {
            return None;
        }
        let is_unchanged =
            |since: Option<Timestamp>| since.is_some_and(|since| now.since(since) >= age_limit);
        let targets = self.routes.get(&route)?;
        let service = only(&targets.services)?;
        if !is_unchanged(self.observed_since) || !is_unchanged(targets.since) {
            return self.only_ever(service, listed(service));
        }
        let removed = self.removed.get(&**service).into_iter().flatten();
        let recent = removed.filter(|(_, removed)| now.since(**removed) <= age_limit);
        let mut versions = listed(service);
        versions.extend(recent.map(|(version, _)| version.clone()));
        let version = only(&versions)?.clone();
        Some(StreamOrigin { service: service.clone(), version })
    }

    /// Returns the only origin that any stream can have had, before this life of the router and in
    /// it; `None` if there were several, or if the time before is not known.
    fn only_ever(&self, service: &Arc<str>, listed: BTreeSet<Arc<str>>) -> Option<StreamOrigin> {
        let mut possible = &self.earlier.clone()? | &self.observed_origins();
        possible.extend(
            listed.into_iter().map(|version| StreamOrigin { service: service.clone(), version }),
        );
        let is_only = possible.len() == 1;
        possible.pop_first().filter(|_| is_only)
    }
}

/// Returns the element of a set that has exactly one.
fn only(set: &BTreeSet<Arc<str>>) -> Option<&Arc<str>> {
    set.first().filter(|_| set.len() == 1)
}
