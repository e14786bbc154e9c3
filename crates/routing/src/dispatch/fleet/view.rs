//! What a router knows by its peers: how many there are, who reaches the source, what they have at engines.

use super::{FALLBACK_TIMEOUT, Fleet, OwnState, STATS_TTL, StatsSource};
use crate::digest::{RouterPhase, RouterState};
use crate::dispatch::aggregation::Role;
use crate::fingerprint::RequestFingerprint;
use crate::load_stats::{EngineLoad, EngineServiceLevel, LoadStats, LoadStatsSum, TenantReport};
use crate::overload::PeerCapacity;
use crate::quarantine::ProbeSlot;
use crate::rollout::ReleaseReport;
use crate::source_watchers::{self, SourceContact};
use mastbay_types::{Timestamp, stable_hash};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time of a member's turn to try.
const FALLBACK_SLOT: Duration = Duration::from_millis(200);
/// Members that try in one turn, in the mean: where half of them are turned away, none of this many is answered once in twenty turns.
const FALLBACK_CANDIDATES: u64 = 6;
/// Time for which a member that is answered follows the source before it looks whether others do.
const FALLBACK_DURATION: Duration = Duration::from_secs(5);
/// Peers of a large fleet that are told of ends, and of back ends that drain, in a round. All of 295 routers know after 0.64 s what three
/// of them saw, with a tenth of the datagrams lost, and after 0.72 s with three tenths lost (virtual time, `tests/quarantine.rs`).
const GOSSIP_TARGETS: u8 = 3;
/// Time for which a member that is behind waits for a router of its zone to have what it lacks: its aggregator asks in other zones within
/// a round or two. Without it all routers that start fetch the whole list, 1.4 MB, from the few that have it, wherever these are.
const ZONE_TIMEOUT: Duration = Duration::from_millis(400);
/// How many times the processor of another a much larger router has.
const MUCH_LARGER_RATIO: f32 = 1.5;

impl Fleet {
    /// Number of routers, this one included.
    pub fn routers(&self) -> usize {
        1 + self.peers.len()
    }

    /// This router's place among equals.
    pub fn tiebreak(&self) -> u64 {
        self.tiebreak
    }

    /// A draw of this router's life, uniform in 0..1 over the routers of the fleet, another one for each subject.
    pub fn draw(&self, subject: &str) -> f64 {
        let drawn = stable_hash(&[&self.me.incarnation.to_be_bytes(), subject.as_bytes()]);
        drawn as f64 / (u64::MAX as f64 + 1.0)
    }

    /// Who is told of ends in a round: all peers of a mesh, a few drawn ones of a larger fleet.
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

    /// This router's turn to probe a request: routers that know each other all give the same order.
    pub fn probe_slot(&self, request: RequestFingerprint) -> ProbeSlot {
        let draw = |address: SocketAddr| {
            stable_hash(&[&request.short().to_be_bytes(), address.to_string().as_bytes()])
        };
        let own = draw(self.me.address);
        let before = self.peers.keys().filter(|peer| draw(**peer) < own).count();
        ProbeSlot { index: before as u64, routers: self.routers() as u64 }
    }

    /// One peer, drawn.
    pub fn random_peer(&self, draw: u64) -> Option<SocketAddr> {
        let index = draw.checked_rem(self.peers.len() as u64)?;
        self.peers.keys().nth(index as usize).copied()
    }

    fn fresh_peers(&self, now: Timestamp) -> impl Iterator<Item = &RouterState> {
        let fresh = self.peers.values().filter(move |peer| now.since(peer.last_seen) <= STATS_TTL);
        fresh.map(|peer| &peer.state)
    }

    /// The routers whose contact with the source this one follows closely: all in a mesh, and the other
    /// aggregators for an aggregator.
    fn close_peers(&self, now: Timestamp) -> impl Iterator<Item = &RouterState> {
        let is_mesh = self.role == Role::Mesh;
        let is_close = move |state: &&RouterState| {
            is_mesh || self.held.contains_key(&StatsSource::Members(state.id.address, 0))
        };
        self.fresh_peers(now).filter(is_close)
    }

    /// Whether the last call of any other router to the source was answered.
    pub fn is_source_answering(&self, now: Timestamp) -> bool {
        self.held.values().any(|held| held.source_answers)
            || self.close_peers(now).any(|peer| peer.contact == SourceContact::Answered)
    }

    /// Whether any router that was heard lately reached the source with its last call.
    pub fn any_peer_reaches_source(&self, now: Timestamp) -> bool {
        self.is_source_answering(now)
            || self.fresh_peers(now).any(|peer| peer.contact == SourceContact::Answered)
    }

    /// Whether this router follows the source: of a large fleet, only aggregators do, who is cut off, and those that
    /// stand in for aggregators.
    pub fn follows_source(&self, now: Timestamp, contact: SourceContact) -> bool {
        if matches!(self.role, Role::Member(_)) {
            return self.is_isolated || self.is_fallback(now);
        }
        let active = self.close_peers(now).filter(|peer| peer.phase != RouterPhase::Leaving);
        let others = active
            .map(|peer| source_watchers::Candidate { router: peer.id, contact: peer.contact });
        source_watchers::follows_source(
            source_watchers::Candidate { router: self.me, contact },
            others,
        )
    }

    /// Whether a member follows the source because no router reaches it: the source may turn away all aggregators and
    /// serve others. Members try in turns, a few of the fleet in each, and one that is answered goes on for a while.
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

