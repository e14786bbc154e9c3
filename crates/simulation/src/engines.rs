//! Model of back ends: slots, a queue for further requests, and service proportional to time.

use crate::scenario::Scenario;
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Index of a request within a run.
pub type RequestNumber = usize;

#[derive(Debug)]
struct Engine {
    service: usize,
    slots: u32,
    running: BTreeMap<RequestNumber, Timestamp>,
    queue: VecDeque<RequestNumber>,
}

/// All back ends, with consecutive indices across services.
#[derive(Debug)]
pub struct Engines {
    engines: Vec<Engine>,
    /// Index of the first engine of each service.
    first: Vec<usize>,
    steps: Vec<Duration>,
    /// Free slots of each service.
    free: Vec<u32>,
}

impl Engines {
    /// Creates the idle back ends of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let mut engines = Vec::new();
        let mut first = Vec::new();
        for (index, service) in scenario.services.iter().enumerate() {
            first.push(engines.len());
            for _ in 0..service.engines {
                let (running, queue) = (BTreeMap::new(), VecDeque::new());
                engines.push(Engine { service: index, slots: service.slots, running, queue });
            }
        }
        let steps = scenario.services.iter().map(|service| service.step).collect();
        let free = (0..scenario.services.len()).map(|service| scenario.slots(service)).collect();
        Self { engines, first, steps, free }
    }

    /// Returns the indices of a service's engines.
    pub fn of_service(&self, service: usize) -> std::ops::Range<usize> {
        let end = self.first.get(service + 1).copied().unwrap_or(self.engines.len());
        self.first[service]..end
    }

    /// Returns the number of requests that run or wait at an engine.
    pub fn load(&self, engine: usize) -> usize {
        self.engines[engine].running.len() + self.engines[engine].queue.len()
    }

    /// Returns the number of slots of an engine.
    pub fn slots(&self, engine: usize) -> usize {
        self.engines[engine].slots as usize
    }

    /// Returns the number of free slots of a service.
    pub fn free_slots(&self, service: usize) -> u32 {
        self.free[service]
    }

    /// Submits a request. Returns `true` if it starts at once, `false` if it is queued.
    pub fn submit(&mut self, now: Timestamp, engine: usize, request: RequestNumber) -> bool {
        let engine = &mut self.engines[engine];
        if engine.running.len() < engine.slots as usize {
            engine.running.insert(request, now);
            self.free[engine.service] -= 1;
            return true;
        }
        engine.queue.push_back(request);
        false
    }

    /// Ends a request. Returns the queued request that takes its slot, if any.
    pub fn end(
        &mut self,
        now: Timestamp,
        engine: usize,
        request: RequestNumber,
    ) -> Option<RequestNumber> {
        let engine = &mut self.engines[engine];
        engine.running.remove(&request);
        let Some(next) = engine.queue.pop_front() else {
            self.free[engine.service] += 1;
            return None;
        };
        engine.running.insert(next, now);
        Some(next)
    }

    /// Returns the running requests of an engine with their start times.
    pub fn running(&self, engine: usize) -> impl Iterator<Item = (RequestNumber, Timestamp)> + '_ {
        self.engines[engine].running.iter().map(|(request, since)| (*request, *since))
    }

    /// Returns the time at which a request that begins at `now` ends.
    pub fn end_of(&self, now: Timestamp, service: usize, cost: u64) -> Timestamp {
        now + self.steps[service] * u32::try_from(cost).unwrap_or(u32::MAX)
    }

    /// Returns the service, in cost units, that a request started at `since` has received.
    pub fn delivered(&self, now: Timestamp, service: usize, since: Timestamp, cost: u64) -> u64 {
        let steps = now.since(since).as_micros() / self.steps[service].as_micros().max(1);
        u64::try_from(steps).unwrap_or(u64::MAX).min(cost)
    }
}
