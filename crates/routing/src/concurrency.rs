//! An adaptive concurrency limit per engine for requests of tenants above their fair share.
//!
//! Engines serve requests in order of arrival, so requests of such tenants delay all others. Each
//! stream gets one token per step, and a step takes longer with more concurrent requests and more
//! prefill. The event interval relative to that of an unloaded engine therefore measures its load.
//! The limit rises while this slowdown is below the accepted bound and the limit is in use, and
//! falls while the slowdown is above the bound.

use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of events of a stream per observation of the event interval. Single intervals are noisy:
/// they include prefill chunks of other requests and events that arrive together.
pub const EVENTS_PER_OBSERVATION: u32 = 8;

/// Initial limit of an unobserved engine as a fraction of its slots.
const INITIAL_FRACTION: f64 = 0.25;
/// Minimum limit; below it, steps hardly become shorter.
const MIN_LIMIT: f64 = 6.0;
/// Minimum time between two adjustments of a limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last observation for which a limit is valid.
const LIMIT_TTL: Duration = Duration::from_secs(4);
/// Weight of one observation in the smoothed event interval.
const EVENT_INTERVAL_SMOOTHING: f64 = 0.1;
/// Minimum number of observations before they are used.
const MIN_OBSERVATIONS: u32 = 6;
/// Fraction of the limit that has to be in use before it rises.
const IN_USE_THRESHOLD: f64 = 0.75;
/// Fraction by which the limit rises per adjustment.
const INCREASE_FRACTION: f64 = 0.06;
/// Minimum rise per adjustment, in requests.
const MIN_INCREASE: f64 = 1.0;
/// Fraction by which the limit falls per adjustment, per unit of load above the bound.
const DECREASE_FRACTION: f64 = 0.2;
/// Maximum fraction by which the limit falls per adjustment.
const MAX_DECREASE: f64 = 0.1;
/// Load below which the limit rises; between this and 1 it stays.
const INCREASE_THRESHOLD: f64 = 0.9;

/// Concurrency limit of one engine as estimated by one router.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConcurrencyLimit {
    /// Limit in requests; 0 before the first adjustment.
    limit: f64,
    /// Smoothed time between events, in milliseconds.
    event_interval: f64,
    interval_observations: u32,
    /// Number of observed first events and event intervals.
    observations: u32,
    last_observation: Timestamp,
    last_adjustment: Timestamp,
}

impl ConcurrencyLimit {
    /// Returns the limit in requests for an engine without observations.
    pub fn initial(slots: u32) -> f64 {
        (f64::from(slots) * INITIAL_FRACTION).max(MIN_LIMIT).min(f64::from(slots))
    }

    /// Returns the limit in requests, or `None` without recent observations by this router.
    pub fn current(&self, now: Timestamp) -> Option<f64> {
        let is_fresh = now.since(self.last_observation) <= LIMIT_TTL;
        (self.limit > 0.0 && is_fresh).then_some(self.limit)
    }

    /// Records the first event of a stream, the only observation of streams that are too short for
    /// an event interval.
    pub fn observe_first_event(&mut self, now: Timestamp) {
        self.last_observation = now;
        self.observations = self.observations.saturating_add(1);
    }

    /// Records the mean time between events of a stream.
    pub fn observe_event_interval(&mut self, now: Timestamp, per_event: Duration) {
        self.observe_first_event(now);
        self.interval_observations = self.interval_observations.saturating_add(1);
        let weight = EVENT_INTERVAL_SMOOTHING.max(1.0 / f64::from(self.interval_observations));
        self.event_interval += weight * (per_event.as_secs_f64() * 1e3 - self.event_interval);
    }

    /// Returns the smoothed time between events, or `None` with too few observations.
    pub fn event_interval(&self) -> Option<Duration> {
        let is_reliable = self.interval_observations >= MIN_OBSERVATIONS;
        is_reliable.then(|| Duration::from_secs_f64(self.event_interval / 1e3))
    }

    /// Adjusts the limit, starting from the `agreed` one of all routers. It rises while `load` is
    /// below 1 and most of the limit is in use (`in_use`, in requests), and falls in proportion to
    /// the load above 1.
    pub fn adjust(&mut self, now: Timestamp, load: f64, agreed: f64, in_use: u32, slots: u32) {
        let too_soon = self.limit > 0.0 && now.since(self.last_adjustment) < ADJUST_INTERVAL;
        if self.observations < MIN_OBSERVATIONS || too_soon {
            return;
        }
        self.last_adjustment = now;
        let next = if load > 1.0 {
            agreed * (1.0 - (DECREASE_FRACTION * (load - 1.0)).min(MAX_DECREASE))
        } else if load < INCREASE_THRESHOLD && f64::from(in_use) >= agreed * IN_USE_THRESHOLD {
            agreed + (agreed * INCREASE_FRACTION).max(MIN_INCREASE)
        } else {
            agreed
        };
        let slots = f64::from(slots);
        self.limit = next.clamp(MIN_LIMIT.min(slots), slots);
    }
}

/// Sum of the limits estimated by several routers, from which their mean is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitSum {
    total: u32,
    count: u32,
}

impl LimitSum {
    /// Creates a sum of one router's limit, or an empty sum.
    pub fn of(limit: Option<f64>) -> Self {
        limit.map_or_else(Self::default, |limit| Self { total: limit.round() as u32, count: 1 })
    }

    /// Returns whether no limit is included.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds the limits of further routers.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.count += other.count;
    }

    /// Subtracts limits that were added before.
    pub fn remove(&mut self, other: Self) {
        self.total = self.total.saturating_sub(other.total);
        self.count = self.count.saturating_sub(other.count);
    }

    /// Returns the mean including this router's `own` limit, or `None` without any limit.
    pub fn mean_with(&self, own: Option<f64>) -> Option<f64> {
        let count = self.count + u32::from(own.is_some());
        (count > 0).then(|| (f64::from(self.total) + own.unwrap_or(0.0)) / f64::from(count))
    }
}

/// Maximum age of the minimum event interval of a service, which is kept for at least half of this
/// time. Older minima may be those of other software or weights.
const UNLOADED_TTL: Duration = Duration::from_secs(240);

/// Event interval of an unloaded engine of a service: the recent minimum over all its engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnloadedEventInterval {
    current: Option<Duration>,
    previous: Option<Duration>,
    rotated_at: Timestamp,
}

impl UnloadedEventInterval {
    /// Records the smoothed event interval of an engine.
    pub fn observe(&mut self, now: Timestamp, per_event: Duration) {
        if now.since(self.rotated_at) > UNLOADED_TTL / 2 {
            self.previous = self.current.take();
            self.rotated_at = now;
        }
        self.current = Some(self.current.map_or(per_event, |minimum| minimum.min(per_event)));
    }

    /// Returns the minimum, or `None` without recent observations.
    pub fn minimum(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}
