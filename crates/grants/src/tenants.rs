//! The tenants of a cell: what waits, what runs, who comes next and what a request probably costs.

use crate::messages::TenantReport;
use crate::status::TenantStatus;
use mastbay_fairness::{FairOrder, Level};
use mastbay_types::{Cost, ProcessId, TenantName, Weight};
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// Share of a new observation in a tenant's learned cost.
const ESTIMATE_GAIN: f64 = 0.1;

#[derive(Debug, Default)]
struct Tenant {
    /// Gateways at which work of the tenant waits that no grant covers yet, with its amount.
    waiting: BTreeMap<ProcessId, u32>,
    /// The gateway last granted to; the next one in order comes next.
    last_gateway: Option<ProcessId>,
    /// Requests that run, as reported, and grants that no gateway can have seen yet.
    in_flight: u32,
    /// The highest level that gateways remember of a predecessor's grants.
    remembered_level: Option<Level>,
    /// What gateways have charged since those grants.
    remembered_charges: Cost,
    estimate: Option<f64>,
}

impl Tenant {
    fn is_active(&self) -> bool {
        self.in_flight > 0 || !self.waiting.is_empty()
    }

    /// The gateway after the one last granted to, among those where the tenant's work waits.
    fn next_gateway(&self) -> Option<&ProcessId> {
        let after = self.last_gateway.as_ref().and_then(|last| {
            self.waiting.range::<ProcessId, _>((Excluded(last), Unbounded)).next()
        });
        after.or_else(|| self.waiting.first_key_value()).map(|(gateway, _)| gateway)
    }
}

/// All tenants of a cell.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    order: FairOrder,
    tenants: BTreeMap<TenantName, Tenant>,
    /// Sum of the weights of tenants that wait or run.
    active_weight: u64,
    /// Whether levels are known as far as they will be. Before that none is raised to another's.
    open: bool,
}

impl Tenants {
    /// Declares a tenant's weight.
    pub(crate) fn set_weight(&mut self, name: &TenantName, weight: Weight) {
        if self.tenants.get(name).is_some_and(Tenant::is_active) {
            let before = u64::from(self.order.weight(name).get());
            self.active_weight = self.active_weight + u64::from(weight.get()) - before;
        }
        self.order.set_weight(name, weight);
    }

    /// Changes a tenant and keeps what is derived from it: whether it is backlogged, and the sum
    /// of active weights.
    fn change(&mut self, name: &TenantName, change: impl FnOnce(&mut Tenant)) {
        let tenant = self.tenants.entry(name.clone()).or_default();
        let was_active = tenant.is_active();
        change(tenant);
        let (is_active, backlogged) = (tenant.is_active(), !tenant.waiting.is_empty());
        let weight = u64::from(self.order.weight(name).get());
        match (was_active, is_active) {
            (false, true) => self.active_weight += weight,
            (true, false) => self.active_weight -= weight,
            _ => {}
        }
        if self.open {
            self.order.set_backlogged(name, backlogged);
        }
    }

    /// Adds to what a tenant is charged, or takes back where negative.
    pub(crate) fn charge(&mut self, name: &TenantName, cost: Cost) {
        self.order.charge(name, cost);
    }

    /// Sets what of a tenant waits at a gateway and is not covered by a grant under way.
    pub(crate) fn set_waiting(&mut self, gateway: &ProcessId, name: &TenantName, waiting: u32) {
        self.change(name, |tenant| {
            match waiting {
                0 => tenant.waiting.remove(gateway),
                waiting => tenant.waiting.insert(gateway.clone(), waiting),
            };
        });
    }

    /// Replaces one count of a tenant's requests in flight by another.
    pub(crate) fn change_in_flight(&mut self, name: &TenantName, before: u32, after: u32) {
        self.change(name, |tenant| {
            tenant.in_flight = (tenant.in_flight + after).saturating_sub(before);
        });
    }

    /// Charges a grant in advance. Gives the tenant's level after it.
    pub(crate) fn note_grant(
        &mut self,
        gateway: &ProcessId,
        name: &TenantName,
        estimate: Cost,
    ) -> Level {
        self.order.note_served(name);
        self.order.charge(name, estimate);
        self.change(name, |tenant| {
            tenant.last_gateway = Some(gateway.clone());
            tenant.in_flight += 1;
        });
        self.order.level(name)
    }

