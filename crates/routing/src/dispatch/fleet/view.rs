//! Queries over the peers' state and stats.

use super::{FALLBACK_TIMEOUT, Fleet, OwnState, STATS_TTL, StatsSource};
use crate::admission::BacklogReport;
use crate::digest::{RouterPhase, RouterState};
use crate::dispatch::aggregation::Role;
use crate::dispatch::retries::RouterCounts;
use crate::load_stats::{EngineLoad, EngineServiceLevel, LoadStats, LoadStatsSum, TenantReport};
use crate::overload::PeerCapacity;
use crate::performance::EnginePerformanceReport;
use crate::prefix_demand::PrefixRate;
use crate::quarantine::ProbeSlot;
use crate::rollout::ReleaseReport;
use crate::source_watchers::{self, SourceContact};
use crate::stream_origin::{Member, StreamKey, owners};
use crate::suspect::Suspect;
use mastbay_types::{Timestamp, stable_hash};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time slot in which a random subset of the members tries to reach the source.
const FALLBACK_SLOT: Duration = Duration::from_millis(200);
/// Mean number of members that try in one slot.
const FALLBACK_CANDIDATES: u64 = 6;
/// Time for which a member whose call succeeded follows the source.
const FALLBACK_DURATION: Duration = Duration::from_secs(5);
/// Gossip fanout per round in a large fleet. With a tenth of the datagrams lost, 295 routers know
/// after 0.64 s what three of them observed.
const GOSSIP_TARGETS: u8 = 3;
/// Time for which a member waits for a peer in its zone to have newer state before it asks other
/// zones. This avoids transfers of full snapshots between zones when many routers start.
const ZONE_TIMEOUT: Duration = Duration::from_millis(400);
/// CPU ratio from which a router counts as much larger than another.
const MUCH_LARGER_RATIO: f32 = 1.5;

impl Fleet {
    /// Returns the number of known routers, including this one.
    pub fn routers(&self) -> usize {
        1 + self.peers.len()
    }

    /// Returns the number of routers by each way in which this one knows them.
    pub fn counts(&self) -> RouterCounts {
        RouterCounts {
            heard: self.routers(),
            reported: self.size(),
            rostered: self.roster_size(),
            registered: self.registry.is_expected().then(|| self.registry.routers()),
        }
    }

    pub fn tiebreak(&self) -> u64 {
        self.tiebreak
    }

    /// Returns a number in 0..1 that is fixed for this router's incarnation and `subject`, and
    /// uniform over the fleet.
    pub fn draw(&self, subject: &str) -> f64 {
        let drawn = stable_hash(&[&self.me.incarnation.to_be_bytes(), subject.as_bytes()]);
        drawn as f64 / (u64::MAX as f64 + 1.0)
    }

