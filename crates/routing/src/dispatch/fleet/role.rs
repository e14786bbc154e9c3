//! How a router tells its figures: to all, to an aggregator, or as one.

use super::{FiguresChange, FiguresSource, Fleet, OwnState, STAND_IN_PATIENCE};
use crate::dispatch::aggregation::{Aggregators, Candidate, LARGEST_MESH, Role};
use crate::source_watchers::SourceContact;
use mastbay_types::Timestamp;
use std::time::Duration;

/// Silence of an aggregator after which its members turn to another: three rounds may be lost.
const AGGREGATOR_SILENCE: Duration = Duration::from_millis(240);
/// Time without any sum of the fleet after which a member takes itself as cut off from the others.
const ISOLATION: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Works out how this router tells its figures from now on.
    pub fn choose_role(&mut self, now: Timestamp, own: &OwnState) -> FiguresChange {
        self.suspect_silent_aggregators(now);
        let role = self.next_role(own);
        let change = self.drop_figures_of_other_role(role);
        if std::mem::discriminant(&role) != std::mem::discriminant(&self.role) {
            self.sums_heard = now;
        }
        self.role = role;
        self.await_sums(now, own);
        let is_member = matches!(role, Role::Member(_));
        self.is_isolated = is_member && now.since(self.sums_heard) > ISOLATION;
        self.others = self.count_others(now, own);
        self.follow_contact(now, own.contact);
        self.watch_news(now, own);
        change
    }

    fn follow_contact(&mut self, now: Timestamp, own: SourceContact) {
        if own == SourceContact::Answered {
            let lost = self.source_lost.take();
            if lost.is_some_and(|lost| now.since(lost) >= STAND_IN_PATIENCE) {
                self.stands_in_since = Some(now);
            }
            return;
        }
        self.stands_in_since = None;
        if self.does_any_reach_source(now) {
            self.source_lost = None;
        } else {
            self.source_lost.get_or_insert(now);
        }
    }

    /// Drops what `next`, if it is another role, does not hear any more. A new aggregator keeps the last sums of the
    /// fleet until others send it theirs, and what its members have begun to report.
    fn drop_figures_of_other_role(&mut self, next: Role) -> FiguresChange {
        let mut change = FiguresChange::default();
        match (self.role, next) {
            (Role::Mesh, Role::Mesh)
            | (Role::Member(_), Role::Member(_) | Role::Aggregator)
            | (Role::Aggregator, Role::Aggregator) => {}
            _ => self.drop_held(&mut change, |_| true),
        }
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
        let has_members = self.held.keys().any(|source| matches!(source, FiguresSource::Router(_)));
        if has_members && self.role != Role::Mesh {
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

    /// How this router tells its figures.
    pub fn role(&self) -> Role {
        self.role
    }
}
