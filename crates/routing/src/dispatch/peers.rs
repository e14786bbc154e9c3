//! Messages to and from other routers.

use super::Dispatcher;
use super::aggregation::Role;
use super::fleet::{LoadStatsChange, NewPeer, OwnState};
use crate::digest::{Digest, Outgoing, PeerMessage, RouterPhase, Sum};
use crate::engine::Engine;
use crate::engine_key::EngineKey;
use crate::load::Load;
use crate::load_stats::{EngineLoad, EngineServiceLevel, LoadStats};
use crate::performance::EnginePerformance;
use mastbay_types::Timestamp;
use std::collections::HashSet;
use std::net::SocketAddr;

impl Dispatcher {
    /// Handles a message from another router. Returns the sender of a digest or sum if it is a new
    /// peer.
    pub fn on_message(&mut self, now: Timestamp, message: PeerMessage) -> Option<NewPeer> {
        match message {
            PeerMessage::Digest(digest) => self.on_digest(now, digest),
            PeerMessage::Sum(sum) | PeerMessage::SumForZone(sum) => self.on_sum(now, sum),
            PeerMessage::Draining(ids) => {
                for id in &ids {
                    self.on_draining_reported(now, id);
                }
                None
            }
            PeerMessage::Silence(reports) => {
                for report in &reports {
                    self.on_silence_reported(now, report);
                }
                None
            }
            // It is dated by when it arrived, see `on_registry_notice`.
            PeerMessage::Ends(_) | PeerMessage::Origin(_) | PeerMessage::Registry(_) => None,
        }
    }

    /// Returns the message that this router relays on receipt of `message`, if any.
    pub fn relayed_message(&self, message: &PeerMessage) -> Option<Outgoing> {
        match message {
            PeerMessage::SumForZone(sum) => self
                .fleet
                .relayed_sum(&self.limits.zone, sum)
                .filter(|relayed| !relayed.targets.is_empty()),
            PeerMessage::Digest(_)
            | PeerMessage::Sum(_)
            | PeerMessage::Ends(_)
            | PeerMessage::Draining(_)
            | PeerMessage::Silence(_)
            | PeerMessage::Registry(_)
            | PeerMessage::Origin(_) => None,
        }
    }

    /// Handles a peer's digest. Returns the peer if it is new.
    pub fn on_digest(&mut self, now: Timestamp, digest: Digest) -> Option<NewPeer> {
        let update = self.fleet.on_digest(now, digest)?;
        self.apply_stats_change(update.change);
        update.new_peer
    }

    fn on_sum(&mut self, now: Timestamp, sum: Sum) -> Option<NewPeer> {
        let update = self.fleet.on_sum(now, sum)?;
        self.apply_stats_change(update.change);
        update.new_peer
    }

    /// Removes stats and peers that have expired.
    pub fn expire_peers(&mut self, now: Timestamp) {
        self.fleet.record_spenders(now);
        let expired = self.fleet.expire(now);
        self.apply_stats_change(expired);
    }

    /// Returns this router's digest for all peers of a mesh.
    pub fn digest(&mut self, now: Timestamp, phase: RouterPhase) -> Digest {
        self.freed_slots.on_report();
        let own = self.own_state(phase);
        let stats = self.own_stats(now);
        self.fleet.digest(own, stats)
    }

    /// Returns the messages of one round. `seeds` are contacted periodically in case no peer is
    /// known.
    pub fn next_round(
        &mut self,
        now: Timestamp,
        phase: RouterPhase,
        seeds: &[SocketAddr],
    ) -> Vec<Outgoing> {
        self.expire_peers(now);
        self.freed_slots.on_report();
        self.refresh_performance(now);
        self.refresh_ranked_speeds(now);
        self.engines.retain_busy(|engine| engine.has_own_stats(now));
        let own = self.own_state(phase);
        let change = self.fleet.choose_role(now, &own);
        self.apply_stats_change(change);
        self.observe_origins(now, &own);
        self.update_policy();
        let stats = if self.fleet.includes_slow_stats() {
            self.own_stats(now)
        } else {
            LoadStats {
                loads: self.own_loads(now),
                tenants: Some(self.usage.reports(now)),
                releases: self.rollouts.reports(),
                performance: self.own_performance(now),
                backlog: self.own_backlog(now),
                ..LoadStats::default()
            }
        };
        let mut messages = self.fleet.next_round(now, &own, stats, seeds);
        messages.extend(self.next_draining(now));
        messages.extend(self.next_silence_reports(now));
        messages
    }

