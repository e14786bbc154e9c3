//! The membership state machine of one process.

use crate::member::{Epoch, Member, MemberState, Role};
use crate::news::NewsBuffer;
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Settings of [`Membership`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two probes of this process.
    pub probe_interval: Duration,
    /// Time for a direct answer before others are asked to probe.
    pub direct_timeout: Duration,
    /// Members asked to probe in our place.
    pub indirect_probes: usize,
    /// Time a suspect has to refute.
    pub suspicion: Duration,
    /// Most members mentioned in one packet.
    pub news_per_packet: usize,
    /// Time between attempts to reach a seed or a member held dead, which heals a cut.
    pub rejoin_interval: Duration,
    /// How long a dead member is remembered.
    pub dead_retention: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(80),
            indirect_probes: 2,
            suspicion: Duration::from_millis(800),
            news_per_packet: 8,
            rejoin_interval: Duration::from_secs(1),
            dead_retention: Duration::from_secs(120),
        }
    }
}

/// Mentions of one piece of news per doubling of the fleet.
const MENTIONS_PER_DOUBLING: u32 = 3;
/// A gap between timeouts longer than this many probe intervals was a pause of our own.
const PAUSE_INTERVALS: u32 = 3;

/// What members send each other. Every packet carries news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Asks for an [`Packet::Ack`].
    Ping {
        /// Returned in the answer.
        nonce: u64,
        /// The sender first, then news.
        news: Vec<Member>,
    },
    /// Answers a ping.
    Ack {
        /// Of the ping.
        nonce: u64,
        /// The sender first, then news.
        news: Vec<Member>,
    },
    /// Asks the receiver to ping `target` and pass its answer on.
    PingRequest {
        /// Of the ping that got no answer.
        nonce: u64,
        /// Whom to ping.
        target: ProcessId,
        /// The sender first, then news.
        news: Vec<Member>,
    },
    /// Asks for all members; sent to seeds.
    Join {
        /// The sender.
        news: Vec<Member>,
    },
    /// All members known to the sender.
    Everyone {
        /// The members.
        news: Vec<Member>,
    },
}

impl Packet {
    fn news(&self) -> &[Member] {
        match self {
            Packet::Ping { news, .. }
            | Packet::Ack { news, .. }
            | Packet::PingRequest { news, .. }
            | Packet::Join { news }
            | Packet::Everyone { news } => news,
        }
    }
}

/// A packet and its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transmit {
    /// The receiver.
    pub to: ProcessId,
    /// The packet.
    pub packet: Packet,
}

#[derive(Debug)]
struct Known {
    member: Member,
    /// When the state was last changed here.
    since: Timestamp,
}

#[derive(Debug)]
struct Probe {
    target: ProcessId,
    nonce: u64,
    sent: Timestamp,
    asked_others: bool,
}

/// For whom a ping is passed on.
#[derive(Debug)]
struct Relayed {
    requester: ProcessId,
    nonce: u64,
}

