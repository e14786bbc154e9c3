//! The messages that a router sends in each round.

use super::{Fleet, HEARTBEATS_PER_ROUND, HeldStats, OwnReport, OwnState, Peer, StatsSource};
use crate::digest::{Digest, Outgoing, PeerMessage, RouterPhase, RouterState, Sum, SumScope};
use crate::dispatch::aggregation::{MAX_MESH_PEERS, Role};
use crate::load_stats::{LoadStats, LoadStatsSum};
use crate::source_watchers::SourceContact;
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Rounds between contacts to seeds in a small fleet; grows in proportion to larger fleets.
const ROUNDS_PER_SEED_CONTACT: u64 = 12;
/// Peer addresses per digest.
const PEERS_PER_DIGEST: usize = 6;
/// Peer addresses per hello, more than in a digest so that a new peer soon knows all.
const PEERS_PER_HELLO: usize = 30;
/// Maximum number of hellos per round, which bounds the cost when a whole fleet starts.
const MAX_HELLOS_PER_ROUND: usize = 8;
/// Interval, in digests of a mesh, between those with tenant rates, event intervals and peer
/// addresses.
const FULL_DIGEST_INTERVAL: u64 = 4;
/// Interval, in digests of a mesh, between those with the demand for prefixes.
const PREFIX_DIGEST_INTERVAL: u64 = 8;
/// Interval, in rounds of a large fleet, between those with slowly changing stats.
const FULL_ROUND_INTERVAL: u64 = 8;
/// Interval, in rounds of a large fleet, between those with the performance of engines. They pass
/// three senders to the last router, which takes up to three intervals.
const PERFORMANCE_ROUND_INTERVAL: u64 = 4;
/// First round with the performance of engines. Not a full round, as both do not fit a datagram.
const FIRST_PERFORMANCE_ROUND: u64 = 2;
/// Tenants whose rates are sent in rounds without the slowly changing stats. With outdated rates,
/// the shares of the heaviest tenants would oscillate: sent each eighth round only, they are up to
/// two seconds old, and one of two heavy tenants got 0.43 of its share over six seconds. The bound
/// limits the message size, about 1 KB for 48 tenants.
pub const HEAVIEST_TENANTS: usize = 48;
/// Engines per message with sums, so that a message fits a datagram of 61,440 bytes. An engine with
/// its service level takes 57 bytes.
const ENGINES_PER_SUM: usize = 900;
/// Rounds with fewer parts needed after which the number of parts is halved. Each change makes
/// receivers drop all stats.
const ROUNDS_PER_SHRINK: u64 = 100;
/// Recent reports kept, to subtract them from sums that include them.
const MAX_REPORTS: usize = 16;

/// Number of messages that sums are split into, by the number of engines in use. By the number of
/// known ones, 9,998 engines made twelve messages a round for each member.
#[derive(Debug, Clone, Copy)]
pub struct SumParts {
    parts: u32,
    /// Last round in which this many parts were needed.
    needed: u64,
}

impl Default for SumParts {
    fn default() -> Self {
        Self { parts: 1, needed: 0 }
    }
}

impl SumParts {
    fn for_entries(&mut self, round: u64, entries: usize) -> u32 {
        let needed = entries.div_ceil(ENGINES_PER_SUM).max(1).next_power_of_two() as u32;
        if needed >= self.parts {
            *self = Self { parts: needed, needed: round };
        } else if round.saturating_sub(self.needed) >= ROUNDS_PER_SHRINK {
            *self = Self { parts: self.parts / 2, needed: round };
        }
        self.parts
    }
}

/// The other aggregators that receive sums in one round.
#[derive(Debug, Default)]
struct NextAggregators {
    /// Those in this zone, and those that are the only one of their zone.
    direct: Vec<SocketAddr>,
    /// One of each other zone with several, which relays the sums there.
    relays: Vec<SocketAddr>,
}

impl Fleet {
    /// Returns whether the next round of a large fleet includes slowly changing stats.
    fn is_full_round(&self) -> bool {
        self.round.is_multiple_of(FULL_ROUND_INTERVAL)
    }

    /// Returns whether the next round of a large fleet includes the performance of engines.
    fn is_performance_round(&self) -> bool {
        self.round % PERFORMANCE_ROUND_INTERVAL == FIRST_PERFORMANCE_ROUND
    }

