//! Event intervals observed on streams, and the concurrency limits derived from them.

use super::Dispatcher;
use crate::back_end::BackEndId;
use crate::concurrency::{EVENTS_PER_OBSERVATION, UnloadedEventInterval};
use crate::demand::TicketId;
use crate::engine::Engine;
use crate::load_stats::ServiceEventInterval;
use mastbay_types::Timestamp;

impl Dispatcher {
    /// Records `count` events of a request's stream.
    pub fn on_events(&mut self, now: Timestamp, ticket: TicketId, count: u32) {
        self.observe_stream(now, ticket, count);
        self.record_answering(now, ticket);
        let Some(running) = self.running.get_mut(&ticket) else { return };
        running.events += count;
        if let Some(engine) = self.engines.get_mut(&running.back_end) {
            engine.last_response = now;
        }
        if running.events < EVENTS_PER_OBSERVATION {
            return;
        }
        let events = std::mem::take(&mut running.events);
        let started = std::mem::replace(&mut running.observed, now);
        if now < self.lagging_until || started < self.lagging_until {
            return;
        }
        let Some(engine) = self.engines.get_mut(&running.back_end) else { return };
        if engine.warmup.is_cold(now) {
            return;
        }
        engine.limit.observe_event_interval(now, now.since(started) / events);
        if let Some(interval) = engine.limit.event_interval() {
            self.unloaded_intervals
                .entry(engine.back_end.service.clone())
                .or_default()
                .observe(now, interval);
        }
        let back_end = running.back_end.clone();
        self.adjust_limit(now, &back_end);
    }

    /// Adjusts an engine's concurrency limit after a new observation.
    pub(super) fn adjust_limit(&mut self, now: Timestamp, id: &BackEndId) {
        let Some(engine) = self.engines.get(id) else { return };
        let load = self.engine_load(now, engine);
        let (agreed, in_use) = (engine.agreed_limit(now), engine.load().above_share);
        let slots = engine.back_end.slots.max(1);
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.limit.adjust(now, load, agreed, in_use, slots);
    }

    /// Returns an engine's load relative to the accepted one; at 1 the concurrency limit is
    /// unchanged. The accepted slowdown is lower while tenants within their share miss their
    /// objective too often. Below it the engine has spare capacity, so the misses have another
    /// cause and a lower limit would not help.
    fn engine_load(&self, now: Timestamp, engine: &Engine) -> f64 {
        let policy = &self.limits.policy;
        let misses = engine.miss_rate(now) / policy.accepted_misses;
        let accepted = if misses > 1.0 { policy.strained_slowdown } else { policy.slowdown };
        self.slowdown(now, engine).map_or(misses, |slowdown| slowdown / accepted)
    }

    /// Returns the ratio of an engine's event interval to the lowest one that any router observed
    /// for the service, or to what that one would be at the engine's speed. `None` if its streams are
    /// too short to measure.
    fn slowdown(&self, now: Timestamp, engine: &Engine) -> Option<f64> {
        let interval = self.event_interval(now, engine)?;
        let service = &engine.back_end.service;
        let own = self.unloaded_intervals.get(service).and_then(UnloadedEventInterval::minimum);
        let minimum = own.into_iter().chain(self.fleet.unloaded_event_interval(service)).min()?;
        let unloaded = minimum.as_secs_f64() * self.unloaded_interval_factor(now, engine);
        Some(interval.as_secs_f64() / unloaded.max(f64::MIN_POSITIVE))
    }

    /// Returns the lowest event interval that this router observed for each service.
    pub(super) fn unloaded_event_intervals(&self) -> Vec<ServiceEventInterval> {
        let observed = self.unloaded_intervals.iter().filter_map(|(service, interval)| {
            let unloaded_micros = u32::try_from(interval.minimum()?.as_micros()).ok()?;
            Some(ServiceEventInterval { service: service.clone(), unloaded_micros })
        });
        observed.collect()
    }
}
