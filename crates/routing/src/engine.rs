//! A router's view of one back end: its load from all routers, its service quality, and the prompt
//! prefixes it is assumed to have cached.

use crate::back_end::{BackEnd, BackEndState};
use crate::concurrency::{ConcurrencyLimit, LimitSum, UnloadedEventInterval};
use crate::decaying_counter::DecayingCounter;
use crate::engine_key::EngineKey;
use crate::health::Health;
use crate::load::Load;
use crate::load_stats::{EngineLoad, EngineServiceLevel};
use crate::performance::{EnginePerformance, EnginePerformanceReport, PerformanceEstimate};
use crate::prompt::Prompt;
use crate::service_level::{ServiceLevel, ServiceLevelCounts};
use crate::warmup::Warmup;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time constant with which the count of unplaced requests decays.
const UNPLACED_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Time for which a terminated incarnation receives no requests. Usually its entry is removed or
/// replaced earlier; if it is alive after all, it receives requests again afterwards.
const TERMINATED_COOLDOWN: Duration = Duration::from_secs(10);

/// Maximum number of prompt parts remembered for one back end.
const MAX_PROMPT_PARTS: usize = 4_096;
/// Age from which prompt parts are assumed to be evicted when the maximum is exceeded.
const PROMPT_PART_TTL: Duration = Duration::from_secs(30);

/// State of one back end as known to this router.
#[derive(Debug)]
pub struct Engine {
    /// Description from the source.
    pub back_end: BackEnd,
    /// Identifier in messages between routers.
    pub key: EngineKey,
    /// Load from this router.
    pub own: Load,
    /// Load from all other routers.
    pub others: Load,
    /// Health as observed by this router's exchanges.
    pub health: Health,
    /// Moving average of observed over predicted time to the first event.
    pub latency_ratio: f64,
    /// Speed by which this router ranks the back end, see [`crate::rank_weight`].
    pub ranked_speed: f64,
    /// Concurrency limit estimated by this router.
    pub limit: ConcurrencyLimit,
    /// Concurrency limits estimated by other routers.
    peer_limits: LimitSum,
    /// Outcomes for tenants within their fair share, over this router.
    service_level: ServiceLevel,
    /// Outcomes for tenants within their fair share, over the other routers.
    peer_service_level: ServiceLevelCounts,
    /// Speed and pauses as observed by all routers.
    pub performance: EnginePerformance,
    /// Event interval without load, from the fleet's estimates.
    unloaded_interval: UnloadedEventInterval,
    unplaced: DecayingCounter,
    /// Prompt parts sent here and the time of their last use.
    prompt_parts: HashMap<u64, Timestamp>,
    /// Whether the back end is cold, and the requests sent to it since.
    pub warmup: Warmup,
    /// Whether the zone of the back end is evacuated.
    pub is_evacuated: bool,
    /// Region of the back end's zone, if known.
    pub region: Option<Arc<str>>,
    /// When the last event or answer arrived from it.
    pub last_response: Timestamp,
    /// When this router learned that this incarnation terminated.
    terminated_at: Option<Timestamp>,
}

impl Engine {
    /// Creates the state of a newly listed back end.
    pub fn new(now: Timestamp, back_end: BackEnd) -> Self {
        Self {
            warmup: Warmup::of_new(now, back_end.cold_for),
            is_evacuated: false,
            region: None,
            last_response: Timestamp::ZERO,
            terminated_at: None,
            key: EngineKey::from(&back_end.id),
            back_end,
            own: Load::default(),
            others: Load::default(),
            health: Health::default(),
            latency_ratio: 1.0,
            ranked_speed: 1.0,
            limit: ConcurrencyLimit::default(),
            peer_limits: LimitSum::default(),
            service_level: ServiceLevel::default(),
            peer_service_level: ServiceLevelCounts::default(),
            performance: EnginePerformance::default(),
            unloaded_interval: UnloadedEventInterval::default(),
            unplaced: DecayingCounter::new(UNPLACED_TIME_CONSTANT),
            prompt_parts: HashMap::new(),
        }
    }

    /// Updates the description from the source.
    pub fn with(mut self, now: Timestamp, back_end: BackEnd) -> Self {
        if back_end.cold_for != self.back_end.cold_for {
            self.warmup.on_update(now, back_end.cold_for);
        }
        Self { back_end, ..self }
    }

    /// Returns whether the back end is ready and its zone is not evacuated.
    pub fn accepts_work(&self) -> bool {
        self.back_end.state == BackEndState::Ready && !self.is_evacuated
    }

    /// Returns whether this incarnation is known to have terminated.
    pub fn is_terminated(&self) -> bool {
        self.terminated_at.is_some()
    }

    /// Records that this incarnation terminated, as observed by this router or a peer.
    pub fn on_ended(&mut self, now: Timestamp) {
        self.terminated_at.get_or_insert(now);
    }

    /// Returns whether this incarnation terminated recently.
    pub fn is_ended(&self, now: Timestamp) -> bool {
        self.terminated_at.is_some_and(|at| now.since(at) < TERMINATED_COOLDOWN)
    }

