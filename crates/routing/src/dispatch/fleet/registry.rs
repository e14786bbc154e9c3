//! The registry of the fleet's routers, as far as this router knows it.
//!
//! Parts of a fleet that never hear each other would each take themselves for the whole, so routers
//! are not only counted by their messages. One of the routers that follow the source reads the
//! registry, adds the routers that it hears, and tells the others; each aggregator tells its members
//! how many routers there are. A router relies on what it knows for one lease. One that was added spends its shares after a lease: by then, each other
//! router either counts it or knows that its own count is not confirmed any more.

use super::roster::ROSTER_TTL;
use super::{Fleet, MIN_PEER_TTL};
use crate::digest::{Outgoing, PeerMessage, RouterPhase};
use crate::dispatch::aggregation::Role;
use crate::revision::Revision;
use crate::source_watchers::SourceContact;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time for which a count is relied on, with budgets of shorter windows.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Notices per lease. A member of an aggregator gets them at second hand, and some may be lost.
const NOTICES_PER_LEASE: u32 = 8;
/// Time for which a router leaves reading to another one that reads, as a fraction of the lease. The
/// rest is for reading itself once the other one has failed.
const DEFERRAL_FRACTION: f64 = 0.65;
/// Longest wait for a change of the registry, as a fraction of the lease. The rest is for the call
/// itself, a repeated one and the notices.
const WATCH_FRACTION: f64 = 0.2;

/// The registered routers at one revision of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Registrations {
    /// Revision of the registry.
    pub revision: Revision,
    /// The routers' addresses for messages of peers.
    pub routers: BTreeSet<SocketAddr>,
}

/// What a router that knows the registry tells another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryNotice {
    /// The sender's address for messages of peers.
    pub sender: SocketAddr,
    /// Revision of the registry.
    pub revision: Revision,
    /// Time since the registry was known to be at this revision, in milliseconds.
    pub age_millis: u32,
    /// Number of registered routers.
    pub routers: u32,
    /// Whether the receiver is one of them.
    pub includes_receiver: bool,
    /// Whether the sender reads the registry.
    pub is_reading: bool,
    /// All of them; empty in notices to the members of an aggregator.
    #[serde(with = "crate::address_list")]
    pub listed: Vec<SocketAddr>,
}

/// How far this router's count of the registered routers can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryStanding {
    /// The registry is not known, or this router has been registered for less than a lease.
    Unknown,
    /// The count was confirmed within the lease.
    Confirmed,
    /// Routers may have been registered since that this one does not know.
    Unconfirmed,
}

/// The latest known revision of the registry.
#[derive(Debug, Clone, Copy)]
struct KnownRegistry {
    revision: Revision,
    /// When the registry was last known to be at this revision.
    confirmed: Timestamp,
    routers: usize,
}

/// What this router knows of the registry.
#[derive(Debug)]
pub struct RegistryView {
    /// Time for which a count is relied on.
    lease: Duration,
    /// Whether there is a registry.
    is_expected: bool,
    known: Option<KnownRegistry>,
    /// Since when this router is known to be registered.
    registered_since: Option<Timestamp>,
    /// The latest registry whose routers this one knows by address.
    read: Registrations,
    /// Start of this router's last call that found the registry at the latest known revision.
    own_confirmed: Option<Timestamp>,
    /// The router that reads the registry for this one, and until when.
    deferral: Option<(SocketAddr, Timestamp)>,
    /// Registered routers that this one does not hear, and since when.
    unheard_since: BTreeMap<SocketAddr, Timestamp>,
    /// Routers that have said that they leave, and when.
    left: BTreeMap<SocketAddr, Timestamp>,
    /// When notices were last sent, and for which revision.
    notified: Option<(Timestamp, Revision)>,
}

impl RegistryView {
    /// Creates the view of a router that knows nothing of a registry.
    pub fn new(budget_window: Duration) -> Self {
        Self {
            lease: budget_window.max(MIN_LEASE),
            is_expected: false,
            known: None,
            registered_since: None,
            read: Registrations::default(),
            own_confirmed: None,
            deferral: None,
            unheard_since: BTreeMap::new(),
            left: BTreeMap::new(),
            notified: None,
        }
    }

    pub fn is_expected(&self) -> bool {
        self.is_expected
    }

    /// Returns the number of registered routers, 0 if it is unknown.
    pub fn routers(&self) -> usize {
        self.known.map_or(0, |known| known.routers)
    }

    /// Returns whether this router is the only one that is registered.
    pub fn is_alone(&self) -> bool {
        self.registered_since.is_some() && self.routers() == 1
    }

