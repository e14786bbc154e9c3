//! The back ends that a router knows, with what is needed to find some of them without looking at all.
//!
//! A fleet may have ten thousand back ends, of which a router uses some dozens in a minute. So what is done for each request or each
//! round of messages goes by an index: those that take work by service, and those at which this router has anything. What looks at all
//! is counted: 125 rounds in ten seconds over 10,000 back ends took 0.4 s of a router's processor time, a third of what the smallest
//! machines have.

use crate::back_end::{BackEnd, BackEndId};
use crate::engine::Engine;
use crate::load_stats::EngineKey;
use mastbay_types::{Timestamp, stable_hash};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A back end that takes work.
#[derive(Debug, Clone)]
pub struct ReadyEngine {
    /// Its name.
    pub id: BackEndId,
    /// A hash of its name, the same for all its lives.
    pub name_hash: u64,
}

/// Back ends by name, by service and by whether this router has anything there.
#[derive(Debug, Default)]
pub struct Engines {
    all: BTreeMap<BackEndId, Engine>,
    ids: HashMap<EngineKey, BackEndId>,
    /// Those that take work, by service, sorted by name.
    ready: HashMap<String, Vec<ReadyEngine>>,
    /// Those with stats of this router's own to tell.
    busy: BTreeSet<BackEndId>,
    examined: Cell<u64>,
}

impl Engines {
    /// One of them.
    pub fn get(&self, id: &BackEndId) -> Option<&Engine> {
        self.count_examined(1);
        self.all.get(id)
    }

    /// One of them, to change what is known of it; whether it takes work is changed by [`Self::set`] alone.
    pub fn get_mut(&mut self, id: &BackEndId) -> Option<&mut Engine> {
        self.count_examined(1);
        self.all.get_mut(id)
    }

    /// The same, for something of this router's own that is to be told to others.
    pub fn get_mut_busy(&mut self, id: &BackEndId) -> Option<&mut Engine> {
        self.count_examined(1);
        let engine = self.all.get_mut(id)?;
        if !self.busy.contains(id) {
            self.busy.insert(id.clone());
        }
        Some(engine)
    }

    /// One of them by its name in messages.
    pub fn by_key(&mut self, key: EngineKey) -> Option<&mut Engine> {
        self.count_examined(1);
        self.all.get_mut(self.ids.get(&key)?)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &Engine> {
        self.count_examined(self.all.len());
        self.all.values()
    }

    /// The names of all of them.
    pub fn ids(&self) -> impl Iterator<Item = &BackEndId> {
        self.count_examined(self.all.len());
        self.all.keys()
    }

    /// Those of a service that take work, sorted by name.
    pub fn ready(&self, service: &str) -> &[ReadyEngine] {
        self.ready.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Those with stats of this router's own.
    pub fn busy(&self) -> impl Iterator<Item = &Engine> {
        self.count_examined(self.busy.len());
        self.busy.iter().filter_map(|id| self.all.get(id))
    }

    /// Those have nothing more to tell for which `has_stats` is not so.
    pub fn retain_busy(&mut self, has_stats: impl Fn(&Engine) -> bool) {
        let all = &self.all;
        self.busy.retain(|id| all.get(id).is_some_and(&has_stats));
    }

    /// Sets what is known of a back end. `complete` gets it as its source tells it now, if it was known, and gives all of it.
    pub fn set(
        &mut self,
        now: Timestamp,
        back_end: BackEnd,
        complete: impl FnOnce(Option<Engine>) -> Engine,
    ) {
        let id = back_end.id.clone();
        let known = self.all.remove(&id).map(|known| known.with(now, back_end));
        let engine = complete(known);
        self.ids.insert(engine.key, id.clone());
        self.index(&engine);
        self.all.insert(id, engine);
    }

    /// Forgets one of them.
    pub fn remove(&mut self, id: &BackEndId) {
        let Some(engine) = self.all.remove(id) else { return };
        if self.ids.get(&engine.key) == Some(id) {
            self.ids.remove(&engine.key);
        }
        self.busy.remove(id);
        self.remove_ready(&engine);
    }

    /// Changes all of them, and whether they take work.
    pub fn change_all(&mut self, change: impl Fn(&mut Engine)) {
        self.count_examined(self.all.len());
        self.ready.clear();
        self.all.values_mut().for_each(change);
        // In order of their names, so each is added at the end.
        for engine in self.all.values().filter(|engine| engine.accepts_work()) {
            let ready = self.ready.entry(engine.back_end.service.clone()).or_default();
            ready.push(ReadyEngine::of(engine));
        }
    }

    /// How many back ends were looked at until now. What a request or a round adds does not grow with their number.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn count_examined(&self, count: usize) {
        self.examined.set(self.examined.get() + count as u64);
    }

    fn index(&mut self, engine: &Engine) {
        if !engine.accepts_work() {
            self.remove_ready(engine);
            return;
        }
        let ready = self.ready.entry(engine.back_end.service.clone()).or_default();
        let position = ready.binary_search_by(|ready| ready.id.cmp(&engine.back_end.id));
        if let Err(index) = position {
            ready.insert(index, ReadyEngine::of(engine));
        }
    }

    fn remove_ready(&mut self, engine: &Engine) {
        let Some(ready) = self.ready.get_mut(&engine.back_end.service) else { return };
        if let Ok(index) = ready.binary_search_by(|ready| ready.id.cmp(&engine.back_end.id)) {
            ready.remove(index);
        }
    }
}

impl ReadyEngine {
    /// How a back end stands in the index.
    pub fn of(engine: &Engine) -> Self {
        let id = engine.back_end.id.clone();
        Self { name_hash: stable_hash(&[id.name.as_bytes()]), id }
    }
}
