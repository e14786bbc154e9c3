//! What the events of streams tell of the pace of engines, and the concurrency limits that follow.

use super::{Dispatcher, TicketId};
use crate::back_end::BackEndId;
use crate::concurrency::{EVENTS_OBSERVED, LoadSignals};
use crate::digest::ServicePace;
use mastbay_types::Timestamp;
use std::time::Duration;

impl Dispatcher {
    /// `count` events of a request's stream have come.
    pub fn on_events(&mut self, now: Timestamp, ticket: TicketId, count: u32) {
        let Some(running) = self.running.get_mut(&ticket) else { return };
        running.events += count;
        if running.events < EVENTS_OBSERVED {
            return;
        }
        let events = std::mem::take(&mut running.events);
        let began = std::mem::replace(&mut running.observed, now);
        if now < self.lagging_until || began < self.lagging_until {
            return;
        }
        let back_end = running.back_end.clone();
        self.observe_pace(now, &back_end, now.since(began) / events);
    }

    /// An engine's streams have their events `per_event` apart: its concurrency limit follows.
    fn observe_pace(&mut self, now: Timestamp, id: &BackEndId, per_event: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(smoothed) = engine.limit.observe(now, per_event) else { return };
        let service = &engine.back_end.service;
        let unloaded = self.unloaded.entry(service.clone()).or_default();
        unloaded.observe(now, smoothed);
        let own_and_told = unloaded.least().into_iter().chain(self.fleet.unloaded_pace(service));
        let Some(least) = own_and_told.min() else { return };
        let policy = &self.limits.policy;
        let bound = least.mul_f64(policy.slowdown);
        let signals = LoadSignals {
            pace: smoothed.as_secs_f64() / bound.as_secs_f64().max(f64::MIN_POSITIVE),
            misses: engine.missed_share(now) / policy.accepted_misses,
        };
        let (agreed, running) = (engine.agreed_limit(now), engine.load().running);
        let slots = engine.back_end.slots.max(1);
        engine.limit.adjust(now, signals, agreed, running, slots);
    }

    /// The least time between events of each service that this router observed.
    pub(super) fn unloaded_paces(&self) -> Vec<ServicePace> {
        let observed = self.unloaded.iter().filter_map(|(service, pace)| {
            let unloaded_micros = u32::try_from(pace.least()?.as_micros()).ok()?;
            Some(ServicePace { service: service.clone(), unloaded_micros })
        });
        observed.collect()
    }
}
