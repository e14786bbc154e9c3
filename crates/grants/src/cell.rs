//! The scheduler's side: slots, demand and the grants that match them.

use crate::ahead::AheadEstimate;
use crate::gateway_view::{GatewayView, UnseenGrant};
use crate::messages::{BackendReport, Grant, Grants, Report, TenantReport};
use crate::slots::Slots;
use crate::status::CellStatus;
use crate::tenants::Tenants;
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, TenantName, Timestamp, Weight, ranks_before,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of a [`Cell`].
#[derive(Debug, Clone, PartialEq)]
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
    /// `None` learns how many are needed, at most as many as it has slots.
    pub ahead: Option<u32>,
    /// What is charged for a tenant whose requests never ended yet.
    pub first_estimate: Cost,
    /// Slots that a tenant may hold while others wait, as a multiple of its fair share of them.
    /// Bounds the service that a tenant can take before its true cost shows.
    pub share_limit: f64,
}

impl Default for CellConfig {
    fn default() -> Self {
        Self {
            grant_timeout: Duration::from_millis(500),
            gateway_timeout: Duration::from_secs(3),
            settle_time: Duration::from_millis(100),
            unreachable_pause: Duration::from_secs(1),
            ahead: None,
            first_estimate: Cost(100),
            share_limit: 1.5,
        }
    }
}

/// A gateway that is gone.
#[derive(Debug)]
struct Departed {
    incarnation: Incarnation,
    charged: BTreeMap<TenantName, Cost>,
}

/// The scheduler's state of one cell. Soft: rebuilt from gateways' full reports.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    config: CellConfig,
    me: ProcessId,
    incarnation: Incarnation,
    /// The scheduler that the cell was handed to.
    moved_to: Option<ProcessId>,
    opens_at: Timestamp,
    tenants: Tenants,
    slots: Slots,
    ahead: AheadEstimate,
    gateways: BTreeMap<ProcessId, GatewayView>,
    /// What gateways that are gone had charged, should they come back in the same life.
    departed: BTreeMap<ProcessId, Departed>,
    just_taken_over: bool,
    /// Gateways to answer, and whether each has to send a full report.
    answers_due: BTreeMap<ProcessId, bool>,
}

impl Cell {
    /// A cell that the scheduler `me` may come to hold.
    pub fn new(id: CellId, config: CellConfig, me: ProcessId, incarnation: Incarnation) -> Self {
        Self {
            id,
            config,
            me,
            incarnation,
            moved_to: None,
            opens_at: Timestamp::NEVER,
            tenants: Tenants::default(),
            slots: Slots::default(),
            ahead: AheadEstimate::default(),
            gateways: BTreeMap::new(),
            departed: BTreeMap::new(),
            just_taken_over: false,
            answers_due: BTreeMap::new(),
        }
    }

    /// The cell's identifier.
    pub fn id(&self) -> &CellId {
        &self.id
    }

    /// Declares the back ends in force and their slots; others are forgotten.
    pub fn set_backends(&mut self, declared: &[(BackendName, u32)]) {
        for name in self.slots.declare(declared) {
            for gateway in self.gateways.values() {
                let running = gateway.running.get(&name).copied().unwrap_or(0);
                self.slots.change_running(&name, 0, running);
            }
        }
    }

    /// Marks a back end as leaving (or no longer so): a leaving one gets no grant.
    pub fn set_leaving(&mut self, name: &BackendName, leaving: bool) {
        self.slots.set_leaving(name, leaving);
    }

    /// Changes how many grants beyond its slots a back end gets; `None` learns it.
    pub fn set_ahead(&mut self, ahead: Option<u32>) {
        self.config.ahead = ahead;
    }

    /// Declares a tenant's weight.
    pub fn set_weight(&mut self, tenant: &TenantName, weight: Weight) {
        self.tenants.set_weight(tenant, weight);
    }

