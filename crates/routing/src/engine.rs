//! One back end as a router sees it: its load from all routers, its pace, and what it has in memory.

use crate::back_end::{BackEnd, BackEndState};
use crate::concurrency::{ConcurrencyLimit, LimitSum};
use crate::decaying_counter::DecayingCounter;
use crate::first_event::PrefillWork;
use crate::health::Health;
use crate::load_stats::{EngineKey, EngineLoad, EngineServiceLevel};
use crate::prompt::Prompt;
use crate::service_level::{ServiceLevel, ServiceLevelCounts};
use crate::warmup::Warmup;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// What is under way at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Those of them whose tenants were above their fair share when they were placed.
    pub above_share: u32,
    /// Prefill for them that is still pending.
    pub prefill: PrefillWork,
    /// Memory that they take, in tokens.
    pub memory: u64,
    /// Requests of tenants below half of their share that could not be placed there lately. Slots are left for
    /// them by those that send for the largest tenants.
    pub unplaced: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.running += other.running;
        self.above_share += other.above_share;
        self.prefill.add(other.prefill);
        self.memory += other.memory;
        self.unplaced += other.unplaced;
    }

    /// Takes another load away.
    pub fn remove(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.above_share = self.above_share.saturating_sub(other.above_share);
        self.prefill.remove(other.prefill);
        self.memory = self.memory.saturating_sub(other.memory);
        self.unplaced = self.unplaced.saturating_sub(other.unplaced);
    }
}

/// Time over which unplaced requests fade.
const UNPLACED_LIFE: Duration = Duration::from_millis(700);

/// Time for which a back end that ended gets nothing under the life that is over. Its entry goes or names a later life sooner; if it
/// lives all the same, it gets work again.
const ENDED_PAUSE: Duration = Duration::from_secs(10);

/// Parts remembered for one back end.
const MOST_PARTS: usize = 4_096;
/// Parts older than this are taken as given way when room is needed in the memory of parts.
const PART_LIFE: Duration = Duration::from_secs(30);

/// A back end's state.
#[derive(Debug)]
pub struct Engine {
    /// What its source tells of it.
    pub back_end: BackEnd,
    /// Its name in messages between routers.
    pub key: EngineKey,
    /// What this router has there.
    pub own: Load,
    /// What other routers have there.
    pub others: Load,
    /// What exchanges tell of it.
    pub health: Health,
    /// Its time to first events over the time predicted, as a moving mean.
    pub latency_ratio: f64,
    /// The concurrency limit that this router finds.
    pub limit: ConcurrencyLimit,
    /// What other routers found.
    peer_limits: LimitSum,
    /// What tenants within their fair share met with here, over this router.
    service_level: ServiceLevel,
    /// The same over the other routers.
    others_level: ServiceLevelCounts,
    unplaced: DecayingCounter,
    parts: HashMap<u64, Timestamp>,
    /// Whether it is cold, and what this router has sent there since.
    pub warmup: Warmup,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    /// Its region, if that of its zone is known.
    pub region: Option<Arc<str>>,
    /// When an event or an answer of it came last.
    pub last_response: Timestamp,
    /// When this router learned that this life of it ended.
    ended: Option<Timestamp>,
}

impl Engine {
    /// A back end that nothing is known of yet.
    pub fn new(now: Timestamp, back_end: BackEnd) -> Self {
        Self {
            warmup: Warmup::of_new(now, back_end.cold_for),
            is_evacuated: false,
            region: None,
            last_response: Timestamp::ZERO,
            ended: None,
            key: EngineKey::from(&back_end.id),
            back_end,
            own: Load::default(),
            others: Load::default(),
            health: Health::default(),
            latency_ratio: 1.0,
            limit: ConcurrencyLimit::default(),
            peer_limits: LimitSum::default(),
            service_level: ServiceLevel::default(),
            others_level: ServiceLevelCounts::default(),
            unplaced: DecayingCounter::new(UNPLACED_LIFE),
            parts: HashMap::new(),
        }
    }