    /// Returns whether the next round includes the performance of engines. In a mesh, digests omit
    /// it themselves.
    pub fn includes_performance(&self) -> bool {
        self.role == Role::Mesh || self.is_performance_round()
    }

    /// Reduces stats to those sent in the next round of a large fleet.
    fn stats_for_round(&self, stats: LoadStats) -> LoadStats {
        if self.is_full_round() { stats } else { stats.with_heaviest_tenants(HEAVIEST_TENANTS) }
    }

    /// Returns whether the next round includes slowly changing stats. In a mesh every round does,
    /// for the engines' service levels.
    pub fn includes_slow_stats(&self) -> bool {
        self.role == Role::Mesh || self.is_full_round()
    }

    /// Returns this router's digest for all peers of a mesh.
    pub fn digest(&mut self, own: OwnState, mut stats: LoadStats) -> Digest {
        let is_full = (self.sequence + 1) % FULL_DIGEST_INTERVAL == 1;
        if !is_full {
            stats.tenants = None;
            stats.event_intervals = None;
            stats.performance = None;
        }
        if (self.sequence + 1) % PREFIX_DIGEST_INTERVAL != 1 {
            stats.prefixes = None;
        }
        let count = if is_full { PEERS_PER_DIGEST } else { 0 };
        self.digest_with(own, Some(stats), count)
    }

    /// Returns a digest without stats.
    fn heartbeat(&mut self, own: OwnState, peers: usize) -> Digest {
        self.digest_with(own, None, peers)
    }

    /// Returns the digest that introduces this router to a new peer.
    pub fn hello(&mut self, own: OwnState) -> Digest {
        self.heartbeat(own, PEERS_PER_HELLO)
    }

    fn digest_with(&mut self, own: OwnState, stats: Option<LoadStats>, peers: usize) -> Digest {
        let peers = self.rotating_addresses(peers);
        Digest { router: self.next_state(own), stats, is_member: false, peers }
    }

    fn next_state(&mut self, own: OwnState) -> RouterState {
        self.sequence += 1;
        RouterState {
            id: self.me,
            sequence: self.sequence,
            snapshots: self.snapshots,
            zone: own.zone,
            phase: own.phase,
            processor: own.processor,
            contact: own.contact,
            configuration: own.configuration,
            back_ends: own.back_ends,
            evacuations: own.evacuations,
            rollouts: own.rollouts,
            routers: self.routers() as u32,
        }
    }

