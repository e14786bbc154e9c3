//! Runs a dispatcher against back ends and a workload, and measures.

use crate::engines::{Engines, RequestNumber};
use crate::event_queue::EventQueue;
use crate::measure::{GapMeter, SlotMeter, WaitMeter};
use crate::scenario::Scenario;
use crate::workload::{Arrival, Workload};
use mastbay_types::Timestamp;
use std::time::Duration;

/// Time between two samples of the service gap.
const SAMPLE: Duration = Duration::from_millis(50);
/// Time between two accounts of what running requests have received.
const PROGRESS: Duration = Duration::from_millis(50);

/// A request in a run.
#[derive(Debug, Clone)]
pub struct Request {
    /// How it arrived.
    pub arrival: Arrival,
    /// When it arrived.
    pub arrived: Timestamp,
    /// Index of its service.
    pub service: usize,
    /// The engine that it was sent to.
    pub engine: Option<usize>,
    /// When it began to run.
    pub began: Option<Timestamp>,
    /// Service last told to the dispatcher.
    pub told: u64,
}

/// What a dispatcher decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request leaves its gateway for an engine, and reaches it at this time.
    Send {
        /// The request.
        request: RequestNumber,
        /// The engine.
        engine: usize,
        /// When it arrives there.
        at: Timestamp,
    },
    /// Call [`Dispatcher::wake`] at this time.
    Wake(Timestamp),
}

