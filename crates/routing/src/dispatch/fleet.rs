//! The other routers: who is there, and what they tell of engines, tenants and the source.

use super::aggregation::{Aggregators, Candidate, LARGEST_MESH, Role, draw};
use crate::digest::{
    Digest, Included, Outgoing, PeerId, PeerMessage, RouterState, Standing, Sum, SumScope,
};
use crate::figures::{EngineKey, EngineLevel, EngineLoad, Figures, FiguresSum, TenantReport};
use crate::overload::Others;
use crate::watching::{self, SourceContact};
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two rounds of messages.
pub const ROUND_PERIOD: Duration = Duration::from_millis(80);
/// Silence after which figures no longer count: several rounds, so that single datagrams may be lost.
const FIGURES_LIFE: Duration = Duration::from_millis(700);
/// Silence of an aggregator after which its members turn to another: three rounds may be lost.
const AGGREGATOR_SILENCE: Duration = Duration::from_millis(240);
/// Time without any sum of the fleet after which a member takes itself as cut off from the others.
const ISOLATION: Duration = Duration::from_millis(1_500);
/// Least silence after which a peer no longer counts as a router that may spend budget.
const LEAST_PEER_LIFE: Duration = Duration::from_secs(12);
/// Heartbeats that may be lost before a peer is taken as gone.
const HEARTBEATS_PER_LIFE: u32 = 3;
/// Heartbeats that a router of a large fleet sends in a round.
const HEARTBEATS_PER_ROUND: usize = 2;
/// Rounds between two calls to seeds while the fleet is small; in a larger one, more in proportion.
const ROUNDS_PER_SEED_CALL: u64 = 12;
/// Addresses of peers passed on in one digest.
const PEERS_PASSED_ON: usize = 6;
/// Addresses passed on to a router that was not known, so that it soon knows all.
const PEERS_FOR_NEWCOMERS: usize = 30;
/// Unknown routers that are greeted in one round. All of 300 know each other within two seconds, and what a start of
/// the whole fleet costs each of them stays small.
const GREETINGS_PER_ROUND: usize = 8;
/// Time for which a router is not greeted again: it may be about to answer.
const GREETING_PAUSE: Duration = Duration::from_secs(1);
/// How many times the processor of another a much larger router has.
const MUCH_MORE: f32 = 1.5;
/// One digest in this many of a mesh tells of tenants and of further routers; they change slowly.
const FULL_DIGEST: u64 = 4;
/// One round in this many of a large fleet tells of what changes slowly.
const FULL_ROUND: u64 = 8;
/// Reports kept until the sums that hold them come back.
const REPORTS_KEPT: usize = 16;

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

/// Figures that no longer count, and those that do from now on.
#[derive(Debug, Default)]
pub struct FiguresChange {
    /// What no longer counts.
    pub removed: Vec<Figures>,
    /// What counts now.
    pub added: Option<Figures>,
}

/// What became of a digest.
#[derive(Debug)]
pub struct Heard {
    /// What it changes.
    pub change: FiguresChange,
    /// Its sender, if it was not known before.
    pub new_peer: Option<NewPeer>,
}

/// A router that was heard for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewPeer {
    /// Its digest address.
    pub address: SocketAddr,
    /// Whether it is to be greeted: it may not know this router.
    pub wants_greeting: bool,
}

#[derive(Debug)]
struct Peer {
    heard: Timestamp,
    state: RouterState,
    /// It sent no sums although this router reported to it, and was not heard since.
    is_suspected: bool,
    /// Its place among equals.
    draw: u64,
}

/// Whose figures are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Teller {
    /// One router's own.
    Router(SocketAddr),
    /// Those of an aggregator and its members.
    Members(SocketAddr),
    /// Those of the whole fleet, as this router's aggregator tells them.
    Fleet,
}

#[derive(Debug)]
struct Told {
    heard: Timestamp,
    /// The message that told them last.
    by: Included,
    figures: Figures,
    source_answers: bool,
    /// Routers whose figures these are, and those of them that shed.
    routers: usize,
    shedding: usize,
    /// Whether this router's own figures are part of them.
    includes_me: bool,
}

