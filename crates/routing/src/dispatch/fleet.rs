//! The other routers, as their digests tell of them.

use crate::back_end::BackEndId;
use crate::digest::{Digest, EngineReport, PeerId, ServicePace, Standing, TenantReport};
use crate::overload::Others;
use crate::watching::{Candidate, SourceContact, follows_source};
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a peer's requests no longer count.
const LOAD_LIFE: Duration = Duration::from_millis(700);
/// Silence after which a peer no longer counts as a router that may spend budget.
const PEER_LIFE: Duration = Duration::from_secs(12);
/// Addresses of peers passed on in one digest.
const PEERS_PASSED_ON: usize = 6;
/// How many times the processor of another a much larger router has.
const MUCH_MORE: f32 = 1.5;
/// One digest in this many tells of tenants and of further routers; they change slowly.
const FULL_DIGEST: u64 = 4;

#[derive(Debug)]
struct Peer {
    heard: Timestamp,
    digest: Digest,
    counted: bool,
}

/// What a router tells of itself beside its figures.
#[derive(Debug, Clone)]
pub struct OwnState {
    /// Its zone.
    pub zone: String,
    /// Whether it takes new callers.
    pub standing: Standing,
    /// Its part of a processor core.
    pub processor: f32,
    /// What it knows of the source.
    pub contact: SourceContact,
    /// Version of its configuration, 0 if none.
    pub configuration: u64,
    /// Revision of its back ends, 0 if none.
    pub back_ends: u64,
}

/// What a digest replaces.
#[derive(Debug)]
pub struct Replaced {
    /// Reports that no longer count.
    pub reports: Vec<EngineReport>,
    /// Whether its sender was not known.
    pub is_new_peer: bool,
}

/// What this router knows of the others.
#[derive(Debug)]
pub struct Fleet {
    me: PeerId,
    snapshots: SocketAddr,
    sequence: u64,
    peers: BTreeMap<PeerId, Peer>,
}

impl Fleet {
    /// A router that has heard nobody yet.
    pub fn new(me: PeerId, snapshots: SocketAddr) -> Self {
        Self { me, snapshots, sequence: 0, peers: BTreeMap::new() }
    }

    /// Takes a digest and tells what it replaces; nothing for one of this router itself or one that
    /// is not newer than the last.
    pub fn on_digest(&mut self, now: Timestamp, digest: &Digest) -> Option<Replaced> {
        let known = self.peers.get(&digest.sender);
        let is_old = known.is_some_and(|peer| peer.digest.sequence >= digest.sequence);
        if digest.sender == self.me || is_old {
            return None;
        }
        let mut reports = self.forget_earlier_lives(digest.sender);
        let mut replaced = self.peers.remove(&digest.sender);
        let earlier_tenants = replaced.as_mut().and_then(|peer| peer.digest.tenants.take());
        let earlier_paces = replaced.as_mut().and_then(|peer| peer.digest.paces.take());
        let mut digest = digest.clone();
        digest.tenants = digest.tenants.or(earlier_tenants);
        digest.paces = digest.paces.or(earlier_paces);
        let sender = digest.sender;
        self.peers.insert(sender, Peer { heard: now, digest, counted: true });
        let is_new_peer = replaced.is_none();
        reports.extend(replaced.into_iter().flat_map(Peer::counted_reports));
        Some(Replaced { reports, is_new_peer })
    }

    fn forget_earlier_lives(&mut self, sender: PeerId) -> Vec<EngineReport> {
        let is_earlier = |peer: &&PeerId| peer.address == sender.address && **peer != sender;
        let earlier: Vec<PeerId> = self.peers.keys().filter(is_earlier).copied().collect();
        let forgotten = earlier.iter().filter_map(|peer| self.peers.remove(peer));
        forgotten.collect::<Vec<_>>().into_iter().flat_map(Peer::counted_reports).collect()
    }

