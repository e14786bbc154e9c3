//! Runs a dispatcher against back ends and a workload, and collects metrics.

use crate::engines::{Engines, RequestNumber};
use crate::event_queue::EventQueue;
use crate::measure::{GapMeter, SlotMeter, WaitMeter};
use crate::scenario::Scenario;
use crate::workload::{Arrival, Workload};
use mastbay_types::Timestamp;
use std::time::Duration;

/// Interval between samples of the service gap.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reports of the service that running requests have received.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// A request and its progress.
#[derive(Debug, Clone)]
pub struct Request {
    /// Tenant, gateway and cost.
    pub arrival: Arrival,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Index of its service.
    pub service: usize,
    /// Index of the engine; `None` until the request reaches one.
    pub engine: Option<usize>,
    /// Time at which it began to run; `None` until then.
    pub began: Option<Timestamp>,
    /// Service last reported to the dispatcher, in cost units.
    pub reported_service: u64,
}

/// A decision of a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Sends a request from its gateway to an engine.
    Send {
        /// Index of the request.
        request: RequestNumber,
        /// Index of the engine.
        engine: usize,
        /// Time at which the request reaches the engine.
        at: Timestamp,
    },
    /// Requests a call of [`Dispatcher::wake`] at this time.
    Wake(Timestamp),
}

/// Assigns requests to engines.
pub trait Dispatcher {
    /// Handles the arrival of a request at its gateway.
    fn arrived(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision>;
    /// Handles the end of a request at its engine.
    fn ended(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision>;
    /// Records that a running request has received `more` cost units of service.
    fn progressed(&mut self, view: &View<'_>, request: RequestNumber, more: u64);
    /// Handles a wake-up requested by [`Decision::Wake`].
    fn wake(&mut self, view: &View<'_>) -> Vec<Decision>;
    /// Returns decisions that follow from the reported progress of all running requests.
    fn after_progress(&mut self, view: &View<'_>) -> Vec<Decision>;
    /// Returns the messages and bytes sent between processes so far.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }
}

/// Counts of messages and bytes between processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages sent.
    pub messages: u64,
    /// Bytes of the messages, including transport overhead.
    pub bytes: u64,
    /// Bytes sent and received by the busiest process.
    pub busiest_bytes: u64,
}

/// State that a dispatcher may read.
pub struct View<'a> {
    /// Current virtual time.
    pub now: Timestamp,
    /// All requests so far.
    pub requests: &'a [Request],
    /// The engines. Only baselines may read their load.
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

/// Metrics of a run.
#[derive(Debug)]
pub struct Measurements {
    /// Service gaps, by service.
    pub gaps: Vec<GapMeter>,
    /// Slot use, by service.
    pub slots: Vec<SlotMeter>,
    /// Time from arrival to start, by tenant.
    pub waits: Vec<WaitMeter>,
    /// Time from arrival to start, over all tenants.
    pub all_waits: WaitMeter,
    /// Time from arrival to the first cost unit, over all tenants.
    pub first_units: WaitMeter,
    /// Service delivered, by tenant.
    pub delivered: Vec<u64>,
    /// Number of requests that ended.
    pub ended: u64,
    /// Number of requests sent to an engine without a free slot.
    pub queued_at_engine: u64,
    /// Counts of messages and bytes between processes.
    pub traffic: Traffic,
    /// Largest cost of any arrived request, by service.
    pub largest_costs: Vec<u64>,
}

struct World<'a, D> {
    scenario: &'a Scenario,
    dispatcher: &'a mut D,
    workload: Workload,
    events: EventQueue<Event>,
    engines: Engines,
    requests: Vec<Request>,
    /// Requests that have not begun to run, by tenant.
    waiting: Vec<u32>,
    /// Requests that have not begun to run, by service.
    waiting_by_service: Vec<u32>,
    /// Whether the tenant's backlog has been empty at any time since the last sample.
    emptied: Vec<bool>,
    finished: Vec<u64>,
    measured: Measurements,
}

/// Runs a scenario with a seed until its end and returns the metrics.
pub fn run<D: Dispatcher>(scenario: &Scenario, seed: u64, dispatcher: &mut D) -> Measurements {
    let tenants = scenario.tenants.len();
    let gap_of = |service: usize| {
        let of_service = |tenant: &usize| scenario.tenants[*tenant].service == service;
        GapMeter::new(&(0..tenants).filter(of_service).collect::<Vec<usize>>())
    };
    let measured = Measurements {
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
        waiting_by_service: vec![0; scenario.services.len()],
        emptied: vec![true; tenants],
        finished: vec![0; tenants],
        measured,
    };
    world.run()
}

impl<D: Dispatcher> World<'_, D> {
    fn run(mut self) -> Measurements {
        for (at, arrival) in self.workload.first() {
            self.events.push(at, Event::Arrival(arrival));
        }
        self.events.push(Timestamp::ZERO, Event::Wake);
        self.events.push(Timestamp::ZERO + PROGRESS_INTERVAL, Event::Progress);
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
            let waiting = self.waiting_by_service[service];
            self.measured.slots[service].advance(now, slots, free, waiting);
        }
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Arrival(arrival) => self.arrive(now, arrival),
            Event::Reach { request, engine } => self.on_reached_engine(now, request, engine),
            Event::End(request) => self.end(now, request),
            Event::Wake => {
                let decisions = self.with_view(now, |dispatcher, view| dispatcher.wake(view));
                self.execute(decisions);
            }
            Event::Progress => self.progress(now),
            Event::Sample => self.sample(now),
        }
    }

    fn with_view<T>(
        &mut self,
        now: Timestamp,
        operation: impl FnOnce(&mut D, &View<'_>) -> T,
    ) -> T {
        let view = View { now, requests: &self.requests, engines: &self.engines };
        operation(self.dispatcher, &view)
    }

    fn execute(&mut self, decisions: Vec<Decision>) {
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
        let request = Request {
            arrival,
            arrived: now,
            service,
            engine: None,
            began: None,
            reported_service: 0,
        };
        self.requests.push(request);
        self.waiting[arrival.tenant] += 1;
        self.waiting_by_service[service] += 1;
        let number = self.requests.len() - 1;
        let decisions = self.with_view(now, |dispatcher, view| dispatcher.arrived(view, number));
        self.execute(decisions);
    }

    fn on_reached_engine(&mut self, now: Timestamp, number: RequestNumber, engine: usize) {
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
        self.waiting_by_service[service] -= 1;
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
        let decisions = self.with_view(now, |dispatcher, view| dispatcher.ended(view, number));
        self.execute(decisions);
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
                if delivered > request.reported_service {
                    received.push((number, delivered));
                }
            }
        }
        for (number, delivered) in received {
            let more = delivered - self.requests[number].reported_service;
            self.requests[number].reported_service = delivered;
            self.with_view(now, |dispatcher, view| dispatcher.progressed(view, number, more));
        }
        let decisions = self.with_view(now, |dispatcher, view| dispatcher.after_progress(view));
        self.execute(decisions);
        self.events.push(now + PROGRESS_INTERVAL, Event::Progress);
    }

    /// Returns the service delivered to each tenant until `now`, in cost units.
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
        self.events.push(now + SAMPLE_INTERVAL, Event::Sample);
    }
}
