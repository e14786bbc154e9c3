//! The gateway's side of a cell: waiting and running requests, and the reports about them.

use crate::contact::{Contact, ContactConfig, SchedulerSelection};
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
    /// Minimum time between reports about requests that arrived, started or ended while others
    /// wait. Batches reports: requests that already wait gain little from an earlier one.
    pub report_spacing: Duration,
    /// Minimum time between reports when a request arrives and no other waits.
    pub eager_spacing: Duration,
    /// Time between reports about costs alone, and between heartbeats while requests wait or run.
    pub progress_interval: Duration,
    /// Time between heartbeats while no request waits or runs.
    pub idle_interval: Duration,
    /// Time between full reports, which repair the effects of lost messages.
    pub full_interval: Duration,
    /// Settings of the selection of a scheduler.
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
    /// The tenant of the request.
    pub tenant: TenantName,
    /// The back end to send the request to.
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
    /// After `progress_interval`, or after `idle_interval` while no request waits or runs.
    Low,
    /// After `report_spacing`.
    Medium,
    /// After `eager_spacing`.
    High,
}

/// One gateway's demand for one cell.
#[derive(Debug)]
pub struct Demand {
    cell: CellId,
    config: DemandConfig,
    incarnation: Incarnation,
    selection: SchedulerSelection,
    tenants: BTreeMap<TenantName, Ledger>,
    /// Waiting requests, over all tenants.
    waiting: usize,
    running: BTreeMap<RequestId, Running>,
    running_by_backend: BTreeMap<BackendName, u32>,
    /// Number of times that each back end sent events or an answer.
    responses: BTreeMap<BackendName, u64>,
    unreachable: BTreeSet<BackendName>,
    /// Tenants and back ends that changed since the last report.
    changed_tenants: BTreeSet<TenantName>,
    changed_backends: BTreeSet<BackendName>,
    /// Tenants that changed since the last full report.
    tenants_since_full: BTreeSet<TenantName>,
    urgency: Urgency,
    last_report: Timestamp,
    last_full: Option<Timestamp>,
}

impl Demand {
    /// Creates the demand of a gateway without requests.
    pub fn new(cell: CellId, config: DemandConfig, incarnation: Incarnation) -> Self {
        Self {
            selection: SchedulerSelection::new(config.contact.clone()),
            cell,
            config,
            incarnation,
            tenants: BTreeMap::new(),
            waiting: 0,
            running: BTreeMap::new(),
            running_by_backend: BTreeMap::new(),
            responses: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            changed_tenants: BTreeSet::new(),
            changed_backends: BTreeSet::new(),
            tenants_since_full: BTreeSet::new(),
            urgency: Urgency::Low,
            last_report: Timestamp::ZERO,
            last_full: None,
        }
    }

    /// Sets the live schedulers, in this cell's rendezvous order.
    pub fn set_schedulers(&mut self, schedulers: Vec<ProcessId>) {
        self.selection.set_schedulers(schedulers);
    }

    /// Returns the scheduler that receives the reports.
    pub fn scheduler(&self) -> Option<&ProcessId> {
        self.selection.contact().map(|contact| &contact.scheduler)
    }

    /// Adds a request to its tenant's queue.
    pub fn enqueue(&mut self, tenant: &TenantName, request: RequestId) {
        let is_first = self.waiting == 0;
        self.ledger(tenant).waiting.push_back(request);
        self.waiting += 1;
        self.raise_urgency(if is_first { Urgency::High } else { Urgency::Medium });
    }

    /// Moves a granted request that is to be retried back to the head of its tenant's queue.
    pub fn requeue(&mut self, request: RequestId) {
        let Some(running) = self.running.get(&request) else { return };
        let tenant = running.tenant.clone();
        self.finish(request, Cost::ZERO, false);
        self.ledger(&tenant).waiting.push_front(request);
        self.waiting += 1;
        self.raise_urgency(Urgency::High);
    }

