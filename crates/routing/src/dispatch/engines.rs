//! The back ends known to a router, with indexes by key, by service and by own load.
//!
//! Work per request or per round of messages goes through an index, so that its cost does not grow
//! with the number of back ends. The number of examined back ends is counted to verify this:
//! examining all of 10,000 in each round took 0.4 s of CPU time in ten seconds.

use crate::back_end::{BackEnd, BackEndId};
use crate::engine::Engine;
use crate::engine_key::EngineKey;
use crate::ranking::rank_weight;
use mastbay_types::{Timestamp, stable_hash};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

/// A back end that accepts requests.
#[derive(Debug, Clone)]
pub struct ReadyEngine {
    pub id: BackEndId,
    /// Hash of the name, the same for all incarnations.
    pub name_hash: u64,
    /// Weight in rankings, see [`rank_weight`].
    pub weight: f64,
}

/// All known back ends and their indexes.
#[derive(Debug, Default)]
pub struct Engines {
    all: BTreeMap<BackEndId, Engine>,
    ids: HashMap<EngineKey, BackEndId>,
    /// Back ends that accept requests by service, sorted by ID.
    ready: HashMap<String, Vec<ReadyEngine>>,
    /// Back ends for which this router has stats to report.
    busy: BTreeSet<BackEndId>,
    examined: Cell<u64>,
}

impl Engines {
    pub fn get(&self, id: &BackEndId) -> Option<&Engine> {
        self.count_examined(1);
        self.all.get(id)
    }

    /// Returns a back end for updates that do not affect whether it accepts requests; for these use
    /// [`Self::set`].
    pub fn get_mut(&mut self, id: &BackEndId) -> Option<&mut Engine> {
        self.count_examined(1);
        self.all.get_mut(id)
    }

    /// Returns a back end for updates of this router's stats and marks it as having some to report.
    pub fn get_mut_busy(&mut self, id: &BackEndId) -> Option<&mut Engine> {
        self.count_examined(1);
        let engine = self.all.get_mut(id)?;
        if !self.busy.contains(id) {
            self.busy.insert(id.clone());
        }
        Some(engine)
    }

    /// Returns a back end by its key in messages between routers.
    pub fn by_key(&mut self, key: EngineKey) -> Option<&mut Engine> {
        self.count_examined(1);
        self.all.get_mut(self.ids.get(&key)?)
    }

    pub fn all(&self) -> impl Iterator<Item = &Engine> {
        self.count_examined(self.all.len());
        self.all.values()
    }

    /// Returns the IDs of all back ends.
    pub fn ids(&self) -> impl Iterator<Item = &BackEndId> {
        self.count_examined(self.all.len());
        self.all.keys()
    }

    /// Returns the software versions of a service's back ends.
    pub fn versions(&self, service: &str) -> BTreeSet<Arc<str>> {
        let of_service = self.all().filter(|engine| engine.back_end.service == service);
        of_service.map(|engine| engine.back_end.version.clone()).collect()
    }

    /// Returns the back ends of a service that accept requests, sorted by ID.
    pub fn ready(&self, service: &str) -> &[ReadyEngine] {
        self.ready.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the back ends for which this router may have stats to report.
    pub fn busy(&self) -> impl Iterator<Item = &Engine> {
        self.count_examined(self.busy.len());
        self.busy.iter().filter_map(|id| self.all.get(id))
    }

    /// Removes those for which `has_stats` is false from the busy ones.
    pub fn retain_busy(&mut self, has_stats: impl Fn(&Engine) -> bool) {
        let all = &self.all;
        self.busy.retain(|id| all.get(id).is_some_and(&has_stats));
    }

    /// Adds or updates a back end. `complete` receives the known state merged with `back_end`, or
    /// `None` for a new back end, and returns the state to store.
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

    /// Returns up to `count` back ends in the order of their IDs, from the first one after `last` on.
    pub fn after(&self, last: Option<&BackEndId>, count: usize) -> impl Iterator<Item = &Engine> {
        self.count_examined(count.min(self.all.len()));
        let start = last.map_or(Bound::Unbounded, Bound::Excluded);
        self.all
            .range::<BackEndId, _>((start, Bound::Unbounded))
            .take(count)
            .map(|(_, engine)| engine)
    }

    /// Sets the speed by which a back end is ranked.
    pub fn set_ranked_speed(&mut self, id: &BackEndId, speed: f64) {
        let Some(engine) = self.all.get_mut(id) else { return };
        engine.ranked_speed = speed;
        let Some(ready) = self.ready.get_mut(&engine.back_end.service) else { return };
        if let Ok(index) = ready.binary_search_by(|ready| ready.id.cmp(id)) {
            ready[index].weight = rank_weight(speed);
        }
    }

    pub fn remove(&mut self, id: &BackEndId) {
        let Some(engine) = self.all.remove(id) else { return };
        if self.ids.get(&engine.key) == Some(id) {
            self.ids.remove(&engine.key);
        }
        self.busy.remove(id);
        self.remove_ready(&engine);
    }

    /// Updates all back ends and rebuilds the index of those that accept requests.
    pub fn change_all(&mut self, change: impl Fn(&mut Engine)) {
        self.count_examined(self.all.len());
        self.ready.clear();
        self.all.values_mut().for_each(change);
        // Values are sorted by ID, so appending keeps the index sorted.
        for engine in self.all.values().filter(|engine| engine.accepts_work()) {
            let ready = self.ready.entry(engine.back_end.service.clone()).or_default();
            ready.push(ReadyEngine::of(engine));
        }
    }

    /// Returns the number of back ends examined so far.
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
    /// Creates the index entry of a back end.
    pub fn of(engine: &Engine) -> Self {
        let id = engine.back_end.id.clone();
        Self {
            name_hash: stable_hash(&[id.name.as_bytes()]),
            weight: rank_weight(engine.ranked_speed),
            id,
        }
    }
}