    /// The same back end as its source tells of it now.
    pub fn with(mut self, now: Timestamp, back_end: BackEnd) -> Self {
        if back_end.cold_for != self.back_end.cold_for {
            self.warmup.on_update(now, back_end.cold_for);
        }
        Self { back_end, ..self }
    }

    /// Whether it may be given anything new.
    pub fn accepts_work(&self) -> bool {
        self.back_end.state == BackEndState::Ready && !self.is_evacuated
    }

    /// This life of it ended, as this router or another found out.
    pub fn on_ended(&mut self, now: Timestamp) {
        self.ended.get_or_insert(now);
    }

    /// Whether it ended a short while ago, so that it is there under another life at best.
    pub fn is_ended(&self, now: Timestamp) -> bool {
        self.ended.is_some_and(|ended| now.since(ended) < ENDED_PAUSE)
    }

    /// The load from all routers.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Other routers told what they have here.
    pub fn add_load(&mut self, load: Load) {
        self.others.add(load);
    }

    /// What other routers told no longer counts.
    pub fn remove_load(&mut self, load: Load) {
        self.others.remove(load);
    }

    /// Other routers told how well it serves.
    pub fn add_service_level(&mut self, told: &EngineServiceLevel) {
        self.peer_limits.add(told.limits);
        self.others_level.add(told.level);
    }

    /// What they told no longer counts.
    pub fn remove_service_level(&mut self, told: &EngineServiceLevel) {
        self.peer_limits.remove(told.limits);
        self.others_level.remove(told.level);
    }

    /// The concurrency limit on which the routers agree: the mean of what they found.
    pub fn agreed_limit(&self, now: Timestamp) -> f64 {
        let slots = self.back_end.slots.max(1);
        let agreed = self.peer_limits.mean_with(self.limit.current(now));
        agreed.unwrap_or_else(|| ConcurrencyLimit::initial(slots))
    }

    /// Prompt tokens that it has to read: those after the first part that it does not hold.
    pub fn uncached(&self, prompt: &Prompt) -> u64 {
        let held = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        let cached: u64 = held.map(|part| u64::from(part.tokens)).sum();
        u64::from(prompt.input_tokens).saturating_sub(cached)
    }

    /// It has been given a prompt.
    pub fn record_prompt(&mut self, prompt: &Prompt, now: Timestamp) {
        for part in &prompt.parts {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > MOST_PARTS {
            self.parts.retain(|_, used| now.since(*used) < PART_LIFE);
        }
        if self.parts.len() > MOST_PARTS {
            self.parts.clear();
        }
    }

    /// A request of a tenant within its fair share was served in time here, or not.
    pub fn on_service(&mut self, now: Timestamp, in_time: bool) {
        self.service_level.on_request(now, in_time);
    }

    /// The share of such requests that were not served in time, over all routers.
    pub fn miss_rate(&self, now: Timestamp) -> f64 {
        let mut counts = self.service_level.counts(now);
        counts.add(self.others_level);
        counts.miss_rate()
    }

    /// A request of a tenant below half of its share could not be placed here.
    pub fn on_unplaced(&mut self, now: Timestamp) {
        self.unplaced.add(now, 1.0);
    }

    /// What this router has here, as it tells others.
    pub fn own_load(&self, now: Timestamp) -> EngineLoad {
        let load = Load { unplaced: self.unplaced.at(now).round() as u32, ..self.own };
        EngineLoad { engine: self.key, load }
    }

    /// How well this router is served here, if it has seen anything lately.
    pub fn own_service_level(&self, now: Timestamp) -> Option<EngineServiceLevel> {
        let limits = LimitSum::of(self.limit.current(now));
        let level = self.service_level.counts(now);
        let tells_anything = !limits.is_empty() || level != ServiceLevelCounts::default();
        tells_anything.then_some(EngineServiceLevel { engine: self.key, limits, level })
    }

    /// Whether there is anything that this router tells others of it.
    pub fn has_own_stats(&self, now: Timestamp) -> bool {
        self.own_load(now).load != Load::default() || self.own_service_level(now).is_some()
    }

    /// It has lost its memory.
    pub fn clear_prompt_parts(&mut self) {
        self.parts.clear();
    }
}