/// Decides which request goes to which engine, and when.
pub trait Dispatcher {
    /// A request has arrived at its gateway.
    fn arrived(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision>;
    /// A request has ended at its engine.
    fn ended(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision>;
    /// A running request has received `more` service.
    fn progressed(&mut self, view: &View<'_>, request: RequestNumber, more: u64);
    /// Time asked for by [`Decision::Wake`] has come.
    fn wake(&mut self, view: &View<'_>) -> Vec<Decision>;
    /// Decisions that progress may have made possible.
    fn after_progress(&mut self, view: &View<'_>) -> Vec<Decision>;
    /// Bytes and messages between processes so far.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }
}

/// Messages between processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub messages: u64,
    /// Their bytes, with what carries them.
    pub bytes: u64,
    /// Bytes that the busiest process sent and received.
    pub busiest_bytes: u64,
}

/// What a dispatcher may see.
pub struct View<'a> {
    /// The time.
    pub now: Timestamp,
    /// All requests so far.
    pub requests: &'a [Request],
    /// The engines. Only an ideal dispatcher may look at their load.
    pub engines: &'a Engines,
}

enum Event {
    Arrival(Arrival),
    Reach { request: RequestNumber, engine: usize },
    End(RequestNumber),
    Wake,
    Progress,
    Sample,
}

/// What a run measured.
#[derive(Debug)]
pub struct Measured {
    /// The service gap, by service.
    pub gaps: Vec<GapMeter>,
    /// Slots, by service.
    pub slots: Vec<SlotMeter>,
    /// Time from arrival to start, by tenant.
    pub waits: Vec<WaitMeter>,
    /// Time from arrival to start, over all tenants.
    pub all_waits: WaitMeter,
    /// Time from arrival to the first cost unit, over all tenants.
    pub first_units: WaitMeter,
    /// Service delivered, by tenant.
    pub delivered: Vec<u64>,
    /// Requests that ended.
    pub ended: u64,
    /// Requests sent to an engine that had no free slot.
    pub queued_at_engine: u64,
    /// Messages between processes.
    pub traffic: Traffic,
    /// Largest cost of a request that arrived, by service.
    pub largest_costs: Vec<u64>,
}

struct World<'a, D> {
    scenario: &'a Scenario,
    dispatcher: &'a mut D,
    workload: Workload,
    events: EventQueue<Event>,
    engines: Engines,
    requests: Vec<Request>,
    /// Requests that have not begun to run, by tenant and by service.
    waiting: Vec<u32>,
    waiting_at: Vec<u32>,
    /// Whether the tenant's backlog was empty at some time since the last sample.
    emptied: Vec<bool>,
    finished: Vec<u64>,
    measured: Measured,
}

/// Runs a scenario.
pub fn run<D: Dispatcher>(scenario: &Scenario, seed: u64, dispatcher: &mut D) -> Measured {
    let tenants = scenario.tenants.len();
    let gap_of = |service: usize| {
        let of_service = |tenant: &usize| scenario.tenants[*tenant].service == service;
        GapMeter::new(&(0..tenants).filter(of_service).collect::<Vec<usize>>())
    };
    let measured = Measured {
        gaps: (0..scenario.services.len()).map(gap_of).collect(),
        slots: vec![SlotMeter::default(); scenario.services.len()],
        waits: (0..tenants).map(|_| WaitMeter::default()).collect(),
        all_waits: WaitMeter::default(),
        first_units: WaitMeter::default(),
        delivered: vec![0; tenants],
        ended: 0,
        queued_at_engine: 0,
        traffic: Traffic::default(),
        largest_costs: vec![0; scenario.services.len()],
    };
    let world = World {
        scenario,
        dispatcher,
        workload: Workload::new(scenario, seed),
        events: EventQueue::default(),
        engines: Engines::new(scenario),
        requests: Vec::new(),
        waiting: vec![0; tenants],
        waiting_at: vec![0; scenario.services.len()],
        emptied: vec![true; tenants],
        finished: vec![0; tenants],
        measured,
    };
    world.run()
}

impl<D: Dispatcher> World<'_, D> {
    fn run(mut self) -> Measured {
        for (at, arrival) in self.workload.first() {
            self.events.push(at, Event::Arrival(arrival));
        }
        self.events.push(Timestamp::ZERO, Event::Wake);
        self.events.push(Timestamp::ZERO + PROGRESS, Event::Progress);
        self.events.push(Timestamp::ZERO + self.scenario.warm_up, Event::Sample);
        let end = Timestamp::ZERO + self.scenario.duration;
        while let Some((now, event)) = self.events.pop() {
            if now > end {
                break;
            }
            self.advance_slots(now);
            self.handle(now, event);
        }
        for (tenant, delivered) in self.service(end).into_iter().enumerate() {
            self.measured.delivered[tenant] = delivered;
        }
        self.measured.traffic = self.dispatcher.traffic();
        self.measured
    }

    fn measuring(&self, now: Timestamp) -> bool {
        now >= Timestamp::ZERO + self.scenario.warm_up
    }

    fn advance_slots(&mut self, now: Timestamp) {
        if !self.measuring(now) {
            return;
        }
        for service in 0..self.scenario.services.len() {
            let (slots, free) = (self.scenario.slots(service), self.engines.free_slots(service));
            let waiting = self.waiting_at[service];
            self.measured.slots[service].advance(now, slots, free, waiting);
        }
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Arrival(arrival) => self.arrive(now, arrival),
            Event::Reach { request, engine } => self.reach(now, request, engine),
            Event::End(request) => self.end(now, request),
            Event::Wake => {
                let decisions = self.ask(now, |dispatcher, view| dispatcher.wake(view));
                self.carry_out(decisions);
            }
            Event::Progress => self.progress(now),
            Event::Sample => self.sample(now),
        }
    }

