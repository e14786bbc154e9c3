//! The membership state machine of one process.

use crate::member::{Epoch, Member, MemberState, Role};
use crate::update_buffer::UpdateBuffer;
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Timing and fan-out of a [`Membership`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Interval between probes sent by this process.
    pub probe_interval: Duration,
    /// Time to wait for a direct ack before sending indirect probes.
    pub direct_timeout: Duration,
    /// Number of members asked to probe an unresponsive target.
    pub indirect_probes: usize,
    /// Time that a suspect has to refute before it is declared dead.
    pub suspicion: Duration,
    /// Maximum number of queued updates in one packet.
    pub updates_per_packet: usize,
    /// Interval between attempts to reach an unknown seed or a dead member, which heals partitions.
    pub rejoin_interval: Duration,
    /// Time for which a dead member is kept in the view.
    pub dead_retention: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(80),
            indirect_probes: 2,
            suspicion: Duration::from_millis(800),
            updates_per_packet: 8,
            rejoin_interval: Duration::from_secs(1),
            dead_retention: Duration::from_secs(120),
        }
    }
}

/// Transmissions of each update per doubling of the fleet size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;
/// A gap between timeouts of more than this many probe intervals counts as a local pause.
const LOCAL_PAUSE_INTERVALS: u32 = 3;

/// A membership message. Every packet carries updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Probes the receiver, which answers with [`Packet::Ack`].
    Ping {
        /// Returned in the ack.
        nonce: u64,
        /// The sender, then queued updates.
        updates: Vec<Member>,
    },
    /// Acknowledges a ping.
    Ack {
        /// Nonce of the acknowledged ping.
        nonce: u64,
        /// The sender, then queued updates.
        updates: Vec<Member>,
    },
    /// Asks the receiver to ping `target` and relay its ack.
    PingRequest {
        /// Nonce of the unanswered direct ping.
        nonce: u64,
        /// The member to ping.
        target: ProcessId,
        /// The sender, then queued updates.
        updates: Vec<Member>,
    },
    /// Requests the full member list; sent to unknown seeds and dead members.
    Join {
        /// The sender, then queued updates.
        updates: Vec<Member>,
    },
    /// Answers a join with all members known to the sender.
    Everyone {
        /// The sender, then all other members.
        updates: Vec<Member>,
    },
}

impl Packet {
    fn updates(&self) -> &[Member] {
        match self {
            Packet::Ping { updates, .. }
            | Packet::Ack { updates, .. }
            | Packet::PingRequest { updates, .. }
            | Packet::Join { updates }
            | Packet::Everyone { updates } => updates,
        }
    }
}

/// A packet to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transmit {
    /// Destination of the packet.
    pub to: ProcessId,
    /// Packet to send.
    pub packet: Packet,
}

#[derive(Debug)]
struct Known {
    member: Member,
    /// Time of the last local change of the member's state.
    since: Timestamp,
}

#[derive(Debug)]
struct Probe {
    target: ProcessId,
    nonce: u64,
    sent: Timestamp,
    sent_indirect: bool,
}

/// An indirect ping sent on behalf of another member.
#[derive(Debug)]
struct Relayed {
    requester: ProcessId,
    nonce: u64,
}

/// The membership view of one process.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    config: MembershipConfig,
    seeds: Vec<ProcessId>,
    members: BTreeMap<ProcessId, Known>,
    update_buffer: UpdateBuffer,
    probe: Option<Probe>,
    relayed: BTreeMap<u64, Relayed>,
    round: Vec<ProcessId>,
    next_nonce: u64,
    next_probe: Timestamp,
    next_rejoin: Timestamp,
    last_timeout: Timestamp,
    revision: u64,
}

impl Membership {
    /// Creates a view without seeds or other members. The first
    /// [`Membership::handle_timeout`] is due immediately.
    pub fn new(
        process: ProcessId,
        role: Role,
        zone: Arc<str>,
        incarnation: Incarnation,
        config: MembershipConfig,
    ) -> Self {
        let epoch = Epoch { incarnation, refutation: 0 };
        Self {
            me: Member { process, role, zone, epoch, state: MemberState::Alive },
            config,
            seeds: Vec::new(),
            members: BTreeMap::new(),
            update_buffer: UpdateBuffer::default(),
            probe: None,
            relayed: BTreeMap::new(),
            round: Vec::new(),
            next_nonce: 1,
            next_probe: Timestamp::ZERO,
            next_rejoin: Timestamp::ZERO,
            last_timeout: Timestamp::ZERO,
            revision: 0,
        }
    }

    /// Replaces the seed addresses to join through. The address of this process is ignored.
    pub fn set_seeds(&mut self, seeds: Vec<ProcessId>) {
        let me = self.me.process.clone();
        self.seeds = seeds.into_iter().filter(|seed| *seed != me).collect();
    }

