//! The registry of the fleet's routers, as far as this router knows it.
//!
//! Parts of a fleet that never hear each other would each take themselves for the whole, so routers
//! are not only counted by their messages. The routers that follow the source read the registry,
//! add the routers that they hear, and tell the others how many it holds. A router relies on what it
//! knows for one lease. One that was added spends its shares after a lease: by then, each other
//! router either counts it or knows that its own count is not confirmed any more.

use super::roster::ROSTER_TTL;
use super::{Fleet, MIN_PEER_TTL};
use crate::digest::{Outgoing, PeerMessage, RouterPhase};
use crate::dispatch::aggregation::Role;
use crate::revision::Revision;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time for which a count is relied on, with budgets of shorter windows.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Notices per lease, so that two in a row may be lost.
const NOTICES_PER_LEASE: u32 = 5;
/// Longest wait for a change of the registry, as a fraction of the lease. The rest is for the call
/// itself, a repeated one and the notices.
const WATCH_FRACTION: f64 = 0.3;

/// The registered routers at one revision of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Registrations {
    /// Revision of the registry.
    pub revision: Revision,
    /// The routers' addresses for messages of peers.
    pub routers: BTreeSet<SocketAddr>,
}

/// What a router that reads the registry tells another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryNotice {
    /// Revision of the registry.
    pub revision: Revision,
    /// Time since the registry was known to be at this revision, in milliseconds.
    pub age_millis: u32,
    /// Number of registered routers.
    pub routers: u32,
    /// Whether the receiver is one of them.
    pub includes_receiver: bool,
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
    /// The registry as this router last read it itself.
    read: Registrations,
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

    /// Returns the registry as this router has read it, if that is the latest known revision.
    fn latest_read(&self) -> Option<&Registrations> {
        let known = self.known?;
        (self.read.revision == known.revision).then_some(&self.read)
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
        }
    }

    /// Records that a call which began at `began` found the registry unchanged since it was read.
    pub fn on_registry_unchanged(&mut self, began: Timestamp) {
        let revision = self.registry.read.revision;
        if let Some(known) = self.registry.known.as_mut().filter(|it| it.revision == revision) {
            known.confirmed = known.confirmed.max(began);
        }
    }

    /// Handles a notice that arrived at `arrived` or later.
    pub fn on_registry_notice(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        notice: RegistryNotice,
    ) {
        let age = Duration::from_millis(notice.age_millis.into());
        let observed = KnownRegistry {
            revision: notice.revision,
            confirmed: arrived.saturating_sub(age),
            routers: notice.routers as usize,
        };
        self.registry.observe(now, observed, notice.includes_receiver);
    }

    /// Returns what the registry should hold instead of what this router has read, if it should be
    /// changed. The revision is the one that was read.
    pub fn registry_update(&mut self, now: Timestamp, phase: RouterPhase) -> Option<Registrations> {
        self.registry.latest_read()?;
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

    /// Returns this round's notices, if any are due: in a mesh to all peers, from an aggregator to
    /// its members and the other aggregators.
    pub fn next_registry_notices(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let (Some(known), Some(read)) = (self.registry.known, self.registry.latest_read()) else {
            return Vec::new();
        };
        if !self.registry.is_notice_due(now, known.revision) {
            return Vec::new();
        }
        let targets: Vec<SocketAddr> = match self.role {
            Role::Mesh => self.peers.keys().copied().collect(),
            Role::Aggregator => {
                let members = self.members().map(|(member, _)| member);
                members.chain(self.other_aggregators()).collect()
            }
            Role::Member(_) => Vec::new(),
        };
        let (included, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            targets.into_iter().partition(|target| read.routers.contains(target));
        let age = now.since(known.confirmed).as_millis();
        let notice = |includes_receiver| {
            PeerMessage::Registry(RegistryNotice {
                revision: known.revision,
                age_millis: u32::try_from(age).unwrap_or(u32::MAX),
                routers: u32::try_from(known.routers).unwrap_or(u32::MAX),
                includes_receiver,
            })
        };
        let messages =
            [self.outgoing(notice(true), included), self.outgoing(notice(false), others)];
        self.registry.notified = Some((now, known.revision));
        messages.into_iter().filter(|message| !message.targets.is_empty()).collect()
    }
}