    fn ask<T>(&mut self, now: Timestamp, question: impl FnOnce(&mut D, &View<'_>) -> T) -> T {
        let view = View { now, requests: &self.requests, engines: &self.engines };
        question(self.dispatcher, &view)
    }

    fn carry_out(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, engine, at } => {
                    self.events.push(at, Event::Reach { request, engine });
                }
                Decision::Wake(at) => self.events.push(at, Event::Wake),
            }
        }
    }

    fn arrive(&mut self, now: Timestamp, arrival: Arrival) {
        if let Some((at, next)) = self.workload.after_arrival(now, arrival.tenant) {
            self.events.push(at, Event::Arrival(next));
        }
        let service = self.scenario.tenants[arrival.tenant].service;
        let largest = &mut self.measured.largest_costs[service];
        *largest = arrival.cost.max(*largest);
        let request =
            Request { arrival, arrived: now, service, engine: None, began: None, told: 0 };
        self.requests.push(request);
        self.waiting[arrival.tenant] += 1;
        self.waiting_at[service] += 1;
        let number = self.requests.len() - 1;
        let decisions = self.ask(now, |dispatcher, view| dispatcher.arrived(view, number));
        self.carry_out(decisions);
    }

    fn reach(&mut self, now: Timestamp, number: RequestNumber, engine: usize) {
        self.requests[number].engine = Some(engine);
        if self.engines.submit(now, engine, number) {
            self.begin(now, number);
        } else {
            self.measured.queued_at_engine += 1;
        }
    }

    fn begin(&mut self, now: Timestamp, number: RequestNumber) {
        let request = &mut self.requests[number];
        request.began = Some(now);
        let (tenant, service, cost) =
            (request.arrival.tenant, request.service, request.arrival.cost);
        let wait = now.since(request.arrived).as_micros() as u64;
        self.waiting[tenant] -= 1;
        self.waiting_at[service] -= 1;
        self.emptied[tenant] |= self.waiting[tenant] == 0;
        if self.measuring(now) {
            self.measured.waits[tenant].record(wait);
            self.measured.all_waits.record(wait);
            let step = self.scenario.services[service].step.as_micros() as u64;
            self.measured.first_units.record(wait + step);
        }
        self.events.push(self.engines.end_of(now, service, cost), Event::End(number));
    }

    fn end(&mut self, now: Timestamp, number: RequestNumber) {
        let request = &self.requests[number];
        let (tenant, cost) = (request.arrival.tenant, request.arrival.cost);
        let Some(engine) = request.engine else { return };
        self.finished[tenant] += cost;
        self.measured.ended += 1;
        if let Some(next) = self.engines.end(now, engine, number) {
            self.begin(now, next);
        }
        let decisions = self.ask(now, |dispatcher, view| dispatcher.ended(view, number));
        self.carry_out(decisions);
        if let Some(arrival) = self.workload.after_end(tenant) {
            self.events.push(now, Event::Arrival(arrival));
        }
    }

    fn progress(&mut self, now: Timestamp) {
        let mut received = Vec::new();
        for engine in 0..self.engines.of_service(self.scenario.services.len() - 1).end {
            for (number, since) in self.engines.running(engine) {
                let request = &self.requests[number];
                let cost = request.arrival.cost;
                let delivered = self.engines.delivered(now, request.service, since, cost);
                if delivered > request.told {
                    received.push((number, delivered));
                }
            }
        }
        for (number, delivered) in received {
            let more = delivered - self.requests[number].told;
            self.requests[number].told = delivered;
            self.ask(now, |dispatcher, view| dispatcher.progressed(view, number, more));
        }
        let decisions = self.ask(now, |dispatcher, view| dispatcher.after_progress(view));
        self.carry_out(decisions);
        self.events.push(now + PROGRESS, Event::Progress);
    }

    /// Service delivered to each tenant until now.
    fn service(&self, now: Timestamp) -> Vec<u64> {
        let mut service = self.finished.clone();
        for engine in 0..self.engines.of_service(self.scenario.services.len() - 1).end {
            for (number, since) in self.engines.running(engine) {
                let request = &self.requests[number];
                let cost = request.arrival.cost;
                service[request.arrival.tenant] +=
                    self.engines.delivered(now, request.service, since, cost);
            }
        }
        service
    }

    fn sample(&mut self, now: Timestamp) {
        let service: Vec<f64> = self
            .service(now)
            .iter()
            .zip(&self.scenario.tenants)
            .map(|(service, tenant)| *service as f64 / f64::from(tenant.weight))
            .collect();
        let backlogged: Vec<bool> = self
            .waiting
            .iter()
            .zip(&self.emptied)
            .map(|(waiting, emptied)| *waiting > 0 && !emptied)
            .collect();
        for gap in &mut self.measured.gaps {
            gap.sample(&service, &backlogged);
        }
        for (tenant, emptied) in self.emptied.iter_mut().enumerate() {
            *emptied = self.waiting[tenant] == 0;
        }
        self.events.push(now + SAMPLE, Event::Sample);
    }
}