/// What this router knows of the others.
#[derive(Debug)]
pub struct Fleet {
    me: PeerId,
    /// This router's place among equals.
    draw: u64,
    snapshots: SocketAddr,
    sequence: u64,
    round: u64,
    role: Role,
    peers: BTreeMap<SocketAddr, Peer>,
    told: BTreeMap<Teller, Told>,
    /// Routers that should send sums to this one, and when they did last, or else since when they should.
    awaited: BTreeMap<SocketAddr, Timestamp>,
    /// When sums of the fleet came last, or else when this router became a member.
    sums_heard: Timestamp,
    is_isolated: bool,
    reports: VecDeque<(u64, Vec<EngineLoad>)>,
    /// Routers that others have mentioned and that are not known.
    mentioned: BTreeSet<SocketAddr>,
    /// When routers were greeted lately.
    greeted: BTreeMap<SocketAddr, Timestamp>,
    others: Others,
}

impl Fleet {
    /// A router that has heard nobody yet.
    pub fn new(me: PeerId, snapshots: SocketAddr) -> Self {
        Self {
            me,
            draw: draw(me.address),
            snapshots,
            sequence: 0,
            round: 0,
            role: Role::default(),
            peers: BTreeMap::new(),
            told: BTreeMap::new(),
            awaited: BTreeMap::new(),
            sums_heard: Timestamp::ZERO,
            is_isolated: false,
            reports: VecDeque::new(),
            mentioned: BTreeSet::new(),
            greeted: BTreeMap::new(),
            others: Others::default(),
        }
    }

    /// Takes a digest; nothing for one of this router itself or one that is not newer than the last.
    pub fn on_digest(&mut self, now: Timestamp, digest: Digest) -> Option<Heard> {
        let sender = digest.router.id;
        let by = Included { life: sender.life, sequence: digest.router.sequence };
        let mut change = FiguresChange::default();
        let is_new_peer = self.hear(now, digest.router, &mut change)?;
        self.mentioned.extend(digest.peers);
        let counts = digest.is_member == (self.role == Role::Aggregator);
        if let Some(figures) = digest.figures.filter(|_| counts) {
            let told = Told {
                heard: now,
                by,
                figures,
                source_answers: false,
                routers: 1,
                shedding: 0,
                includes_me: false,
            };
            self.tell(Teller::Router(sender.address), told, &mut change);
        }
        let new_peer = is_new_peer.then(|| NewPeer {
            address: sender.address,
            wants_greeting: self.greeted.insert(sender.address, now).is_none(),
        });
        Some(Heard { change, new_peer })
    }

    /// Takes an aggregator's sums: as a member those of the fleet from its own aggregator, as an aggregator
    /// those of the others' members.
    pub fn on_sum(&mut self, now: Timestamp, sum: Sum) -> Option<FiguresChange> {
        let sender = sum.router.id;
        let by = Included { life: sender.life, sequence: sum.router.sequence };
        let mut change = FiguresChange::default();
        self.hear(now, sum.router, &mut change)?;
        let teller = match (sum.scope, self.role) {
            (SumScope::Members, Role::Aggregator) => {
                self.drop_told(&mut change, |teller| {
                    teller == Teller::Router(sender.address) || teller == Teller::Fleet
                });
                Teller::Members(sender.address)
            }
            (SumScope::Fleet, Role::Member(aggregator)) if aggregator == sender.address => {
                self.sums_heard = now;
                Teller::Fleet
            }
            _ => return Some(change),
        };
        if let Some(heard) = self.awaited.get_mut(&sender.address) {
            *heard = now;
        }
        let mine = sum.included.iter().find(|included| included.life == self.me.life);
        let figures = match mine.and_then(|mine| self.report(mine.sequence)) {
            Some(loads) => sum.figures.without_loads(loads),
            None => sum.figures,
        };
        let told = Told {
            heard: now,
            by,
            figures,
            source_answers: sum.source_answers,
            routers: sum.included.len() + 1,
            shedding: sum.shedding as usize,
            includes_me: mine.is_some(),
        };
        self.tell(teller, told, &mut change);
        Some(change)
    }

