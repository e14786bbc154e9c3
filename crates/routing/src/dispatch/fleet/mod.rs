//! The other routers: who is there, and what they tell of engines, tenants and the source.

mod role;
mod roster;
mod rounds;
mod view;

pub use rounds::HEAVIEST_TENANTS;

use super::aggregation::{Role, tiebreak};
use crate::digest::{Digest, IncludedDigest, PeerId, RouterPhase, RouterState, Sum, SumScope};
use crate::load_stats::{EngineLoad, LoadStats};
use crate::overload::PeerCapacity;
use crate::revision::Revision;
use crate::source_watchers::SourceContact;
use mastbay_types::Timestamp;
use roster::RosterEntry;
use rounds::SumParts;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two rounds of messages.
pub const ROUND_PERIOD: Duration = Duration::from_millis(80);
/// Silence after which stats no longer count: several rounds, so that single datagrams may be lost.
const STATS_TTL: Duration = Duration::from_millis(700);
/// Least silence after which a peer no longer counts as a router that may spend budget.
const MIN_PEER_TTL: Duration = Duration::from_secs(12);
/// Heartbeats that may be lost before a peer is taken as gone.
const HEARTBEATS_PER_TTL: u32 = 3;
/// Heartbeats that a router of a large fleet sends in a round.
const HEARTBEATS_PER_ROUND: usize = 2;
/// Time without any router that reaches the source after which members try it: a failed call is repeated meanwhile.
/// Without stand-ins a source that turned away three aggregators left 62 routers without any change for 9 s, by their
/// logs.
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a router is not hellos_sent again: it may be about to answer.
const HELLO_COOLDOWN: Duration = Duration::from_secs(1);

/// What a router tells of itself beside its stats.
#[derive(Debug, Clone)]
pub struct OwnState {
    /// Its zone.
    pub zone: String,
    /// Whether it takes new callers.
    pub phase: RouterPhase,
    /// Its part of a processor core.
    pub processor: f32,
    /// What it knows of the source.
    pub contact: SourceContact,
    /// Version of its configuration, 0 if none.
    pub configuration: u64,
    /// Revision of its back ends, the least if none.
    pub back_ends: Revision,
    /// Revision of its evacuated zones, the least if none.
    pub evacuations: Revision,
    /// Revision of the orders for roll-outs that it knows, the least if none.
    pub rollouts: Revision,
}

/// Figures that no longer count, and those that do from now on.
#[derive(Debug, Default)]
pub struct LoadStatsChange {
    /// What no longer counts.
    pub removed: Vec<LoadStats>,
    /// What counts now.
    pub added: Option<LoadStats>,
}

/// What became of a digest or a sum.
#[derive(Debug)]
pub struct ReceivedUpdate {
    /// What it changes.
    pub change: LoadStatsChange,
    /// Its sender, if it was not known before.
    pub new_peer: Option<NewPeer>,
}

/// A router that was heard for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewPeer {
    /// Its digest address.
    pub address: SocketAddr,
    /// Whether it is to be hellos_sent: it may not know this router.
    pub needs_hello: bool,
}

#[derive(Debug)]
struct Peer {
    last_seen: Timestamp,
    state: RouterState,
    /// It sent no sums although this router reported to it, and was not heard since.
    is_suspected: bool,
    /// Its place among equals.
    tiebreak: u64,
}

/// Whose stats are held here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StatsSource {
    /// One router's own.
    Router(SocketAddr),
    /// Those of an aggregator and its members, at one part of the engines.
    Members(SocketAddr, u32),
    /// Those of the whole fleet, as this router's aggregator tells them, at one part of the engines.
    Fleet(u32),
}

#[derive(Debug)]
struct HeldStats {
    received: Timestamp,
    /// When the rates of tenants among them were told last; most messages leave them out.
    rates_received: Timestamp,
    /// The message that told them last.
    last_message: IncludedDigest,
    stats: LoadStats,
    /// Parts into which the sender has split its stats.
    parts: u32,
    source_answers: bool,
    /// Routers whose stats these are, and those of them that shed.
    routers: usize,
    shedding: usize,
    /// Whether this router's own stats are part of them.
    includes_self: bool,
}

