//! The state machine of one process.

use crate::message::SpreadMessage;
use mastbay_configuration::{FleetConfiguration, Generation, Part, PartHash, Root};
use mastbay_types::{ProcessId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Settings of [`Spread`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreadConfig {
    /// Time a peer or the platform has to answer before another source is asked.
    pub answer_timeout: Duration,
    /// How long a starting process waits for its peers once the platform has answered.
    pub peer_grace: Duration,
    /// Peers told at once about a new generation.
    pub fanout: usize,
}

impl Default for SpreadConfig {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_millis(300),
            peer_grace: Duration::from_millis(1_000),
            fanout: 4,
        }
    }
}

/// Part lists remembered, for those who are a few changes behind.
const EARLIER_REMEMBERED: usize = 16;

/// Where a root came from, and so where its parts are fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Another process.
    Peer(ProcessId),
    /// The platform's object API.
    Platform,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: ProcessId,
        /// The message.
        message: SpreadMessage,
    },
    /// Read parts from the platform and hand them to [`Spread::handle_parts`].
    ReadParts(Vec<PartHash>),
    /// A new configuration is in force: see [`Spread::configuration`].
    Installed(Generation),
}

/// Why a process does not serve yet, or that it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// A configuration is in force and enough sources were asked for a newer one.
    Ready,
    /// Neither the platform nor enough peers have answered yet.
    Asking,
    /// All who answered know no configuration.
    Unconfigured,
}

#[derive(Debug)]
struct InForce {
    root: Root,
    parts: BTreeMap<PartHash, Part>,
    configuration: Arc<FleetConfiguration>,
}

#[derive(Debug)]
struct Fetch {
    root: Root,
    parts: BTreeMap<PartHash, Part>,
    source: Source,
    asked: Timestamp,
}

/// Configuration as one process knows it.
#[derive(Debug)]
pub struct Spread {
    config: SpreadConfig,
    started: Timestamp,
    in_force: Option<InForce>,
    /// Part lists in force before, the latest last.
    earlier: VecDeque<(Generation, BTreeSet<PartHash>)>,
    fetch: Option<Fetch>,
    root_asked: Option<(ProcessId, Timestamp)>,
    /// The highest generation heard of, and from whom.
    highest: Generation,
    holders: BTreeSet<ProcessId>,
    peers: Vec<ProcessId>,
    answered: BTreeSet<ProcessId>,
    platform_answered: bool,
    settled: bool,
}

impl Spread {
    /// A process that starts at `now` and knows nothing.
    pub fn new(config: SpreadConfig, now: Timestamp) -> Self {
        Self {
            config,
            started: now,
            in_force: None,
            earlier: VecDeque::new(),
            fetch: None,
            root_asked: None,
            highest: Generation::default(),
            holders: BTreeSet::new(),
            peers: Vec::new(),
            answered: BTreeSet::new(),
            platform_answered: false,
            settled: false,
        }
    }

