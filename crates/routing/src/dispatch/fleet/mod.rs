//! The other routers of the fleet and the stats that they report.

mod registry;
mod role;
mod roster;
mod rounds;
mod spenders;
mod view;

pub use registry::{Registrations, RegistryNotice};
pub use rounds::HEAVIEST_TENANTS;

use super::aggregation::{Role, tiebreak};
use crate::admission::BacklogReport;
use crate::digest::{Digest, IncludedDigest, PeerId, RouterPhase, RouterState, Sum, SumScope};
use crate::load_stats::{EngineLoad, LoadStats};
use crate::overload::PeerCapacity;
use crate::revision::Revision;
use crate::source_watchers::SourceContact;
use crate::windowed_max::WindowedMax;
use mastbay_types::Timestamp;
use registry::RegistryView;
use roster::RosterEntry;
use rounds::SumParts;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between rounds of messages.
pub const ROUND_PERIOD: Duration = Duration::from_millis(80);
/// Time after a round at which the next one is sent early, see
/// [`Dispatcher::has_unreported_slots`](super::Dispatcher::has_unreported_slots).
pub const EARLY_ROUND_PERIOD: Duration = Duration::from_millis(40);
/// Age at which received stats expire: several rounds, because datagrams may be lost.
const STATS_TTL: Duration = Duration::from_millis(700);
/// Minimum silence after which a peer expires and no longer counts as a router that spends retry
/// budget.
const MIN_PEER_TTL: Duration = Duration::from_secs(12);
/// Consecutive lost heartbeats after which a peer expires.
const HEARTBEATS_PER_TTL: u32 = 3;
/// Heartbeats that a router of a large fleet sends per round.
const HEARTBEATS_PER_ROUND: usize = 2;
/// Time without any router reaching the source after which members try to. Leaves time for a failed
/// call to be repeated. Without members that try, a source that rejected three aggregators left 62
/// routers without updates for 9 s.
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a hello during which no other one is sent to the same router.
const HELLO_COOLDOWN: Duration = Duration::from_secs(1);

/// A router's own state as sent with every message, apart from its stats.
#[derive(Debug, Clone)]
pub struct OwnState {
    pub zone: String,
    pub phase: RouterPhase,
    /// CPU share, in cores.
    pub processor: f32,
    pub contact: SourceContact,
    /// Version of its configuration, 0 if none.
    pub configuration: u64,
    /// Revision of its back ends, the lowest if none.
    pub back_ends: Revision,
    /// Revision of its evacuated zones, the lowest if none.
    pub evacuations: Revision,
    /// Revision of its roll-out orders, the lowest if none.
    pub rollouts: Revision,
}

/// Stats to subtract from and to add to the engines' peer load.
#[derive(Debug, Default)]
pub struct LoadStatsChange {
    pub removed: Vec<LoadStats>,
    pub added: Option<LoadStats>,
}

/// The result of a received digest or sum.
#[derive(Debug)]
pub struct ReceivedUpdate {
    pub change: LoadStatsChange,
    /// The sender, if it was not known before.
    pub new_peer: Option<NewPeer>,
}

/// A peer from which the first message has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewPeer {
    /// Its digest address.
    pub address: SocketAddr,
    /// Whether to send it a hello, since it may not know this router.
    pub needs_hello: bool,
}

#[derive(Debug)]
struct Peer {
    last_seen: Timestamp,
    state: RouterState,
    /// Set when an expected aggregator sends no sums, until its next message.
    is_suspected: bool,
    /// See [`tiebreak`].
    tiebreak: u64,
}

/// The origin of received stats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StatsSource {
    /// A single router.
    Router(SocketAddr),
    /// An aggregator and its members, for one part of the engines.
    Members(SocketAddr, u32),
    /// The whole fleet, as summed by this router's aggregator, for one part of the engines.
    Fleet(u32),
}

/// The part of this router's report that is subtracted from sums.
#[derive(Debug)]
struct OwnReport {
    loads: Vec<EngineLoad>,
    backlog: Vec<BacklogReport>,
}

#[derive(Debug)]
struct HeldStats {
    received: Timestamp,
    /// When tenant rates were received last; most messages omit them.
    rates_received: Timestamp,
    /// Identifies the message received last.
    last_message: IncludedDigest,
    stats: LoadStats,
    /// Number of parts that the sender splits its stats into.
    parts: u32,
    source_answers: bool,
    /// Number of routers covered, and how many of them are shedding.
    routers: usize,
    shedding: usize,
    /// Whether this router's own stats are included.
    includes_self: bool,
}