/// What this router knows of the others.
#[derive(Debug)]
pub struct Fleet {
    me: PeerId,
    /// This router's place among equals.
    tiebreak: u64,
    snapshots: SocketAddr,
    sequence: u64,
    round: u64,
    role: Role,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Routers among which duties are shared out.
    roster: BTreeMap<SocketAddr, RosterEntry>,
    /// Whether the settings name any other router; taken as so until the first round tells.
    has_seeds: bool,
    held: BTreeMap<StatsSource, HeldStats>,
    /// Routers that should send sums to this one, and when they did last, or else since when they should.
    expected_sums: BTreeMap<SocketAddr, Timestamp>,
    /// When sums of the fleet came last, or else when this router became a member.
    last_fleet_sum: Timestamp,
    is_isolated: bool,
    /// Since when no router is known to reach the source.
    source_lost_since: Option<Timestamp>,
    /// Since when this router reaches the source when no other did.
    fallback_since: Option<Timestamp>,
    /// Since when peers have something newer.
    behind_since: Option<Timestamp>,
    reports: VecDeque<(u64, Vec<EngineLoad>)>,
    /// Messages of one round of its sums.
    member_sum_parts: SumParts,
    fleet_sum_parts: SumParts,
    /// Routers that others have advertised and that are not known.
    advertised: BTreeSet<SocketAddr>,
    /// When routers were hellos_sent lately.
    hellos_sent: BTreeMap<SocketAddr, Timestamp>,
    peer_capacity: PeerCapacity,
}

impl Fleet {
    /// A router that has heard nobody yet.
    pub fn new(me: PeerId, snapshots: SocketAddr) -> Self {
        Self {
            me,
            tiebreak: tiebreak(me.address),
            snapshots,
            sequence: 0,
            round: 0,
            role: Role::default(),
            peers: BTreeMap::new(),
            roster: BTreeMap::new(),
            has_seeds: true,
            held: BTreeMap::new(),
            expected_sums: BTreeMap::new(),
            last_fleet_sum: Timestamp::ZERO,
            is_isolated: false,
            source_lost_since: None,
            fallback_since: None,
            behind_since: None,
            reports: VecDeque::new(),
            member_sum_parts: SumParts::default(),
            fleet_sum_parts: SumParts::default(),
            advertised: BTreeSet::new(),
            hellos_sent: BTreeMap::new(),
            peer_capacity: PeerCapacity::default(),
        }
    }

    /// Takes a digest; nothing for one of this router itself or one that is not newer than the last.
    pub fn on_digest(&mut self, now: Timestamp, digest: Digest) -> Option<ReceivedUpdate> {
        let sender = digest.router.id;
        let last_message =
            IncludedDigest { incarnation: sender.incarnation, sequence: digest.router.sequence };
        let contact = digest.router.contact;
        let mut change = LoadStatsChange::default();
        let is_new_peer = self.receive_state(now, digest.router, &mut change)?;
        self.advertised.extend(digest.peers);
        // Who is reported to aggregates, also if it would not have chosen itself.
        let source_answers = digest.is_member && contact == SourceContact::Answered;
        let uses_stats = digest.is_member == (self.role != Role::Mesh);
        if let Some(stats) = digest.stats.filter(|_| uses_stats) {
            let held = HeldStats {
                received: now,
                rates_received: now,
                last_message,
                stats,
                parts: 1,
                source_answers,
                routers: 1,
                shedding: 0,
                includes_self: false,
            };
            self.store(StatsSource::Router(sender.address), held, &mut change);
        }
        let new_peer = is_new_peer.then(|| self.record_new_peer(now, sender.address));
        Some(ReceivedUpdate { change, new_peer })
    }

    /// Takes an aggregator's sums: as a member those of the fleet from its own aggregator, as an aggregator
    /// those of the others' members.
    pub fn on_sum(&mut self, now: Timestamp, sum: Sum) -> Option<ReceivedUpdate> {
        let sender = sum.router.id;
        let last_message =
            IncludedDigest { incarnation: sender.incarnation, sequence: sum.router.sequence };
        let mut change = LoadStatsChange::default();
        let is_new_peer = self.receive_state(now, sum.router, &mut change)?;
        // One that was passed on may come from a router that does not know this one.
        let new_peer = is_new_peer.then(|| self.record_new_peer(now, sender.address));
        let source = match (sum.scope, self.role) {
            (SumScope::Members, Role::Aggregator) => {
                self.drop_held_where(&mut change, |source, held| match source {
                    StatsSource::Router(address) => address == sender.address,
                    StatsSource::Members(address, _) => {
                        address == sender.address && held.parts != sum.parts
                    }
                    StatsSource::Fleet(_) => true,
                });
                StatsSource::Members(sender.address, sum.part)
            }
            (SumScope::Fleet, Role::Member(aggregator)) if aggregator == sender.address => {
                self.last_fleet_sum = now;
                self.drop_held_where(&mut change, |source, held| {
                    matches!(source, StatsSource::Fleet(_)) && held.parts != sum.parts
                });
                StatsSource::Fleet(sum.part)
            }
            _ => return Some(ReceivedUpdate { change, new_peer }),
        };
        if let Some(last) = self.expected_sums.get_mut(&sender.address) {
            *last = now;
        }
        let mine = sum.included.iter().find(|included| included.incarnation == self.me.incarnation);
        let stats = match mine.and_then(|mine| self.report(mine.sequence)) {
            Some(loads) => sum.stats.without_loads(loads),
            None => sum.stats,
        };
        let held = HeldStats {
            received: now,
            rates_received: now,
            last_message,
            stats,
            parts: sum.parts,
            source_answers: sum.source_answers,
            routers: sum.included.len() + 1,
            shedding: sum.shedding as usize,
            includes_self: mine.is_some(),
        };
        self.store(source, held, &mut change);
        Some(ReceivedUpdate { change, new_peer })
    }