    /// Takes a gateway's report.
    pub fn handle_report(&mut self, now: Timestamp, from: &ProcessId, report: Report) {
        if let Some(successor) = &report.moved_to {
            self.let_go(from, successor.clone());
            return;
        }
        if !self.accept_gateway(now, from, &report) {
            return;
        }
        self.reopen_for_newcomer(now, &report);
        let mut changed = self.forget_seen(now, from, &report);
        if report.full {
            changed.extend(self.clear_missing(from, &report));
        }
        for tenant in report.tenants {
            changed.push(tenant.tenant.clone());
            self.take_tenant(now, from, tenant);
        }
        for backend in report.backends {
            self.take_backend(now, from, backend);
        }
        changed.sort();
        changed.dedup();
        for tenant in changed {
            self.refresh_waiting(from, &tenant);
        }
        if report.wants_answer || self.moved_to.is_some() {
            self.answers_due.entry(from.clone()).or_insert(false);
        }
    }

    /// A gateway has turned to another scheduler. If that one comes before this one in the cell's
    /// order, the whole cell is handed over: two schedulers that both grant would fill the slots
    /// twice. A gateway that only lost its own way here moves nobody else.
    fn let_go(&mut self, from: &ProcessId, successor: ProcessId) {
        self.drop_gateway(from);
        if !ranks_before(&self.id.rendezvous_key(), &successor, &self.me) {
            return;
        }
        self.moved_to = Some(successor);
        for gateway in self.gateways.keys() {
            self.answers_due.entry(gateway.clone()).or_insert(false);
        }
    }

    /// A gateway that begins to report here could not reach the scheduler that the cell was handed
    /// to, or that one is gone: the cell is held here again.
    fn reopen_for_newcomer(&mut self, now: Timestamp, report: &Report) {
        let newcomer = report.full && report.scheduler == Incarnation::default();
        if newcomer && self.moved_to.take().is_some() {
            self.opens_at = now + self.config.settle_time;
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
            if self.gateways.is_empty() {
                self.opens_at = now + self.config.settle_time;
                self.just_taken_over = true;
            }
            self.gateways.insert(from.clone(), GatewayView::new(report.gateway, now));
        }
        self.hear_from(now, from);
        true
    }

    fn hear_from(&mut self, now: Timestamp, from: &ProcessId) {
        let Some(view) = self.gateways.get_mut(from) else { return };
        view.last_heard = now;
        if !std::mem::take(&mut view.silent) {
            return;
        }
        for tenant in view.tenant_names() {
            self.refresh_waiting(from, &tenant);
        }
    }

    /// Grants that the gateway has seen are part of its own counts from here on. Gives their
    /// tenants.
    fn forget_seen(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        report: &Report,
    ) -> Vec<TenantName> {
        if report.scheduler != self.incarnation {
            return Vec::new();
        }
        let Some(view) = self.gateways.get_mut(from) else { return Vec::new() };
        let seen = view.take_seen(report.seen);
        for grant in &seen {
            self.ahead.note_delay(now.since(grant.sent));
        }
        seen.into_iter().map(|grant| self.take_back(grant)).collect()
    }

    /// Undoes what a grant counted for until its gateway had seen it. Gives its tenant.
    fn take_back(&mut self, grant: UnseenGrant) -> TenantName {
        self.slots.remove_unseen(&grant.backend);
        self.tenants.take_back_grant(&grant.tenant, grant.estimate);
        grant.tenant
    }

    /// A full report speaks for what it leaves out: nothing waits and nothing runs there. Gives
    /// the tenants left out.
    fn clear_missing(&mut self, from: &ProcessId, report: &Report) -> Vec<TenantName> {
        let Some(view) = self.gateways.get_mut(from) else { return Vec::new() };
        let listed = |name: &TenantName| report.tenants.iter().any(|tenant| tenant.tenant == *name);
        let missing: Vec<TenantName> =
            view.tenants.keys().filter(|name| !listed(name)).cloned().collect();
        let listed = |name: &BackendName| report.backends.iter().any(|one| one.backend == *name);
        let gone: Vec<BackendName> =
            view.running.keys().filter(|name| !listed(name)).cloned().collect();
        for name in &missing {
            self.clear_tenant(from, name);
        }
        for name in gone {
            self.set_running(from, &name, 0);
        }
        missing
    }