    /// Undoes what a grant counted for until its gateway had seen it.
    pub(crate) fn take_back_grant(&mut self, name: &TenantName, estimate: Cost) {
        self.change_in_flight(name, 1, 0);
        self.order.charge(name, Cost::ZERO.minus(estimate));
    }

    /// Starts from what a gateway remembers of a predecessor.
    pub(crate) fn take_standing(&mut self, report: &TenantReport) {
        let Some(standing) = report.standing else { return };
        let tenant = self.tenants.entry(report.tenant.clone()).or_default();
        tenant.estimate.get_or_insert(standing.estimate.0 as f64);
        let Some(level) = standing.level else { return };
        if !self.open {
            tenant.remembered_level = tenant.remembered_level.max(Some(level));
            tenant.remembered_charges += standing.charged_since;
            return;
        }
        self.order.raise_to(&report.tenant, level);
        self.order.charge(&report.tenant, standing.charged_since);
    }

    /// Begins to order: tenants that a predecessor knew go on from their levels, others start as
    /// any tenant that becomes backlogged.
    pub(crate) fn open(&mut self) {
        self.open = true;
        let mut others = Vec::new();
        for (name, tenant) in &self.tenants {
            if tenant.waiting.is_empty() {
                continue;
            }
            match tenant.remembered_level {
                Some(level) => {
                    let since = Level::of(tenant.remembered_charges, self.order.weight(name));
                    self.order.restore_backlogged(name, level.plus(since));
                }
                None => others.push(name.clone()),
            }
        }
        for name in others {
            self.order.set_backlogged(&name, true);
        }
    }

    /// Whether [`Tenants::open`] was called since the last [`Tenants::forget`].
    pub(crate) fn is_open(&self) -> bool {
        self.open
    }

    /// Forgets all but the weights.
    pub(crate) fn forget(&mut self) {
        self.open = false;
        self.order.forget_levels();
        self.tenants.clear();
        self.active_weight = 0;
    }

    /// Learns from requests that ended between two reports. Gives their number.
    pub(crate) fn learn(&mut self, report: &TenantReport, previous: &TenantReport) -> u64 {
        let finished = report.finished.saturating_sub(previous.finished);
        if finished == 0 {
            return 0;
        }
        let total = report.finished_cost.minus(previous.finished_cost).0 as f64;
        let mean = total / finished as f64;
        let tenant = self.tenants.entry(report.tenant.clone()).or_default();
        let gain = 1.0 - (1.0 - ESTIMATE_GAIN).powf(finished as f64);
        let known = tenant.estimate.unwrap_or(mean);
        tenant.estimate = Some(known + gain * (mean - known));
        finished
    }

    /// What a request of the tenant probably costs.
    pub(crate) fn estimate(&self, name: &TenantName, first: Cost) -> Cost {
        let learned = self.tenants.get(name).and_then(|tenant| tenant.estimate);
        learned.map_or(first, |mean| Cost(mean.round().max(1.0) as i64))
    }

    /// The backlogged tenant due next and the gateway to grant to. Those that already hold
    /// `share_limit` times their fair share of `slots` are passed over; if all do, the limit keeps
    /// no slot idle.
    pub(crate) fn next(&self, share_limit: f64, slots: u32) -> Option<(TenantName, ProcessId)> {
        let holds_limit = |name: &&TenantName| !self.holds_limit(name, share_limit, slots);
        let name = self.order.backlogged().find(holds_limit).or_else(|| self.order.next())?;
        let gateway = self.tenants.get(name)?.next_gateway()?;
        Some((name.clone(), gateway.clone()))
    }

    fn holds_limit(&self, name: &TenantName, share_limit: f64, slots: u32) -> bool {
        let Some(tenant) = self.tenants.get(name) else { return false };
        let weight = f64::from(self.order.weight(name).get());
        let share = weight / self.active_weight.max(1) as f64;
        let limit = share_limit * share * f64::from(slots);
        f64::from(tenant.in_flight) >= limit.max(1.0)
    }

    /// Backlogged tenants for operators, the one due next first.
    pub(crate) fn status(&self, first_estimate: Cost) -> Vec<TenantStatus> {
        let one = |name: &TenantName| {
            let tenant = self.tenants.get(name);
            TenantStatus {
                tenant: name.clone(),
                waiting: tenant.map_or(0, |tenant| tenant.waiting.values().sum()),
                in_flight: tenant.map_or(0, |tenant| tenant.in_flight),
                level: self.order.level(name).in_cost_units(),
                estimate: self.estimate(name, first_estimate),
            }
        };
        self.order.backlogged().map(one).collect()
    }
}