    /// Notes that a router was heard for the first time.
    fn record_new_peer(&mut self, now: Timestamp, address: SocketAddr) -> NewPeer {
        NewPeer { address, needs_hello: self.hellos_sent.insert(address, now).is_none() }
    }

    /// Notes a peer's state. Gives whether it was not known; nothing if the state is no news.
    fn receive_state(
        &mut self,
        now: Timestamp,
        state: RouterState,
        change: &mut LoadStatsChange,
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
            self.drop_held(change, |source| {
                matches!(source, StatsSource::Router(origin) | StatsSource::Members(origin, _) if origin == address)
            });
        }
        let tiebreak =
            self.peers.get(&address).map_or_else(|| tiebreak(address), |peer| peer.tiebreak);
        self.update_roster(now, &state, tiebreak);
        self.peers.insert(address, Peer { last_seen: now, state, is_suspected: false, tiebreak });
        Some(is_new)
    }

    /// Takes newer stats of a source. What they leave out holds on and is no change.
    fn store(&mut self, source: StatsSource, mut held: HeldStats, change: &mut LoadStatsChange) {
        change.added = Some(held.stats.clone());
        let has_tenant_rates = held.stats.has_tenant_rates();
        let mut stats = LoadStats::default();
        if let Some(earlier) = self.held.remove(&source) {
            if !has_tenant_rates {
                held.rates_received = earlier.rates_received;
            }
            stats = earlier.stats;
        }
        let newer = std::mem::take(&mut held.stats);
        change.removed.push(stats.replace(newer));
        held.stats = stats;
        self.held.insert(source, held);
    }

    fn drop_held(
        &mut self,
        change: &mut LoadStatsChange,
        is_dropped: impl Fn(StatsSource) -> bool,
    ) {
        self.drop_held_where(change, |source, _| is_dropped(source));
    }

    fn drop_held_where(
        &mut self,
        change: &mut LoadStatsChange,
        is_dropped: impl Fn(StatsSource, &HeldStats) -> bool,
    ) {
        let dropped = self.held.iter().filter(|(source, held)| is_dropped(**source, held));
        let dropped: Vec<StatsSource> = dropped.map(|(source, _)| *source).collect();
        let dropped = dropped.iter().filter_map(|source| self.held.remove(source));
        change.removed.extend(dropped.map(|held| held.stats));
    }

    /// The loads of a report that this router has sent.
    fn report(&self, sequence: u64) -> Option<&[EngineLoad]> {
        let kept = self.reports.iter().find(|(kept, _)| *kept >= sequence);
        kept.map(|(_, loads)| loads.as_slice())
    }

    /// Forgets silent peers and stats that are too old.
    pub fn expire(&mut self, now: Timestamp) -> LoadStatsChange {
        let mut change = LoadStatsChange::default();
        let is_old = |held: &HeldStats| now.since(held.received) > STATS_TTL;
        let old: Vec<StatsSource> =
            self.held.iter().filter(|(_, held)| is_old(held)).map(|(source, _)| *source).collect();
        self.drop_held(&mut change, |source| old.contains(&source));
        let ttl = self.peer_ttl();
        self.peers.retain(|_, peer| now.since(peer.last_seen) <= ttl);
        self.expire_roster(now);
        self.hellos_sent.retain(|_, sent| now.since(*sent) <= HELLO_COOLDOWN);
        change
    }

    /// Silence after which a peer is taken as gone.
    fn peer_ttl(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(HEARTBEATS_PER_ROUND) as u32;
        MIN_PEER_TTL.max(ROUND_PERIOD * rounds * HEARTBEATS_PER_TTL)
    }
}