    /// Forgets silent peers. Gives the reports that no longer count.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EngineReport> {
        let mut removed = Vec::new();
        for peer in self.peers.values_mut() {
            if peer.counted && now.since(peer.heard) > LOAD_LIFE {
                peer.counted = false;
                removed.extend(peer.digest.engines.iter().cloned());
            }
        }
        self.peers.retain(|_, peer| now.since(peer.heard) <= PEER_LIFE);
        removed
    }

    /// Number of routers, this one included.
    pub fn routers(&self, now: Timestamp) -> usize {
        1 + self.peers.values().filter(|peer| now.since(peer.heard) <= PEER_LIFE).count()
    }

    /// Whether the last call of any peer to the source was answered.
    pub fn is_source_answering(&self) -> bool {
        let mut heard = self.peers.values().filter(|peer| peer.counted);
        heard.any(|peer| peer.digest.contact == SourceContact::Answered)
    }

    /// Whether this router follows the source.
    pub fn follows_source(&self, contact: SourceContact) -> bool {
        let heard = self.peers.values().filter(|peer| peer.counted);
        let serving = heard.filter(|peer| peer.digest.standing != Standing::Leaving);
        let others = serving
            .map(|peer| Candidate { router: peer.digest.sender, contact: peer.digest.contact });
        follows_source(Candidate { router: self.me, contact }, others)
    }

    /// What is known of the peers beside a router in `zone` with `processor`.
    pub fn others(&self, zone: &str, processor: f32) -> Others {
        let digests = || self.peers.values().filter(|peer| peer.counted).map(|peer| &peer.digest);
        let all = digests().count().max(1) as f64;
        let part = |is_counted: &dyn Fn(&Digest) -> bool| {
            digests().filter(|digest| is_counted(digest)).count() as f64 / all
        };
        Others {
            in_zone: digests().filter(|digest| digest.zone == zone).count(),
            shedding: digests()
                .filter(|digest| digest.zone == zone && digest.standing == Standing::Shedding)
                .count(),
            larger: part(&|digest| digest.processor > processor * MUCH_MORE),
            smaller: part(&|digest| digest.processor * MUCH_MORE < processor),
        }
    }

    /// Age of the oldest figures that count.
    pub fn oldest_age(&self, now: Timestamp) -> Duration {
        let counted = self.peers.values().filter(|peer| peer.counted);
        counted.map(|peer| now.since(peer.heard)).max().unwrap_or_default()
    }

    /// What the peers tell of one back end.
    pub fn reports_of(&self, id: &BackEndId) -> impl Iterator<Item = &EngineReport> {
        let counted = self.peers.values().filter(|peer| peer.counted);
        counted.flat_map(|peer| &peer.digest.engines).filter(move |report| report.id == *id)
    }

    /// The least time between events of a service's engines that any peer observed.
    pub fn unloaded_pace(&self, service: &str) -> Option<Duration> {
        let counted = self.peers.values().filter(|peer| peer.counted);
        let told = counted.filter_map(|peer| peer.digest.paces.as_ref()).flatten();
        let least =
            told.filter(|pace| pace.service == service).map(|pace| pace.unloaded_micros).min();
        least.map(|micros| Duration::from_micros(u64::from(micros)))
    }

    /// Rates asked and given by tenant, over this router's own and the peers'.
    pub fn tenant_rates(
        &self,
        own: &[TenantReport],
    ) -> (HashMap<String, f64>, HashMap<String, f64>) {
        let mut asked: HashMap<String, f64> = HashMap::new();
        let mut given: HashMap<String, f64> = HashMap::new();
        let counted = self.peers.values().filter(|peer| peer.counted);
        let told = counted.filter_map(|peer| peer.digest.tenants.as_ref()).flatten();
        let reports = told.chain(own);
        for report in reports {
            *asked.entry(report.name.clone()).or_default() += f64::from(report.asked);
            *given.entry(report.name.clone()).or_default() += f64::from(report.given);
        }
        (asked, given)
    }

    /// A digest of this router.
    pub fn digest(
        &mut self,
        own: OwnState,
        engines: Vec<EngineReport>,
        tenants: Vec<TenantReport>,
        paces: Vec<ServicePace>,
    ) -> Digest {
        self.sequence += 1;
        let is_full = self.sequence % FULL_DIGEST == 1;
        let peers = if is_full { self.some_addresses() } else { Vec::new() };
        Digest {
            sender: self.me,
            sequence: self.sequence,
            snapshots: self.snapshots,
            zone: own.zone,
            standing: own.standing,
            processor: own.processor,
            contact: own.contact,
            configuration: own.configuration,
            back_ends: own.back_ends,
            engines,
            tenants: is_full.then_some(tenants),
            paces: is_full.then_some(paces),
            peers,
        }
    }

    /// Some peers, others each time.
    fn some_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.addresses();
        let start = (self.sequence / FULL_DIGEST) as usize % peers.len().max(1);
        let some = peers.iter().cycle().skip(start).take(PEERS_PASSED_ON.min(peers.len()));
        some.copied().collect()
    }

    /// Digest addresses of the peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().map(|peer| peer.address).collect()
    }

    /// Where a peer hands out something newer than what is given.
    pub fn newer_than(
        &self,
        now: Timestamp,
        configuration: u64,
        back_ends: u64,
        draw: f64,
    ) -> Option<SocketAddr> {
        let heard = self.peers.values().filter(|peer| now.since(peer.heard) <= LOAD_LIFE);
        let newer = heard
            .map(|peer| &peer.digest)
            .filter(|digest| digest.configuration > configuration || digest.back_ends > back_ends);
        let addresses: Vec<SocketAddr> = newer.map(|digest| digest.snapshots).collect();
        let picked = (draw * addresses.len() as f64) as usize;
        addresses.get(picked).copied()
    }
}

impl Peer {
    fn counted_reports(self) -> Vec<EngineReport> {
        if self.counted { self.digest.engines } else { Vec::new() }
    }
}