    pub fn standing(&self, now: Timestamp) -> RegistryStanding {
        let is_settled = self.registered_since.is_some_and(|since| now.since(since) >= self.lease);
        match self.known {
            // Nobody else relies on a count without this router.
            Some(known) if is_settled || self.is_alone() => {
                if now.since(known.confirmed) <= self.lease {
                    RegistryStanding::Confirmed
                } else {
                    RegistryStanding::Unconfirmed
                }
            }
            _ => RegistryStanding::Unknown,
        }
    }

    /// Handles what is known of a revision at `confirmed`. Returns false if a later one is known.
    fn observe(&mut self, now: Timestamp, observed: KnownRegistry, includes_self: bool) -> bool {
        let earlier = self.known;
        if earlier.is_some_and(|known| known.revision > observed.revision) {
            return false;
        }
        let confirmed = match earlier {
            Some(known) if known.revision == observed.revision => {
                known.confirmed.max(observed.confirmed)
            }
            _ => observed.confirmed,
        };
        self.known = Some(KnownRegistry { confirmed, ..observed });
        if includes_self {
            self.registered_since.get_or_insert(now);
        } else {
            self.registered_since = None;
        }
        true
    }

    /// Returns the registered routers, if they are known by address at the latest known revision.
    fn latest_read(&self) -> Option<&Registrations> {
        let known = self.known?;
        (self.read.revision == known.revision).then_some(&self.read)
    }

    /// Returns whether no other router has confirmed the latest known revision later.
    fn is_latest_reader(&self) -> bool {
        let confirmed = self.known.map(|known| known.confirmed);
        confirmed.is_some() && self.own_confirmed == confirmed
    }

    /// Leaves reading to the sender of a notice for a while, unless that one has stopped to read. Of
    /// two routers that read, the one with the higher address does so.
    fn defer(&mut self, now: Timestamp, me: SocketAddr, notice: &RegistryNotice, age: Duration) {
        let sender = notice.sender;
        if !notice.is_reading {
            self.deferral = self.deferral.filter(|(reader, _)| *reader != sender);
            return;
        }
        let span = self.lease.mul_f64(DEFERRAL_FRACTION);
        // A router that is not registered yet sees to it itself.
        if notice.includes_receiver && sender < me && age < span {
            self.deferral = Some((sender, now + (span - age)));
        }
    }

    fn is_deferring(&self, now: Timestamp) -> bool {
        self.deferral.is_some_and(|(_, until)| now < until)
    }

    /// Records the phase that a router has told.
    pub fn on_phase(&mut self, now: Timestamp, router: SocketAddr, phase: RouterPhase) {
        if phase == RouterPhase::Leaving {
            self.left.insert(router, now);
        } else if !self.left.is_empty() {
            self.left.remove(&router);
        }
    }

    /// Forgets routers that left long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.left.retain(|_, at| now.since(*at) <= ROSTER_TTL);
    }

    /// Returns the registered routers that are gone, by those that are `heard`.
    fn obsolete(&mut self, now: Timestamp, heard: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let unheard: BTreeSet<SocketAddr> = self.read.routers.difference(heard).copied().collect();
        self.unheard_since.retain(|router, _| unheard.contains(router));
        for router in unheard {
            self.unheard_since.entry(router).or_insert(now);
        }
        let ttl = |router| if self.left.contains_key(router) { MIN_PEER_TTL } else { ROSTER_TTL };
        let unheard = self.unheard_since.iter();
        let gone = unheard.filter(|(router, since)| now.since(**since) >= ttl(router));
        gone.map(|(router, _)| *router).collect()
    }

    fn is_notice_due(&self, now: Timestamp, revision: Revision) -> bool {
        self.notified.is_none_or(|(sent, sent_revision)| {
            sent_revision != revision || now.since(sent) >= self.lease / NOTICES_PER_LEASE
        })
    }
}

impl Fleet {
    /// Makes this router rely on a registry to count the fleet.
    pub fn expect_registry(&mut self) {
        self.registry.is_expected = true;
    }

    /// Returns the longest time to wait for a change of the registry with one call.
    pub fn registry_wait(&self) -> Duration {
        self.registry.lease.mul_f64(WATCH_FRACTION)
    }

    /// Handles the registry as it was read by a call that began at `began`.
    pub fn on_registry_read(&mut self, now: Timestamp, began: Timestamp, read: Registrations) {
        let observed = KnownRegistry {
            revision: read.revision,
            confirmed: began,
            routers: read.routers.len(),
        };
        let includes_self = read.routers.contains(&self.me.address);
        if self.registry.observe(now, observed, includes_self) {
            self.registry.read = read;
            self.registry.own_confirmed = Some(began);
        }
    }