    /// Removes a waiting request. Returns whether it was waiting.
    pub fn cancel(&mut self, tenant: &TenantName, request: RequestId) -> bool {
        let cancelled = self.ledger(tenant).cancel(request);
        if cancelled {
            self.waiting -= 1;
            self.raise_urgency(Urgency::Medium);
        }
        cancelled
    }

    /// Returns the number of waiting requests of `tenant`.
    pub fn waiting(&self, tenant: &TenantName) -> usize {
        self.tenants.get(tenant).map_or(0, |ledger| ledger.waiting.len())
    }

    /// Returns the number of waiting requests of all tenants.
    pub fn waiting_in_total(&self) -> usize {
        self.waiting
    }

    /// Returns the number of running requests of all tenants.
    pub fn running_in_total(&self) -> usize {
        self.running.len()
    }

    /// Returns the tenants with waiting requests and the number of these.
    pub fn backlog(&self) -> impl Iterator<Item = (&TenantName, usize)> {
        self.tenants
            .iter()
            .map(|(tenant, ledger)| (tenant, ledger.waiting.len()))
            .filter(|(_, waiting)| *waiting > 0)
    }

    /// Handles a scheduler's message and assigns waiting requests to the granted back ends. Ignores
    /// grants of any other scheduler than the one that receives the reports.
    pub fn handle_grants(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        message: Grants,
    ) -> Vec<Assignment> {
        if !self.selection.note_message(now, from, &message) {
            return Vec::new();
        }
        if message.needs_full {
            self.last_full = None;
            self.raise_urgency(Urgency::High);
        }
        let mut assignments = Vec::new();
        for grant in message.grants {
            self.raise_urgency(Urgency::Medium);
            let Some(request) = self.ledger(&grant.tenant).start(&grant) else { continue };
            self.waiting -= 1;
            let running = Running {
                tenant: grant.tenant.clone(),
                backend: grant.backend.clone(),
                charged: grant.estimate,
                delivered: Cost::ZERO,
            };
            self.running.insert(request, running);
            *self.running_by_backend.entry(grant.backend.clone()).or_default() += 1;
            self.changed_backends.insert(grant.backend.clone());
            let (tenant, backend) = (grant.tenant, grant.backend);
            assignments.push(Assignment { request, tenant, backend });
        }
        assignments
    }

    /// Adds the cost of service that a running request received since the last call.
    pub fn progress(&mut self, request: RequestId, cost: Cost) {
        let Some(running) = self.running.get_mut(&request) else { return };
        *self.responses.entry(running.backend.clone()).or_default() += 1;
        running.delivered += cost;
        let excess = running.delivered.minus(running.charged);
        if excess <= Cost::ZERO {
            return;
        }
        running.charged = running.delivered;
        let tenant = running.tenant.clone();
        self.ledger(&tenant).charge(excess);
    }

    /// Ends a running request with the total cost `total`. `learn` is whether the cost counts for
    /// the estimate of further requests; that of a failed attempt should not.
    pub fn finish(&mut self, request: RequestId, total: Cost, learn: bool) {
        let Some(running) = self.running.remove(&request) else { return };
        let ledger = self.ledger(&running.tenant);
        ledger.charge(total.minus(running.charged));
        ledger.finish(learn.then_some(total));
        if learn {
            *self.responses.entry(running.backend.clone()).or_default() += 1;
        }
        if let Some(count) = self.running_by_backend.get_mut(&running.backend) {
            *count = count.saturating_sub(1);
        }
        self.changed_backends.insert(running.backend);
        self.raise_urgency(Urgency::Medium);
    }

    /// Returns how many times a back end sent events or an answer to this gateway.
    pub fn responses(&self, backend: &BackendName) -> u64 {
        self.responses.get(backend).copied().unwrap_or(0)
    }

