//! The scheduler's side of a cell: matches demand with slots by grants.

use crate::ahead::AheadEstimate;
use crate::gateway_view::{GatewayView, UnacknowledgedGrant};
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
    /// Time after which the slot of a grant is released if its gateway does not acknowledge it.
    pub grant_timeout: Duration,
    /// Time without a report after which a gateway's state is dropped.
    pub gateway_timeout: Duration,
    /// Time after a takeover in which gateways report and nothing is granted.
    pub settle_time: Duration,
    /// Time without grants to a back end after a gateway failed to reach it.
    pub unreachable_pause: Duration,
    /// Grants beyond the slots of a back end, which hide the round trip between two requests; at
    /// most as many as the largest back end has slots. `None` estimates the number from reports.
    pub ahead: Option<u32>,
    /// Cost estimate for a tenant of which no request has ended yet.
    pub first_estimate: Cost,
    /// Maximum of a tenant's requests in flight while others wait, as a multiple of its fair share
    /// of the slots. Bounds the service that a tenant gets before its actual cost is known.
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

/// The charges of a gateway that no longer reports here.
#[derive(Debug)]
struct Departed {
    incarnation: Incarnation,
    charged: BTreeMap<TenantName, Cost>,
}

/// The scheduler's state of one cell: soft state, rebuilt from full reports of gateways.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    config: CellConfig,
    me: ProcessId,
    incarnation: Incarnation,
    /// The scheduler to which the cell was handed over.
    moved_to: Option<ProcessId>,
    opens_at: Timestamp,
    tenants: Tenants,
    slots: Slots,
    ahead: AheadEstimate,
    gateways: BTreeMap<ProcessId, GatewayView>,
    /// Charges of departed gateways, in case they return in the same incarnation.
    departed: BTreeMap<ProcessId, Departed>,
    needs_solicitation: bool,
    /// Gateways to answer, with whether each has to send a full report.
    answers_due: BTreeMap<ProcessId, bool>,
}

