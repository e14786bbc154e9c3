//! A fleet in virtual time whose routers learn of back ends from a source: a few watch it, and the
//! others fetch updates from them.
#![allow(dead_code, missing_docs)]

use super::fleet::{Fleet, address, router_without_engines};
use super::{MODEL, back_end};
use mastbay_routing::{
    BackEnd, BackEndDirectory, BackEndId, BackEndState, BackEndUpdate, OutageDetector,
    SourceContact, StartingRouter,
};
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Slots of each back end.
const SLOTS: u32 = 8;
/// Time that a fetch from a peer takes.
const FETCH_TIME: Duration = Duration::from_millis(80);
/// Timeout of a fetch from a peer that does not answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// A router's knowledge of the back ends.
#[derive(Default)]
struct Knowledge {
    directory: BackEndDirectory,
    outage: OutageDetector,
    /// When the current watch of the source began.
    watch_began: Option<Timestamp>,
    fetch: Option<Fetch>,
    /// The last fetch failed, so the router watches the source itself.
    has_failed_fetch: bool,
}

/// A fetch from a peer that is in progress.
#[derive(Clone, Copy)]
struct Fetch {
    from: SocketAddr,
    began: Timestamp,
}

pub struct SourcedFleet {
    pub fleet: Fleet,
    knowledge: BTreeMap<SocketAddr, Knowledge>,
    /// The entries of the source.
    source: BackEndDirectory,
    /// Whether the source rejects all calls.
    pub is_source_down: bool,
    /// Time that the first call of a router takes after it begins to watch the source.
    pub first_watch_time: Duration,
    /// Routers whose fetches take this much longer.
    pub slow_fetchers: BTreeMap<SocketAddr, Duration>,
    /// Routers that were killed.
    restarts: u64,
}

impl SourcedFleet {
    /// Creates a fleet of `size` routers before back ends `e0`, `e1` and so on.
    pub fn new(size: usize, back_ends: usize) -> Self {
        let mut source = BackEndDirectory::default();
        let back_ends = (0..back_ends).map(|index| back_end(&format!("e{index}"), MODEL, SLOTS));
        let update =
            BackEndUpdate { listed: back_ends.collect(), ..BackEndUpdate::from(list_at(1)) };
        source.apply(Timestamp::ZERO, None, update);
        let mut fleet = Fleet::new(size);
        let routers = (0..size).map(|index| (address(index), router_without_engines(index, 1)));
        fleet.routers = routers.collect();
        Self {
            knowledge: (0..size).map(|index| (address(index), Knowledge::default())).collect(),
            fleet,
            source,
            is_source_down: false,
            first_watch_time: Duration::ZERO,
            slow_fetchers: BTreeMap::new(),
            restarts: 1,
        }
    }

    /// Kills routers and starts them again without knowledge.
    pub fn restart(&mut self, routers: impl Iterator<Item = usize>) {
        self.restarts += 1;
        for index in routers {
            let router = router_without_engines(index, self.restarts);
            self.fleet.restart(address(index), router);
            self.knowledge.insert(address(index), Knowledge::default());
        }
    }

    /// Changes the source: adds or replaces an entry.
    pub fn put(&mut self, name: &str, state: BackEndState) {
        let listed = vec![BackEnd { state, ..back_end(name, MODEL, SLOTS) }];
        self.change_source(listed, Vec::new());
    }

    /// Changes the source: removes entries.
    pub fn remove(&mut self, names: &[&str]) {
        self.change_source(Vec::new(), names.iter().map(|name| Arc::from(*name)).collect());
    }

    fn change_source(&mut self, listed: Vec<BackEnd>, removed: Vec<Arc<str>>) {
        let known = self.source.revision().expect("entries");
        let mut revision = known;
        revision.number += 1;
        let base = Some(known);
        let update = BackEndUpdate { base, revision, listed, removed, ..BackEndUpdate::default() };
        self.source.apply(self.fleet.now, None, update);
    }

    /// Runs one round: routers watch the source, fetch from each other and exchange messages.
    pub fn round(&mut self) {
        let silent = self.fleet.silent.clone();
        let addresses: Vec<SocketAddr> = self.fleet.routers.keys().copied().collect();
        for address in addresses.into_iter().filter(|address| !silent.contains(address)) {
            self.watch(address);
            self.detect_outage(address);
            self.fetch(address);
            self.expire(address);
        }
        self.fleet.round();
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Runs rounds until `condition` holds; returns the time that took. Panics after `limit`.
    pub fn rounds_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let began = self.fleet.now;
        while !condition(self) {
            assert!(self.fleet.now.since(began) < limit, "not within {limit:?}");
            self.round();
        }
        self.fleet.now.since(began)
    }