    /// Notes a peer's state. Gives whether it was not known; nothing if the state is no news.
    fn hear(
        &mut self,
        now: Timestamp,
        state: RouterState,
        change: &mut FiguresChange,
    ) -> Option<bool> {
        let address = state.id.address;
        if address == self.me.address {
            return None;
        }
        let known = self.peers.get(&address).map(|peer| (peer.state.id, peer.state.sequence));
        let is_new = known.is_none_or(|(id, _)| id != state.id);
        if !is_new && known.is_some_and(|(_, sequence)| sequence >= state.sequence) {
            return None;
        }
        if is_new {
            self.drop_told(change, |teller| {
                teller == Teller::Router(address) || teller == Teller::Members(address)
            });
        }
        let draw = self.peers.get(&address).map_or_else(|| draw(address), |peer| peer.draw);
        self.peers.insert(address, Peer { heard: now, state, is_suspected: false, draw });
        Some(is_new)
    }

    fn tell(&mut self, teller: Teller, mut told: Told, change: &mut FiguresChange) {
        let earlier = self.told.remove(&teller).map(|earlier| earlier.figures);
        change.removed.extend(earlier.clone());
        told.figures = told.figures.or_earlier(earlier);
        change.added = Some(told.figures.clone());
        self.told.insert(teller, told);
    }

    fn drop_told(&mut self, change: &mut FiguresChange, is_dropped: impl Fn(Teller) -> bool) {
        let dropped: Vec<Teller> =
            self.told.keys().copied().filter(|teller| is_dropped(*teller)).collect();
        let dropped = dropped.iter().filter_map(|teller| self.told.remove(teller));
        change.removed.extend(dropped.map(|told| told.figures));
    }

    /// The loads of a report that this router has sent.
    fn report(&self, sequence: u64) -> Option<&[EngineLoad]> {
        let kept = self.reports.iter().find(|(kept, _)| *kept >= sequence);
        kept.map(|(_, loads)| loads.as_slice())
    }

    /// Forgets silent peers and figures that are too old.
    pub fn expire(&mut self, now: Timestamp) -> FiguresChange {
        let mut change = FiguresChange::default();
        let is_old = |told: &Told| now.since(told.heard) > FIGURES_LIFE;
        let old: Vec<Teller> =
            self.told.iter().filter(|(_, told)| is_old(told)).map(|(teller, _)| *teller).collect();
        self.drop_told(&mut change, |teller| old.contains(&teller));
        let life = self.peer_life();
        self.peers.retain(|_, peer| now.since(peer.heard) <= life);
        self.greeted.retain(|_, greeted| now.since(*greeted) <= GREETING_PAUSE);
        change
    }

    /// Silence after which a peer is taken as gone.
    fn peer_life(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(HEARTBEATS_PER_ROUND) as u32;
        LEAST_PEER_LIFE.max(ROUND_PERIOD * rounds * HEARTBEATS_PER_LIFE)
    }

    /// Works out how this router tells its figures from now on.
    pub fn choose_role(&mut self, now: Timestamp, own: &OwnState) -> FiguresChange {
        self.suspect_silent_aggregators(now);
        let role = self.next_role(own);
        let mut change = FiguresChange::default();
        if std::mem::discriminant(&role) != std::mem::discriminant(&self.role) {
            // A new aggregator makes do with the last sums of the fleet until others send it theirs.
            let keeps_fleet = role == Role::Aggregator;
            self.drop_told(&mut change, |teller| !(keeps_fleet && teller == Teller::Fleet));
            self.sums_heard = now;
        }
        self.role = role;
        self.await_sums(now, own);
        let is_member = matches!(role, Role::Member(_));
        self.is_isolated = is_member && now.since(self.sums_heard) > ISOLATION;
        self.others = self.count_others(now, own);
        change
    }