    /// Returns the state that this process announces about itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns a counter that increases whenever the view changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all known members, including dead ones, except this process.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Returns the alive and suspect processes with `role`, including this one, sorted by ID.
    pub fn live(&self, role: Role) -> Vec<ProcessId> {
        let usable = |member: &&Member| {
            member.role == role && matches!(member.state, MemberState::Alive | MemberState::Suspect)
        };
        let mut live: Vec<ProcessId> = self
            .others()
            .chain(std::iter::once(&self.me))
            .filter(usable)
            .map(|member| member.process.clone())
            .collect();
        live.sort();
        live
    }

    /// Marks this process as leaving. Returns the packets that announce it to all reachable
    /// members, to be sent immediately.
    pub fn leave(&mut self, random: &mut impl Rng) -> Vec<Transmit> {
        self.me.state = MemberState::Leaving;
        self.revision += 1;
        let receivers = self.reachable();
        let count = receivers.len();
        let mut transmits = Vec::new();
        for to in receivers.into_iter().take(count) {
            let nonce = random.next_u64();
            let updates = self.compose();
            transmits.push(Transmit { to, packet: Packet::Ping { nonce, updates } });
        }
        transmits
    }

    /// Applies the updates in a received packet and returns the packets to send in response.
    pub fn handle(&mut self, now: Timestamp, from: &ProcessId, packet: Packet) -> Vec<Transmit> {
        for member in packet.updates() {
            self.learn(now, member);
        }
        match packet {
            Packet::Ping { nonce, .. } => {
                let updates = self.compose_for(from);
                vec![Transmit { to: from.clone(), packet: Packet::Ack { nonce, updates } }]
            }
            Packet::Ack { nonce, .. } => self.handle_ack(nonce),
            Packet::PingRequest { nonce, target, .. } => self.relay(from, nonce, target),
            Packet::Join { .. } => {
                let updates = self.everyone();
                vec![Transmit { to: from.clone(), packet: Packet::Everyone { updates } }]
            }
            Packet::Everyone { .. } => Vec::new(),
        }
    }

    fn handle_ack(&mut self, nonce: u64) -> Vec<Transmit> {
        if self.probe.as_ref().is_some_and(|probe| probe.nonce == nonce) {
            self.probe = None;
        }
        let Some(relayed) = self.relayed.remove(&nonce) else {
            return Vec::new();
        };
        let updates = self.compose();
        let packet = Packet::Ack { nonce: relayed.nonce, updates };
        vec![Transmit { to: relayed.requester, packet }]
    }

    fn relay(&mut self, from: &ProcessId, nonce: u64, target: ProcessId) -> Vec<Transmit> {
        let own = self.nonce();
        self.relayed.insert(own, Relayed { requester: from.clone(), nonce });
        let updates = self.compose_for(&target);
        vec![Transmit { to: target, packet: Packet::Ping { nonce: own, updates } }]
    }

    /// Sends due probes and joins, and expires suspicions. Returns the packets to send.
    pub fn handle_timeout(&mut self, now: Timestamp, random: &mut impl Rng) -> Vec<Transmit> {
        self.handle_local_pause(now);
        let mut transmits = Vec::new();
        self.escalate_probe(now, random, &mut transmits);
        self.expire_suspicions(now);
        if now >= self.next_probe {
            self.next_probe = now + self.config.probe_interval;
            self.start_probe(now, random, &mut transmits);
        }
        if now >= self.next_rejoin {
            self.next_rejoin = now + self.config.rejoin_interval;
            self.rejoin(random, &mut transmits);
        }
        transmits
    }

    /// Returns when to call [`Membership::handle_timeout`] next.
    pub fn next_timeout(&self) -> Timestamp {
        let direct = match &self.probe {
            Some(probe) if !probe.sent_indirect => probe.sent + self.config.direct_timeout,
            _ => Timestamp::NEVER,
        };
        self.next_probe.min(self.next_rejoin).min(direct)
    }

    /// After a local pause, drops the pending probe and restarts suspicion timers: acks may have
    /// arrived unread.
    fn handle_local_pause(&mut self, now: Timestamp) {
        let paused =
            now.since(self.last_timeout) > self.config.probe_interval * LOCAL_PAUSE_INTERVALS;
        self.last_timeout = now;
        if !paused {
            return;
        }
        self.probe = None;
        for known in self.members.values_mut() {
            if known.member.state == MemberState::Suspect {
                known.since = now;
            }
        }
    }

    fn escalate_probe(
        &mut self,
        now: Timestamp,
        random: &mut impl Rng,
        transmits: &mut Vec<Transmit>,
    ) {
        let Some(probe) = &mut self.probe else { return };
        if probe.sent_indirect || now.since(probe.sent) < self.config.direct_timeout {
            return;
        }
        probe.sent_indirect = true;
        let (nonce, target) = (probe.nonce, probe.target.clone());
        let mut helpers: Vec<ProcessId> = self.reachable();
        helpers.retain(|helper| *helper != target);
        for _ in 0..self.config.indirect_probes.min(helpers.len()) {
            let helper = helpers.swap_remove(random.random_range(0..helpers.len()));
            let updates = self.compose();
            let packet = Packet::PingRequest { nonce, target: target.clone(), updates };
            transmits.push(Transmit { to: helper, packet });
        }
    }