    /// Returns the gossip targets of a round: all peers in a mesh, a few selected by `draw` in a
    /// larger fleet.
    pub fn gossip_targets(&self, draw: u64) -> Vec<SocketAddr> {
        if self.role == Role::Mesh {
            return self.peers.keys().copied().collect();
        }
        let draws =
            (0..GOSSIP_TARGETS).map(|number| stable_hash(&[&draw.to_be_bytes(), &[number]]));
        let mut targets: Vec<SocketAddr> =
            draws.filter_map(|draw| self.random_peer(draw)).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns this router's position in the order for probing a suspect, the same at routers with
    /// the same view.
    pub fn probe_slot(&self, suspect: Suspect) -> ProbeSlot {
        let index = self.position_in_order(&suspect.short().to_be_bytes());
        ProbeSlot { index, routers: self.routers() as u64 }
    }

    /// Returns this router's position, starting at 0, in a pseudorandom order of all routers that
    /// depends on `key` and is the same at routers with the same view.
    pub fn position_in_order(&self, key: &[u8]) -> u64 {
        let draw = |address: SocketAddr| stable_hash(&[key, address.to_string().as_bytes()]);
        let own = draw(self.me.address);
        self.peers.keys().filter(|peer| draw(**peer) < own).count() as u64
    }

    /// Returns the peer selected by the random number `draw`.
    pub fn random_peer(&self, draw: u64) -> Option<SocketAddr> {
        let index = draw.checked_rem(self.peers.len() as u64)?;
        self.peers.keys().nth(index as usize).copied()
    }

    /// Returns up to `count` peers that keep the record of a stream, those that are preferred first.
    pub fn origin_owners(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let members = self.peers.iter().map(|(address, peer)| Member {
            address: *address,
            zone: &peer.state.zone,
            hash: peer.tiebreak,
        });
        owners(stream, members, count)
    }

    fn fresh_peers(&self, now: Timestamp) -> impl Iterator<Item = &RouterState> {
        let fresh = self.peers.values().filter(move |peer| now.since(peer.last_seen) <= STATS_TTL);
        fresh.map(|peer| &peer.state)
    }

    /// Returns the peers whose contact with the source is up to date here: all in a mesh, the other
    /// aggregators for an aggregator.
    fn close_peers(&self, now: Timestamp) -> impl Iterator<Item = &RouterState> {
        let is_mesh = self.role == Role::Mesh;
        let is_close = move |state: &&RouterState| {
            is_mesh || self.held.contains_key(&StatsSource::Members(state.id.address, 0))
        };
        self.fresh_peers(now).filter(is_close)
    }

    /// Returns whether the last call of any peer to the source was answered, by close peers and
    /// received sums.
    pub fn is_source_answering(&self, now: Timestamp) -> bool {
        self.held.values().any(|held| held.source_answers)
            || self.close_peers(now).any(|peer| peer.contact == SourceContact::Answered)
    }

    /// Returns whether the last call of any recently seen peer to the source was answered.
    pub fn any_peer_reaches_source(&self, now: Timestamp) -> bool {
        self.is_source_answering(now)
            || self.fresh_peers(now).any(|peer| peer.contact == SourceContact::Answered)
    }

    /// Returns whether the last call of any recently seen peer to the source failed.
    pub fn any_peer_lost_source(&self, now: Timestamp) -> bool {
        self.fresh_peers(now).any(|peer| peer.contact == SourceContact::Lost)
    }

    /// Returns whether this router follows the source. In a large fleet, aggregators, isolated
    /// members and fallback members do.
    pub fn watches_source(&self, now: Timestamp, contact: SourceContact) -> bool {
        if matches!(self.role, Role::Member(_)) {
            return self.is_isolated || self.is_fallback(now);
        }
        let active = self.close_peers(now).filter(|peer| peer.phase != RouterPhase::Leaving);
        let others = active
            .map(|peer| source_watchers::Candidate { router: peer.id, contact: peer.contact });
        source_watchers::watches_source(
            source_watchers::Candidate { router: self.me, contact },
            others,
        )
    }

    /// Returns whether a member follows the source because no router reaches it. The source may
    /// reject all aggregators but serve others, so small random subsets of the members try in turn,
    /// and one that succeeds continues for a while.
    fn is_fallback(&self, now: Timestamp) -> bool {
        if let Some(since) = self.fallback_since {
            return now.since(since) < FALLBACK_DURATION || self.has_aggregator_lost_source(now);
        }
        let is_lost =
            self.source_lost_since.is_some_and(|lost| now.since(lost) >= FALLBACK_TIMEOUT);
        let slot = now.as_micros() / FALLBACK_SLOT.as_micros() as u64;
        let draw = stable_hash(&[&slot.to_be_bytes(), &self.tiebreak.to_be_bytes()]);
        is_lost && draw % (self.size() as u64) < FALLBACK_CANDIDATES
    }

    /// Returns whether this member's aggregator fails to reach the source. While it does, a
    /// fallback member continues. Sums do not show this, since they count the member itself among
    /// the routers that reach the source.
    fn has_aggregator_lost_source(&self, now: Timestamp) -> bool {
        let Role::Member(aggregator) = self.role else { return false };
        let mut fresh = self.fresh_peers(now);
        fresh.any(|peer| peer.id.address == aggregator && peer.contact == SourceContact::Lost)
    }

    pub fn peer_capacity(&self) -> PeerCapacity {
        self.peer_capacity
    }

    pub(super) fn measure_peer_capacity(&self, now: Timestamp, own: &OwnState) -> PeerCapacity {
        let ttl = if self.role == Role::Mesh { STATS_TTL } else { self.peer_ttl() };
        let peers = || {
            let recent = self.peers.values().filter(|peer| now.since(peer.last_seen) <= ttl);
            recent.map(|peer| &peer.state)
        };
        let all = peers().count().max(1) as f64;
        let fraction = |is_counted: &dyn Fn(&RouterState) -> bool| {
            peers().filter(|state| is_counted(state)).count() as f64 / all
        };
        let in_zone = || peers().filter(|state| state.zone == own.zone);
        let shedding = in_zone().filter(|state| state.phase == RouterPhase::Shedding).count();
        let (in_zone, shedding) = match self.held.get(&StatsSource::Fleet(0)) {
            Some(held) => (held.routers - 1, held.shedding),
            None => (in_zone().count(), shedding),
        };
        PeerCapacity {
            in_zone,
            shedding,
            larger: fraction(&|state| state.processor > own.processor * MUCH_LARGER_RATIO),
            smaller: fraction(&|state| state.processor * MUCH_LARGER_RATIO < own.processor),
        }
    }

    /// Returns peers in this zone that may take over connections: one among those with much more
    /// CPU, then one among all, weighted by CPU. `draws` are uniform in 0..1. Peers with newer
    /// configuration would reject them; peers with older configuration may have been updated since
    /// their last message.
    pub fn offload_targets(&self, own: &OwnState, draws: (f64, f64)) -> Vec<SocketAddr> {
        let in_zone = || self.offload_candidates(own).filter(|state| state.zone == own.zone);
        let larger = in_zone().filter(|state| state.processor > own.processor * MUCH_LARGER_RATIO);
        let first = draw_by_processor(larger, draws.0);
        let second = draw_by_processor(in_zone(), draws.1).filter(|second| Some(*second) != first);
        first.into_iter().chain(second).collect()
    }

    /// Returns a peer in another zone that may take over a connection, weighted by CPU, among zones
    /// for which `is_near` holds.
    pub fn cross_zone_offload_target(
        &self,
        own: &OwnState,
        is_near: impl Fn(&str) -> bool,
        draw: f64,
    ) -> Option<SocketAddr> {
        let peers = self.offload_candidates(own).filter(|state| state.zone != own.zone);
        draw_by_processor(peers.filter(|state| is_near(&state.zone)), draw)
    }

    /// Returns serving peers that may have this router's configuration in force.
    fn offload_candidates(&self, own: &OwnState) -> impl Iterator<Item = &RouterState> {
        let configuration = own.configuration;
        let peers = self.peers.values().map(|peer| &peer.state);
        let serving = peers.filter(|state| state.phase == RouterPhase::Serving);
        serving.filter(move |state| state.configuration <= configuration)
    }

    /// Returns the age of the oldest stats in use.
    pub fn oldest_stats_age(&self, now: Timestamp) -> Duration {
        self.held.values().map(|held| now.since(held.received)).max().unwrap_or_default()
    }

    /// Returns the age of the oldest tenant rates in use.
    pub fn rates_age(&self, now: Timestamp) -> Duration {
        let reported = self.held.values().filter(|held| held.stats.tenants.is_some());
        reported.map(|held| now.since(held.rates_received)).max().unwrap_or_default()
    }

    fn stats(&self) -> impl Iterator<Item = &LoadStats> {
        self.held.values().map(|held| &held.stats)
    }

    /// Returns the peers' load at engines.
    pub fn loads(&self) -> impl Iterator<Item = &EngineLoad> {
        self.stats().flat_map(|stats| &stats.loads)
    }

    /// Returns the service levels of engines as observed by peers.
    pub fn service_levels(&self) -> impl Iterator<Item = &EngineServiceLevel> {
        self.stats().filter_map(|stats| stats.service_levels.as_ref()).flatten()
    }

    /// Returns the performance of engines as observed by peers.
    pub fn performance(&self) -> impl Iterator<Item = &EnginePerformanceReport> {
        self.stats().filter_map(|stats| stats.performance.as_ref()).flatten()
    }

    /// Returns whether the peers' stats include this router's own.
    pub fn includes_own_stats(&self) -> bool {
        self.held.values().any(|held| held.includes_self)
    }

    /// Returns the lowest event interval that any peer observed for a service.
    pub fn unloaded_event_interval(&self, service: &str) -> Option<Duration> {
        let reported = self.stats().filter_map(|stats| stats.event_intervals.as_ref()).flatten();
        let minimum = reported
            .filter(|interval| interval.service == service)
            .map(|interval| interval.unloaded_micros)
            .min();
        minimum.map(|micros| Duration::from_micros(u64::from(micros)))
    }

    /// Returns the requested and the given rates by tenant, over the whole fleet.
    pub fn tenant_rates(
        &self,
        own: &[TenantReport],
    ) -> (HashMap<String, f64>, HashMap<String, f64>) {
        let mut asked: HashMap<String, f64> = HashMap::new();
        let mut given: HashMap<String, f64> = HashMap::new();
        let reported = self.stats().filter_map(|stats| stats.tenants.as_ref()).flatten();
        let includes_self = self.includes_own_stats();
        let own = own.iter().filter(|_| !includes_self);
        for report in reported.chain(own) {
            *asked.entry(report.name.clone()).or_default() += f64::from(report.asked);
            *given.entry(report.name.clone()).or_default() += f64::from(report.given);
        }
        (asked, given)
    }

    /// Returns the demand by prefix over the whole fleet, in entries that have to be summed.
    pub fn prefix_rates(&self, own: Vec<PrefixRate>) -> impl Iterator<Item = PrefixRate> {
        let reported = self.stats().filter_map(|stats| stats.prefixes.as_ref()).flatten();
        let includes_self = self.includes_own_stats();
        reported.copied().chain(own.into_iter().filter(move |_| !includes_self))
    }

    /// Returns the roll-out counts of the whole fleet.
    pub fn release_reports(&self, own: &[ReleaseReport]) -> Vec<ReleaseReport> {
        let mut sum = LoadStatsSum::default();
        self.stats().for_each(|stats| sum.add_releases(stats));
        if !self.includes_own_stats() {
            own.iter().for_each(|report| sum.add_release(report));
        }
        sum.release_reports()
    }

    /// Returns the summed backlog of the peers.
    pub fn backlog(&self) -> Vec<BacklogReport> {
        let mut sum = LoadStatsSum::default();
        self.stats().for_each(|stats| sum.add_backlog(stats));
        sum.into_stats(false).backlog
    }

    /// Returns whether any peer has newer state than this router.
    pub fn is_behind(&self, now: Timestamp, own: &OwnState) -> bool {
        self.newer_peers(now, own).next().is_some()
    }

    /// Returns the snapshot address of a peer with newer state, preferably in this zone. A member
    /// waits for one in its zone before it asks others.
    pub fn newer_snapshot_address(
        &self,
        now: Timestamp,
        own: &OwnState,
        draw: f64,
    ) -> Option<SocketAddr> {
        let near = self.newer_peers(now, own).filter(|peer| peer.zone == own.zone);
        let mut candidates: Vec<&RouterState> = near.collect();
        if candidates.is_empty() && self.may_ask_other_zones(now) {
            candidates = self.newer_peers(now, own).collect();
        }
        let index = (draw * candidates.len() as f64) as usize;
        candidates.get(index).map(|peer| peer.snapshots)
    }

    fn newer_peers(&self, now: Timestamp, own: &OwnState) -> impl Iterator<Item = &RouterState> {
        self.fresh_peers(now).filter(move |peer| {
            peer.configuration > own.configuration
                || peer.back_ends > own.back_ends
                || peer.evacuations > own.evacuations
                || peer.rollouts > own.rollouts
        })
    }

    fn may_ask_other_zones(&self, now: Timestamp) -> bool {
        let is_member = matches!(self.role, Role::Member(_));
        !is_member || self.behind_since.is_some_and(|since| now.since(since) >= ZONE_TIMEOUT)
    }

    /// Updates since when this router is behind its peers.
    pub(super) fn update_behind_since(&mut self, now: Timestamp, own: &OwnState) {
        if self.is_behind(now, own) {
            self.behind_since.get_or_insert(now);
        } else {
            self.behind_since = None;
        }
    }
}

/// Selects a router at random, weighted by CPU.
fn draw_by_processor<'a>(
    routers: impl Iterator<Item = &'a RouterState>,
    draw: f64,
) -> Option<SocketAddr> {
    let routers: Vec<&RouterState> = routers.collect();
    let total: f64 = routers.iter().map(|state| f64::from(state.processor)).sum();
    let mut remaining = draw * total;
    let drawn = routers.iter().find(|state| {
        remaining -= f64::from(state.processor);
        remaining < 0.0
    });
    drawn.or(routers.last()).map(|state| state.id.address)
}