    fn suspect_silent_aggregators(&mut self, now: Timestamp) {
        let awaited = self.awaited.iter();
        let silent = awaited.filter(|(_, heard)| now.since(**heard) > AGGREGATOR_SILENCE);
        for (address, _) in silent {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.is_suspected = true;
            }
        }
    }

    /// Sums are awaited from those who should aggregate: a member's own aggregator, all others of an aggregator.
    fn await_sums(&mut self, now: Timestamp, own: &OwnState) {
        let expected = match self.role {
            Role::Mesh => Vec::new(),
            Role::Member(aggregator) => vec![aggregator],
            Role::Aggregator => Aggregators::choose(self.candidates(own)).addresses().collect(),
        };
        let earlier = std::mem::take(&mut self.awaited);
        let since = |address| earlier.get(&address).copied().unwrap_or(now);
        self.awaited = expected
            .into_iter()
            .filter(|address| *address != self.me.address)
            .map(|address| (address, since(address)))
            .collect();
    }

    /// Routers of the fleet, as many as any router knows.
    pub fn size(&self) -> usize {
        let told = self.peers.values().map(|peer| peer.state.routers as usize).max();
        self.routers().max(told.unwrap_or(0))
    }

    fn next_role(&self, own: &OwnState) -> Role {
        if self.size() <= LARGEST_MESH + 1 {
            return Role::Mesh;
        }
        let has_members = self.told.keys().any(|teller| matches!(teller, Teller::Router(_)));
        if has_members && self.role == Role::Aggregator {
            return Role::Aggregator;
        }
        let in_zone = self.candidates(own).filter(|candidate| candidate.zone == own.zone);
        match Aggregators::choose(in_zone).of(&own.zone, self.me) {
            Some(chosen) if chosen.address != self.me.address => Role::Member(chosen.address),
            _ => Role::Aggregator,
        }
    }

    /// All routers as candidates to aggregate.
    fn candidates<'a>(&'a self, own: &'a OwnState) -> impl Iterator<Item = Candidate<'a>> {
        let peers = self.peers.values();
        let peers = peers.map(|peer| Candidate::new(&peer.state, peer.draw, peer.is_suspected));
        let me = Candidate {
            id: self.me,
            zone: &own.zone,
            standing: own.standing,
            processor: own.processor,
            is_suspected: false,
            draw: self.draw,
        };
        peers.chain([me])
    }

    /// How this router tells its figures.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Number of routers, this one included.
    pub fn routers(&self) -> usize {
        1 + self.peers.len()
    }

    fn fresh_peers(&self, now: Timestamp) -> impl Iterator<Item = &RouterState> {
        let fresh = self.peers.values().filter(move |peer| now.since(peer.heard) <= FIGURES_LIFE);
        fresh.map(|peer| &peer.state)
    }

    /// The routers whose contact with the source this one follows closely: all in a mesh, and the other
    /// aggregators for an aggregator.
    fn close_peers(&self, now: Timestamp) -> impl Iterator<Item = &RouterState> {
        let is_mesh = self.role == Role::Mesh;
        let is_close = move |state: &&RouterState| {
            is_mesh || self.told.contains_key(&Teller::Members(state.id.address))
        };
        self.fresh_peers(now).filter(is_close)
    }

    /// Whether the last call of any other router to the source was answered.
    pub fn is_source_answering(&self, now: Timestamp) -> bool {
        self.told.values().any(|told| told.source_answers)
            || self.close_peers(now).any(|peer| peer.contact == SourceContact::Answered)
    }

    /// Whether any router that was heard lately reached the source with its last call.
    pub fn does_any_reach_source(&self, now: Timestamp) -> bool {
        self.is_source_answering(now)
            || self.fresh_peers(now).any(|peer| peer.contact == SourceContact::Answered)
    }

    /// Whether this router follows the source: of a large fleet, only aggregators do, and who is cut off.
    pub fn follows_source(&self, now: Timestamp, contact: SourceContact) -> bool {
        if matches!(self.role, Role::Member(_)) {
            return self.is_isolated;
        }
        let serving = self.close_peers(now).filter(|peer| peer.standing != Standing::Leaving);
        let others =
            serving.map(|peer| watching::Candidate { router: peer.id, contact: peer.contact });
        watching::follows_source(watching::Candidate { router: self.me, contact }, others)
    }

    /// What is known of the peers beside this router.
    pub fn others(&self) -> Others {
        self.others
    }

    fn count_others(&self, now: Timestamp, own: &OwnState) -> Others {
        let life = if self.role == Role::Mesh { FIGURES_LIFE } else { self.peer_life() };
        let peers = || {
            let heard = self.peers.values().filter(|peer| now.since(peer.heard) <= life);
            heard.map(|peer| &peer.state)
        };
        let all = peers().count().max(1) as f64;
        let part = |is_counted: &dyn Fn(&RouterState) -> bool| {
            peers().filter(|state| is_counted(state)).count() as f64 / all
        };
        let in_zone = || peers().filter(|state| state.zone == own.zone);
        let shedding = in_zone().filter(|state| state.standing == Standing::Shedding).count();
        let (in_zone, shedding) = match self.told.get(&Teller::Fleet) {
            Some(told) => (told.routers - 1, told.shedding),
            None => (in_zone().count(), shedding),
        };
        Others {
            in_zone,
            shedding,
            larger: part(&|state| state.processor > own.processor * MUCH_MORE),
            smaller: part(&|state| state.processor * MUCH_MORE < own.processor),
        }
    }

    /// Age of the oldest figures that count.
    pub fn oldest_age(&self, now: Timestamp) -> Duration {
        self.told.values().map(|told| now.since(told.heard)).max().unwrap_or_default()
    }

    fn figures(&self) -> impl Iterator<Item = &Figures> {
        self.told.values().map(|told| &told.figures)
    }

    /// What the others have at one engine.
    pub fn loads_of(&self, engine: EngineKey) -> impl Iterator<Item = EngineLoad> {
        let loads = self.figures().flat_map(|figures| &figures.loads).copied();
        loads.filter(move |entry| entry.engine == engine)
    }

    /// How well the others are served at one engine.
    pub fn levels_of(&self, engine: EngineKey) -> impl Iterator<Item = EngineLevel> {
        let levels = self.figures().filter_map(|figures| figures.levels.as_ref()).flatten();
        levels.copied().filter(move |entry| entry.engine == engine)
    }

    /// The least time between events of a service's engines that any peer observed.
    pub fn unloaded_pace(&self, service: &str) -> Option<Duration> {
        let told = self.figures().filter_map(|figures| figures.paces.as_ref()).flatten();
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
        let told = self.figures().filter_map(|figures| figures.tenants.as_ref()).flatten();
        let includes_me = self.told.values().any(|told| told.includes_me);
        let own = own.iter().filter(|_| !includes_me);
        for report in told.chain(own) {
            *asked.entry(report.name.clone()).or_default() += f64::from(report.asked);
            *given.entry(report.name.clone()).or_default() += f64::from(report.given);
        }
        (asked, given)
    }

    /// Whether the next digest of a mesh tells what changes slowly too.
    pub fn is_full_digest(&self) -> bool {
        (self.sequence + 1) % FULL_DIGEST == 1
    }

    /// Whether this round of a large fleet tells what changes slowly too.
    fn is_full_round(&self) -> bool {
        self.round % FULL_ROUND == 1
    }

    /// A digest of this router for all others.
    pub fn digest(&mut self, own: OwnState, figures: Figures) -> Digest {
        let is_full = self.is_full_digest();
        let count = if is_full { PEERS_PASSED_ON } else { 0 };
        self.digest_with(own, Some(figures), count)
    }

    /// A digest without figures.
    fn heartbeat(&mut self, own: OwnState, peers: usize) -> Digest {
        self.digest_with(own, None, peers)
    }

    /// The answer to a router that was not known.
    pub fn greeting(&mut self, own: OwnState) -> Digest {
        self.heartbeat(own, PEERS_FOR_NEWCOMERS)
    }

    fn digest_with(&mut self, own: OwnState, figures: Option<Figures>, peers: usize) -> Digest {
        let peers = self.some_addresses(peers);
        Digest { router: self.next_state(own), figures, is_member: false, peers }
    }

    fn next_state(&mut self, own: OwnState) -> RouterState {
        self.sequence += 1;
        RouterState {
            id: self.me,
            sequence: self.sequence,
            snapshots: self.snapshots,
            zone: own.zone,
            standing: own.standing,
            processor: own.processor,
            contact: own.contact,
            configuration: own.configuration,
            back_ends: own.back_ends,
            routers: self.routers() as u32,
        }
    }

    /// Some peers, others each time.
    fn some_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let peers: Vec<SocketAddr> = self.peers.keys().copied().collect();
        let start = (self.sequence as usize).wrapping_mul(count) % peers.len().max(1);
        peers.iter().cycle().skip(start).take(count.min(peers.len())).copied().collect()
    }

    /// The messages of one round, with `figures` of this router itself.
    pub fn next_round(
        &mut self,
        now: Timestamp,
        own: &OwnState,
        figures: Figures,
        seeds: &[SocketAddr],
    ) -> Vec<Outgoing> {
        self.round += 1;
        let called_seeds = if self.calls_seeds() { seeds } else { &[] };
        let mut messages = match self.role {
            Role::Mesh => vec![self.mesh_round(own, figures, called_seeds)],
            Role::Member(aggregator) => {
                let report = self.member_report(own, figures, aggregator);
                vec![report, self.heartbeat_round(own, called_seeds)]
            }
            Role::Aggregator => {
                let mut messages = self.aggregator_round(own, &figures);
                messages.push(self.heartbeat_round(own, called_seeds));
                messages
            }
        };
        messages.extend(self.greetings(now, own));
        messages
    }

    /// Greets some of the routers that were mentioned and are not known.
    fn greetings(&mut self, now: Timestamp, own: &OwnState) -> Option<Outgoing> {
        let mentioned = std::mem::take(&mut self.mentioned);
        let is_unknown = |address: &SocketAddr| {
            *address != self.me.address
                && !self.peers.contains_key(address)
                && !self.greeted.contains_key(address)
        };
        let mut targets: Vec<SocketAddr> = mentioned.into_iter().filter(is_unknown).collect();
        if targets.is_empty() {
            return None;
        }
        // Each router begins elsewhere, so that not all greet the same ones.
        let first = self.draw as usize % targets.len();
        targets.rotate_left(first);
        let later = targets.split_off(targets.len().min(GREETINGS_PER_ROUND));
        self.mentioned = later.into_iter().collect();
        self.greeted.extend(targets.iter().map(|target| (*target, now)));
        let greeting = self.greeting(own.clone());
        Some(self.outgoing(PeerMessage::Digest(greeting), targets))
    }

    fn calls_seeds(&self) -> bool {
        let factor = (self.peers.len() / LARGEST_MESH).max(1) as u64;
        self.peers.is_empty()
            || self.is_isolated
            || self.round % (ROUNDS_PER_SEED_CALL * factor) == 1
    }

    fn mesh_round(&mut self, own: &OwnState, figures: Figures, seeds: &[SocketAddr]) -> Outgoing {
        let digest = self.digest(own.clone(), figures);
        let targets = self.peers.keys().chain(seeds).copied().collect();
        self.outgoing(PeerMessage::Digest(digest), targets)
    }

    fn heartbeat_round(&mut self, own: &OwnState, seeds: &[SocketAddr]) -> Outgoing {
        let first = self.round as usize * HEARTBEATS_PER_ROUND % self.peers.len().max(1);
        let peers = self.peers.keys().cycle().skip(first);
        let peers = peers.take(HEARTBEATS_PER_ROUND.min(self.peers.len()));
        let targets = peers.chain(seeds).copied().collect();
        let heartbeat = self.heartbeat(own.clone(), PEERS_PASSED_ON);
        self.outgoing(PeerMessage::Digest(heartbeat), targets)
    }

    fn member_report(&mut self, own: &OwnState, figures: Figures, to: SocketAddr) -> Outgoing {
        let figures = if self.is_full_round() { figures } else { only_loads(figures) };
        let loads = figures.loads.clone();
        let router = self.next_state(own.clone());
        self.reports.push_back((router.sequence, loads));
        if self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
        let digest = Digest { router, figures: Some(figures), is_member: true, peers: Vec::new() };
        self.outgoing(PeerMessage::Digest(digest), vec![to])
    }

    fn aggregator_round(&mut self, own: &OwnState, figures: &Figures) -> Vec<Outgoing> {
        let mut members = FiguresSum::default();
        let mut fleet = FiguresSum::default();
        members.add(figures);
        fleet.add(figures);
        for (teller, told) in &self.told {
            fleet.add(&told.figures);
            if matches!(teller, Teller::Router(_)) {
                members.add(&told.figures);
            }
        }
        let of_members = self.sum(own, SumScope::Members, members);
        let of_fleet = self.sum(own, SumScope::Fleet, fleet);
        vec![
            self.outgoing(PeerMessage::Sum(of_members), self.other_aggregators()),
            self.outgoing(PeerMessage::Sum(of_fleet), self.members().map(|(to, _)| to).collect()),
        ]
    }

    fn sum(&mut self, own: &OwnState, scope: SumScope, sum: FiguresSum) -> Sum {
        let answered = own.contact == SourceContact::Answered;
        let others_answered = self.told.values().any(|told| told.source_answers);
        let is_shedding = |peer: &&Peer| peer.state.standing == Standing::Shedding;
        let shedding = self.members().filter_map(|(address, _)| self.peers.get(&address));
        let own_shedding = u32::from(own.standing == Standing::Shedding);
        let shedding = shedding.filter(is_shedding).count() as u32 + own_shedding;
        let figures = sum.into_figures(self.is_full_round());
        let included = self.members().map(|(_, told)| told.by).collect();
        let source_answers = answered || (scope == SumScope::Fleet && others_answered);
        let router = self.next_state(own.clone());
        Sum { router, scope, figures, source_answers, shedding, included }
    }

    /// The routers that report to this one.
    fn members(&self) -> impl Iterator<Item = (SocketAddr, &Told)> {
        self.told.iter().filter_map(|(teller, told)| match teller {
            Teller::Router(address) => Some((*address, told)),
            Teller::Members(_) | Teller::Fleet => None,
        })
    }

    /// Those that should aggregate, and those that do.
    fn other_aggregators(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.awaited.keys().copied().collect();
        all.extend(self.told.keys().filter_map(|teller| match teller {
            Teller::Members(address) => Some(*address),
            Teller::Router(_) | Teller::Fleet => None,
        }));
        all
    }

    fn outgoing(&self, message: PeerMessage, mut targets: Vec<SocketAddr>) -> Outgoing {
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != self.me.address);
        Outgoing { message, targets }
    }

    /// Where a peer hands out something newer than what this router has, one of its own zone if there is any.
    pub fn newer_than(&self, now: Timestamp, own: &OwnState, draw: f64) -> Option<SocketAddr> {
        let newer: Vec<&RouterState> = self
            .fresh_peers(now)
            .filter(|peer| peer.configuration > own.configuration || peer.back_ends > own.back_ends)
            .collect();
        let near: Vec<&RouterState> =
            newer.iter().copied().filter(|peer| peer.zone == own.zone).collect();
        let asked = if near.is_empty() { newer } else { near };
        let picked = (draw * asked.len() as f64) as usize;
        asked.get(picked).map(|peer| peer.snapshots)
    }
}

fn only_loads(figures: Figures) -> Figures {
    Figures { loads: figures.loads, ..Figures::default() }
}
