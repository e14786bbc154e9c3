//! The gateway's side: requests that wait, requests that run, and the reports about them.

use crate::contact::{Contact, ContactConfig, SchedulerChoice};
use crate::ledger::Ledger;
use crate::messages::{BackendReport, Grants, Report, TenantReport};
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, RequestId, TenantName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Settings of a [`Demand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandConfig {
    /// Least time between two reports about requests that came, started or ended while others wait:
    /// whatever waits gains little from haste, and a report for many costs little more than for one.
    pub report_spacing: Duration,
    /// Least time between two reports when a request comes and none waits before it.
    pub eager_spacing: Duration,
    /// Time between reports about cost alone, and between heartbeats while anything is at stake.
    pub progress_interval: Duration,
    /// Time between heartbeats while nothing waits or runs.
    pub idle_interval: Duration,
    /// Time between full reports, which repair what lost messages left.
    pub full_interval: Duration,
    /// Which scheduler is reported to.
    pub contact: ContactConfig,
}

impl Default for DemandConfig {
    fn default() -> Self {
        Self {
            report_spacing: Duration::from_millis(5),
            eager_spacing: Duration::from_micros(500),
            progress_interval: Duration::from_millis(100),
            idle_interval: Duration::from_millis(1_000),
            full_interval: Duration::from_secs(5),
            contact: ContactConfig::default(),
        }
    }
}

/// A request bound to a back end by a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub tenant: TenantName,
    /// Where it goes.
    pub backend: BackendName,
}

#[derive(Debug)]
struct Running {
    tenant: TenantName,
    backend: BackendName,
    charged: Cost,
    delivered: Cost,
}

/// How soon a report is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// With the next account of costs.
    Calm,
    /// After `report_spacing`.
    Soon,
    /// After `eager_spacing`.
    Now,
}

/// One gateway's demand for one cell.
#[derive(Debug)]
pub struct Demand {
    cell: CellId,
    config: DemandConfig,
    incarnation: Incarnation,
    choice: SchedulerChoice,
    tenants: BTreeMap<TenantName, Ledger>,
    /// Requests that wait, over all tenants.
    waiting: usize,
    running: BTreeMap<RequestId, Running>,
    running_at: BTreeMap<BackendName, u32>,
    unreachable: BTreeSet<BackendName>,
    /// Changed since the last report.
    changed_tenants: BTreeSet<TenantName>,
    changed_backends: BTreeSet<BackendName>,
    /// Changed since the last full report.
    touched_tenants: BTreeSet<TenantName>,
    urgency: Urgency,
    last_report: Timestamp,
    last_full: Option<Timestamp>,
}

impl Demand {
    /// No demand yet.
    pub fn new(cell: CellId, config: DemandConfig, incarnation: Incarnation) -> Self {
        Self {
            choice: SchedulerChoice::new(config.contact.clone()),
            cell,
            config,
            incarnation,
            tenants: BTreeMap::new(),
            waiting: 0,
            running: BTreeMap::new(),
            running_at: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            changed_tenants: BTreeSet::new(),
            changed_backends: BTreeSet::new(),
            touched_tenants: BTreeSet::new(),
            urgency: Urgency::Calm,
            last_report: Timestamp::ZERO,
            last_full: None,
        }
    }

    /// Live schedulers in this cell's rendezvous order.
    pub fn set_schedulers(&mut self, schedulers: Vec<ProcessId>) {
        self.choice.set_schedulers(schedulers);
    }

    /// The scheduler that reports go to.
    pub fn scheduler(&self) -> Option<&ProcessId> {
        self.choice.contact().map(|contact| &contact.scheduler)
    }

    /// Adds a request to its tenant's queue.
    pub fn enqueue(&mut self, tenant: &TenantName, request: RequestId) {
        let alone = self.waiting == 0;
        self.ledger(tenant).waiting.push_back(request);
        self.waiting += 1;
        self.hurry(if alone { Urgency::Now } else { Urgency::Soon });
    }

    /// Puts a request that was granted, and is to be tried again, back at the head of its queue.
    pub fn requeue(&mut self, request: RequestId) {
        let Some(running) = self.running.get(&request) else { return };
        let tenant = running.tenant.clone();
        self.finish(request, Cost::ZERO, false);
        self.ledger(&tenant).waiting.push_front(request);
        self.waiting += 1;
        self.hurry(Urgency::Now);
    }

    /// Takes a waiting request out. Returns whether it was waiting.
    pub fn cancel(&mut self, tenant: &TenantName, request: RequestId) -> bool {
        let cancelled = self.ledger(tenant).cancel(request);
        if cancelled {
            self.waiting -= 1;
            self.hurry(Urgency::Soon);
        }
        cancelled
    }

    /// Requests of `tenant` that wait here.
    pub fn waiting(&self, tenant: &TenantName) -> usize {
        self.tenants.get(tenant).map_or(0, |ledger| ledger.waiting.len())
    }

    /// All requests that wait here.
    pub fn waiting_in_total(&self) -> usize {
        self.waiting
    }

    /// All requests that run for this gateway.
    pub fn running_in_total(&self) -> usize {
        self.running.len()
    }

    /// Tenants with their numbers of waiting requests, those with none left out.
    pub fn backlog(&self) -> impl Iterator<Item = (&TenantName, usize)> {
        self.tenants
            .iter()
            .map(|(tenant, ledger)| (tenant, ledger.waiting.len()))
            .filter(|(_, waiting)| *waiting > 0)
    }

    /// Takes a scheduler's message and binds waiting requests to the granted back ends. Grants of
    /// a scheduler that is not, or no longer, the one reported to are passed over: what they would
    /// bind waits for the other one.
    pub fn handle_grants(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        message: Grants,
    ) -> Vec<Assignment> {
        if !self.choice.note_message(now, from, &message) {
            return Vec::new();
        }
        if message.needs_full {
            self.last_full = None;
            self.hurry(Urgency::Now);
        }
        let mut assignments = Vec::new();
        for grant in message.grants {
            self.hurry(Urgency::Soon);
            let Some(request) = self.ledger(&grant.tenant).start(&grant) else { continue };
            self.waiting -= 1;
            let running = Running {
                tenant: grant.tenant.clone(),
                backend: grant.backend.clone(),
                charged: grant.estimate,
                delivered: Cost::ZERO,
            };
            self.running.insert(request, running);
            *self.running_at.entry(grant.backend.clone()).or_default() += 1;
            self.changed_backends.insert(grant.backend.clone());
            let (tenant, backend) = (grant.tenant, grant.backend);
            assignments.push(Assignment { request, tenant, backend });
        }
        assignments
    }

    /// Adds service that a running request has just received.
    pub fn progress(&mut self, request: RequestId, more: Cost) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.delivered += more;
        let excess = running.delivered.minus(running.charged);
        if excess <= Cost::ZERO {
            return;
        }
        running.charged = running.delivered;
        let tenant = running.tenant.clone();
        self.ledger(&tenant).charge(excess);
    }

    /// Ends a running request, which cost `total` in all. `learn` says whether the cost is
    /// typical; a broken attempt's is not.
    pub fn finish(&mut self, request: RequestId, total: Cost, learn: bool) {
        let Some(running) = self.running.remove(&request) else { return };
        let ledger = self.ledger(&running.tenant);
        ledger.charge(total.minus(running.charged));
        ledger.finish(learn.then_some(total));
        if let Some(count) = self.running_at.get_mut(&running.backend) {
            *count = count.saturating_sub(1);
        }
        self.changed_backends.insert(running.backend);
        self.hurry(Urgency::Soon);
    }

    /// Remembers that a connection to `backend` failed, for the next report.
    pub fn note_unreachable(&mut self, backend: &BackendName) {
        self.unreachable.insert(backend.clone());
        self.changed_backends.insert(backend.clone());
        self.hurry(Urgency::Now);
    }

    /// A tenant's ledger, which is about to change.
    fn ledger(&mut self, tenant: &TenantName) -> &mut Ledger {
        self.changed_tenants.insert(tenant.clone());
        self.touched_tenants.insert(tenant.clone());
        self.tenants.entry(tenant.clone()).or_default()
    }

    fn hurry(&mut self, urgency: Urgency) {
        self.urgency = self.urgency.max(urgency);
    }

    /// A report to send now, if one is due, and the scheduler it goes to. To be called until it
    /// gives none.
    pub fn poll_report(&mut self, now: Timestamp) -> Option<(ProcessId, Report)> {
        if self.choice.choose(now) {
            self.last_full = None;
            self.hurry(Urgency::Now);
        }
        if let Some(left) = self.choice.take_left() {
            return Some(self.farewell(left));
        }
        if now < self.next_timeout() {
            return None;
        }
        let full = self.full_is_due(now);
        let (tenants, backends) = if full { self.everything() } else { self.changes() };
        let contact = self.choice.contact_mut()?;
        let wants_answer = now.since(contact.last_heard) >= self.config.progress_interval;
        if wants_answer {
            contact.note_asked(now);
        }
        let report = Report {
            cell: self.cell.clone(),
            gateway: self.incarnation,
            scheduler: contact.incarnation,
            seen: contact.seen,
            full,
            wants_answer,
            moved_to: None,
            tenants,
            backends,
        };
        let scheduler = contact.scheduler.clone();
        self.note_reported(now, full);
        Some((scheduler, report))
    }

    fn note_reported(&mut self, now: Timestamp, full: bool) {
        self.changed_tenants.clear();
        self.changed_backends.clear();
        self.unreachable.clear();
        self.urgency = Urgency::Calm;
        self.last_report = now;
        if full {
            self.last_full = Some(now);
            self.touched_tenants.clear();
        }
    }

    /// When [`Demand::poll_report`] should be called next, at the latest.
    pub fn next_timeout(&self) -> Timestamp {
        if self.choice.contact().is_none() {
            return if self.choice.has_any() { self.last_report } else { Timestamp::NEVER };
        }
        let idle = self.running.is_empty() && self.waiting == 0;
        let wait = match self.urgency {
            _ if self.last_full.is_none() => self.config.eager_spacing,
            Urgency::Now => self.config.eager_spacing,
            Urgency::Soon => self.config.report_spacing,
            Urgency::Calm if idle => self.config.idle_interval,
            Urgency::Calm => self.config.progress_interval,
        };
        self.last_report + wait
    }

    fn full_is_due(&self, now: Timestamp) -> bool {
        self.last_full.is_none_or(|last| now.since(last) >= self.config.full_interval)
    }

    /// Tells the scheduler left that nothing waits or runs here for it any more.
    fn farewell(&self, left: Contact) -> (ProcessId, Report) {
        let report = Report {
            cell: self.cell.clone(),
            gateway: self.incarnation,
            scheduler: left.incarnation,
            seen: left.seen,
            full: true,
            wants_answer: false,
            moved_to: self.scheduler().cloned(),
            tenants: Vec::new(),
            backends: Vec::new(),
        };
        (left.scheduler, report)
    }

    /// All tenants with anything to do, and those that had since the last full report.
    fn everything(&self) -> (Vec<TenantReport>, Vec<BackendReport>) {
        let tenants = self
            .tenants
            .iter()
            .filter(|(name, ledger)| ledger.is_active() || self.touched_tenants.contains(*name))
            .map(|(name, ledger)| ledger.report(name, true))
            .collect();
        let backends = self
            .running_at
            .iter()
            .filter(|(_, running)| **running > 0)
            .map(|(name, _)| self.backend_report(name))
            .collect();
        (tenants, backends)
    }

    fn changes(&self) -> (Vec<TenantReport>, Vec<BackendReport>) {
        let tenants = self
            .changed_tenants
            .iter()
            .filter_map(|name| Some(self.tenants.get(name)?.report(name, false)))
            .collect();
        let backends = self.changed_backends.iter().map(|name| self.backend_report(name)).collect();
        (tenants, backends)
    }

    fn backend_report(&self, name: &BackendName) -> BackendReport {
        BackendReport {
            backend: name.clone(),
            running: self.running_at.get(name).copied().unwrap_or(0),
            unreachable: self.unreachable.contains(name),
        }
    }
}
