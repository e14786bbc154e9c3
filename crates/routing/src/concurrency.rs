//! An adaptive concurrency limit for each engine: how many requests of tenants above their fair share may be
//! under way there.
//!
//! Engines are first come, first served, so what such tenants send delays everybody. Each stream gets one
//! token a step, and a step takes longer the more requests are under way and the more prompt tokens are
//! prefilled. The time between events, in times of that of an unloaded engine, therefore shows how loaded an
//! engine is. The limit rises while that slowdown is under what is accepted and the limit is in use, and falls
//! while it is above.

use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Events of one stream that make one observation of the pace. A single pause holds chance: a chunk of
/// somebody's prompt, or events that arrived together.
pub const EVENTS_PER_OBSERVATION: u32 = 8;

/// Part of the slots that the limit starts from while nobody has observed the engine. It doubles within a
/// second if the pace allows it.
const START_PART: f64 = 0.25;
/// Least limit, so that tenants above their share are always served a little: with fewer requests under way
/// steps would hardly be shorter.
const LEAST_LIMIT: f64 = 6.0;
/// Time between two changes of a limit, about that of a digest with some new observations.
const CHANGE_PERIOD: Duration = Duration::from_millis(200);
/// Time after the last observation for which a limit counts: some streams later the engine may be another.
const LIMIT_LIFE: Duration = Duration::from_secs(4);
/// Part of the smoothed pace that one observation moves: about ten streams are remembered.
const PACE_GAIN: f64 = 0.1;
/// Observations from which on a pace is believed.
const FEWEST_OBSERVATIONS: u32 = 6;
/// Part of the limit that has to be in use before it rises; an unused limit says nothing.
const IN_USE: f64 = 0.75;
/// Part by which the limit rises at a time, and the least rise.
const RISE: f64 = 0.06;
const LEAST_RISE: f64 = 1.0;
/// Part by which the limit falls at a time for each time that the pace is over the bound, and the most.
const FALL: f64 = 0.2;
const MOST_FALL: f64 = 0.1;
/// Part of the bound under which the limit rises; between it and the bound the limit stays.
const RISE_BELOW: f64 = 0.9;

/// The concurrency limit of one engine as one router finds it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConcurrencyLimit {
    /// Requests; 0 until the first change.
    limit: f64,
    /// Smoothed time between events, in milliseconds.
    event_interval: f64,
    pace_observations: u32,
    /// First events and paces that were seen.
    observations: u32,
    observed: Timestamp,
    changed: Timestamp,
}

impl ConcurrencyLimit {
    /// The limit for an engine that nobody has observed.
    pub fn initial(slots: u32) -> f64 {
        (f64::from(slots) * START_PART).max(LEAST_LIMIT).min(f64::from(slots))
    }

    /// The limit in requests, if this router has found one and still sees answers of the engine.
    pub fn current(&self, now: Timestamp) -> Option<f64> {
        let is_fresh = now.since(self.observed) <= LIMIT_LIFE;
        (self.limit > 0.0 && is_fresh).then_some(self.limit)
    }

    /// A first event came. A service whose streams are too short to show a pace is known by these alone.
    pub fn observe_first_event(&mut self, now: Timestamp) {
        self.observed = now;
        self.observations = self.observations.saturating_add(1);
    }

    /// A stream's events came `per_event` apart.
    pub fn observe_event_interval(&mut self, now: Timestamp, per_event: Duration) {
        self.observe_first_event(now);
        self.pace_observations = self.pace_observations.saturating_add(1);
        let gain = PACE_GAIN.max(1.0 / f64::from(self.pace_observations));
        self.event_interval += gain * (per_event.as_secs_f64() * 1e3 - self.event_interval);
    }

    /// The smoothed time between events, once it is believed.
    pub fn event_interval(&self) -> Option<Duration> {
        let is_believed = self.pace_observations >= FEWEST_OBSERVATIONS;
        is_believed.then(|| Duration::from_secs_f64(self.event_interval / 1e3))
    }

    /// Moves the limit, which starts from `agreed`. It rises while `load` is under 1 and most of it is in use
    /// (`in_use`, in requests), and falls by how far `load` is above 1.
    pub fn adjust(&mut self, now: Timestamp, load: f64, agreed: f64, in_use: u32, slots: u32) {
        let too_soon = self.limit > 0.0 && now.since(self.changed) < CHANGE_PERIOD;
        if self.observations < FEWEST_OBSERVATIONS || too_soon {
            return;
        }
        self.changed = now;
        let next = if load > 1.0 {
            agreed * (1.0 - (FALL * (load - 1.0)).min(MOST_FALL))
        } else if load < RISE_BELOW && f64::from(in_use) >= agreed * IN_USE {
            agreed + (agreed * RISE).max(LEAST_RISE)
        } else {
            agreed
        };
        let slots = f64::from(slots);
        self.limit = next.clamp(LEAST_LIMIT.min(slots), slots);
    }
}

/// The sum of what several routers found, for their mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitSum {
    total: u32,
    count: u32,
}

impl LimitSum {
    /// What one router found, if it found a limit.
    pub fn of(found: Option<f64>) -> Self {
        found.map_or_else(Self::default, |limit| Self { total: limit.round() as u32, count: 1 })
    }

    /// Whether nobody found a limit.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds what further routers found.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.count += other.count;
    }

    /// Takes away what was added.
    pub fn remove(&mut self, other: Self) {
        self.total = self.total.saturating_sub(other.total);
        self.count = self.count.saturating_sub(other.count);
    }

    /// The mean with what this router itself found, if anybody found a limit.
    pub fn mean_with(&self, own: Option<f64>) -> Option<f64> {
        let count = self.count + u32::from(own.is_some());
        (count > 0).then(|| (f64::from(self.total) + own.unwrap_or(0.0)) / f64::from(count))
    }
}

/// Time after which the least pace of a service is forgotten, half of it at least: its engines may have got
/// other software or weights meanwhile.
const UNLOADED_LIFE: Duration = Duration::from_secs(240);

/// The time between events of an engine of a service without load: the least that was observed lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnloadedEventInterval {
    current: Option<Duration>,
    previous: Option<Duration>,
    rotated: Timestamp,
}

impl UnloadedEventInterval {
    /// An engine's smoothed time between events.
    pub fn observe(&mut self, now: Timestamp, per_event: Duration) {
        if now.since(self.rotated) > UNLOADED_LIFE / 2 {
            self.previous = self.current.take();
            self.rotated = now;
        }
        self.current = Some(self.current.map_or(per_event, |least| least.min(per_event)));
    }

    /// The least, if any was observed.
    pub fn minimum(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}
