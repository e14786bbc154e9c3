//! The tenants of a cell: waiting and running requests, the order of service and cost estimates.

use crate::messages::TenantReport;
use crate::status::TenantStatus;
use mastbay_fairness::{FairOrder, Level};
use mastbay_types::{Cost, ProcessId, TenantName, Weight};
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// Weight of one ended request in the moving average of a tenant's cost.
const ESTIMATE_SMOOTHING: f64 = 0.1;

#[derive(Debug, Default)]
struct Tenant {
    /// Waiting requests without a grant by gateway; gateways without any are left out.
    waiting: BTreeMap<ProcessId, u32>,
    /// The gateway of the last grant, for round-robin order among gateways.
    last_gateway: Option<ProcessId>,
    /// Running requests, as reported, and unacknowledged grants.
    in_flight: u32,
    /// The highest level after a predecessor's grants, as reported by gateways.
    restored_level: Option<Level>,
    /// Cost that gateways charged since those grants.
    restored_charges: Cost,
    estimate: Option<f64>,
}

impl Tenant {
    fn is_active(&self) -> bool {
        self.in_flight > 0 || !self.waiting.is_empty()
    }

    /// Returns the gateway after that of the last grant, among those with waiting requests.
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
    /// Whether gateways had time to report levels. Before that, no tenant enters the fair order.
    open: bool,
}

impl Tenants {
    /// Sets a tenant's weight.
    pub(crate) fn set_weight(&mut self, name: &TenantName, weight: Weight) {
        if self.tenants.get(name).is_some_and(Tenant::is_active) {
            let before = u64::from(self.order.weight(name).get());
            self.active_weight = self.active_weight + u64::from(weight.get()) - before;
        }
        self.order.set_weight(name, weight);
    }

