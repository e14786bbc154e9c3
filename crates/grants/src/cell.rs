//! The scheduler's side: slots, demand and the grants that match them.

use crate::messages::{BackendReport, Grant, Grants, Report, TenantReport};
use mastbay_fairness::FairOrder;
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, TenantName, Timestamp, Weight,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Settings of a [`Cell`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellConfig {
    /// How long a grant may stay unseen by its gateway before its slot is taken back.
    pub grant_timeout: Duration,
    /// Silence after which a gateway's state is dropped.
    pub gateway_timeout: Duration,
    /// Pause after taking over, in which gateways report and nothing is granted.
    pub settle_time: Duration,
    /// How long a back end that a gateway could not reach gets no grant.
    pub unreachable_pause: Duration,
    /// Grants beyond the slots of a back end, which hide the round trip between two requests.
    pub ahead: u32,
    /// What is charged for a tenant whose requests never ended yet.
    pub first_estimate: Cost,
}

impl Default for CellConfig {
    fn default() -> Self {
        Self {
            grant_timeout: Duration::from_millis(500),
            gateway_timeout: Duration::from_secs(3),
            settle_time: Duration::from_millis(60),
            unreachable_pause: Duration::from_secs(1),
            ahead: 0,
            first_estimate: Cost(100),
        }
    }
}

/// Share of a new observation in a tenant's learned cost.
const ESTIMATE_GAIN: f64 = 0.1;

#[derive(Debug)]
struct Backend {
    slots: u32,
    /// Requests that gateways report as running.
    running: u32,
    /// Grants that their gateway can't have seen yet.
    unseen: u32,
    leaving: bool,
    paused_until: Timestamp,
}

impl Backend {
    fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            unseen: 0,
            leaving: false,
            paused_until: Timestamp::ZERO,
        }
    }

    fn free(&self, ahead: u32, now: Timestamp) -> u32 {
        if self.leaving || now < self.paused_until {
            return 0;
        }
        (self.slots + ahead).saturating_sub(self.running + self.unseen)
    }
}

#[derive(Debug)]
struct UnseenGrant {
    sequence: u64,
    tenant: TenantName,
    backend: BackendName,
    estimate: Cost,
    sent: Timestamp,
}

/// What one gateway reported, and what was granted to it since.
#[derive(Debug)]
struct GatewayView {
    incarnation: Incarnation,
    last_heard: Timestamp,
    next_sequence: u64,
    unseen: VecDeque<UnseenGrant>,
    /// Whether a grant timed out since the gateway was last heard: it gets none till it speaks.
    silent: bool,
    tenants: BTreeMap<TenantName, TenantReport>,
    running: BTreeMap<BackendName, u32>,
}

impl GatewayView {
    fn new(incarnation: Incarnation, now: Timestamp) -> Self {
        Self {
            incarnation,
            last_heard: now,
            next_sequence: 1,
            unseen: VecDeque::new(),
            silent: false,
            tenants: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }
}

#[derive(Debug, Default)]
struct Tenant {
    /// Gateways at which work of the tenant waits that no grant covers yet, with its amount.
    waiting: BTreeMap<ProcessId, u32>,
    /// The gateway last granted to; the next one in order comes next.
    last_gateway: Option<ProcessId>,
    estimate: Option<f64>,
}

/// One tenant's standing in a cell, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantStatus {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that wait over all gateways.
    pub waiting: u32,
    /// Service over weight, in cost units.
    pub level: f64,
    /// Learned cost of a request.
    pub estimate: Cost,
}

/// A cell's standing, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct CellStatus {
    /// Slots of back ends that take work.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Gateways heard.
    pub gateways: usize,
    /// Tenants with work that waits, the one due next first.
    pub backlogged: Vec<TenantStatus>,
}

/// The scheduler's state of one cell. Soft: rebuilt from gateways' full reports.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    config: CellConfig,
    incarnation: Incarnation,
    opens_at: Timestamp,
    order: FairOrder,
    tenants: BTreeMap<TenantName, Tenant>,
    backends: BTreeMap<BackendName, Backend>,
    gateways: BTreeMap<ProcessId, GatewayView>,
    answers_due: BTreeMap<ProcessId, bool>,
}

impl Cell {
    /// A cell that this process starts to schedule at `now`.
    pub fn new(id: CellId, config: CellConfig, incarnation: Incarnation, now: Timestamp) -> Self {
        let opens_at = now + config.settle_time;
        Self {
            id,
            config,
            incarnation,
            opens_at,
            order: FairOrder::default(),
            tenants: BTreeMap::new(),
            backends: BTreeMap::new(),
            gateways: BTreeMap::new(),
            answers_due: BTreeMap::new(),
        }
    }

