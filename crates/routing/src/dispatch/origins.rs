//! Origins of streams: the routers that keep their records, and origins that are certain without one.

use super::Dispatcher;
use super::fleet::OwnState;
use crate::back_end::{BackEnd, BackEndId};
use crate::revision::Revision;
use crate::stream_origin::{
    KnownOrigin, ListView, MAX_STREAM_AGE, OriginAnswer, OriginQuery, StreamKey, StreamOrigin,
};
use mastbay_types::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl Dispatcher {
    /// Returns up to `count` peers that keep the record of a stream, those that are preferred first.
    pub fn origin_owners(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        self.fleet.origin_owners(stream, count)
    }

    /// Returns whether a listed back end has changed to another version than `version`.
    pub fn has_other_version(&self, id: &BackEndId, version: &str) -> bool {
        self.back_end(id).is_some_and(|listed| *listed.version != *version)
    }

    /// Returns this router's answer to a query. `known` is what its records hold.
    pub fn origin_answer(
        &self,
        now: Timestamp,
        query: &OriginQuery,
        known: KnownOrigin,
    ) -> OriginAnswer {
        let listed = |service: &str| self.engines.versions(service);
        // Routers of earlier versions ask with a limit that follows from the route's timeout.
        let age_limit = Duration::from_millis(u64::from(query.age_limit_ms)).max(MAX_STREAM_AGE);
        match known {
            KnownOrigin::Recorded { origin, age } => {
                let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
                OriginAnswer::Recorded { origin, age_ms }
            }
            KnownOrigin::Conflicting => OriginAnswer::Conflicting,
            KnownOrigin::NotRecorded if !self.origin_history.has_observed() => {
                OriginAnswer::Starting
            }
            KnownOrigin::NotRecorded => OriginAnswer::NotRecorded {
                only: self.origin_history.only(now, query.route, age_limit, listed),
                current: self.origin_history.current(query.route, listed),
            },
        }
    }

    /// Returns for how long this router has observed the lists of back ends without a gap.
    pub fn observed_origins_for(&self, now: Timestamp) -> Duration {
        self.origin_history.observed_for(now).unwrap_or_default()
    }

    /// Records that the source has never had a configuration, so that no stream has begun yet.
    pub fn on_unconfigured_source(&mut self, now: Timestamp) {
        self.origin_history.on_unconfigured_source(now);
    }

    /// Returns since when this router observes the lists, if the origins of the time before are
    /// still to be read.
    pub fn needs_origins_before(&self, now: Timestamp) -> Option<Timestamp> {
        self.origin_history.needs_origins_before(now)
    }

    /// Returns whether this router observes the lists of back ends.
    pub fn observes_origins(&self) -> bool {
        self.origin_history.has_observed()
    }

    /// Records the origins that an archive held at `read`, when it began to be read.
    pub fn on_origin_archive(
        &mut self,
        read: Timestamp,
        origins: &BTreeSet<StreamOrigin>,
        is_complete: bool,
    ) {
        self.origin_history.on_archive(read, origins, is_complete);
        self.withheld_versions.on_read(origins);
        self.update_withheld_versions();
    }

    /// Records the origins that an archive held at `read` on behalf of a search. What was archived since
    /// may be known here already.
    pub fn on_confirmed_origins(
        &mut self,
        read: Timestamp,
        origins: &BTreeSet<StreamOrigin>,
        is_complete: bool,
    ) {
        self.origin_history.on_archive(read, origins, is_complete);
        origins.iter().for_each(|origin| self.on_archived_origin(origin));
    }

    /// Records that the archive holds an origin, which this router or another one has written.
    pub fn on_archived_origin(&mut self, origin: &StreamOrigin) {
        if self.withheld_versions.on_archived(origin) {
            self.update_withheld_versions();
        }
    }

    /// Returns whether the archive is not known to hold all origins that streams may have.
    pub fn lacks_archived_origins(&self) -> bool {
        self.withheld_versions.lacks_any(&self.origin_history.observed_origins())
    }

    /// Returns whether a stream may begin at a back end.
    pub(super) fn may_begin_stream(&self, back_end: &BackEnd) -> bool {
        !self.withheld_versions.withholds(&back_end.service, &back_end.version)
    }

    /// Computes anew which versions begin no streams yet.
    pub(super) fn update_withheld_versions(&mut self) {
        if !self.lacks_archived_origins() {
            self.withheld_versions.update(std::iter::empty());
            return;
        }
        let engines = &self.engines;
        let ready_versions = |service: &Arc<str>| {
            let ready = engines.ready(service).iter().filter_map(|ready| engines.get(&ready.id));
            (service.clone(), ready.map(|engine| engine.back_end.version.clone()).collect())
        };
        let services = self.origin_history.stream_services();
        self.withheld_versions.update(services.map(ready_versions));
    }

    /// Returns all origins that streams may have had whose callers can still resume them; `None` if
    /// they are not known.
    pub fn possible_origins(&self, now: Timestamp) -> Option<BTreeSet<StreamOrigin>> {
        self.origin_history.possible_origins(now)
    }

    /// Returns the origins that streams may have had in this life of the router.
    pub fn observed_origins(&self) -> BTreeSet<StreamOrigin> {
        self.origin_history.observed_origins()
    }

    /// Removes those of `origins` of which no stream can be resumed any more, and returns them.
    pub fn take_obsolete_origins(
        &mut self,
        now: Timestamp,
        origins: &BTreeSet<StreamOrigin>,
    ) -> Vec<StreamOrigin> {
        let listed = |service: &str| self.engines.versions(service);
        let is_obsolete =
            |origin: &&StreamOrigin| self.origin_history.is_obsolete(now, origin, listed);
        let obsolete: Vec<StreamOrigin> = origins.iter().filter(is_obsolete).cloned().collect();
        obsolete.iter().for_each(|origin| self.origin_history.forget(origin));
        obsolete
    }

    /// Records whether this router's lists of back ends are complete and current.
    pub(super) fn observe_origins(&mut self, now: Timestamp, own: &OwnState) {
        let is_complete = own.configuration > 0 && own.back_ends != Revision::default();
        let is_current = self.is_source_answering(now) && !self.fleet.is_behind(now, own);
        let view = match (is_current, is_complete) {
            (false, _) => ListView::Outdated,
            (true, false) => ListView::Incomplete,
            (true, true) => ListView::Complete,
        };
        self.origin_history.observe(now, view);
    }
}