    /// Returns the routers that send requests to a back end.
    pub fn using(&self, name: &str) -> BTreeSet<SocketAddr> {
        let id = BackEndId::from(name);
        let routers = self.fleet.routers.iter();
        let using = routers.filter(|(_, router)| {
            router.back_end(&id).is_some_and(|known| known.state == BackEndState::Ready)
        });
        using.map(|(address, _)| *address).collect()
    }

    /// Returns whether all routers know the latest revision of the source.
    pub fn is_up_to_date(&self) -> bool {
        let latest = self.source.revision();
        self.knowledge.values().all(|known| known.directory.revision() == latest)
    }

    /// Returns the number of running routers that take the source for lost or recovering.
    pub fn recovering(&self) -> usize {
        let running = self.knowledge.iter();
        let running = running.filter(|(address, _)| !self.fleet.silent.contains(address));
        let is_recovering =
            |address, known: &Knowledge| known.outage.is_recovering(self.fleet.clock(address));
        running.filter(|(address, known)| is_recovering(**address, known)).count()
    }

    /// Returns the routers that watch the source.
    pub fn watching(&self) -> Vec<SocketAddr> {
        let watching = self.knowledge.iter().filter(|(_, known)| known.watch_began.is_some());
        watching.map(|(address, _)| *address).collect()
    }

    fn watch(&mut self, address: SocketAddr) {
        let now = self.fleet.clock(address);
        let watches = self.watches_source(address, now);
        let known = self.knowledge.get_mut(&address).expect("known");
        let router = self.fleet.routers.get_mut(&address).expect("known");
        if !watches {
            known.watch_began = None;
            return router.on_source_contact(SourceContact::Idle);
        }
        if self.is_source_down {
            known.watch_began = None;
            return router.on_source_contact(SourceContact::Lost);
        }
        let began = *known.watch_began.get_or_insert(now);
        if now.since(began) < self.first_watch_time {
            return;
        }
        router.on_source_contact(SourceContact::Answered);
        if known.directory.revision() < self.source.revision() {
            let revision = known.directory.revision().unwrap_or_default();
            let update = self.source.update_since(now, revision);
            let grace_ends = known.outage.grace_ends(now);
            self.apply(address, now, grace_ends, update);
        }
    }

    fn watches_source(&self, address: SocketAddr, now: Timestamp) -> bool {
        let router = &self.fleet.routers[&address];
        let known = &self.knowledge[&address];
        if known.directory.revision().is_some() {
            return known.has_failed_fetch || router.watches_source(now);
        }
        let starting = StartingRouter {
            running: now.since(Timestamp::ZERO),
            routers: router.fleet_size(),
            is_seed: self.fleet.seeds.contains(&address),
            watches_source: router.watches_source(now),
            others_reach_source: router.others_reach_source(now),
        };
        starting.queries_source()
    }

    fn detect_outage(&mut self, address: SocketAddr) {
        let now = self.fleet.clock(address);
        let known = self.knowledge.get_mut(&address).expect("known");
        known.outage.observe(now, self.fleet.routers[&address].source_availability(now));
    }

    fn fetch(&mut self, address: SocketAddr) {
        let now = self.fleet.clock(address);
        let known = self.knowledge.get_mut(&address).expect("known");
        let Some(fetch) = known.fetch else {
            let newer = self.fleet.routers[&address].newer_snapshot_address(now, 0.5);
            known.fetch = newer.map(|from| Fetch { from, began: now });
            return;
        };
        let taken = now.since(fetch.began);
        if self.fleet.silent.contains(&fetch.from) {
            if taken >= FETCH_TIMEOUT {
                known.fetch = None;
                known.has_failed_fetch = true;
            }
            return;
        }
        let delay = self.slow_fetchers.get(&address).copied().unwrap_or_default();
        if taken < FETCH_TIME + delay {
            return;
        }
        known.fetch = None;
        known.has_failed_fetch = false;
        let revision = known.directory.revision().unwrap_or_default();
        let sent_at = self.fleet.clock(fetch.from);
        let update = self.knowledge[&fetch.from].directory.update_since(sent_at, revision);
        self.apply(address, now, None, update);
    }

    fn apply(
        &mut self,
        address: SocketAddr,
        now: Timestamp,
        grace_ends: Option<Timestamp>,
        update: BackEndUpdate,
    ) {
        let known = self.knowledge.get_mut(&address).expect("known");
        if let Some(changes) = known.directory.apply(now, grace_ends, update) {
            let router = self.fleet.routers.get_mut(&address).expect("known");
            router.on_back_end_changes(now, &changes);
        }
    }

    fn expire(&mut self, address: SocketAddr) {
        let now = self.fleet.clock(address);
        let known = self.knowledge.get_mut(&address).expect("known");
        if let Some(changes) = known.directory.expire(now) {
            let router = self.fleet.routers.get_mut(&address).expect("known");
            router.on_back_end_changes(now, &changes);
        }
    }
}

/// Returns an empty list at a revision.
fn list_at(revision: u64) -> mastbay_routing::BackEndList {
    super::list(revision, 0, SLOTS)
}