    /// Returns the load from all routers.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Adds load reported by other routers.
    pub fn add_load(&mut self, load: Load) {
        self.others.add(load);
    }

    /// Subtracts load reported by other routers that is outdated.
    pub fn remove_load(&mut self, load: Load) {
        self.others.remove(load);
    }

    /// Adds a service level reported by other routers.
    pub fn add_service_level(&mut self, reported: &EngineServiceLevel) {
        self.peer_limits.add(reported.limits);
        self.peer_service_level.add(reported.level);
    }

    /// Subtracts a service level reported by other routers that is outdated.
    pub fn remove_service_level(&mut self, reported: &EngineServiceLevel) {
        self.peer_limits.remove(reported.limits);
        self.peer_service_level.remove(reported.level);
    }

    /// Returns the concurrency limit in requests: the mean of the estimates of all routers.
    pub fn agreed_limit(&self, now: Timestamp) -> f64 {
        let slots = self.back_end.slots.max(1);
        let agreed = self.peer_limits.mean_with(self.limit.current(now));
        agreed.unwrap_or_else(|| ConcurrencyLimit::initial(slots))
    }

    /// Returns the estimated performance at `now`, from the observations of all routers.
    pub fn performance(&self, now: Timestamp) -> PerformanceEstimate {
        self.performance.estimate(now)
    }

    /// Returns the performance observed by this router, or `None` without recent observations.
    pub fn own_performance(&self, now: Timestamp) -> Option<EnginePerformanceReport> {
        let counts = self.performance.own_report(now)?;
        Some(EnginePerformanceReport { engine: self.key, counts })
    }

    /// Records the fleet's estimate of the event interval, whose minimum is that without load.
    pub fn observe_fleet_interval(&mut self, now: Timestamp) {
        if let Some(interval) = self.performance(now).event_interval {
            self.unloaded_interval.observe(now, interval);
        }
    }

    /// Returns the ratio of the fleet's estimate of the event interval to that without load.
    pub fn fleet_slowdown(&self, now: Timestamp) -> Option<f64> {
        let interval = self.performance(now).event_interval?;
        let minimum = self.unloaded_interval.minimum()?;
        Some(interval.as_secs_f64() / minimum.as_secs_f64().max(f64::MIN_POSITIVE))
    }

    /// Returns the number of prompt tokens after the longest prefix assumed to be cached.
    pub fn uncached(&self, prompt: &Prompt) -> u64 {
        let held = prompt.parts.iter().take_while(|part| self.prompt_parts.contains_key(&part.id));
        let cached: u64 = held.map(|part| u64::from(part.tokens)).sum();
        u64::from(prompt.input_tokens).saturating_sub(cached)
    }

    /// Records that the back end has received a prompt and caches its parts.
    pub fn record_prompt(&mut self, prompt: &Prompt, now: Timestamp) {
        for part in &prompt.parts {
            self.prompt_parts.insert(part.id, now);
        }
        if self.prompt_parts.len() > MAX_PROMPT_PARTS {
            self.prompt_parts.retain(|_, used| now.since(*used) < PROMPT_PART_TTL);
        }
        if self.prompt_parts.len() > MAX_PROMPT_PARTS {
            self.prompt_parts.clear();
        }
    }

    /// Records whether a request of a tenant within its fair share was served in time.
    pub fn on_service(&mut self, now: Timestamp, in_time: bool) {
        self.service_level.on_request(now, in_time);
    }

    /// Returns the fraction of such requests that missed their objective, over all routers.
    pub fn miss_rate(&self, now: Timestamp) -> f64 {
        self.fleet_service_level(now).miss_rate()
    }

    /// Returns the recent outcomes for tenants within their fair share, over all routers.
    pub fn fleet_service_level(&self, now: Timestamp) -> ServiceLevelCounts {
        let mut counts = self.service_level.counts(now);
        counts.add(self.peer_service_level);
        counts
    }

    /// Records that a request of a tenant below half of its fair share could not be placed here.
    pub fn on_unplaced(&mut self, now: Timestamp) {
        self.unplaced.add(now, 1.0);
    }

    /// Returns the load from this router, as reported to peers.
    pub fn own_load(&self, now: Timestamp) -> EngineLoad {
        let load = Load { unplaced: self.unplaced.at(now).round() as u32, ..self.own };
        EngineLoad { engine: self.key, load }
    }

    /// Returns the service level observed by this router, or `None` without recent observations.
    pub fn own_service_level(&self, now: Timestamp) -> Option<EngineServiceLevel> {
        let limits = LimitSum::of(self.limit.current(now));
        let level = self.service_level.counts(now);
        let has_observations = !limits.is_empty() || level != ServiceLevelCounts::default();
        has_observations.then_some(EngineServiceLevel { engine: self.key, limits, level })
    }

    /// Returns whether this router has a load, service level or performance to report.
    pub fn has_own_stats(&self, now: Timestamp) -> bool {
        self.own_load(now).load != Load::default()
            || self.own_service_level(now).is_some()
            || self.own_performance(now).is_some()
    }

    /// Forgets the cached prompt parts, after the back end has lost its memory.
    pub fn clear_prompt_parts(&mut self) {
        self.prompt_parts.clear();
    }
}