    /// Puts the policies for the current size of the fleet in force.
    fn update_policy(&mut self) {
        let policy = self.configured.in_fleet(self.fleet.role() != Role::Mesh);
        if policy != self.limits.policy {
            self.limits.policy = policy;
            self.preferred.set_policy(policy.ranking);
        }
    }

    /// Returns the digest that introduces this router to a new peer.
    pub fn hello(&mut self, phase: RouterPhase) -> Digest {
        let own = self.own_state(phase);
        self.fleet.hello(own)
    }

    pub(super) fn own_state(&self, phase: RouterPhase) -> OwnState {
        OwnState {
            zone: self.limits.zone.clone(),
            phase,
            processor: self.limits.processor,
            contact: self.contact,
            configuration: self.configuration,
            back_ends: self.back_ends,
            evacuations: self.evacuated.revision,
            rollouts: self.rollouts_revision,
        }
    }

    fn own_loads(&self, now: Timestamp) -> Vec<EngineLoad> {
        let loads = self.engines.busy().map(|engine| engine.own_load(now));
        let mut loads: Vec<EngineLoad> =
            loads.filter(|entry| entry.load != Load::default()).collect();
        loads.sort_unstable_by_key(|entry| entry.engine);
        loads
    }

    fn own_stats(&mut self, now: Timestamp) -> LoadStats {
        let backlog = self.own_backlog(now);
        let service_levels =
            self.engines.busy().filter_map(|engine| engine.own_service_level(now)).collect();
        LoadStats {
            loads: self.own_loads(now),
            service_levels: Some(service_levels),
            tenants: Some(self.usage.reports(now)),
            heaviest: Vec::new(),
            event_intervals: Some(self.unloaded_event_intervals()),
            releases: self.rollouts.reports(),
            performance: self.own_performance(now),
            prefixes: self.prefix_report(now),
            backlog,
        }
    }

    /// Applies changed stats to the engines. Loads that are the same before and after are skipped.
    fn apply_stats_change(&mut self, mut change: LoadStatsChange) {
        if let Some(added) = &mut change.added {
            for removed in &mut change.removed {
                remove_common_loads(&mut removed.loads, &mut added.loads);
            }
        }
        for removed in &change.removed {
            self.update_peer_stats(removed, Engine::remove_load, Engine::remove_service_level);
            self.update_peer_performance(removed, EnginePerformance::remove_reported);
        }
        if let Some(added) = &change.added {
            self.update_peer_stats(added, Engine::add_load, Engine::add_service_level);
            self.update_peer_performance(added, EnginePerformance::add_reported);
        }
    }

    /// Adds the stats that peers reported for back ends that were not listed until now.
    pub(super) fn add_reported_stats(&mut self, new: &HashSet<EngineKey>) {
        for entry in self.fleet.loads().filter(|entry| new.contains(&entry.engine)) {
            if let Some(engine) = self.engines.by_key(entry.engine) {
                engine.add_load(entry.load);
            }
        }
        for entry in self.fleet.service_levels().filter(|entry| new.contains(&entry.engine)) {
            if let Some(engine) = self.engines.by_key(entry.engine) {
                engine.add_service_level(entry);
            }
        }
        for entry in self.fleet.performance().filter(|entry| new.contains(&entry.engine)) {
            if let Some(engine) = self.engines.by_key(entry.engine) {
                engine.performance.add_reported(entry.counts);
            }
        }
    }

    /// Applies a change to the peers' load and service level of each engine in `stats`.
    fn update_peer_stats(
        &mut self,
        stats: &LoadStats,
        change_load: fn(&mut Engine, Load),
        change_level: fn(&mut Engine, &EngineServiceLevel),
    ) {
        for entry in &stats.loads {
            if let Some(engine) = self.engines.by_key(entry.engine) {
                change_load(engine, entry.load);
            }
        }
        for entry in stats.service_levels.iter().flatten() {
            if let Some(engine) = self.engines.by_key(entry.engine) {
                change_level(engine, entry);
            }
        }
    }
}

/// Removes entries that are in both lists, which are sorted by engine. Unsorted entries remain,
/// which is harmless: they are removed from the engine and added again.
fn remove_common_loads(left: &mut Vec<EngineLoad>, right: &mut Vec<EngineLoad>) {
    let mut others = std::mem::take(right).into_iter().peekable();
    left.retain(|entry| {
        while let Some(earlier) = others.next_if(|other| other.engine < entry.engine) {
            right.push(earlier);
        }
        others.next_if(|other| other == entry).is_none()
    });
    right.extend(others);
}