    fn start_probe(
        &mut self,
        now: Timestamp,
        random: &mut impl Rng,
        transmits: &mut Vec<Transmit>,
    ) {
        if let Some(missed) = self.probe.take() {
            self.suspect(now, &missed.target);
        }
        self.relayed.clear();
        let Some(target) = self.next_target(random) else {
            return;
        };
        let nonce = self.nonce();
        let updates = self.compose_for(&target);
        transmits.push(Transmit { to: target.clone(), packet: Packet::Ping { nonce, updates } });
        self.probe = Some(Probe { target, nonce, sent: now, sent_indirect: false });
    }

    /// Picks a random member not yet probed in this round. Probing every member once per round
    /// bounds detection time.
    fn next_target(&mut self, random: &mut impl Rng) -> Option<ProcessId> {
        if self.round.is_empty() {
            self.round = self.reachable();
        }
        while !self.round.is_empty() {
            let target = self.round.swap_remove(random.random_range(0..self.round.len()));
            let known = self.members.get(&target);
            if known.is_some_and(|known| known.member.state != MemberState::Dead) {
                return Some(target);
            }
        }
        None
    }

    fn rejoin(&mut self, random: &mut impl Rng, transmits: &mut Vec<Transmit>) {
        let dead = |process: &&ProcessId| {
            self.members.get(*process).is_none_or(|known| known.member.state == MemberState::Dead)
        };
        let mut missing: Vec<ProcessId> = self.seeds.iter().filter(dead).cloned().collect();
        missing.extend(self.members.keys().filter(dead).cloned());
        missing.sort();
        missing.dedup();
        if missing.is_empty() {
            return;
        }
        let to = missing.swap_remove(random.random_range(0..missing.len()));
        // The receiver refutes only if it learns that it is considered dead.
        let updates = self.compose_for(&to);
        transmits.push(Transmit { to, packet: Packet::Join { updates } });
    }

    fn suspect(&mut self, now: Timestamp, target: &ProcessId) {
        let Some(known) = self.members.get(target) else {
            return;
        };
        if known.member.state != MemberState::Alive {
            return;
        }
        let update = Member { state: MemberState::Suspect, ..known.member.clone() };
        self.learn(now, &update);
    }

    fn expire_suspicions(&mut self, now: Timestamp) {
        let mut dead = Vec::new();
        for known in self.members.values() {
            let limit = match known.member.state {
                MemberState::Suspect => self.config.suspicion,
                _ => Duration::MAX,
            };
            if now.since(known.since) >= limit {
                dead.push(Member { state: MemberState::Dead, ..known.member.clone() });
            }
        }
        for update in dead {
            self.learn(now, &update);
        }
        let retention = self.config.dead_retention;
        self.members.retain(|_, known| {
            known.member.state != MemberState::Dead || now.since(known.since) < retention
        });
    }

    /// Applies an update if it is newer than the known state of the member.
    fn learn(&mut self, now: Timestamp, update: &Member) {
        if update.process == self.me.process {
            self.refute(update);
            return;
        }
        let known = self.members.get(&update.process);
        if known.is_some_and(|known| !update.supersedes(&known.member)) {
            return;
        }
        if known.is_none() && update.state == MemberState::Dead {
            return;
        }
        let entry = Known { member: update.clone(), since: now };
        self.members.insert(update.process.clone(), entry);
        self.update_buffer.add(&update.process);
        self.revision += 1;
    }

    fn refute(&mut self, update: &Member) {
        let is_current_incarnation = update.epoch >= self.me.epoch;
        if !is_current_incarnation || update.state <= self.me.state {
            return;
        }
        self.me.epoch.refutation = update.epoch.refutation + 1;
        let process = self.me.process.clone();
        self.update_buffer.add(&process);
    }

    fn compose(&mut self) -> Vec<Member> {
        let max_transmissions =
            TRANSMISSIONS_PER_DOUBLING * (self.members.len() as u32 + 2).ilog2().max(1);
        let mut updates = vec![self.me.clone()];
        for process in self.update_buffer.take(self.config.updates_per_packet, max_transmissions) {
            if let Some(known) = self.members.get(&process) {
                updates.push(known.member.clone());
            }
        }
        updates
    }

    /// Composes updates for `receiver`, including its own state if it is not alive, for it to
    /// refute.
    fn compose_for(&mut self, receiver: &ProcessId) -> Vec<Member> {
        let mut updates = self.compose();
        if let Some(known) = self.members.get(receiver) {
            let is_refutable = known.member.state != MemberState::Alive;
            if is_refutable && !updates.contains(&known.member) {
                updates.push(known.member.clone());
            }
        }
        updates
    }

    fn everyone(&self) -> Vec<Member> {
        std::iter::once(&self.me).chain(self.others()).cloned().collect()
    }

    fn reachable(&self) -> Vec<ProcessId> {
        self.others()
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.process.clone())
            .collect()
    }

    fn nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }
}