/// A router's view of the fleet.
#[derive(Debug)]
pub struct Fleet {
    me: PeerId,
    /// See [`tiebreak`].
    tiebreak: u64,
    snapshots: SocketAddr,
    sequence: u64,
    round: u64,
    role: Role,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Routers among which duties are divided.
    roster: BTreeMap<SocketAddr, RosterEntry>,
    registry: RegistryView,
    /// Whether any message of another router has arrived since the start.
    has_heard_any: bool,
    /// Numbers of routers that may have been spending budgets, over the window of the budgets.
    recent_spenders: WindowedMax,
    /// The other routers that are configured as seeds; `None` until the first round.
    seeds: Option<Vec<SocketAddr>>,
    /// Those of them that were heard since the start.
    heard_seeds: BTreeSet<SocketAddr>,
    held: BTreeMap<StatsSource, HeldStats>,
    /// Routers expected to send sums to this one, by address, with the time of the last sum or
    /// since when one is expected.
    expected_sums: BTreeMap<SocketAddr, Timestamp>,
    /// Time of the last sum over the fleet, or when this router became a member.
    last_fleet_sum: Timestamp,
    is_isolated: bool,
    /// Since when no router is known to reach the source.
    source_lost_since: Option<Timestamp>,
    /// Since when this member follows the source as a fallback.
    fallback_since: Option<Timestamp>,
    /// Since when peers have newer state.
    behind_since: Option<Timestamp>,
    reports: VecDeque<(u64, OwnReport)>,
    /// Number of messages that the sums of a round are split into.
    member_sum_parts: SumParts,
    fleet_sum_parts: SumParts,
    /// Router addresses advertised by peers; known ones are filtered out when hellos are sent.
    advertised: BTreeSet<SocketAddr>,
    /// When a hello was last sent, by router.
    hellos_sent: BTreeMap<SocketAddr, Timestamp>,
    peer_capacity: PeerCapacity,
}

impl Fleet {
    /// Creates a fleet without peers, whose budgets have the window `budget_window`.
    pub fn new(me: PeerId, snapshots: SocketAddr, budget_window: Duration) -> Self {
        Self {
            me,
            tiebreak: tiebreak(me.address),
            snapshots,
            sequence: 0,
            round: 0,
            role: Role::default(),
            peers: BTreeMap::new(),
            roster: BTreeMap::new(),
            registry: RegistryView::new(budget_window),
            has_heard_any: false,
            recent_spenders: WindowedMax::new(budget_window),
            seeds: None,
            heard_seeds: BTreeSet::new(),
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

    /// Handles a digest. Returns `None` for this router's own and for outdated ones.
    pub fn on_digest(&mut self, now: Timestamp, digest: Digest) -> Option<ReceivedUpdate> {
        let sender = digest.router.id;
        let last_message =
            IncludedDigest { incarnation: sender.incarnation, sequence: digest.router.sequence };
        let contact = digest.router.contact;
        let mut change = LoadStatsChange::default();
        let is_new_peer = self.receive_state(now, digest.router, &mut change)?;
        self.advertised.extend(digest.peers);
        // A router that members report to aggregates, even if it is no aggregator in its own view.
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

    /// Handles an aggregator's sum: a member uses the fleet sums of its aggregator, an aggregator
    /// the member sums of the others. Returns `None` for outdated sums.
    pub fn on_sum(&mut self, now: Timestamp, sum: Sum) -> Option<ReceivedUpdate> {
        let sender = sum.router.id;
        let last_message =
            IncludedDigest { incarnation: sender.incarnation, sequence: sum.router.sequence };
        let mut change = LoadStatsChange::default();
        let is_new_peer = self.receive_state(now, sum.router, &mut change)?;
        // The sender of a relayed sum may not know this router.
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
            Some(own) => sum.stats.without_loads(&own.loads).without_backlog(&own.backlog),
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

    fn record_new_peer(&mut self, now: Timestamp, address: SocketAddr) -> NewPeer {
        NewPeer { address, needs_hello: self.hellos_sent.insert(address, now).is_none() }
    }

    /// Stores a peer's state. Returns whether the peer is new, or `None` if the state is outdated.
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

    /// Stores newer stats of a source. Those omitted by the message are kept.
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

    /// Returns this router's report with a sequence number, or of the next one kept.
    fn report(&self, sequence: u64) -> Option<&OwnReport> {
        let kept = self.reports.iter().find(|(kept, _)| *kept >= sequence);
        kept.map(|(_, report)| report)
    }

    /// Removes silent peers and expired stats.
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

    /// Returns the silence after which a peer expires.
    fn peer_ttl(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(HEARTBEATS_PER_ROUND) as u32;
        MIN_PEER_TTL.max(ROUND_PERIOD * rounds * HEARTBEATS_PER_TTL)
    }
}
