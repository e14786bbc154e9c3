//! The configuration state machine of one process.

use crate::message::SpreadMessage;
use mastbay_configuration::{FleetConfiguration, Generation, Part, PartHash, Root};
use mastbay_types::{ProcessId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Timeouts and fan-out of a [`Spread`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreadConfig {
    /// Time after which an unanswered request is sent to another source.
    pub answer_timeout: Duration,
    /// Time since the start during which the platform's answer alone does not make a process ready.
    pub peer_grace: Duration,
    /// Number of peers to which a new generation is announced.
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

/// Earlier part lists kept to answer root requests with a difference.
const MAX_EARLIER_ROOTS: usize = 16;

/// Source of a root, from which its parts are fetched too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Another process.
    Peer(ProcessId),
    /// The platform's object API.
    Platform,
}

/// An action for the caller to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Destination of the message.
        to: ProcessId,
        /// Message to send.
        message: SpreadMessage,
    },
    /// Read parts from the platform and pass them to [`Spread::handle_parts`].
    ReadParts(Vec<PartHash>),
    /// A new configuration is in force, available from [`Spread::configuration`].
    Installed(Generation),
}

/// Whether a process may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// A configuration is in force, and enough sources have answered to rule out a newer one.
    Ready,
    /// Neither the platform nor enough peers have answered yet.
    Asking,
    /// Enough sources have answered, and none has a configuration.
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
    requested_at: Timestamp,
}

/// The configuration in force at one process and the fetch of a newer one.
#[derive(Debug)]
pub struct Spread {
    config: SpreadConfig,
    started: Timestamp,
    in_force: Option<InForce>,
    /// Part lists of earlier generations, oldest first.
    earlier: VecDeque<(Generation, BTreeSet<PartHash>)>,
    fetch: Option<Fetch>,
    root_request: Option<(ProcessId, Timestamp)>,
    /// The highest generation reported by any source.
    highest: Generation,
    /// Peers that reported the highest generation.
    holders: BTreeSet<ProcessId>,
    peers: Vec<ProcessId>,
    answered: BTreeSet<ProcessId>,
    platform_answered: bool,
    caught_up: bool,
}

impl Spread {
    /// Creates the state of a process that starts at `now` without a configuration.
    pub fn new(config: SpreadConfig, now: Timestamp) -> Self {
        Self {
            config,
            started: now,
            in_force: None,
            earlier: VecDeque::new(),
            fetch: None,
            root_request: None,
            highest: Generation::default(),
            holders: BTreeSet::new(),
            peers: Vec::new(),
            answered: BTreeSet::new(),
            platform_answered: false,
            caught_up: false,
        }
    }