    fn clear_tenant(&mut self, from: &ProcessId, name: &TenantName) {
        let Some(view) = self.gateways.get_mut(from) else { return };
        let Some(report) = view.tenants.get_mut(name) else { return };
        report.waiting = 0;
        let running = std::mem::take(&mut report.running);
        self.tenants.change_in_flight(name, running, 0);
    }

    fn take_tenant(&mut self, now: Timestamp, from: &ProcessId, report: TenantReport) {
        let Some(view) = self.gateways.get_mut(from) else { return };
        let previous = view.tenants.insert(report.tenant.clone(), report.clone());
        let known_charge = match &previous {
            Some(previous) => Some(previous.charged),
            None => self.departed_charge(from, &report),
        };
        // Charges from before this scheduler's time are within the level that gateways remember.
        let new_charge = known_charge.map_or(Cost::ZERO, |known| report.charged.minus(known));
        self.tenants.charge(&report.tenant, new_charge);
        let was_running = previous.as_ref().map_or(0, |known| known.running);
        self.tenants.change_in_flight(&report.tenant, was_running, report.running);
        match previous {
            Some(previous) => {
                let ended = self.tenants.learn(&report, &previous);
                self.ahead.note_ended(now, ended);
            }
            None if known_charge.is_none() => self.tenants.take_standing(&report),
            None => {}
        }
    }

    /// What the gateway had charged when it was last here in this life of its.
    fn departed_charge(&self, from: &ProcessId, report: &TenantReport) -> Option<Cost> {
        let incarnation = self.gateways.get(from)?.incarnation;
        let departed = self.departed.get(from).filter(|gone| gone.incarnation == incarnation)?;
        departed.charged.get(&report.tenant).copied()
    }

    fn take_backend(&mut self, now: Timestamp, from: &ProcessId, report: BackendReport) {
        self.set_running(from, &report.backend, report.running);
        if report.unreachable {
            self.slots.pause(&report.backend, now + self.config.unreachable_pause);
        }
    }

    fn set_running(&mut self, from: &ProcessId, name: &BackendName, running: u32) {
        let Some(view) = self.gateways.get_mut(from) else { return };
        let previous = match running {
            0 => view.running.remove(name),
            running => view.running.insert(name.clone(), running),
        };
        self.slots.change_running(name, previous.unwrap_or(0), running);
    }

    /// Recomputes what of a tenant waits at one gateway and is not covered by a grant under way.
    fn refresh_waiting(&mut self, from: &ProcessId, name: &TenantName) {
        let uncovered = self.gateways.get(from).map_or(0, |view| view.uncovered(name));
        self.tenants.set_waiting(from, name, uncovered);
    }

    fn drop_gateway(&mut self, from: &ProcessId) {
        self.expire_unseen(from, Timestamp::NEVER);
        let Some(view) = self.gateways.get(from) else { return };
        let charged = |(name, report): (&TenantName, &TenantReport)| (name.clone(), report.charged);
        let departed = Departed {
            incarnation: view.incarnation,
            charged: view.tenants.iter().map(charged).collect(),
        };
        let running: Vec<BackendName> = view.running.keys().cloned().collect();
        for name in view.tenant_names() {
            self.clear_tenant(from, &name);
            self.tenants.set_waiting(from, &name, 0);
        }
        for name in running {
            self.set_running(from, &name, 0);
        }
        self.gateways.remove(from);
        self.departed.insert(from.clone(), departed);
        if self.gateways.is_empty() {
            self.forget();
        }
    }

