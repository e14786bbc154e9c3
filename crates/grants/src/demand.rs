//! The gateway's side: requests that wait, requests that run, and the reports about them.

use crate::messages::{BackendReport, Grants, Report, Standing, TenantReport};
use mastbay_fairness::Level;
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, RequestId, TenantName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
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
    /// Silence after which a scheduler counts as unreachable.
    pub answer_timeout: Duration,
    /// How long an unreachable scheduler is passed over at first; doubled each time, up to
    /// `longest_pause`.
    pub unreachable_pause: Duration,
    /// Longest time that a scheduler is passed over.
    pub longest_pause: Duration,
    /// Time between full reports, which repair what lost messages left.
    pub full_interval: Duration,
}

impl Default for DemandConfig {
    fn default() -> Self {
        Self {
            report_spacing: Duration::from_millis(5),
            eager_spacing: Duration::from_micros(500),
            progress_interval: Duration::from_millis(100),
            idle_interval: Duration::from_millis(1_000),
            answer_timeout: Duration::from_millis(250),
            unreachable_pause: Duration::from_secs(2),
            longest_pause: Duration::from_secs(30),
            full_interval: Duration::from_secs(5),
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

#[derive(Debug, Default)]
struct Ledger {
    waiting: VecDeque<RequestId>,
    running: u32,
    charged: Cost,
    finished: u64,
    finished_cost: Cost,
    last_grant: Option<LastGrant>,
}

/// What the last grant told of a tenant.
#[derive(Debug)]
struct LastGrant {
    level: Option<Level>,
    estimate: Cost,
    /// The ledger's charge right after it.
    charged: Cost,
}

impl Ledger {
    /// A tenant with nothing to do keeps no level that could become credit.
    fn note_idleness(&mut self) {
        if !self.waiting.is_empty() || self.running > 0 {
            return;
        }
        if let Some(grant) = &mut self.last_grant {
            grant.level = None;
        }
    }

    /// What a scheduler that does not know the tenant is told.
    fn standing(&self) -> Option<Standing> {
        self.last_grant.as_ref().map(|grant| Standing {
            level: grant.level,
            charged_since: self.charged.minus(grant.charged),
            estimate: grant.estimate,
        })
    }
}

#[derive(Debug)]
struct Running {
    tenant: TenantName,
    backend: BackendName,
    charged: Cost,
    delivered: Cost,
}

#[derive(Debug)]
struct Contact {
    scheduler: ProcessId,
    incarnation: Incarnation,
    seen: u64,
    last_heard: Timestamp,
    asked_since: Option<Timestamp>,
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

/// A scheduler that did not answer.
#[derive(Debug)]
struct Avoided {
    until: Timestamp,
    pause: Duration,
}

/// One gateway's demand for one cell.
#[derive(Debug)]
pub struct Demand {
    cell: CellId,
    config: DemandConfig,
    incarnation: Incarnation,
    schedulers: Vec<ProcessId>,
    avoided: BTreeMap<ProcessId, Avoided>,
    /// The scheduler that the last one handed the cell to, and until when its word counts more than
    /// the list.
    handed_to: Option<(ProcessId, Timestamp)>,
    contact: Option<Contact>,
    /// The scheduler left for another, which is to be told so.
    left: Option<Contact>,
    tenants: BTreeMap<TenantName, Ledger>,
    running: BTreeMap<RequestId, Running>,
    running_at: BTreeMap<BackendName, u32>,
    unreachable: BTreeSet<BackendName>,
    changed_tenants: BTreeSet<TenantName>,
    changed_backends: BTreeSet<BackendName>,
    urgency: Urgency,
    last_report: Timestamp,
    last_full: Option<Timestamp>,
}

impl Demand {
    /// No demand yet.
    pub fn new(cell: CellId, config: DemandConfig, incarnation: Incarnation) -> Self {
        Self {
            cell,
            config,
            incarnation,
            schedulers: Vec::new(),
            avoided: BTreeMap::new(),
            handed_to: None,
            contact: None,
            left: None,
            tenants: BTreeMap::new(),
            running: BTreeMap::new(),
            running_at: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            changed_tenants: BTreeSet::new(),
            changed_backends: BTreeSet::new(),
            urgency: Urgency::Calm,
            last_report: Timestamp::ZERO,
            last_full: None,
        }
    }

    /// Live schedulers in this cell's rendezvous order.
    pub fn set_schedulers(&mut self, schedulers: Vec<ProcessId>) {
        self.schedulers = schedulers;
    }

    /// The scheduler that reports go to.
    pub fn scheduler(&self) -> Option<&ProcessId> {
        self.contact.as_ref().map(|contact| &contact.scheduler)
    }

    /// Adds a request to its tenant's queue.
    pub fn enqueue(&mut self, tenant: &TenantName, request: RequestId) {
        let ledger = self.tenants.entry(tenant.clone()).or_default();
        ledger.waiting.push_back(request);
        let alone = self.waiting_in_total() == 1;
        self.note_tenant(tenant, if alone { Urgency::Now } else { Urgency::Soon });
    }

    /// Puts a request that was granted but certainly not sent back at the head of its queue.
    pub fn requeue(&mut self, request: RequestId) {
        let Some(tenant) = self.running.get(&request).map(|running| running.tenant.clone()) else {
            return;
        };
        self.finish(request, Cost::ZERO, false);
        self.tenants.entry(tenant.clone()).or_default().waiting.push_front(request);
        self.note_tenant(&tenant, Urgency::Now);
    }

    /// Takes a waiting request out. Returns whether it was waiting.
    pub fn cancel(&mut self, tenant: &TenantName, request: RequestId) -> bool {
        let Some(ledger) = self.tenants.get_mut(tenant) else {
            return false;
        };
        let before = ledger.waiting.len();
        ledger.waiting.retain(|waiting| *waiting != request);
        if ledger.waiting.len() == before {
            return false;
        }
        ledger.note_idleness();
        self.note_tenant(tenant, Urgency::Soon);
        true
    }

    /// Requests of `tenant` that wait here.
    pub fn waiting(&self, tenant: &TenantName) -> usize {
        self.tenants.get(tenant).map_or(0, |ledger| ledger.waiting.len())
    }

    /// All requests that wait here.
    pub fn waiting_in_total(&self) -> usize {
        self.tenants.values().map(|ledger| ledger.waiting.len()).sum()
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
        if !self.note_contact(now, from, &message) {
            self.consider_solicitation(now, from, &message);
            return Vec::new();
        }
        if message.needs_full {
            self.last_full = None;
            self.hurry(Urgency::Now);
        }
        if let Some(successor) = message.moved_to {
            self.handed_to = Some((successor, now + self.config.unreachable_pause));
        }
        let mut assignments = Vec::new();
        for grant in message.grants {
            self.hurry(Urgency::Soon);
            self.changed_tenants.insert(grant.tenant.clone());
            let ledger = self.tenants.entry(grant.tenant.clone()).or_default();
            let Some(request) = ledger.waiting.pop_front() else { continue };
            ledger.charged += grant.estimate;
            ledger.last_grant = Some(LastGrant {
                level: Some(grant.level),
                estimate: grant.estimate,
                charged: ledger.charged,
            });
            ledger.running += 1;
            self.start(request, &grant.tenant, &grant.backend, grant.estimate);
            let (tenant, backend) = (grant.tenant, grant.backend);
            assignments.push(Assignment { request, tenant, backend });
        }
        assignments
    }

    /// Another scheduler has taken the cell over. If the one reported to owes an answer, it is not
    /// waited for any longer.
    fn consider_solicitation(&mut self, now: Timestamp, from: &ProcessId, message: &Grants) {
        let Some(contact) = &self.contact else { return };
        let owes_answer = contact.asked_since.is_some() && contact.scheduler != *from;
        if message.needs_full && owes_answer {
            self.avoid_contact(now);
            self.hurry(Urgency::Now);
        }
    }

    /// Whether the message comes from the scheduler reported to, in its latest life.
    fn note_contact(&mut self, now: Timestamp, from: &ProcessId, message: &Grants) -> bool {
        let Some(contact) = &mut self.contact else {
            return false;
        };
        if contact.scheduler != *from || message.scheduler < contact.incarnation {
            return false;
        }
        if message.scheduler > contact.incarnation {
            contact.incarnation = message.scheduler;
            contact.seen = 0;
        }
        contact.last_heard = now;
        contact.asked_since = None;
        self.avoided.remove(from);
        if let Some(last) = message.grants.last() {
            contact.seen = contact.seen.max(last.sequence);
        }
        true
    }

    fn start(
        &mut self,
        request: RequestId,
        tenant: &TenantName,
        backend: &BackendName,
        charged: Cost,
    ) {
        let running = Running {
            tenant: tenant.clone(),
            backend: backend.clone(),
            charged,
            delivered: Cost::ZERO,
        };
        self.running.insert(request, running);
        *self.running_at.entry(backend.clone()).or_default() += 1;
        self.changed_backends.insert(backend.clone());
    }

    /// Adds service that a running request has just received.
    pub fn progress(&mut self, request: RequestId, more: Cost) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.delivered += more;
        let excess = running.delivered.minus(running.charged);
        if excess <= Cost::ZERO {
            return;
        }
        running.charged = running.delivered;
        let tenant = running.tenant.clone();
        self.tenants.entry(tenant.clone()).or_default().charged += excess;
        self.changed_tenants.insert(tenant);
    }

    /// Ends a running request, which cost `total` in all. `learn` says whether the cost is
    /// typical; a broken attempt's is not.
    pub fn finish(&mut self, request: RequestId, total: Cost, learn: bool) {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        let ledger = self.tenants.entry(running.tenant.clone()).or_default();
        ledger.charged += total.minus(running.charged);
        ledger.running -= 1;
        ledger.note_idleness();
        if learn {
            ledger.finished += 1;
            ledger.finished_cost += total;
        }
        self.changed_tenants.insert(running.tenant);
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

    fn note_tenant(&mut self, tenant: &TenantName, urgency: Urgency) {
        self.changed_tenants.insert(tenant.clone());
        self.hurry(urgency);
    }

    fn hurry(&mut self, urgency: Urgency) {
        self.urgency = self.urgency.max(urgency);
    }

    /// A report to send now, if one is due, and the scheduler it goes to. To be called until it
    /// gives none.
    pub fn poll_report(&mut self, now: Timestamp) -> Option<(ProcessId, Report)> {
        self.choose_scheduler(now);
        if let Some(left) = self.left.take() {
            return Some(self.farewell(left));
        }
        if now < self.next_timeout() {
            return None;
        }
        let full = self.full_is_due(now);
        let (tenants, backends) = if full { self.everything() } else { self.changes() };
        let contact = self.contact.as_mut()?;
        let wants_answer = now.since(contact.last_heard) >= self.config.progress_interval;
        if wants_answer && contact.asked_since.is_none() {
            contact.asked_since = Some(now);
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
        }
    }

    /// When [`Demand::poll_report`] should be called next, at the latest.
    pub fn next_timeout(&self) -> Timestamp {
        if self.contact.is_none() {
            return if self.schedulers.is_empty() { Timestamp::NEVER } else { self.last_report };
        }
        let idle = self.running.is_empty() && self.waiting_in_total() == 0;
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

    /// Keeps to the first scheduler in order that is not known to be unreachable.
    fn choose_scheduler(&mut self, now: Timestamp) {
        self.give_up_silent_scheduler(now);
        let best = self.best_scheduler(now).cloned();
        if best.as_ref() == self.scheduler() {
            return;
        }
        self.left = self.contact.take();
        self.contact = best.map(|scheduler| Contact {
            scheduler,
            incarnation: Incarnation::default(),
            seen: 0,
            last_heard: Timestamp::ZERO,
            asked_since: None,
        });
        self.last_full = None;
        self.hurry(Urgency::Now);
    }

    fn best_scheduler(&self, now: Timestamp) -> Option<&ProcessId> {
        let usable =
            |name: &ProcessId| self.avoided.get(name).is_none_or(|avoided| now >= avoided.until);
        if let Some((successor, until)) = &self.handed_to
            && now < *until
            && usable(successor)
        {
            return Some(successor);
        }
        // With every scheduler avoided, the first is as good as any.
        self.schedulers.iter().find(|name| usable(name)).or(self.schedulers.first())
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

    fn give_up_silent_scheduler(&mut self, now: Timestamp) {
        let Some(contact) = &self.contact else { return };
        let Some(asked) = contact.asked_since else {
            return;
        };
        if now.since(asked) >= self.config.answer_timeout {
            self.avoid_contact(now);
        }
    }

    fn avoid_contact(&mut self, now: Timestamp) {
        let Some(contact) = self.contact.take() else { return };
        let scheduler = contact.scheduler;
        let known = self.avoided.get(&scheduler);
        let pause = known.map_or(self.config.unreachable_pause, |avoided| avoided.pause * 2);
        let pause = pause.min(self.config.longest_pause);
        self.avoided.insert(scheduler, Avoided { until: now + pause, pause });
    }

    fn everything(&self) -> (Vec<TenantReport>, Vec<BackendReport>) {
        let tenants = self
            .tenants
            .iter()
            .map(|(name, ledger)| TenantReport {
                standing: ledger.standing(),
                ..tenant_report(name, ledger)
            })
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
            .filter_map(|name| Some(tenant_report(name, self.tenants.get(name)?)))
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

fn tenant_report(name: &TenantName, ledger: &Ledger) -> TenantReport {
    TenantReport {
        tenant: name.clone(),
        waiting: ledger.waiting.len() as u32,
        running: ledger.running,
        charged: ledger.charged,
        finished: ledger.finished,
        finished_cost: ledger.finished_cost,
        standing: None,
    }
}
