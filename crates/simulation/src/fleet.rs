//! The production dispatcher: the state machines of gateways and schedulers, which exchange
//! messages over the simulated network.

use crate::engines::RequestNumber;
use crate::event_queue::EventQueue;
use crate::faults::{Fault, TimedFault};
use crate::network::{Network, ProcessLocation};
use crate::scenario::Scenario;
use crate::world::{Decision, Dispatcher, Traffic, View};
use mastbay_grants::{Cell, CellConfig, Demand, DemandConfig};
use mastbay_membership::{Membership, MembershipConfig, Role, Transmit};
use mastbay_peer::Message;
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, RequestId, ServiceName, TenantName,
    Timestamp, Weight, by_rendezvous,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Options of a fleet in addition to its scenario.
#[derive(Debug, Clone, Default)]
pub struct FleetOptions {
    /// Configuration of the demand at every gateway.
    pub demand: DemandConfig,
    /// Configuration of every cell.
    pub cell: CellConfig,
    /// Whether processes discover each other by membership; otherwise each knows all others from
    /// the start.
    pub membership: bool,
    /// Faults to inject.
    pub faults: Vec<TimedFault>,
}

enum Event {
    Deliver { from: usize, to: usize, message: Message },
    Timer { process: usize },
    EndReceived { request: RequestNumber, cost: u64 },
    Fault(usize),
    Restart { process: usize },
}

enum RoleState {
    Gateway(Vec<Demand>),
    Scheduler(BTreeMap<CellId, Cell>),
}

struct Process {
    role_state: RoleState,
    membership: Membership,
    revision: u64,
    incarnation: Incarnation,
    alive: bool,
    frozen_until: Timestamp,
    next_timer: Timestamp,
}

/// A simulated fleet of gateways and schedulers.
pub struct Fleet {
    machines: usize,
    tenants: Vec<(TenantName, Weight)>,
    services: Vec<ServiceCell>,
    options: FleetOptions,
    names: Vec<ProcessId>,
    numbers: BTreeMap<ProcessId, usize>,
    processes: Vec<Process>,
    events: EventQueue<Event>,
    network: Network,
    random: ChaCha8Rng,
    next_wake: Timestamp,
    decisions: Vec<Decision>,
    /// Gateway and service of each request.
    origin: Vec<(usize, usize)>,
}

struct ServiceCell {
    cell: CellId,
    backends: Vec<(BackendName, u32)>,
    numbers: BTreeMap<BackendName, usize>,
    ahead: Option<u32>,
}