    /// Returns whether this router should read the registry, if it follows the source.
    pub fn reads_registry(&self, now: Timestamp) -> bool {
        !self.registry.is_deferring(now)
    }

    /// Records that a call which began at `began` found the registry unchanged since it was read.
    pub fn on_registry_unchanged(&mut self, began: Timestamp) {
        let revision = self.registry.read.revision;
        if let Some(known) = self.registry.known.as_mut().filter(|it| it.revision == revision) {
            known.confirmed = known.confirmed.max(began);
            self.registry.own_confirmed = Some(began);
        }
    }

    /// Handles a notice that arrived at `arrived` or later.
    pub fn on_registry_notice(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        notice: RegistryNotice,
    ) {
        let age = Duration::from_millis(notice.age_millis.into()) + now.since(arrived);
        let observed = KnownRegistry {
            revision: notice.revision,
            confirmed: now.saturating_sub(age),
            routers: notice.routers as usize,
        };
        let is_current = self.registry.observe(now, observed, notice.includes_receiver);
        if !is_current || notice.listed.is_empty() {
            return;
        }
        self.registry.defer(now, self.me.address, &notice, age);
        let routers = notice.listed.into_iter().collect();
        self.registry.read = Registrations { revision: notice.revision, routers };
    }

    /// Returns what the registry should hold instead of what this router has read, if it should be
    /// changed. The revision is the one that was read.
    pub fn registry_update(&mut self, now: Timestamp, phase: RouterPhase) -> Option<Registrations> {
        self.registry.latest_read().filter(|_| self.reads_registry(now))?;
        let peers = self.peers.iter();
        let present = peers.filter(|(_, peer)| peer.state.phase != RouterPhase::Leaving);
        let mut heard: BTreeSet<SocketAddr> = present.map(|(address, _)| *address).collect();
        let mut obsolete = self.registry.obsolete(now, &heard);
        if phase != RouterPhase::Leaving {
            heard.insert(self.me.address);
        }
        obsolete.retain(|router| *router != self.me.address);
        let mut next = self.registry.read.clone();
        next.routers.extend(heard);
        next.routers.retain(|router| !obsolete.contains(router));
        (next.routers != self.registry.read.routers).then_some(next)
    }

    /// Starts to contact registered routers that this one does not know.
    pub(super) fn advertise_registered(&mut self) {
        if let Some(read) = self.registry.latest_read() {
            self.advertised.extend(read.routers.iter().copied());
        }
    }

    /// Returns this round's notices, if any are due. The router that reads the registry tells its
    /// peers in a mesh, or the other aggregators; each aggregator tells its members.
    pub fn next_registry_notices(
        &mut self,
        now: Timestamp,
        contact: SourceContact,
    ) -> Vec<Outgoing> {
        let is_reading = self.watches_source(now, contact) && self.reads_registry(now);
        let (Some(known), Some(read)) = (self.registry.known, self.registry.latest_read()) else {
            return Vec::new();
        };
        if !self.registry.is_notice_due(now, known.revision) {
            return Vec::new();
        }
        let equals: Vec<SocketAddr> = match self.role {
            Role::Mesh => self.peers.keys().copied().collect(),
            Role::Aggregator => self.other_aggregators(),
            Role::Member(_) => Vec::new(),
        };
        let equals = if self.registry.is_latest_reader() { equals } else { Vec::new() };
        let members: Vec<SocketAddr> = match self.role {
            Role::Aggregator => self.members().map(|(member, _)| member).collect(),
            Role::Mesh | Role::Member(_) => Vec::new(),
        };
        let listed: Vec<SocketAddr> = read.routers.iter().copied().collect();
        let age = now.since(known.confirmed).as_millis();
        let notice = |includes_receiver, listed| {
            PeerMessage::Registry(RegistryNotice {
                sender: self.me.address,
                revision: known.revision,
                age_millis: u32::try_from(age).unwrap_or(u32::MAX),
                routers: u32::try_from(known.routers).unwrap_or(u32::MAX),
                includes_receiver,
                is_reading,
                listed,
            })
        };
        let is_registered = |target: &SocketAddr| read.routers.contains(target);
        let (registered_equals, other_equals) = equals.into_iter().partition(is_registered);
        let (registered_members, other_members) = members.into_iter().partition(is_registered);
        let messages = [
            self.outgoing(notice(true, listed.clone()), registered_equals),
            self.outgoing(notice(false, listed), other_equals),
            self.outgoing(notice(true, Vec::new()), registered_members),
            self.outgoing(notice(false, Vec::new()), other_members),
        ];
        self.registry.notified = Some((now, known.revision));
        messages.into_iter().filter(|message| !message.targets.is_empty()).collect()
    }
}