    /// The generation in force, zero for none. Never falls.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(Generation::default(), |known| known.root.generation)
    }

    /// The highest generation heard of.
    pub fn highest_heard(&self) -> Generation {
        self.highest.max(self.generation())
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<FleetConfiguration>> {
        self.in_force.as_ref().map(|known| known.configuration.clone())
    }

    /// Sets the peers: seeds and members alive, without this process.
    pub fn set_peers(&mut self, peers: Vec<ProcessId>) {
        self.peers = peers;
    }

    /// Whether this process may serve. Once ready, it stays so.
    pub fn readiness(&mut self, now: Timestamp) -> Readiness {
        let majority = self.answered.len() * 2 > self.peers.len();
        let waited = now.since(self.started) >= self.config.peer_grace;
        let asked_enough = majority && !self.peers.is_empty() || self.platform_answered && waited;
        self.settled |= asked_enough && self.highest <= self.generation();
        match (&self.in_force, asked_enough) {
            (Some(_), _) if self.settled => Readiness::Ready,
            (None, true) if self.highest == Generation::default() => Readiness::Unconfigured,
            _ => Readiness::Asking,
        }
    }

    /// Notes the generation that a peer's envelope carried.
    pub fn hear(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        generation: Generation,
    ) -> Vec<Action> {
        self.answered.insert(from.clone());
        if generation <= self.generation() || generation < self.highest {
            return Vec::new();
        }
        if generation > self.highest {
            self.highest = generation;
            self.holders.clear();
        }
        self.holders.insert(from.clone());
        let fetching = self.fetch.as_ref().is_some_and(|fetch| fetch.root.generation >= generation);
        if fetching || self.root_asked.is_some() {
            return Vec::new();
        }
        self.ask_root(now, from.clone())
    }

    /// Takes a message. `random` picks whom to tell of a new generation.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        message: SpreadMessage,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        match message {
            SpreadMessage::Announce { generation } => self.hear(now, from, generation),
            SpreadMessage::RootRequest { have } => {
                let message = self.root_for(have);
                vec![Action::Send { to: from.clone(), message }]
            }
            SpreadMessage::RootChange { base, generation, apply_id, added, removed } => {
                self.root_asked = None;
                match self.apply_change(base, added, &removed) {
                    Some(parts) => {
                        let root = Root { generation, apply_id, previous: Vec::new(), parts };
                        self.take_root(now, Source::Peer(from.clone()), root, random)
                    }
                    None => Vec::new(),
                }
            }
            SpreadMessage::Root { root } => {
                self.root_asked = None;
                match root {
                    Some(root) => self.take_root(now, Source::Peer(from.clone()), root, random),
                    None => Vec::new(),
                }
            }
            SpreadMessage::PartsRequest { parts } => {
                let parts = self.parts_held(&parts);
                vec![Action::Send { to: from.clone(), message: SpreadMessage::Parts { parts } }]
            }
            SpreadMessage::Parts { parts } => self.handle_parts(now, parts, random),
        }
    }

    /// The root in force for one who has another: what changed if that one is remembered, else all.
    fn root_for(&self, have: Generation) -> SpreadMessage {
        let Some(known) = &self.in_force else { return SpreadMessage::Root { root: None } };
        let base = self.earlier.iter().find(|(generation, _)| *generation == have);
        let Some((base, before)) = base else {
            return SpreadMessage::Root { root: Some(known.root.clone()) };
        };
        let now: BTreeSet<PartHash> = known.root.parts.iter().cloned().collect();
        SpreadMessage::RootChange {
            base: *base,
            generation: known.root.generation,
            apply_id: known.root.apply_id.clone(),
            added: now.difference(before).cloned().collect(),
            removed: before.difference(&now).cloned().collect(),
        }
    }

    /// The parts after a change, `None` if its base is not in force here.
    fn apply_change(
        &self,
        base: Generation,
        added: Vec<PartHash>,
        removed: &[PartHash],
    ) -> Option<Vec<PartHash>> {
        let known = self.in_force.as_ref().filter(|known| known.root.generation == base)?;
        let kept = known.root.parts.iter().filter(|hash| !removed.contains(hash)).cloned();
        Some(kept.chain(added).collect())
    }

    /// Takes the platform's root: `None` if there is none yet.
    pub fn handle_platform_root(
        &mut self,
        now: Timestamp,
        root: Option<Root>,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        self.platform_answered = true;
        match root {
            Some(root) => self.take_root(now, Source::Platform, root, random),
            None => Vec::new(),
        }
    }

    fn take_root(
        &mut self,
        now: Timestamp,
        source: Source,
        root: Root,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        let fetching = self.fetch.as_ref().map(|fetch| fetch.root.generation);
        if root.generation <= self.generation() || Some(root.generation) <= fetching {
            return Vec::new();
        }
        self.highest = self.highest.max(root.generation);
        let mut parts = BTreeMap::new();
        if let Some(known) = &self.in_force {
            for hash in &root.parts {
                if let Some(part) = known.parts.get(hash) {
                    parts.insert(hash.clone(), part.clone());
                }
            }
        }
        self.fetch = Some(Fetch { root, parts, source, asked: now });
        self.install_or_fetch(now, random)
    }

    /// Takes parts, from a peer or the platform. Those that nobody asked for, or whose bytes do
    /// not match a hash asked for, are dropped.
    pub fn handle_parts(
        &mut self,
        now: Timestamp,
        parts: Vec<Part>,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        let Some(fetch) = &mut self.fetch else {
            return Vec::new();
        };
        let mut progress = false;
        for part in parts {
            let hash = part.hash();
            if fetch.root.parts.contains(&hash) {
                progress |= fetch.parts.insert(hash, part).is_none();
            }
        }
        if progress { self.install_or_fetch(now, random) } else { Vec::new() }
    }

    fn install_or_fetch(
        &mut self,
        now: Timestamp,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        let missing = self.missing();
        if missing.is_empty() {
            return self.install(random);
        }
        let Some(fetch) = &mut self.fetch else {
            return Vec::new();
        };
        fetch.asked = now;
        match &fetch.source {
            Source::Platform => vec![Action::ReadParts(missing)],
            Source::Peer(peer) => {
                let message = SpreadMessage::PartsRequest { parts: missing };
                vec![Action::Send { to: peer.clone(), message }]
            }
        }
    }

    fn missing(&self) -> Vec<PartHash> {
        let Some(fetch) = &self.fetch else {
            return Vec::new();
        };
        let lacks = |hash: &&PartHash| !fetch.parts.contains_key(*hash);
        fetch.root.parts.iter().filter(lacks).cloned().collect()
    }

    fn install(&mut self, random: &mut dyn FnMut(usize) -> usize) -> Vec<Action> {
        let Some(fetch) = self.fetch.take() else {
            return Vec::new();
        };
        // Parts are checked against their hashes, so this fails only for a configuration that a
        // newer build wrote; the one in force stays.
        let Ok(configuration) = FleetConfiguration::assemble(&fetch.root, &fetch.parts) else {
            return Vec::new();
        };
        let generation = fetch.root.generation;
        let configuration = Arc::new(configuration);
        if let Some(before) = self.in_force.take() {
            let parts = before.root.parts.into_iter().collect();
            self.earlier.push_back((before.root.generation, parts));
            if self.earlier.len() > EARLIER_REMEMBERED {
                self.earlier.pop_front();
            }
        }
        self.in_force = Some(InForce { root: fetch.root, parts: fetch.parts, configuration });
        let mut actions = vec![Action::Installed(generation)];
        actions.extend(self.announce(generation, random));
        actions
    }

    fn announce(
        &self,
        generation: Generation,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        let mut candidates = self.peers.clone();
        let mut actions = Vec::new();
        while actions.len() < self.config.fanout && !candidates.is_empty() {
            let to = candidates.swap_remove(random(candidates.len()));
            let message = SpreadMessage::Announce { generation };
            actions.push(Action::Send { to, message });
        }
        actions
    }

    fn parts_held(&self, asked: &[PartHash]) -> Vec<Part> {
        let Some(known) = &self.in_force else {
            return Vec::new();
        };
        asked.iter().filter_map(|hash| known.parts.get(hash).cloned()).collect()
    }

    fn ask_root(&mut self, now: Timestamp, to: ProcessId) -> Vec<Action> {
        self.root_asked = Some((to.clone(), now));
        let message = SpreadMessage::RootRequest { have: self.generation() };
        vec![Action::Send { to, message }]
    }

    /// Asks another source where one did not answer.
    pub fn handle_timeout(
        &mut self,
        now: Timestamp,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        let late = |asked: Timestamp| now.since(asked) >= self.config.answer_timeout;
        if let Some((peer, asked)) = &self.root_asked
            && late(*asked)
        {
            self.holders.remove(peer);
            self.root_asked = None;
        }
        if let Some(fetch) = &self.fetch
            && late(fetch.asked)
        {
            return self.change_source(now, random);
        }
        let behind = self.highest > self.generation() && self.fetch.is_none();
        match self.any_holder(random) {
            Some(holder) if behind && self.root_asked.is_none() => self.ask_root(now, holder),
            _ => Vec::new(),
        }
    }

    /// Parts are named by hash, so any holder or the platform may give the rest.
    fn change_source(
        &mut self,
        now: Timestamp,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        let holder = self.any_holder(random);
        let Some(fetch) = &mut self.fetch else {
            return Vec::new();
        };
        fetch.source = match (&fetch.source, holder) {
            (Source::Platform, Some(holder)) => Source::Peer(holder),
            _ => Source::Platform,
        };
        self.install_or_fetch(now, random)
    }

    fn any_holder(&self, random: &mut dyn FnMut(usize) -> usize) -> Option<ProcessId> {
        if self.holders.is_empty() {
            return None;
        }
        self.holders.iter().nth(random(self.holders.len())).cloned()
    }

    /// When [`Spread::handle_timeout`] should be called next.
    pub fn next_timeout(&self) -> Timestamp {
        let root = self.root_asked.as_ref().map(|(_, asked)| *asked);
        let fetch = self.fetch.as_ref().map(|fetch| fetch.asked);
        match root.into_iter().chain(fetch).min() {
            Some(asked) => asked + self.config.answer_timeout,
            None => Timestamp::NEVER,
        }
    }
}