    /// The cell's identifier.
    pub fn id(&self) -> &CellId {
        &self.id
    }

    /// Declares the back ends in force and their slots; others are forgotten.
    pub fn set_backends(&mut self, declared: &[(BackendName, u32)]) {
        let names: BTreeSet<&BackendName> = declared.iter().map(|(name, _)| name).collect();
        self.backends.retain(|name, _| names.contains(name));
        for (name, slots) in declared {
            match self.backends.get_mut(name) {
                Some(backend) => backend.slots = *slots,
                None => self.add_backend(name, *slots),
            }
        }
    }

    fn add_backend(&mut self, name: &BackendName, slots: u32) {
        let mut backend = Backend::new(slots);
        for gateway in self.gateways.values() {
            backend.running += gateway.running.get(name).copied().unwrap_or(0);
        }
        self.backends.insert(name.clone(), backend);
    }

    /// Marks a back end as leaving (or no longer so): a leaving one gets no grant.
    pub fn set_leaving(&mut self, name: &BackendName, leaving: bool) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.leaving = leaving;
        }
    }

    /// Changes how many grants beyond its slots a back end gets.
    pub fn set_ahead(&mut self, ahead: u32) {
        self.config.ahead = ahead;
    }

    /// Declares a tenant's weight.
    pub fn set_weight(&mut self, tenant: &TenantName, weight: Weight) {
        self.order.set_weight(tenant, weight);
    }

    /// Takes a gateway's report.
    pub fn handle_report(&mut self, now: Timestamp, from: &ProcessId, report: Report) {
        if !self.accept_gateway(now, from, &report) {
            return;
        }
        self.forget_seen(from, &report);
        if report.full {
            self.clear_missing(from, &report);
        }
        for tenant in report.tenants {
            self.take_tenant(from, tenant);
        }
        for backend in report.backends {
            self.take_backend(now, from, backend);
        }
        self.refresh_waiting(from);
        if report.wants_answer {
            self.answers_due.entry(from.clone()).or_insert(false);
        }
    }

    /// Whether the report may be applied. An unknown gateway must begin with a full report.
    fn accept_gateway(&mut self, now: Timestamp, from: &ProcessId, report: &Report) -> bool {
        let known = self.gateways.get(from).map(|view| view.incarnation);
        if known.is_some_and(|incarnation| incarnation > report.gateway) {
            return false;
        }
        if known != Some(report.gateway) {
            self.drop_gateway(from);
            if !report.full {
                self.answers_due.insert(from.clone(), true);
                return false;
            }
            self.gateways
                .insert(from.clone(), GatewayView::new(report.gateway, now));
        }
        if let Some(view) = self.gateways.get_mut(from) {
            view.last_heard = now;
            view.silent = false;
        }
        true
    }

    /// Grants that the gateway has seen are part of its own counts from here on.
    fn forget_seen(&mut self, from: &ProcessId, report: &Report) {
        if report.scheduler != self.incarnation {
            return;
        }
        let Some(view) = self.gateways.get_mut(from) else {
            return;
        };
        while view
            .unseen
            .front()
            .is_some_and(|grant| grant.sequence <= report.seen)
        {
            let Some(grant) = view.unseen.pop_front() else {
                break;
            };
            if let Some(backend) = self.backends.get_mut(&grant.backend) {
                backend.unseen = backend.unseen.saturating_sub(1);
            }
            let refund = Cost::ZERO.minus(grant.estimate);
            self.order.charge(&grant.tenant, refund);
        }
    }

    /// A full report speaks for what it leaves out: nothing waits and nothing runs there.
    fn clear_missing(&mut self, from: &ProcessId, report: &Report) {
        let Some(view) = self.gateways.get_mut(from) else {
            return;
        };
        for (tenant, known) in &mut view.tenants {
            if !report.tenants.iter().any(|listed| listed.tenant == *tenant) {
                known.waiting = 0;
            }
        }
        let gone: Vec<BackendName> = view
            .running
            .keys()
            .filter(|name| {
                !report
                    .backends
                    .iter()
                    .any(|listed| listed.backend == **name)
            })
            .cloned()
            .collect();
        for name in gone {
            self.set_running(from, &name, 0);
        }
    }

    fn take_tenant(&mut self, from: &ProcessId, report: TenantReport) {
        let Some(view) = self.gateways.get_mut(from) else {
            return;
        };
        let previous = view.tenants.insert(report.tenant.clone(), report.clone());
        match previous {
            Some(previous) => {
                self.order
                    .charge(&report.tenant, report.charged.minus(previous.charged));
                self.learn(&report, &previous);
            }
            // Charges from before this scheduler's time are within the level it is told.
            None => self.order.raise_to(&report.tenant, report.level),
        }
    }

    fn learn(&mut self, report: &TenantReport, previous: &TenantReport) {
        let finished = report.finished.saturating_sub(previous.finished);
        if finished == 0 {
            return;
        }
        let total = report.finished_cost.minus(previous.finished_cost).0 as f64;
        let mean = total / finished as f64;
        let tenant = self.tenants.entry(report.tenant.clone()).or_default();
        let gain = 1.0 - (1.0 - ESTIMATE_GAIN).powf(finished as f64);
        let known = tenant.estimate.unwrap_or(mean);
        tenant.estimate = Some(known + gain * (mean - known));
    }

    fn take_backend(&mut self, now: Timestamp, from: &ProcessId, report: BackendReport) {
        self.set_running(from, &report.backend, report.running);
        if !report.unreachable {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&report.backend) {
            backend.paused_until = now + self.config.unreachable_pause;
        }
    }

    fn set_running(&mut self, from: &ProcessId, name: &BackendName, running: u32) {
        let Some(view) = self.gateways.get_mut(from) else {
            return;
        };
        let previous = match running {
            0 => view.running.remove(name),
            running => view.running.insert(name.clone(), running),
        };
        if let Some(backend) = self.backends.get_mut(name) {
            backend.running = (backend.running + running).saturating_sub(previous.unwrap_or(0));
        }
    }

    /// Recomputes what waits at one gateway and is not covered by a grant under way.
    fn refresh_waiting(&mut self, from: &ProcessId) {
        let Some(view) = self.gateways.get(from) else {
            return;
        };
        let mut uncovered: BTreeMap<TenantName, u32> = view
            .tenants
            .iter()
            .map(|(name, report)| (name.clone(), report.waiting))
            .collect();
        for grant in &view.unseen {
            if let Some(waiting) = uncovered.get_mut(&grant.tenant) {
                *waiting = waiting.saturating_sub(1);
            }
        }
        for (tenant, waiting) in uncovered {
            self.set_waiting(from, &tenant, waiting);
        }
    }

    fn set_waiting(&mut self, gateway: &ProcessId, name: &TenantName, waiting: u32) {
        let tenant = self.tenants.entry(name.clone()).or_default();
        match waiting {
            0 => tenant.waiting.remove(gateway),
            waiting => tenant.waiting.insert(gateway.clone(), waiting),
        };
        let backlogged = !tenant.waiting.is_empty();
        self.order.set_backlogged(name, backlogged);
    }

    fn drop_gateway(&mut self, from: &ProcessId) {
        let Some(view) = self.gateways.get(from) else {
            return;
        };
        let running: Vec<BackendName> = view.running.keys().cloned().collect();
        let tenants: Vec<TenantName> = view.tenants.keys().cloned().collect();
        for name in running {
            self.set_running(from, &name, 0);
        }
        for name in tenants {
            self.set_waiting(from, &name, 0);
        }
        self.expire_unseen(from, Timestamp::NEVER);
        self.gateways.remove(from);
    }

    /// Takes back slots of grants sent before `limit` that the gateway never confirmed.
    /// Returns whether there were any.
    fn expire_unseen(&mut self, from: &ProcessId, limit: Timestamp) -> bool {
        let Some(view) = self.gateways.get_mut(from) else {
            return false;
        };
        let mut expired = false;
        while view.unseen.front().is_some_and(|grant| grant.sent < limit) {
            let Some(grant) = view.unseen.pop_front() else {
                break;
            };
            if let Some(backend) = self.backends.get_mut(&grant.backend) {
                backend.unseen = backend.unseen.saturating_sub(1);
            }
            self.order
                .charge(&grant.tenant, Cost::ZERO.minus(grant.estimate));
            expired = true;
        }
        expired
    }

    /// Lets time pass: unconfirmed grants and silent gateways lapse.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        let names: Vec<ProcessId> = self.gateways.keys().cloned().collect();
        for name in names {
            self.lapse(now, &name);
        }
    }

    fn lapse(&mut self, now: Timestamp, name: &ProcessId) {
        let Some(view) = self.gateways.get(name) else {
            return;
        };
        if now.since(view.last_heard) >= self.config.gateway_timeout {
            self.drop_gateway(name);
            return;
        }
        let micros = now
            .as_micros()
            .saturating_sub(self.config.grant_timeout.as_micros() as u64);
        if self.expire_unseen(name, Timestamp::from_micros(micros)) {
            self.silence(name);
        }
    }

    fn silence(&mut self, name: &ProcessId) {
        let Some(view) = self.gateways.get_mut(name) else {
            return;
        };
        view.silent = true;
        let tenants: Vec<TenantName> = view.tenants.keys().cloned().collect();
        for tenant in tenants {
            self.set_waiting(name, &tenant, 0);
        }
    }

    /// When [`Cell::handle_timeout`] and [`Cell::poll_grants`] should be called next, at the
    /// latest.
    pub fn next_timeout(&self, now: Timestamp) -> Timestamp {
        if now < self.opens_at {
            return self.opens_at;
        }
        now + self.config.grant_timeout
    }

    /// Hands out free slots and returns the messages to send.
    pub fn poll_grants(&mut self, now: Timestamp) -> Vec<(ProcessId, Grants)> {
        let mut outgoing: BTreeMap<ProcessId, Grants> = BTreeMap::new();
        for (gateway, needs_full) in std::mem::take(&mut self.answers_due) {
            outgoing.insert(gateway, self.message(needs_full));
        }
        if now >= self.opens_at {
            while let Some((gateway, grant)) = self.grant_one(now) {
                let message = self.message(false);
                outgoing
                    .entry(gateway)
                    .or_insert(message)
                    .grants
                    .push(grant);
            }
        }
        outgoing.into_iter().collect()
    }

    fn message(&self, needs_full: bool) -> Grants {
        Grants {
            cell: self.id.clone(),
            scheduler: self.incarnation,
            needs_full,
            grants: Vec::new(),
        }
    }

    fn grant_one(&mut self, now: Timestamp) -> Option<(ProcessId, Grant)> {
        let tenant = self.order.next()?.clone();
        let backend = self.freest_backend(now)?;
        let gateway = self.next_gateway(&tenant)?;
        let estimate = self.estimate(&tenant);
        self.order.note_served(&tenant);
        self.order.charge(&tenant, estimate);
        let level = self.order.level(&tenant);
        let view = self.gateways.get_mut(&gateway)?;
        let sequence = view.next_sequence;
        view.next_sequence += 1;
        view.unseen.push_back(UnseenGrant {
            sequence,
            tenant: tenant.clone(),
            backend: backend.clone(),
            estimate,
            sent: now,
        });
        if let Some(state) = self.backends.get_mut(&backend) {
            state.unseen += 1;
        }
        self.cover_one(&gateway, &tenant);
        Some((
            gateway,
            Grant {
                sequence,
                tenant,
                backend,
                estimate,
                level,
            },
        ))
    }

    fn cover_one(&mut self, gateway: &ProcessId, name: &TenantName) {
        let Some(tenant) = self.tenants.get_mut(name) else {
            return;
        };
        tenant.last_gateway = Some(gateway.clone());
        let waiting = tenant.waiting.get(gateway).copied().unwrap_or(0);
        self.set_waiting(gateway, name, waiting.saturating_sub(1));
    }

    /// The back end with the largest free share of its slots.
    fn freest_backend(&self, now: Timestamp) -> Option<BackendName> {
        let ahead = self.config.ahead;
        self.backends
            .iter()
            .map(|(name, backend)| (backend.free(ahead, now), name))
            .filter(|(free, _)| *free > 0)
            .max_by(|(left, left_name), (right, right_name)| {
                left.cmp(right).then_with(|| right_name.cmp(left_name))
            })
            .map(|(_, name)| name.clone())
    }

    /// The gateway after the one last granted to, among those where the tenant's work waits.
    fn next_gateway(&self, name: &TenantName) -> Option<ProcessId> {
        let tenant = self.tenants.get(name)?;
        let after = tenant.last_gateway.as_ref().and_then(|last| {
            use std::ops::Bound::{Excluded, Unbounded};
            tenant
                .waiting
                .range::<ProcessId, _>((Excluded(last), Unbounded))
                .next()
        });
        after
            .or_else(|| tenant.waiting.first_key_value())
            .map(|(gateway, _)| gateway.clone())
    }

    fn estimate(&self, name: &TenantName) -> Cost {
        let learned = self.tenants.get(name).and_then(|tenant| tenant.estimate);
        learned.map_or(self.config.first_estimate, |mean| {
            Cost(mean.round().max(1.0) as i64)
        })
    }

    /// The cell's standing, for operators.
    pub fn status(&self) -> CellStatus {
        let serving = || self.backends.values().filter(|backend| !backend.leaving);
        CellStatus {
            slots: serving().map(|backend| backend.slots).sum(),
            in_use: serving()
                .map(|backend| backend.running + backend.unseen)
                .sum(),
            gateways: self.gateways.len(),
            backlogged: self
                .order
                .backlogged()
                .map(|name| self.tenant_status(name))
                .collect(),
        }
    }

    fn tenant_status(&self, name: &TenantName) -> TenantStatus {
        let waiting = self
            .tenants
            .get(name)
            .map_or(0, |tenant| tenant.waiting.values().sum());
        TenantStatus {
            tenant: name.clone(),
            waiting,
            level: self.order.level(name).0 as f64 / 1_000.0,
            estimate: self.estimate(name),
        }
    }
}