impl Fleet {
    /// Creates a fleet with empty state.
    pub fn new(scenario: &Scenario, options: FleetOptions, seed: u64) -> Self {
        let machines = scenario.machines;
        let names: Vec<ProcessId> = (0..2 * machines).map(process_name).collect();
        let network = Network::new(
            names.len(),
            scenario.zones,
            scenario.delay,
            scenario.near_delay,
            seed ^ 0x6e65_7477,
        );
        let mut fleet = Self {
            machines,
            tenants: scenario
                .tenants
                .iter()
                .map(|tenant| {
                    let weight = Weight::new(tenant.weight).unwrap_or(Weight::ONE);
                    (TenantName::from(&*tenant.name), weight)
                })
                .collect(),
            services: service_cells(scenario),
            numbers: names.iter().cloned().zip(0..).collect(),
            names,
            processes: Vec::new(),
            events: EventQueue::default(),
            network,
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x666c_6565),
            next_wake: Timestamp::NEVER,
            decisions: Vec::new(),
            origin: Vec::new(),
            options,
        };
        for process in 0..2 * machines {
            let new_process = fleet.new_process(process, Incarnation(1));
            fleet.processes.push(new_process);
            fleet.events.push(Timestamp::ZERO, Event::Timer { process });
        }
        for (number, fault) in fleet.options.faults.iter().enumerate() {
            fleet.events.push(fault.at, Event::Fault(number));
        }
        fleet
    }

    fn new_process(&self, process: usize, incarnation: Incarnation) -> Process {
        let is_gateway = process < self.machines;
        let role = if is_gateway { Role::Gateway } else { Role::Scheduler };
        let role_state = if is_gateway {
            let demand = |service: &ServiceCell| {
                Demand::new(service.cell.clone(), self.options.demand.clone(), incarnation)
            };
            RoleState::Gateway(self.services.iter().map(demand).collect())
        } else {
            RoleState::Scheduler(BTreeMap::new())
        };
        let mut membership = Membership::new(
            self.names[process].clone(),
            role,
            Arc::from("zone"),
            incarnation,
            MembershipConfig::default(),
        );
        membership.set_seeds(self.names.clone());
        Process {
            role_state,
            membership,
            revision: u64::MAX,
            incarnation,
            alive: true,
            frozen_until: Timestamp::ZERO,
            next_timer: Timestamp::NEVER,
        }
    }

    fn place(&self, process: usize) -> ProcessLocation {
        ProcessLocation { process, machine: process % self.machines }
    }

    /// Handles all events up to and including `now`.
    fn run_until(&mut self, now: Timestamp) {
        while self.events.next_at().is_some_and(|at| at <= now) {
            let Some((at, event)) = self.events.pop() else {
                break;
            };
            self.handle(at, event);
        }
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Deliver { from, to, message } => self.deliver(now, from, to, message),
            Event::Timer { process } => self.on_timer(now, process),
            Event::EndReceived { request, cost } => self.on_end_received(now, request, cost),
            Event::Fault(number) => self.inject_fault(now, number),
            Event::Restart { process } => self.restart(now, process),
        }
    }

    fn deliver(&mut self, now: Timestamp, from: usize, to: usize, message: Message) {
        let receiver = &mut self.processes[to];
        if !receiver.alive {
            return;
        }
        if now < receiver.frozen_until {
            // Messages to a frozen process wait in its socket buffers.
            let at = receiver.frozen_until;
            self.events.push(at, Event::Deliver { from, to, message });
            return;
        }
        let from_name = self.names[from].clone();
        match message {
            Message::Membership(packet) => {
                let transmits = receiver.membership.handle(now, &from_name, packet);
                self.transmit(now, to, transmits);
            }
            Message::Report(report) => self.on_report(now, to, &from_name, report),
            Message::Grants(grants) => self.on_grants(now, to, &from_name, grants),
            // These messages are not part of the simulation.
            Message::Spread(_) | Message::Machines(_) | Message::Claim(_) => {}
        }
        self.after_event(now, to);
    }

    fn on_report(
        &mut self,
        now: Timestamp,
        to: usize,
        from: &ProcessId,
        report: mastbay_grants::Report,
    ) {
        let (me, incarnation) = (self.names[to].clone(), self.processes[to].incarnation);
        let RoleState::Scheduler(cells) = &mut self.processes[to].role_state else {
            return;
        };
        let id = report.cell.clone();
        let Some(service) = self.services.iter().find(|service| service.cell == id) else {
            return;
        };
        let cell = cells.entry(id.clone()).or_insert_with(|| {
            let mut cell = Cell::new(id, self.options.cell.clone(), me, incarnation);
            cell.set_backends(&service.backends);
            cell.set_ahead(service.ahead);
            for (tenant, weight) in &self.tenants {
                cell.set_weight(tenant, *weight);
            }
            cell
        });
        cell.handle_report(now, from, report);
        let solicitation = cell.take_solicitation();
        let mut outgoing = cell.poll_grants(now);
        if let Some(message) = solicitation {
            let gateways = self.names[..self.machines].iter();
            outgoing.extend(gateways.map(|gateway| (gateway.clone(), message.clone())));
        }
        self.send_grants(now, to, outgoing);
    }

    fn on_grants(
        &mut self,
        now: Timestamp,
        to: usize,
        from: &ProcessId,
        grants: mastbay_grants::Grants,
    ) {
        let Some(index) = self.services.iter().position(|service| service.cell == grants.cell)
        else {
            return;
        };
        let RoleState::Gateway(demands) = &mut self.processes[to].role_state else {
            return;
        };
        for assignment in demands[index].handle_grants(now, from, grants) {
            let Some(engine) = self.services[index].numbers.get(&assignment.backend) else {
                continue;
            };
            let request = assignment.request.as_number() as usize;
            let at = now + self.network.delay_between(to, *engine);
            self.decisions.push(Decision::Send { request, engine: *engine, at });
        }
    }

    fn send_grants(
        &mut self,
        now: Timestamp,
        from: usize,
        outgoing: Vec<(ProcessId, mastbay_grants::Grants)>,
    ) {
        for (to, grants) in outgoing {
            let to = self.numbers[&to];
            self.send(now, from, to, Message::Grants(grants));
        }
    }

    fn transmit(&mut self, now: Timestamp, from: usize, transmits: Vec<Transmit>) {
        for transmit in transmits {
            if let Some(to) = self.numbers.get(&transmit.to).copied() {
                self.send(now, from, to, Message::Membership(transmit.packet));
            }
        }
    }

    fn send(&mut self, now: Timestamp, from: usize, to: usize, message: Message) {
        let bytes = rmp_serde::to_vec(&message).map_or(0, |encoded| encoded.len() as u64);
        let (from_place, to_place) = (self.place(from), self.place(to));
        if let Some(at) = self.network.send(now, from_place, to_place, bytes) {
            self.events.push(at, Event::Deliver { from, to, message });
        }
    }

    fn on_timer(&mut self, now: Timestamp, process: usize) {
        let state = &mut self.processes[process];
        if !state.alive || now < state.next_timer && state.next_timer != Timestamp::NEVER {
            return;
        }
        if now < state.frozen_until {
            let at = state.frozen_until;
            state.next_timer = at;
            self.events.push(at, Event::Timer { process });
            return;
        }
        state.next_timer = Timestamp::NEVER;
        if self.options.membership && now >= state.membership.next_timeout() {
            let transmits = state.membership.handle_timeout(now, &mut self.random);
            self.transmit(now, process, transmits);
        }
        let mut outgoing = Vec::new();
        if let RoleState::Scheduler(cells) = &mut self.processes[process].role_state {
            for cell in cells.values_mut() {
                cell.handle_timeout(now);
                outgoing.extend(cell.poll_grants(now));
            }
        }
        self.send_grants(now, process, outgoing);
        self.after_event(now, process);
    }

    /// Completes the handling of any event by a process: applies membership changes, sends reports
    /// and sets the timer.
    fn after_event(&mut self, now: Timestamp, process: usize) {
        self.update_members(process);
        let mut reports = Vec::new();
        if let RoleState::Gateway(demands) = &mut self.processes[process].role_state {
            for demand in demands {
                while let Some((to, report)) = demand.poll_report(now) {
                    reports.push((to, report));
                }
            }
        }
        for (to, report) in reports {
            let to = self.numbers[&to];
            self.send(now, process, to, Message::Report(report));
        }
        self.set_timer(now, process);
    }

    fn update_members(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if state.revision == state.membership.revision() {
            return;
        }
        state.revision = state.membership.revision();
        let RoleState::Gateway(demands) = &mut state.role_state else {
            return;
        };
        let live = if self.options.membership {
            state.membership.live(Role::Scheduler)
        } else {
            self.names[self.machines..].to_vec()
        };
        for (demand, service) in demands.iter_mut().zip(&self.services) {
            let order = by_rendezvous(&service.cell.rendezvous_key(), &live);
            demand.set_schedulers(order.into_iter().cloned().collect());
        }
    }

    fn set_timer(&mut self, now: Timestamp, process: usize) {
        let state = &mut self.processes[process];
        let role_state = match &state.role_state {
            RoleState::Gateway(demands) => demands.iter().map(Demand::next_timeout).min(),
            RoleState::Scheduler(cells) => cells.values().map(|cell| cell.next_timeout(now)).min(),
        };
        let membership = match self.options.membership {
            true => state.membership.next_timeout(),
            false => Timestamp::NEVER,
        };
        let next = role_state.unwrap_or(Timestamp::NEVER).min(membership).max(now);
        // A timer that is already due must be later than `now`, or virtual time would not advance.
        let next = if next == now { now + Duration::from_micros(100) } else { next };
        if next < state.next_timer {
            state.next_timer = next;
            self.events.push(next, Event::Timer { process });
        }
    }

    fn on_end_received(&mut self, now: Timestamp, request: RequestNumber, cost: u64) {
        let (gateway, service) = self.origin[request];
        let id = RequestId::from_number(request as u128);
        if let RoleState::Gateway(demands) = &mut self.processes[gateway].role_state {
            demands[service].finish(id, Cost(cost as i64), true);
        }
        if now >= self.processes[gateway].frozen_until {
            self.after_event(now, gateway);
        }
    }

    fn inject_fault(&mut self, now: Timestamp, number: usize) {
        match self.options.faults[number].fault.clone() {
            Fault::KillScheduler { machine, down } => {
                let process = self.machines + machine;
                self.processes[process].alive = false;
                self.events.push(now + down, Event::Restart { process });
            }
            Fault::FreezeScheduler { machine, span } => {
                self.processes[self.machines + machine].frozen_until = now + span;
            }
            Fault::FreezeGateway { machine, span } => {
                self.processes[machine].frozen_until = now + span;
                self.events.push(now + span, Event::Timer { process: machine });
            }
            Fault::Cut { machines, both_ways, span } => {
                self.network.cut(machines, both_ways, now + span);
            }
            Fault::Loss { share, span } => self.network.lose(share, now + span),
        }
    }

    fn restart(&mut self, now: Timestamp, process: usize) {
        let incarnation = Incarnation(self.processes[process].incarnation.0 + 1);
        self.processes[process] = self.new_process(process, incarnation);
        self.events.push(now, Event::Timer { process });
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.decisions);
        if let Some(next) = self.events.next_at()
            && next < self.next_wake
        {
            self.next_wake = next;
            decisions.push(Decision::Wake(next));
        }
        decisions
    }
}