    /// Whether this member's aggregator asks the source in vain. If the member left it alone then, none would follow it until another is
    /// drawn that is answered; sums don't tell, since they count the member itself among those that reach it.
    fn has_aggregator_lost_source(&self, now: Timestamp) -> bool {
        let Role::Member(aggregator) = self.role else { return false };
        let mut fresh = self.fresh_peers(now);
        fresh.any(|peer| peer.id.address == aggregator && peer.contact == SourceContact::Lost)
    }

    /// What is known of the peers beside this router.
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

    /// Peers of this router's zone that may take connections off it: one drawn among those with much more processor,
    /// then one among all, each by its processor. `draws` are uniform in 0..1. A peer known to have a newer configuration would
    /// take none; one that was last heard with an older one may have this router's by now.
    pub fn offload_targets(&self, own: &OwnState, draws: (f64, f64)) -> Vec<SocketAddr> {
        let in_zone = || self.offload_candidates(own).filter(|state| state.zone == own.zone);
        let larger = in_zone().filter(|state| state.processor > own.processor * MUCH_LARGER_RATIO);
        let first = draw_by_processor(larger, draws.0);
        let second = draw_by_processor(in_zone(), draws.1).filter(|second| Some(*second) != first);
        first.into_iter().chain(second).collect()
    }

    /// A peer of another zone that may take a connection off this router: one drawn by processor among those whose zone
    /// `is_near`.
    pub fn cross_zone_offload_target(
        &self,
        own: &OwnState,
        is_near: impl Fn(&str) -> bool,
        draw: f64,
    ) -> Option<SocketAddr> {
        let peers = self.offload_candidates(own).filter(|state| state.zone != own.zone);
        draw_by_processor(peers.filter(|state| is_near(&state.zone)), draw)
    }

    /// Peers that take callers and may have this router's configuration in force.
    fn offload_candidates(&self, own: &OwnState) -> impl Iterator<Item = &RouterState> {
        let configuration = own.configuration;
        let peers = self.peers.values().map(|peer| &peer.state);
        let serving = peers.filter(|state| state.phase == RouterPhase::Serving);
        serving.filter(move |state| state.configuration <= configuration)
    }

    /// Age of the oldest stats that count.
    pub fn oldest_stats_age(&self, now: Timestamp) -> Duration {
        self.held.values().map(|held| now.since(held.received)).max().unwrap_or_default()
    }

    /// Time since the oldest rates of tenants that count were told to this router.
    pub fn rates_age(&self, now: Timestamp) -> Duration {
        let reported = self.held.values().filter(|held| held.stats.tenants.is_some());
        reported.map(|held| now.since(held.rates_received)).max().unwrap_or_default()
    }

    fn stats(&self) -> impl Iterator<Item = &LoadStats> {
        self.held.values().map(|held| &held.stats)
    }

    /// What the others have at engines.
    pub fn loads(&self) -> impl Iterator<Item = &EngineLoad> {
        self.stats().flat_map(|stats| &stats.loads)
    }

    /// How well the others are served at engines.
    pub fn service_levels(&self) -> impl Iterator<Item = &EngineServiceLevel> {
        self.stats().filter_map(|stats| stats.service_levels.as_ref()).flatten()
    }

    /// The least time between events of a service's engines that any peer observed.
    pub fn unloaded_event_interval(&self, service: &str) -> Option<Duration> {
        let reported = self.stats().filter_map(|stats| stats.event_intervals.as_ref()).flatten();
        let minimum = reported
            .filter(|interval| interval.service == service)
            .map(|interval| interval.unloaded_micros)
            .min();
        minimum.map(|micros| Duration::from_micros(u64::from(micros)))
    }

    /// Rates asked and given by tenant, over this router's own and the peers'.
    pub fn tenant_rates(
        &self,
        own: &[TenantReport],
    ) -> (HashMap<String, f64>, HashMap<String, f64>) {
        let mut asked: HashMap<String, f64> = HashMap::new();
        let mut given: HashMap<String, f64> = HashMap::new();
        let reported = self.stats().filter_map(|stats| stats.tenants.as_ref()).flatten();
        let includes_self = self.held.values().any(|held| held.includes_self);
        let own = own.iter().filter(|_| !includes_self);
        for report in reported.chain(own) {
            *asked.entry(report.name.clone()).or_default() += f64::from(report.asked);
            *given.entry(report.name.clone()).or_default() += f64::from(report.given);
        }
        (asked, given)
    }

    /// What all routers counted of roll-outs, this one's own counts among it.
    pub fn release_reports(&self, own: &[ReleaseReport]) -> Vec<ReleaseReport> {
        let mut sum = LoadStatsSum::default();
        self.stats().for_each(|stats| sum.add_releases(stats));
        if !self.held.values().any(|held| held.includes_self) {
            own.iter().for_each(|report| sum.add_release(report));
        }
        sum.release_reports()
    }

    /// Whether any peer has something newer than this router.
    pub fn is_behind(&self, now: Timestamp, own: &OwnState) -> bool {
        self.newer_peers(now, own).next().is_some()
    }

    /// Where a peer hands out something newer than what this router has, one of its own zone if there is any. A member waits a while
    /// for one in its zone.
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

    /// Notes since when this router is behind others.
    pub(super) fn update_behind_since(&mut self, now: Timestamp, own: &OwnState) {
        if self.is_behind(now, own) {
            self.behind_since.get_or_insert(now);
        } else {
            self.behind_since = None;
        }
    }
}

/// One of some routers, drawn with their processor as weights.
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
