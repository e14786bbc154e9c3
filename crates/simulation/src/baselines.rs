//! Baseline dispatchers that the fleet is compared with.

use crate::engines::RequestNumber;
use crate::scenario::Scenario;
use crate::world::{Decision, Dispatcher, View};
use mastbay_fairness::FairOrder;
use mastbay_types::{Cost, TenantName, Weight};
use std::collections::VecDeque;

/// Estimated cost of a tenant's requests before any has ended.
const INITIAL_COST_ESTIMATE: f64 = 100.0;
/// Weight of a new observation in the moving average of a tenant's cost.
const COST_SMOOTHING: f64 = 0.1;

/// Queues of all tenants at one dispatcher, served in fair order or in order of arrival.
#[derive(Debug)]
struct Queues {
    fair: bool,
    names: Vec<TenantName>,
    order: FairOrder,
    queues: Vec<VecDeque<RequestNumber>>,
    arrivals: VecDeque<RequestNumber>,
    estimates: Vec<f64>,
    charged: Vec<i64>,
}

impl Queues {
    fn new(scenario: &Scenario, fair: bool) -> Self {
        let names: Vec<TenantName> =
            scenario.tenants.iter().map(|tenant| TenantName::from(&*tenant.name)).collect();
        let mut order = FairOrder::default();
        for (name, tenant) in names.iter().zip(&scenario.tenants) {
            order.set_weight(name, Weight::new(tenant.weight).unwrap_or(Weight::ONE));
        }
        Self {
            fair,
            order,
            queues: vec![VecDeque::new(); names.len()],
            arrivals: VecDeque::new(),
            estimates: vec![INITIAL_COST_ESTIMATE; names.len()],
            charged: Vec::new(),
            names,
        }
    }

    fn push(&mut self, tenant: usize, request: RequestNumber) {
        if !self.fair {
            self.arrivals.push_back(request);
            return;
        }
        self.queues[tenant].push_back(request);
        self.order.set_backlogged(&self.names[tenant], true);
    }

    fn pop(&mut self) -> Option<RequestNumber> {
        if !self.fair {
            return self.arrivals.pop_front();
        }
        let name = self.order.next()?.clone();
        let tenant = self.names.iter().position(|known| *known == name)?;
        let request = self.queues[tenant].pop_front()?;
        self.order.note_served(&name);
        self.charge(tenant, request, self.estimates[tenant].round() as i64);
        if self.queues[tenant].is_empty() {
            self.order.set_backlogged(&name, false);
        }
        Some(request)
    }

    fn charge(&mut self, tenant: usize, request: RequestNumber, to: i64) {
        if self.charged.len() <= request {
            self.charged.resize(request + 1, 0);
        }
        self.order.charge(&self.names[tenant], Cost(to - self.charged[request]));
        self.charged[request] = to;
    }

    fn progressed(&mut self, tenant: usize, request: RequestNumber, delivered: u64) {
        let delivered = delivered as i64;
        if self.charged.get(request).is_some_and(|charged| delivered > *charged) {
            self.charge(tenant, request, delivered);
        }
    }

    fn ended(&mut self, tenant: usize, request: RequestNumber, cost: u64) {
        self.charge(tenant, request, cost as i64);
        self.estimates[tenant] += COST_SMOOTHING * (cost as f64 - self.estimates[tenant]);
    }
}

/// One queue for the whole fleet without delay. In fair order it is the ideal; in order of arrival
/// it is first come, first served.
#[derive(Debug)]
pub struct SingleQueue {
    queues: Vec<Queues>,
    /// Unfinished requests sent to each engine.
    busy: Vec<usize>,
}

impl SingleQueue {
    /// Creates the ideal fair queue.
    pub fn fair(scenario: &Scenario) -> Self {
        Self::new(scenario, true)
    }

    /// Creates a first-come, first-served queue.
    pub fn first_come_first_served(scenario: &Scenario) -> Self {
        Self::new(scenario, false)
    }

    fn new(scenario: &Scenario, fair: bool) -> Self {
        let queues = scenario.services.iter().map(|_| Queues::new(scenario, fair)).collect();
        let engines = scenario.services.iter().map(|service| service.engines).sum();
        Self { queues, busy: vec![0; engines] }
    }

    fn fill(&mut self, view: &View<'_>, service: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        loop {
            let engines = view.engines.of_service(service);
            let Some(engine) = engines.min_by_key(|engine| self.busy[*engine]) else {
                break;
            };
            if self.busy[engine] >= view.engines.slots(engine) {
                break;
            }
            let Some(request) = self.queues[service].pop() else {
                break;
            };
            self.busy[engine] += 1;
            decisions.push(Decision::Send { request, engine, at: view.now });
        }
        decisions
    }
}