    /// Changes a tenant and updates the derived state: whether it is backlogged, and the sum of
    /// active weights.
    fn update(&mut self, name: &TenantName, update: impl FnOnce(&mut Tenant)) {
        let tenant = self.tenants.entry(name.clone()).or_default();
        let was_active = tenant.is_active();
        update(tenant);
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

    /// Adds `cost` to a tenant's charge; a negative cost reduces it.
    pub(crate) fn charge(&mut self, name: &TenantName, cost: Cost) {
        self.order.charge(name, cost);
    }

    /// Sets the number of a tenant's waiting requests without a grant at a gateway.
    pub(crate) fn set_waiting(&mut self, gateway: &ProcessId, name: &TenantName, waiting: u32) {
        self.update(name, |tenant| {
            match waiting {
                0 => tenant.waiting.remove(gateway),
                waiting => tenant.waiting.insert(gateway.clone(), waiting),
            };
        });
    }

    /// Replaces `before` of a tenant's requests in flight by `after`.
    pub(crate) fn change_in_flight(&mut self, name: &TenantName, before: u32, after: u32) {
        self.update(name, |tenant| {
            tenant.in_flight = (tenant.in_flight + after).saturating_sub(before);
        });
    }

    /// Charges the estimate of a grant in advance. Returns the tenant's level after it.
    pub(crate) fn note_grant(
        &mut self,
        gateway: &ProcessId,
        name: &TenantName,
        estimate: Cost,
    ) -> Level {
        self.order.note_served(name);
        self.order.charge(name, estimate);
        self.update(name, |tenant| {
            tenant.last_gateway = Some(gateway.clone());
            tenant.in_flight += 1;
        });
        self.order.level(name)
    }

    /// Reverts the charge and the in-flight count of an unacknowledged grant.
    pub(crate) fn revert_grant(&mut self, name: &TenantName, estimate: Cost) {
        self.change_in_flight(name, 1, 0);
        self.order.charge(name, Cost::ZERO.minus(estimate));
    }

    /// Restores a tenant's level and estimate from the state that a gateway reports of a
    /// predecessor.
    pub(crate) fn restore(&mut self, report: &TenantReport) {
        let Some(standing) = report.standing else { return };
        let tenant = self.tenants.entry(report.tenant.clone()).or_default();
        tenant.estimate.get_or_insert(standing.estimate.0 as f64);
        let Some(level) = standing.level else { return };
        if !self.open {
            tenant.restored_level = tenant.restored_level.max(Some(level));
            tenant.restored_charges += standing.charged_since;
            return;
        }
        self.order.raise_to(&report.tenant, level);
        self.order.charge(&report.tenant, standing.charged_since);
    }

    /// Starts the fair order: tenants with a restored level continue from it, others start like any
    /// tenant that becomes backlogged.
    pub(crate) fn open(&mut self) {
        self.open = true;
        let mut others = Vec::new();
        for (name, tenant) in &self.tenants {
            if tenant.waiting.is_empty() {
                continue;
            }
            match tenant.restored_level {
                Some(level) => {
                    let since = Level::of(tenant.restored_charges, self.order.weight(name));
                    self.order.restore_backlogged(name, level.plus(since));
                }
                None => others.push(name.clone()),
            }
        }
        for name in others {
            self.order.set_backlogged(&name, true);
        }
    }

    /// Returns whether [`Tenants::open`] was called since the last [`Tenants::reset`].
    pub(crate) fn is_open(&self) -> bool {
        self.open
    }

    /// Discards all state except the weights.
    pub(crate) fn reset(&mut self) {
        self.open = false;
        self.order.forget_levels();
        self.tenants.clear();
        self.active_weight = 0;
    }

    /// Updates the cost estimate from requests that ended between two reports. Returns their
    /// number.
    pub(crate) fn update_estimate(
        &mut self,
        report: &TenantReport,
        previous: &TenantReport,
    ) -> u64 {
        let finished = report.finished.saturating_sub(previous.finished);
        if finished == 0 {
            return 0;
        }
        let total = report.finished_cost.minus(previous.finished_cost).0 as f64;
        let mean = total / finished as f64;
        let tenant = self.tenants.entry(report.tenant.clone()).or_default();
        let weight_of_observations = 1.0 - (1.0 - ESTIMATE_SMOOTHING).powf(finished as f64);
        let known = tenant.estimate.unwrap_or(mean);
        tenant.estimate = Some(known + weight_of_observations * (mean - known));
        finished
    }

    /// Returns the estimated cost of a request of the tenant, or `first` if none has ended yet.
    pub(crate) fn estimate(&self, name: &TenantName, first: Cost) -> Cost {
        let estimated = self.tenants.get(name).and_then(|tenant| tenant.estimate);
        estimated.map_or(first, |mean| Cost(mean.round().max(1.0) as i64))
    }

    /// Returns the backlogged tenant to serve next and the gateway to grant to. Skips tenants that
    /// hold `share_limit` times their fair share of `slots`, unless all of them do.
    pub(crate) fn next(&self, share_limit: f64, slots: u32) -> Option<(TenantName, ProcessId)> {
        let is_eligible = |name: &&TenantName| !self.is_at_limit(name, share_limit, slots);
        let name = self.order.backlogged().find(is_eligible).or_else(|| self.order.next())?;
        let gateway = self.tenants.get(name)?.next_gateway()?;
        Some((name.clone(), gateway.clone()))
    }

    fn is_at_limit(&self, name: &TenantName, share_limit: f64, slots: u32) -> bool {
        let Some(tenant) = self.tenants.get(name) else { return false };
        let weight = f64::from(self.order.weight(name).get());
        let share = weight / self.active_weight.max(1) as f64;
        let limit = share_limit * share * f64::from(slots);
        f64::from(tenant.in_flight) >= limit.max(1.0)
    }

    /// Returns the status of the backlogged tenants in the order in which they are served next.
    pub(crate) fn status(&self, first_estimate: Cost) -> Vec<TenantStatus> {
        let tenant_status = |name: &TenantName| {
            let tenant = self.tenants.get(name);
            TenantStatus {
                tenant: name.clone(),
                waiting: tenant.map_or(0, |tenant| tenant.waiting.values().sum()),
                in_flight: tenant.map_or(0, |tenant| tenant.in_flight),
                level: self.order.level(name).in_cost_units(),
                estimate: self.estimate(name, first_estimate),
            }
        };
        self.order.backlogged().map(tenant_status).collect()
    }
}
