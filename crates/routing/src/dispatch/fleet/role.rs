//! How a router reports its stats: to all peers, to an aggregator, or as an aggregator.

use super::{FALLBACK_TIMEOUT, Fleet, LoadStatsChange, OwnState, STATS_TTL, StatsSource};
use crate::dispatch::aggregation::{Aggregators, Candidate, MAX_MESH_PEERS, Role};
use crate::source_watchers::SourceContact;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Silence after which an expected aggregator is suspected: three lost rounds.
const AGGREGATOR_TIMEOUT: Duration = Duration::from_millis(240);
/// Time without a fleet sum after which a member counts as isolated: what it knows of the others
/// has expired, whichever aggregators it has tried meanwhile.
const ISOLATION_TIMEOUT: Duration = STATS_TTL;

impl Fleet {
    /// Updates this router's role and everything that depends on it.
    pub fn choose_role(&mut self, now: Timestamp, own: &OwnState) -> LoadStatsChange {
        self.suspect_silent_aggregators(now);
        let role = self.next_role(own);
        let change = self.drop_stats_of_other_role(role);
        if std::mem::discriminant(&role) != std::mem::discriminant(&self.role) {
            self.last_fleet_sum = now;
        }
        self.role = role;
        self.update_expected_sums(now, own);
        let is_member = matches!(role, Role::Member(_));
        self.is_isolated = is_member && now.since(self.last_fleet_sum) > ISOLATION_TIMEOUT;
        self.peer_capacity = self.measure_peer_capacity(now, own);
        self.track_source_contact(now, own.contact);
        self.update_behind_since(now, own);
        change
    }

    fn track_source_contact(&mut self, now: Timestamp, own: SourceContact) {
        if own == SourceContact::Answered {
            let lost = self.source_lost_since.take();
            if lost.is_some_and(|lost| now.since(lost) >= FALLBACK_TIMEOUT) {
                self.fallback_since = Some(now);
            }
            return;
        }
        self.fallback_since = None;
        if self.any_peer_reaches_source(now) {
            self.source_lost_since = None;
        } else {
            self.source_lost_since.get_or_insert(now);
        }
    }

    /// Drops stats that the next role does not receive any more. A new aggregator keeps the last
    /// fleet sums until the others' sums replace them, and the reports of its members.
    fn drop_stats_of_other_role(&mut self, next: Role) -> LoadStatsChange {
        let mut change = LoadStatsChange::default();
        match (self.role, next) {
            (Role::Mesh, Role::Mesh)
            | (Role::Member(_), Role::Member(_) | Role::Aggregator)
            | (Role::Aggregator, Role::Aggregator) => {}
            _ => self.drop_held(&mut change, |_| true),
        }
        change
    }

    fn suspect_silent_aggregators(&mut self, now: Timestamp) {
        let expected = self.expected_sums.iter();
        let silent = expected.filter(|(_, last)| now.since(**last) > AGGREGATOR_TIMEOUT);
        for (address, _) in silent {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.is_suspected = true;
            }
        }
    }

    /// Members expect sums from their aggregator; aggregators expect them from all others.
    fn update_expected_sums(&mut self, now: Timestamp, own: &OwnState) {
        let expected = match self.role {
            Role::Mesh => Vec::new(),
            Role::Member(aggregator) => vec![aggregator],
            Role::Aggregator => Aggregators::choose(self.candidates(own)).addresses().collect(),
        };
        let earlier = std::mem::take(&mut self.expected_sums);
        let since = |address| earlier.get(&address).copied().unwrap_or(now);
        self.expected_sums = expected
            .into_iter()
            .filter(|address| *address != self.me.address)
            .map(|address| (address, since(address)))
            .collect();
    }

    /// Returns the largest fleet size, in routers, that this router or any of its peers knows of.
    pub fn size(&self) -> usize {
        let reported = self.peers.values().map(|peer| peer.state.routers as usize).max();
        self.routers().max(reported.unwrap_or(0))
    }

    fn next_role(&self, own: &OwnState) -> Role {
        if self.size() <= MAX_MESH_PEERS + 1 {
            return Role::Mesh;
        }
        let has_members = self.held.keys().any(|source| matches!(source, StatsSource::Router(_)));
        if has_members && self.role != Role::Mesh {
            return Role::Aggregator;
        }
        let in_zone = self.candidates(own).filter(|candidate| candidate.zone == own.zone);
        match Aggregators::choose(in_zone).of(&own.zone, self.me) {
            Some(chosen) if chosen.address != self.me.address => Role::Member(chosen.address),
            _ => Role::Aggregator,
        }
    }

    /// Returns all routers, including this one, as candidates for aggregators.
    fn candidates<'a>(&'a self, own: &'a OwnState) -> impl Iterator<Item = Candidate<'a>> {
        let peers = self.peers.values();
        let peers = peers.map(|peer| Candidate::new(&peer.state, peer.tiebreak, peer.is_suspected));
        let me = Candidate {
            id: self.me,
            zone: &own.zone,
            phase: own.phase,
            processor: own.processor,
            is_suspected: false,
            tiebreak: self.tiebreak,
        };
        peers.chain([me])
    }

    pub fn role(&self) -> Role {
        self.role
    }
}