fn process_name(number: usize) -> ProcessId {
    // Names have the length of an address to keep message sizes realistic.
    ProcessId::from(&*format!("10.0.{}.{}:7400", number / 250, number % 250))
}

fn service_cells(scenario: &Scenario) -> Vec<ServiceCell> {
    let mut first = 0;
    let mut cells = Vec::new();
    for service in &scenario.services {
        let names: Vec<BackendName> = (0..service.engines)
            .map(|engine| BackendName::from(&*format!("{}-{engine}", service.name)))
            .collect();
        cells.push(ServiceCell {
            cell: CellId { service: ServiceName::from(&*service.name), index: 0 },
            backends: names.iter().map(|name| (name.clone(), service.slots)).collect(),
            numbers: names.into_iter().zip(first..).collect(),
            ahead: service.ahead,
        });
        first += service.engines;
    }
    cells
}

impl Dispatcher for Fleet {
    fn arrived(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision> {
        self.run_until(view.now);
        let arrived = &view.requests[request];
        let (gateway, service) = (arrived.arrival.gateway, arrived.service);
        self.origin.push((gateway, service));
        let tenant = self.tenants[arrived.arrival.tenant].0.clone();
        if let RoleState::Gateway(demands) = &mut self.processes[gateway].role_state {
            demands[service].enqueue(&tenant, RequestId::from_number(request as u128));
        }
        if view.now >= self.processes[gateway].frozen_until {
            self.after_event(view.now, gateway);
        }
        self.take_decisions()
    }

    fn ended(&mut self, view: &View<'_>, request: RequestNumber) -> Vec<Decision> {
        self.run_until(view.now);
        let ended = &view.requests[request];
        let engine = ended.engine.unwrap_or(0);
        let at = view.now + self.network.delay_between(ended.arrival.gateway, engine);
        self.events.push(at, Event::EndReceived { request, cost: ended.arrival.cost });
        self.take_decisions()
    }

    fn progressed(&mut self, view: &View<'_>, request: RequestNumber, more: u64) {
        let running = &view.requests[request];
        if let RoleState::Gateway(demands) = &mut self.processes[running.arrival.gateway].role_state
        {
            let id = RequestId::from_number(request as u128);
            demands[running.service].progress(id, Cost(more as i64));
        }
    }

    fn wake(&mut self, view: &View<'_>) -> Vec<Decision> {
        if view.now >= self.next_wake {
            self.next_wake = Timestamp::NEVER;
        }
        self.run_until(view.now);
        self.take_decisions()
    }

    fn after_progress(&mut self, view: &View<'_>) -> Vec<Decision> {
        self.run_until(view.now);
        self.take_decisions()
    }

    fn traffic(&self) -> Traffic {
        self.network.traffic()
    }
}