impl Cell {
    /// Creates a cell without state at the scheduler `me`. It grants nothing until gateways report.
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
            needs_solicitation: false,
            answers_due: BTreeMap::new(),
        }
    }

    /// Returns the cell's identifier.
    pub fn id(&self) -> &CellId {
        &self.id
    }

    /// Sets the back ends and their slots; back ends that are not listed are removed.
    pub fn set_backends(&mut self, declared: &[(BackendName, u32)]) {
        for name in self.slots.declare(declared) {
            for gateway in self.gateways.values() {
                let running = gateway.running.get(&name).copied().unwrap_or(0);
                self.slots.change_running(&name, 0, running);
            }
        }
    }

    /// Sets whether a back end is leaving. A leaving back end gets no grants.
    pub fn set_leaving(&mut self, name: &BackendName, leaving: bool) {
        self.slots.set_leaving(name, leaving);
    }

    /// Sets the number of grants beyond the slots of a back end; `None` estimates it.
    pub fn set_ahead(&mut self, ahead: Option<u32>) {
        self.config.ahead = ahead;
    }

    /// Sets a tenant's weight.
    pub fn set_weight(&mut self, tenant: &TenantName, weight: Weight) {
        self.tenants.set_weight(tenant, weight);
    }

    /// Applies a gateway's report.
    pub fn handle_report(&mut self, now: Timestamp, from: &ProcessId, report: Report) {
        if let Some(successor) = &report.moved_to {
            self.handle_handover(from, successor.clone());
            return;
        }
        if !self.accept_gateway(now, from, &report) {
            return;
        }
        self.reopen_for_new_gateway(now, &report);
        let mut changed = self.release_acknowledged(now, from, &report);
        if report.full {
            changed.extend(self.clear_missing(from, &report));
        }
        for tenant in report.tenants {
            changed.push(tenant.tenant.clone());
            self.apply_tenant_report(now, from, tenant);
        }
        for backend in report.backends {
            self.apply_backend_report(now, from, backend);
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

    /// Handles a gateway's change to another scheduler. If that scheduler ranks before this one for
    /// the cell, the whole cell is handed over, because two granting schedulers would fill the
    /// slots twice. Otherwise only this gateway moves.
    fn handle_handover(&mut self, from: &ProcessId, successor: ProcessId) {
        self.drop_gateway(from);
        if !ranks_before(&self.id.rendezvous_key(), &successor, &self.me) {
            return;
        }
        self.moved_to = Some(successor);
        for gateway in self.gateways.keys() {
            self.answers_due.entry(gateway.clone()).or_insert(false);
        }
    }

    /// Takes the cell back when a new gateway reports here after a handover: it could not reach the
    /// successor.
    fn reopen_for_new_gateway(&mut self, now: Timestamp, report: &Report) {
        let is_new_gateway = report.full && report.scheduler == Incarnation::default();
        if is_new_gateway && self.moved_to.take().is_some() {
            self.opens_at = now + self.config.settle_time;
        }
    }

    /// Returns whether the report may be applied. The first report of a gateway must be a full one.
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
                self.needs_solicitation = true;
            }
            self.gateways.insert(from.clone(), GatewayView::new(report.gateway, now));
        }
        self.record_report(now, from);
        true
    }

    fn record_report(&mut self, now: Timestamp, from: &ProcessId) {
        let Some(view) = self.gateways.get_mut(from) else { return };
        view.last_heard = now;
        if !std::mem::take(&mut view.silent) {
            return;
        }
        for tenant in view.tenant_names() {
            self.refresh_waiting(from, &tenant);
        }
    }

    /// Releases the grants that the gateway acknowledges: its own counts include them from now on.
    /// Returns their tenants.
    fn release_acknowledged(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        report: &Report,
    ) -> Vec<TenantName> {
        if report.scheduler != self.incarnation {
            return Vec::new();
        }
        let Some(view) = self.gateways.get_mut(from) else { return Vec::new() };
        let seen = view.take_acknowledged(report.seen);
        for grant in &seen {
            self.ahead.note_delay(now.since(grant.sent));
        }
        seen.into_iter().map(|grant| self.revert_grant(grant)).collect()
    }

    /// Reverts the slot and the charge of an unacknowledged grant. Returns its tenant.
    fn revert_grant(&mut self, grant: UnacknowledgedGrant) -> TenantName {
        self.slots.remove_unacknowledged(&grant.backend);
        self.tenants.revert_grant(&grant.tenant, grant.estimate);
        grant.tenant
    }

    /// Clears the tenants and back ends that a full report does not list: nothing waits or runs
    /// there. Returns those tenants.
    fn clear_missing(&mut self, from: &ProcessId, report: &Report) -> Vec<TenantName> {
        let Some(view) = self.gateways.get_mut(from) else { return Vec::new() };
        let listed = |name: &TenantName| report.tenants.iter().any(|tenant| tenant.tenant == *name);
        let missing: Vec<TenantName> =
            view.tenants.keys().filter(|name| !listed(name)).cloned().collect();
        let listed =
            |name: &BackendName| report.backends.iter().any(|backend| backend.backend == *name);
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

    fn apply_tenant_report(&mut self, now: Timestamp, from: &ProcessId, report: TenantReport) {
        let Some(view) = self.gateways.get_mut(from) else { return };
        let previous = view.tenants.insert(report.tenant.clone(), report.clone());
        let known_charge = match &previous {
            Some(previous) => Some(previous.charged),
            None => self.departed_charge(from, &report),
        };
        // Charges from before the first report are included in the level that gateways report.
        let new_charge = known_charge.map_or(Cost::ZERO, |known| report.charged.minus(known));
        self.tenants.charge(&report.tenant, new_charge);
        let was_running = previous.as_ref().map_or(0, |known| known.running);
        self.tenants.change_in_flight(&report.tenant, was_running, report.running);
        match previous {
            Some(previous) => {
                let ended = self.tenants.update_estimate(&report, &previous);
                self.ahead.note_ended(now, ended);
            }
            None if known_charge.is_none() => self.tenants.restore(&report),
            None => {}
        }
    }

    /// Returns the tenant's charge when the gateway, in the same incarnation, last reported here.
    fn departed_charge(&self, from: &ProcessId, report: &TenantReport) -> Option<Cost> {
        let incarnation = self.gateways.get(from)?.incarnation;
        let departed = self.departed.get(from).filter(|gone| gone.incarnation == incarnation)?;
        departed.charged.get(&report.tenant).copied()
    }

    fn apply_backend_report(&mut self, now: Timestamp, from: &ProcessId, report: BackendReport) {
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

    /// Recomputes a tenant's waiting requests at one gateway that no unacknowledged grant covers.
    fn refresh_waiting(&mut self, from: &ProcessId, name: &TenantName) {
        let uncovered = self.gateways.get(from).map_or(0, |view| view.uncovered(name));
        self.tenants.set_waiting(from, name, uncovered);
    }

    fn drop_gateway(&mut self, from: &ProcessId) {
        self.expire_unacknowledged(from, Timestamp::NEVER);
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
            self.reset();
        }
    }

    /// Discards the state of a cell without gateways. After a later takeover, the state reported by
    /// gateways is more recent.
    fn reset(&mut self) {
        self.tenants.reset();
        self.departed.clear();
        self.ahead = AheadEstimate::default();
    }

    /// Releases the slots of unacknowledged grants sent before `limit`. Returns whether there were
    /// any.
    fn expire_unacknowledged(&mut self, from: &ProcessId, limit: Timestamp) -> bool {
        let Some(view) = self.gateways.get_mut(from) else { return false };
        let expired = view.take_sent_before(limit);
        let any = !expired.is_empty();
        for grant in expired {
            self.revert_grant(grant);
        }
        any
    }

    /// Expires unacknowledged grants and silent gateways.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        let names: Vec<ProcessId> = self.gateways.keys().cloned().collect();
        for name in names {
            self.expire(now, &name);
        }
    }

    fn expire(&mut self, now: Timestamp, name: &ProcessId) {
        let Some(view) = self.gateways.get(name) else { return };
        if now.since(view.last_heard) >= self.config.gateway_timeout {
            self.drop_gateway(name);
            return;
        }
        let micros = now.as_micros().saturating_sub(self.config.grant_timeout.as_micros() as u64);
        if self.expire_unacknowledged(name, Timestamp::from_micros(micros)) {
            self.mark_silent(name);
        }
    }

    fn mark_silent(&mut self, name: &ProcessId) {
        let Some(view) = self.gateways.get_mut(name) else { return };
        view.silent = true;
        for tenant in view.tenant_names() {
            self.tenants.set_waiting(name, &tenant, 0);
        }
    }

    /// Returns the latest time for the next call of [`Cell::handle_timeout`] and
    /// [`Cell::poll_grants`].
    pub fn next_timeout(&self, now: Timestamp) -> Timestamp {
        if now < self.opens_at {
            return self.opens_at;
        }
        now + self.config.grant_timeout
    }

    /// Grants free slots and returns the messages to send.
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

    /// Returns, once after a takeover, the message that asks every live gateway to report here if
    /// its own scheduler does not answer. All gateways have to report before the cell opens;
    /// otherwise slots in use would count as free.
    pub fn take_solicitation(&mut self) -> Option<Grants> {
        std::mem::take(&mut self.needs_solicitation).then(|| self.message(true))
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
        let backend = self.slots.most_free(self.grants_ahead(), now)?.clone();
        let estimate = self.tenants.estimate(&tenant, self.config.first_estimate);
        let view = self.gateways.get_mut(&gateway)?;
        let sequence = view.note_grant(now, &tenant, &backend, estimate);
        self.slots.add_unacknowledged(&backend);
        let level = self.tenants.note_grant(&gateway, &tenant, estimate);
        self.refresh_waiting(&gateway, &tenant);
        Some((gateway, Grant { sequence, tenant, backend, estimate, level }))
    }

    fn grants_ahead(&self) -> u32 {
        let estimated = || self.ahead.per_backend(self.slots.serving_count());
        self.config.ahead.unwrap_or_else(estimated).min(self.slots.largest())
    }

    /// Returns the cell's status, for operators.
    pub fn status(&self) -> CellStatus {
        CellStatus {
            slots: self.slots.total(),
            in_use: self.slots.in_use(),
            gateways: self.gateways.len(),
            backlogged: self.tenants.status(self.config.first_estimate),
        }
    }
}