    /// Returns up to `count` peer addresses, rotating with each message.
    fn rotating_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let peers: Vec<SocketAddr> = self.peers.keys().copied().collect();
        let start = (self.sequence as usize).wrapping_mul(count) % peers.len().max(1);
        peers.iter().cycle().skip(start).take(count.min(peers.len())).copied().collect()
    }

    /// Returns the messages of one round. `stats` are this router's own.
    pub fn next_round(
        &mut self,
        now: Timestamp,
        own: &OwnState,
        stats: LoadStats,
        seeds: &[SocketAddr],
    ) -> Vec<Outgoing> {
        if self.seeds.as_deref() != Some(seeds) {
            self.seeds = Some(seeds.to_vec());
        }
        let contacted_seeds = if self.contacts_seeds() { seeds } else { &[] };
        let mut messages = match self.role {
            Role::Mesh => vec![self.mesh_round(own, stats, contacted_seeds)],
            Role::Member(aggregator) => {
                let report = self.member_report(own, stats, aggregator);
                vec![report, self.heartbeat_round(own, contacted_seeds)]
            }
            Role::Aggregator => {
                let mut messages = self.aggregator_round(own, &stats);
                messages.push(self.heartbeat_round(own, contacted_seeds));
                messages
            }
        };
        if self.contacts_seeds() {
            self.advertise_registered();
        }
        messages.extend(self.next_hellos(now, own));
        messages.extend(self.next_registry_notices(now, own.contact));
        self.round += 1;
        messages
    }

    /// Returns a hello for some of the unknown routers that peers advertised.
    fn next_hellos(&mut self, now: Timestamp, own: &OwnState) -> Option<Outgoing> {
        let advertised = std::mem::take(&mut self.advertised);
        let is_unknown = |address: &SocketAddr| {
            *address != self.me.address
                && !self.peers.contains_key(address)
                && !self.hellos_sent.contains_key(address)
        };
        let mut targets: Vec<SocketAddr> = advertised.into_iter().filter(is_unknown).collect();
        if targets.is_empty() {
            return None;
        }
        // Each router starts at a different position, to spread the hellos.
        let first = self.tiebreak as usize % targets.len();
        targets.rotate_left(first);
        let remaining = targets.split_off(targets.len().min(MAX_HELLOS_PER_ROUND));
        self.advertised = remaining.into_iter().collect();
        self.hellos_sent.extend(targets.iter().map(|target| (*target, now)));
        let hello = self.hello(own.clone());
        Some(self.outgoing(PeerMessage::Digest(hello), targets))
    }

    fn contacts_seeds(&self) -> bool {
        let factor = (self.peers.len() / MAX_MESH_PEERS).max(1) as u64;
        self.peers.is_empty()
            || self.is_isolated
            || self.round.is_multiple_of(ROUNDS_PER_SEED_CONTACT * factor)
    }

    fn mesh_round(&mut self, own: &OwnState, stats: LoadStats, seeds: &[SocketAddr]) -> Outgoing {
        let digest = self.digest(own.clone(), stats);
        let targets = self.peers.keys().chain(seeds).copied().collect();
        self.outgoing(PeerMessage::Digest(digest), targets)
    }

    fn heartbeat_round(&mut self, own: &OwnState, seeds: &[SocketAddr]) -> Outgoing {
        let first = self.round as usize * HEARTBEATS_PER_ROUND % self.peers.len().max(1);
        let peers = self.peers.keys().cycle().skip(first);
        let peers = peers.take(HEARTBEATS_PER_ROUND.min(self.peers.len()));
        let targets = peers.chain(seeds).copied().collect();
        let heartbeat = self.heartbeat(own.clone(), PEERS_PER_DIGEST);
        self.outgoing(PeerMessage::Digest(heartbeat), targets)
    }

    fn member_report(&mut self, own: &OwnState, stats: LoadStats, to: SocketAddr) -> Outgoing {
        let report = OwnReport { loads: stats.loads.clone(), backlog: stats.backlog.clone() };
        let router = self.next_state(own.clone());
        self.reports.push_back((router.sequence, report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        let stats = Some(self.stats_for_round(stats));
        let digest = Digest { router, stats, is_member: true, peers: Vec::new() };
        self.outgoing(PeerMessage::Digest(digest), vec![to])
    }

    fn aggregator_round(&mut self, own: &OwnState, stats: &LoadStats) -> Vec<Outgoing> {
        let is_full_round = self.is_full_round();
        let is_performance_round = self.is_performance_round();
        let add = |sum: &mut LoadStatsSum, stats: &LoadStats| {
            sum.add_loads(stats);
            sum.add_releases(stats);
            sum.add_backlog(stats);
            sum.add_rates(stats);
            if is_full_round {
                sum.add_slow_changing(stats);
            }
            if is_performance_round {
                sum.add_performance(stats);
            }
        };
        let mut members = LoadStatsSum::default();
        add(&mut members, stats);
        self.members().for_each(|(_, held)| add(&mut members, &held.stats));
        let mut fleet = members.clone();
        let other_sums =
            self.held.iter().filter(|(source, _)| !matches!(source, StatsSource::Router(_)));
        other_sums.for_each(|(_, held)| add(&mut fleet, &held.stats));
        let of_members = self.sums(own, SumScope::Members, members);
        let of_fleet = self.sums(own, SumScope::Fleet, fleet);
        let aggregators = self.next_aggregators(&own.zone);
        let member_addresses: Vec<SocketAddr> = self.members().map(|(member, _)| member).collect();
        let mut messages = Vec::new();
        for sum in of_members {
            // Zones with a single aggregator need no copy for the relay.
            if !aggregators.relays.is_empty() {
                let for_zones = PeerMessage::SumForZone(sum.clone());
                messages.push(self.outgoing(for_zones, aggregators.relays.clone()));
            }
            messages.push(self.outgoing(PeerMessage::Sum(sum), aggregators.direct.clone()));
        }
        let to_members = of_fleet
            .into_iter()
            .map(|sum| self.outgoing(PeerMessage::Sum(sum), member_addresses.clone()));
        messages.extend(to_members);
        messages.retain(|outgoing| !outgoing.targets.is_empty());
        messages
    }

    /// Returns the aggregators that receive the next sum over this one's members. Another zone
    /// receives it once, through its aggregators in rotation, so that a failed one loses only some
    /// of the sums. Suspected ones receive it directly, or they would suspect this router in turn.
    fn next_aggregators(&self, own_zone: &str) -> NextAggregators {
        let mut next = NextAggregators::default();
        let mut zones: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for address in self.other_aggregators() {
            match self.peers.get(&address) {
                Some(peer) if peer.state.zone != own_zone && !peer.is_suspected => {
                    zones.entry(&peer.state.zone).or_default().push(address);
                }
                _ => next.direct.push(address),
            }
        }
        let rotation = self.round.wrapping_add(self.tiebreak) as usize;
        for mut aggregators in zones.into_values() {
            aggregators.sort_unstable();
            aggregators.dedup();
            match aggregators[..] {
                [single] => next.direct.push(single),
                _ => next.relays.push(aggregators[rotation % aggregators.len()]),
            }
        }
        next
    }

    /// Returns a relayed sum for the other aggregators of this router's zone.
    pub fn relayed_sum(&self, own_zone: &str, sum: &Sum) -> Option<Outgoing> {
        if self.role != Role::Aggregator {
            return None;
        }
        let is_in_zone = |address: &SocketAddr| {
            self.peers.get(address).is_some_and(|peer| peer.state.zone == own_zone)
        };
        let targets = self.other_aggregators().into_iter().filter(is_in_zone).collect();
        Some(self.outgoing(PeerMessage::Sum(sum.clone()), targets))
    }

    /// Returns messages with a sum, one for each part of the engines.
    fn sums(&mut self, own: &OwnState, scope: SumScope, sum: LoadStatsSum) -> Vec<Sum> {
        let stats = self.stats_for_round(sum.into_stats(self.is_full_round()));
        let round = self.round;
        let parts = match scope {
            SumScope::Members => &mut self.member_sum_parts,
            SumScope::Fleet => &mut self.fleet_sum_parts,
        };
        let parts = parts.for_entries(round, stats.engine_count());
        let stats = stats.split(parts);
        let numbered = (0..parts).zip(stats);
        numbered.map(|(part, stats)| self.sum(own, scope, (part, parts), stats)).collect()
    }

    fn sum(
        &mut self,
        own: &OwnState,
        scope: SumScope,
        (part, parts): (u32, u32),
        stats: LoadStats,
    ) -> Sum {
        let answered = own.contact == SourceContact::Answered;
        let others_answered = self.held.iter().any(|(source, held)| {
            let is_included = scope == SumScope::Fleet || matches!(source, StatsSource::Router(_));
            is_included && held.source_answers
        });
        let is_shedding = |peer: &&Peer| peer.state.phase == RouterPhase::Shedding;
        let shedding = self.members().filter_map(|(address, _)| self.peers.get(&address));
        let own_shedding = u32::from(own.phase == RouterPhase::Shedding);
        let shedding = shedding.filter(is_shedding).count() as u32 + own_shedding;
        let included = self.members().map(|(_, held)| held.last_message).collect();
        let source_answers = answered || others_answered;
        let router = self.next_state(own.clone());
        Sum { router, scope, part, parts, stats, source_answers, shedding, included }
    }

    /// Returns the routers that report to this one.
    pub(super) fn members(&self) -> impl Iterator<Item = (SocketAddr, &HeldStats)> {
        self.held.iter().filter_map(|(source, held)| match source {
            StatsSource::Router(address) => Some((*address, held)),
            StatsSource::Members(..) | StatsSource::Fleet(_) => None,
        })
    }

    /// Returns the routers that should be aggregators and those that act as one.
    pub(super) fn other_aggregators(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.expected_sums.keys().copied().collect();
        all.extend(self.held.keys().filter_map(|source| match source {
            StatsSource::Members(address, _) => Some(*address),
            StatsSource::Router(_) | StatsSource::Fleet(_) => None,
        }));
        all
    }

    pub(super) fn outgoing(&self, message: PeerMessage, mut targets: Vec<SocketAddr>) -> Outgoing {
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != self.me.address);
        Outgoing { message, targets }
    }
}