    /// Returns the generation in force, zero for none. It never decreases.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(Generation::default(), |current| current.root.generation)
    }

    /// Returns the highest generation reported by any source or in force.
    pub fn highest_known(&self) -> Generation {
        self.highest.max(self.generation())
    }

    /// Returns the configuration in force, `None` before the first is installed.
    pub fn configuration(&self) -> Option<Arc<FleetConfiguration>> {
        self.in_force.as_ref().map(|current| current.configuration.clone())
    }

    /// Sets the peers: seeds and live members, without this process.
    pub fn set_peers(&mut self, peers: Vec<ProcessId>) {
        self.peers = peers;
    }

    /// Returns whether this process may serve. A ready process stays ready.
    pub fn readiness(&mut self, now: Timestamp) -> Readiness {
        let majority = self.answered.len() * 2 > self.peers.len();
        let waited = now.since(self.started) >= self.config.peer_grace;
        let enough_answers = majority && !self.peers.is_empty() || self.platform_answered && waited;
        self.caught_up |= enough_answers && self.highest <= self.generation();
        match (&self.in_force, enough_answers) {
            (Some(_), _) if self.caught_up => Readiness::Ready,
            (None, true) if self.highest == Generation::default() => Readiness::Unconfigured,
            _ => Readiness::Asking,
        }
    }

    /// Handles the generation in a peer's envelope. Requests the root if the generation is new.
    pub fn handle_generation(
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
        if fetching || self.root_request.is_some() {
            return Vec::new();
        }
        self.request_root(now, from.clone())
    }

    /// Handles a message. `random(n)` returns an index below `n` and selects the peers that receive
    /// announcements.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        message: SpreadMessage,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        match message {
            SpreadMessage::Announce { generation } => self.handle_generation(now, from, generation),
            SpreadMessage::RootRequest { have } => {
                let message = self.root_for(have);
                vec![Action::Send { to: from.clone(), message }]
            }
            SpreadMessage::RootChange { base, generation, apply_id, added, removed } => {
                self.root_request = None;
                match self.apply_change(base, added, &removed) {
                    Some(parts) => {
                        let root = Root { generation, apply_id, previous: Vec::new(), parts };
                        self.handle_root(now, Source::Peer(from.clone()), root, random)
                    }
                    None => Vec::new(),
                }
            }
            SpreadMessage::Root { root } => {
                self.root_request = None;
                match root {
                    Some(root) => self.handle_root(now, Source::Peer(from.clone()), root, random),
                    None => Vec::new(),
                }
            }
            SpreadMessage::PartsRequest { parts } => {
                let parts = self.available_parts(&parts);
                vec![Action::Send { to: from.clone(), message: SpreadMessage::Parts { parts } }]
            }
            SpreadMessage::Parts { parts } => self.handle_parts(now, parts, random),
        }
    }

    /// Returns the difference from generation `have` if its part list is kept, else the full root.
    fn root_for(&self, have: Generation) -> SpreadMessage {
        let Some(current) = &self.in_force else { return SpreadMessage::Root { root: None } };
        let base = self.earlier.iter().find(|(generation, _)| *generation == have);
        let Some((base, before)) = base else {
            return SpreadMessage::Root { root: Some(current.root.clone()) };
        };
        let now: BTreeSet<PartHash> = current.root.parts.iter().cloned().collect();
        SpreadMessage::RootChange {
            base: *base,
            generation: current.root.generation,
            apply_id: current.root.apply_id.clone(),
            added: now.difference(before).cloned().collect(),
            removed: before.difference(&now).cloned().collect(),
        }
    }

    /// Returns the part list after a change, `None` if its base is not in force here.
    fn apply_change(
        &self,
        base: Generation,
        added: Vec<PartHash>,
        removed: &[PartHash],
    ) -> Option<Vec<PartHash>> {
        let current = self.in_force.as_ref().filter(|current| current.root.generation == base)?;
        let retained = current.root.parts.iter().filter(|hash| !removed.contains(hash)).cloned();
        Some(retained.chain(added).collect())
    }

    /// Handles the root read from the platform, `None` if there is none yet.
    pub fn handle_platform_root(
        &mut self,
        now: Timestamp,
        root: Option<Root>,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        self.platform_answered = true;
        match root {
            Some(root) => self.handle_root(now, Source::Platform, root, random),
            None => Vec::new(),
        }
    }

    fn handle_root(
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
        if let Some(current) = &self.in_force {
            for hash in &root.parts {
                if let Some(part) = current.parts.get(hash) {
                    parts.insert(hash.clone(), part.clone());
                }
            }
        }
        self.fetch = Some(Fetch { root, parts, source, requested_at: now });
        self.install_or_fetch(now, random)
    }

    /// Handles parts from a peer or the platform. Parts whose hash is not in the root being fetched
    /// are dropped.
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
        fetch.requested_at = now;
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
        let is_missing = |hash: &&PartHash| !fetch.parts.contains_key(*hash);
        fetch.root.parts.iter().filter(is_missing).cloned().collect()
    }

    fn install(&mut self, random: &mut dyn FnMut(usize) -> usize) -> Vec<Action> {
        let Some(fetch) = self.fetch.take() else {
            return Vec::new();
        };
        // Hashes are verified already, so this fails only for a configuration written by a newer
        // build. The one in force stays.
        let Ok(configuration) = FleetConfiguration::assemble(&fetch.root, &fetch.parts) else {
            return Vec::new();
        };
        let generation = fetch.root.generation;
        let configuration = Arc::new(configuration);
        if let Some(previous) = self.in_force.take() {
            let parts = previous.root.parts.into_iter().collect();
            self.earlier.push_back((previous.root.generation, parts));
            if self.earlier.len() > MAX_EARLIER_ROOTS {
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

    fn available_parts(&self, requested: &[PartHash]) -> Vec<Part> {
        let Some(current) = &self.in_force else {
            return Vec::new();
        };
        requested.iter().filter_map(|hash| current.parts.get(hash).cloned()).collect()
    }

    fn request_root(&mut self, now: Timestamp, to: ProcessId) -> Vec<Action> {
        self.root_request = Some((to.clone(), now));
        let message = SpreadMessage::RootRequest { have: self.generation() };
        vec![Action::Send { to, message }]
    }

    /// Retries requests that timed out with another source.
    pub fn handle_timeout(
        &mut self,
        now: Timestamp,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Action> {
        let is_timed_out =
            |requested_at: Timestamp| now.since(requested_at) >= self.config.answer_timeout;
        if let Some((peer, requested_at)) = &self.root_request
            && is_timed_out(*requested_at)
        {
            self.holders.remove(peer);
            self.root_request = None;
        }
        if let Some(fetch) = &self.fetch
            && is_timed_out(fetch.requested_at)
        {
            return self.change_source(now, random);
        }
        let behind = self.highest > self.generation() && self.fetch.is_none();
        match self.any_holder(random) {
            Some(holder) if behind && self.root_request.is_none() => self.request_root(now, holder),
            _ => Vec::new(),
        }
    }

    /// Fetches the missing parts from another source. Parts are addressed by hash, so any holder or
    /// the platform can serve them.
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

    /// Returns when to call [`Spread::handle_timeout`] next.
    pub fn next_timeout(&self) -> Timestamp {
        let root = self.root_request.as_ref().map(|(_, requested_at)| *requested_at);
        let fetch = self.fetch.as_ref().map(|fetch| fetch.requested_at);
        match root.into_iter().chain(fetch).min() {
            Some(requested_at) => requested_at + self.config.answer_timeout,
            None => Timestamp::NEVER,
        }
    }
}