    /// A cell that nobody reports to any more knows nothing of what goes on. Should it be held here
    /// again, what gateways remember by then is better than what was known here.
    fn forget(&mut self) {
        self.tenants.forget();
        self.departed.clear();
        self.ahead = AheadEstimate::default();
    }

    /// Takes back slots of grants sent before `limit` that the gateway never confirmed.
    /// Returns whether there were any.
    fn expire_unseen(&mut self, from: &ProcessId, limit: Timestamp) -> bool {
        let Some(view) = self.gateways.get_mut(from) else { return false };
        let late = view.take_sent_before(limit);
        let any = !late.is_empty();
        for grant in late {
            self.take_back(grant);
        }
        any
    }

    /// Lets time pass: unconfirmed grants and silent gateways lapse.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        let names: Vec<ProcessId> = self.gateways.keys().cloned().collect();
        for name in names {
            self.lapse(now, &name);
        }
    }

    fn lapse(&mut self, now: Timestamp, name: &ProcessId) {
        let Some(view) = self.gateways.get(name) else { return };
        if now.since(view.last_heard) >= self.config.gateway_timeout {
            self.drop_gateway(name);
            return;
        }
        let micros = now.as_micros().saturating_sub(self.config.grant_timeout.as_micros() as u64);
        if self.expire_unseen(name, Timestamp::from_micros(micros)) {
            self.silence(name);
        }
    }

    fn silence(&mut self, name: &ProcessId) {
        let Some(view) = self.gateways.get_mut(name) else { return };
        view.silent = true;
        for tenant in view.tenant_names() {
            self.tenants.set_waiting(name, &tenant, 0);
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
        if now >= self.opens_at && self.moved_to.is_none() {
            if !self.tenants.is_open() {
                self.tenants.open();
            }
            while let Some((gateway, grant)) = self.grant_one(now) {
                let message = self.message(false);
                outgoing.entry(gateway).or_insert(message).grants.push(grant);
            }
        }
        outgoing.into_iter().collect()
    }

    /// Once after the cell was taken over: the message that asks every live gateway to report here
    /// if its own scheduler does not answer. It gathers them all before the cell opens, so that no
    /// slot is taken for free whose user has not reported yet.
    pub fn take_solicitation(&mut self) -> Option<Grants> {
        std::mem::take(&mut self.just_taken_over).then(|| self.message(true))
    }

    fn message(&self, needs_full: bool) -> Grants {
        Grants {
            cell: self.id.clone(),
            scheduler: self.incarnation,
            needs_full,
            moved_to: self.moved_to.clone(),
            grants: Vec::new(),
        }
    }

    fn grant_one(&mut self, now: Timestamp) -> Option<(ProcessId, Grant)> {
        let (tenant, gateway) = self.tenants.next(self.config.share_limit, self.slots.total())?;
        let backend = self.slots.freest(self.grants_ahead(), now)?.clone();
        let estimate = self.tenants.estimate(&tenant, self.config.first_estimate);
        let view = self.gateways.get_mut(&gateway)?;
        let sequence = view.note_grant(now, &tenant, &backend, estimate);
        self.slots.add_unseen(&backend);
        let level = self.tenants.note_grant(&gateway, &tenant, estimate);
        self.refresh_waiting(&gateway, &tenant);
        Some((gateway, Grant { sequence, tenant, backend, estimate, level }))
    }

    fn grants_ahead(&self) -> u32 {
        let learned = || self.ahead.per_backend(self.slots.serving_count());
        self.config.ahead.unwrap_or_else(learned).min(self.slots.largest())
    }

    /// The cell's standing, for operators.
    pub fn status(&self) -> CellStatus {
        CellStatus {
            slots: self.slots.total(),
            in_use: self.slots.in_use(),
            gateways: self.gateways.len(),
            backlogged: self.tenants.status(self.config.first_estimate),
        }
    }
}