    /// Records a failed connection to `backend` for the next report, unless the back end has sent
    /// something since [`Self::responses`] was `before`: then it is alive, and only its accept queue
    /// is full.
    pub fn note_unreachable(&mut self, backend: &BackendName, before: u64) {
        if self.responses(backend) > before {
            return;
        }
        self.unreachable.insert(backend.clone());
        self.changed_backends.insert(backend.clone());
        self.raise_urgency(Urgency::High);
    }

    /// Returns a tenant's ledger for a change and marks the tenant as changed.
    fn ledger(&mut self, tenant: &TenantName) -> &mut Ledger {
        self.changed_tenants.insert(tenant.clone());
        self.tenants_since_full.insert(tenant.clone());
        self.tenants.entry(tenant.clone()).or_default()
    }

    fn raise_urgency(&mut self, urgency: Urgency) {
        self.urgency = self.urgency.max(urgency);
    }

    /// Returns a report that is due and the scheduler to send it to. To be called until it returns
    /// `None`.
    pub fn poll_report(&mut self, now: Timestamp) -> Option<(ProcessId, Report)> {
        if self.selection.select(now) {
            self.last_full = None;
            self.raise_urgency(Urgency::High);
        }
        if let Some(previous) = self.selection.take_previous() {
            return Some(self.farewell(previous));
        }
        if now < self.next_timeout() {
            return None;
        }
        let full = self.full_is_due(now);
        let (tenants, backends) = if full { self.all_reports() } else { self.changed_reports() };
        let contact = self.selection.contact_mut()?;
        let wants_answer = now.since(contact.last_heard) >= self.config.progress_interval;
        if wants_answer {
            contact.note_answer_requested(now);
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
        self.urgency = Urgency::Low;
        self.last_report = now;
        if full {
            self.last_full = Some(now);
            self.tenants_since_full.clear();
        }
    }

    /// Returns the latest time for the next call of [`Demand::poll_report`].
    pub fn next_timeout(&self) -> Timestamp {
        if self.selection.contact().is_none() {
            return if self.selection.has_any() { self.last_report } else { Timestamp::NEVER };
        }
        let idle = self.running.is_empty() && self.waiting == 0;
        let wait = match self.urgency {
            _ if self.last_full.is_none() => self.config.eager_spacing,
            Urgency::High => self.config.eager_spacing,
            Urgency::Medium => self.config.report_spacing,
            Urgency::Low if idle => self.config.idle_interval,
            Urgency::Low => self.config.progress_interval,
        };
        self.last_report + wait
    }

    fn full_is_due(&self, now: Timestamp) -> bool {
        self.last_full.is_none_or(|last| now.since(last) >= self.config.full_interval)
    }

    /// Returns the last report to the previous scheduler, which clears all requests of this
    /// gateway.
    fn farewell(&self, previous: Contact) -> (ProcessId, Report) {
        let report = Report {
            cell: self.cell.clone(),
            gateway: self.incarnation,
            scheduler: previous.incarnation,
            seen: previous.seen,
            full: true,
            wants_answer: false,
            moved_to: self.scheduler().cloned(),
            tenants: Vec::new(),
            backends: Vec::new(),
        };
        (previous.scheduler, report)
    }

    /// Returns the active tenants and those that changed since the last full report, and all back
    /// ends with running requests.
    fn all_reports(&self) -> (Vec<TenantReport>, Vec<BackendReport>) {
        let tenants = self
            .tenants
            .iter()
            .filter(|(name, ledger)| ledger.is_active() || self.tenants_since_full.contains(*name))
            .map(|(name, ledger)| ledger.report(name, true))
            .collect();
        let backends = self
            .running_by_backend
            .iter()
            .filter(|(_, running)| **running > 0)
            .map(|(name, _)| self.backend_report(name))
            .collect();
        (tenants, backends)
    }

    fn changed_reports(&self) -> (Vec<TenantReport>, Vec<BackendReport>) {
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
            running: self.running_by_backend.get(name).copied().unwrap_or(0),
            unreachable: self.unreachable.contains(name),
        }
    }
}