impl Dispatcher for SingleQueue {
    fn arrived(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision> {
        let arrived = &view.requests[request];
        self.queues[arrived.service].push(arrived.arrival.tenant, request);
        self.fill(view, arrived.service)
    }

    fn ended(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision> {
        let ended = &view.requests[request];
        self.queues[ended.service].ended(ended.arrival.tenant, request, ended.arrival.cost);
        if let Some(engine) = ended.engine {
            self.busy[engine] -= 1;
        }
        self.fill(view, ended.service)
    }

    fn progressed(&mut self, view: &View<'_>, request: RequestNumber, _more: u64) {
        let running = &view.requests[request];
        self.queues[running.service].progressed(
            running.arrival.tenant,
            request,
            running.reported_service,
        );
    }

    fn wake(&mut self, _view: &View<'_>) -> Vec<Decision> {
        Vec::new()
    }

    fn after_progress(&mut self, _view: &View<'_>) -> Vec<Decision> {
        Vec::new()
    }
}

/// Gateways that schedule independently: fair among the tenants of their own requests, each with a
/// fixed share of the slots.
#[derive(Debug)]
pub struct IndependentGateways {
    /// Indexed by gateway, then by service.
    queues: Vec<Vec<Queues>>,
    in_flight: Vec<Vec<usize>>,
    share: Vec<usize>,
    delay: std::time::Duration,
    next_engine: usize,
}

impl IndependentGateways {
    /// Creates gateways that split each service's slots evenly.
    pub fn new(scenario: &Scenario) -> Self {
        let services = scenario.services.len();
        let queues = (0..scenario.machines)
            .map(|_| (0..services).map(|_| Queues::new(scenario, true)).collect())
            .collect();
        let share = (0..services)
            .map(|service| (scenario.slots(service) as usize).div_ceil(scenario.machines))
            .collect();
        Self {
            queues,
            in_flight: vec![vec![0; services]; scenario.machines],
            share,
            delay: scenario.delay,
            next_engine: 0,
        }
    }

    fn fill(&mut self, view: &View<'_>, gateway: usize, service: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while self.in_flight[gateway][service] < self.share[service] {
            let Some(request) = self.queues[gateway][service].pop() else {
                break;
            };
            self.in_flight[gateway][service] += 1;
            // Without knowledge of the engines' load, the engines are used in rotation.
            let engines = view.engines.of_service(service);
            let engine = engines.start + self.next_engine % engines.len();
            self.next_engine += 1;
            decisions.push(Decision::Send { request, engine, at: view.now + self.delay });
        }
        decisions
    }
}

impl Dispatcher for IndependentGateways {
    fn arrived(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision> {
        let arrived = &view.requests[request];
        let (gateway, service) = (arrived.arrival.gateway, arrived.service);
        self.queues[gateway][service].push(arrived.arrival.tenant, request);
        self.fill(view, gateway, service)
    }

    fn ended(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision> {
        let ended = &view.requests[request];
        let (gateway, service) = (ended.arrival.gateway, ended.service);
        self.in_flight[gateway][service] -= 1;
        self.queues[gateway][service].ended(ended.arrival.tenant, request, ended.arrival.cost);
        self.fill(view, gateway, service)
    }

    fn progressed(&mut self, view: &View<'_>, request: RequestNumber, _more: u64) {
        let running = &view.requests[request];
        let queues = &mut self.queues[running.arrival.gateway][running.service];
        queues.progressed(running.arrival.tenant, request, running.reported_service);
    }

    fn wake(&mut self, _view: &View<'_>) -> Vec<Decision> {
        Vec::new()
    }

    fn after_progress(&mut self, _view: &View<'_>) -> Vec<Decision> {
        Vec::new()
    }
}

/// Sends each request on arrival to the least loaded engine, where it queues.
#[derive(Debug)]
pub struct EarlyBinding {
    delay: std::time::Duration,
}

impl EarlyBinding {
    /// Creates the dispatcher with the delay of the scenario.
    pub fn new(scenario: &Scenario) -> Self {
        Self { delay: scenario.delay }
    }
}

impl Dispatcher for EarlyBinding {
    fn arrived(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision> {
        let service = view.requests[request].service;
        let engine =
            view.engines.of_service(service).min_by_key(|engine| view.engines.load(*engine));
        let at = view.now + self.delay;
        engine.map(|engine| Decision::Send { request, engine, at }).into_iter().collect()
    }

    fn ended(&mut self, _view: &View<'_>, _request: RequestNumber) -> Vec<Decision> {
        Vec::new()
    }

    fn progressed(&mut self, _view: &View<'_>, _request: RequestNumber, _more: u64) {}

    fn wake(&mut self, _view: &View<'_>) -> Vec<Decision> {
        Vec::new()
    }

    fn after_progress(&mut self, _view: &View<'_>) -> Vec<Decision> {
        Vec::new()
    }
}