/// Membership as one process sees it.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    config: MembershipConfig,
    seeds: Vec<ProcessId>,
    members: BTreeMap<ProcessId, Known>,
    news: NewsBuffer,
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
    /// A process that knows its seeds and nobody else. Call [`Membership::handle_timeout`] at
    /// once.
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
            news: NewsBuffer::default(),
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

    /// Sets the addresses asked for members, from the settings and the platform's machine list.
    pub fn set_seeds(&mut self, seeds: Vec<ProcessId>) {
        let me = self.me.process.clone();
        self.seeds = seeds.into_iter().filter(|seed| *seed != me).collect();
    }

    /// This process as others should see it.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Rises whenever the view changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Every member known, this process excepted.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Processes with `role` that may be given work: alive or suspect, this one included.
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

    /// Tells everyone that this process stops. Returns the packets to send at once.
    pub fn leave(&mut self, random: &mut impl Rng) -> Vec<Transmit> {
        self.me.state = MemberState::Leaving;
        self.revision += 1;
        let receivers = self.reachable();
        let count = receivers.len();
        let mut transmits = Vec::new();
        for to in receivers.into_iter().take(count) {
            let nonce = random.next_u64();
            let news = self.compose();
            transmits.push(Transmit { to, packet: Packet::Ping { nonce, news } });
        }
        transmits
    }

    /// Takes a packet.
    pub fn handle(&mut self, now: Timestamp, from: &ProcessId, packet: Packet) -> Vec<Transmit> {
        for member in packet.news() {
            self.learn(now, member);
        }
        match packet {
            Packet::Ping { nonce, .. } => {
                let news = self.compose_for(from);
                vec![Transmit { to: from.clone(), packet: Packet::Ack { nonce, news } }]
            }
            Packet::Ack { nonce, .. } => self.handle_ack(nonce),
            Packet::PingRequest { nonce, target, .. } => self.relay(from, nonce, target),
            Packet::Join { .. } => {
                let news = self.everyone();
                vec![Transmit { to: from.clone(), packet: Packet::Everyone { news } }]
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
        let news = self.compose();
        let packet = Packet::Ack { nonce: relayed.nonce, news };
        vec![Transmit { to: relayed.requester, packet }]
    }

    fn relay(&mut self, from: &ProcessId, nonce: u64, target: ProcessId) -> Vec<Transmit> {
        let own = self.nonce();
        self.relayed.insert(own, Relayed { requester: from.clone(), nonce });
        let news = self.compose_for(&target);
        vec![Transmit { to: target, packet: Packet::Ping { nonce: own, news } }]
    }

    /// Lets time pass: probes, suspicions, rejoining.
    pub fn handle_timeout(&mut self, now: Timestamp, random: &mut impl Rng) -> Vec<Transmit> {
        self.notice_own_pause(now);
        let mut transmits = Vec::new();
        self.escalate_probe(now, random, &mut transmits);
        self.end_suspicions(now);
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

    /// When [`Membership::handle_timeout`] should be called next.
    pub fn next_timeout(&self) -> Timestamp {
        let direct = match &self.probe {
            Some(probe) if !probe.asked_others => probe.sent + self.config.direct_timeout,
            _ => Timestamp::NEVER,
        };
        self.next_probe.min(self.next_rejoin).min(direct)
    }

    /// After a pause of our own, answers that we did not read count against nobody.
    fn notice_own_pause(&mut self, now: Timestamp) {
        let paused = now.since(self.last_timeout) > self.config.probe_interval * PAUSE_INTERVALS;
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
        if probe.asked_others || now.since(probe.sent) < self.config.direct_timeout {
            return;
        }
        probe.asked_others = true;
        let (nonce, target) = (probe.nonce, probe.target.clone());
        let mut helpers: Vec<ProcessId> = self.reachable();
        helpers.retain(|helper| *helper != target);
        for _ in 0..self.config.indirect_probes.min(helpers.len()) {
            let helper = helpers.swap_remove(random.random_range(0..helpers.len()));
            let news = self.compose();
            let packet = Packet::PingRequest { nonce, target: target.clone(), news };
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
        let news = self.compose_for(&target);
        transmits.push(Transmit { to: target.clone(), packet: Packet::Ping { nonce, news } });
        self.probe = Some(Probe { target, nonce, sent: now, asked_others: false });
    }

    /// Probes everyone once, in a random order, before anyone twice: this bounds detection time.
    fn next_target(&mut self, random: &mut impl Rng) -> Option<ProcessId> {
        if self.round.is_empty() {
            self.round = self.reachable();
        }
        while !self.round.is_empty() {
            let target = self.round.swap_remove(random.random_range(0..self.round.len()));
            let there = self.members.get(&target);
            if there.is_some_and(|known| known.member.state != MemberState::Dead) {
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
        // A member held dead must hear so, or it would not refute.
        let news = self.compose_for(&to);
        transmits.push(Transmit { to, packet: Packet::Join { news } });
    }

    fn suspect(&mut self, now: Timestamp, target: &ProcessId) {
        let Some(known) = self.members.get(target) else {
            return;
        };
        if known.member.state != MemberState::Alive {
            return;
        }
        let statement = Member { state: MemberState::Suspect, ..known.member.clone() };
        self.learn(now, &statement);
    }

    fn end_suspicions(&mut self, now: Timestamp) {
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
        for statement in dead {
            self.learn(now, &statement);
        }
        let retention = self.config.dead_retention;
        self.members.retain(|_, known| {
            known.member.state != MemberState::Dead || now.since(known.since) < retention
        });
    }

    /// Takes a statement about a member if it is newer than what is known.
    fn learn(&mut self, now: Timestamp, statement: &Member) {
        if statement.process == self.me.process {
            self.refute(statement);
            return;
        }
        let known = self.members.get(&statement.process);
        if known.is_some_and(|known| !statement.supersedes(&known.member)) {
            return;
        }
        if known.is_none() && statement.state == MemberState::Dead {
            return;
        }
        let entry = Known { member: statement.clone(), since: now };
        self.members.insert(statement.process.clone(), entry);
        self.news.add(&statement.process);
        self.revision += 1;
    }

    fn refute(&mut self, statement: &Member) {
        let about_this_life = statement.epoch >= self.me.epoch;
        if !about_this_life || statement.state <= self.me.state {
            return;
        }
        self.me.epoch.refutation = statement.epoch.refutation + 1;
        let process = self.me.process.clone();
        self.news.add(&process);
    }

    fn compose(&mut self) -> Vec<Member> {
        let times = MENTIONS_PER_DOUBLING * (self.members.len() as u32 + 2).ilog2().max(1);
        let mut news = vec![self.me.clone()];
        for process in self.news.take(self.config.news_per_packet, times) {
            if let Some(known) = self.members.get(&process) {
                news.push(known.member.clone());
            }
        }
        news
    }

    /// News for `receiver`, with what is held against it, so that it can refute.
    fn compose_for(&mut self, receiver: &ProcessId) -> Vec<Member> {
        let mut news = self.compose();
        if let Some(known) = self.members.get(receiver) {
            let held_against = known.member.state != MemberState::Alive;
            if held_against && !news.contains(&known.member) {
                news.push(known.member.clone());
            }
        }
        news
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
