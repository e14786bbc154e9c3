//! Fair shares of tenants, and the effect of unplaced and refused requests on capacity and service
//! level.

use super::Dispatcher;
use super::fair_level::Shares;
use crate::demand::Demand;
use crate::share_class::{ShareClass, TenantShare};
use mastbay_types::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// Time for which summed tenant rates are reused.
const SHARES_TTL: Duration = Duration::from_millis(50);

impl Dispatcher {
    pub(super) fn share_class(&mut self, now: Timestamp, demand: &Demand) -> ShareClass {
        if !self.limits.policy.fair_share {
            return ShareClass::BelowHalf;
        }
        let Some(tenant) = &demand.tenant else { return ShareClass::BelowHalf };
        self.shares(now).class(tenant)
    }

    /// Returns the share of the request's tenant, if shares are limited and the request has a
    /// prompt and a tenant.
    pub(super) fn share_of(&mut self, now: Timestamp, demand: &Demand) -> Option<TenantShare> {
        demand.prompt.as_ref()?;
        let tenant = demand.tenant.as_deref().filter(|_| self.limits.policy.fair_share)?;
        Some(self.tenant_share(now, tenant))
    }

    pub(super) fn tenant_share(&mut self, now: Timestamp, tenant: &str) -> TenantShare {
        let shares = self.shares(now);
        TenantShare {
            class: shares.class(tenant),
            asked: shares.asked(tenant),
            given: shares.given(tenant),
            fair_level: shares.fair_level.is_finite().then_some(shares.fair_level),
            rates_age: self.fleet.rates_age(now),
        }
    }

    /// Records that a request could not be placed. If its tenant is below half of its share,
    /// routers reserve slots for it.
    pub(super) fn record_unplaced(&mut self, now: Timestamp, demand: &Demand) {
        if demand.prompt.is_none() || self.share_class(now, demand) != ShareClass::BelowHalf {
            return;
        }
        let Some(first) = self.first_choice(now, demand) else { return };
        if let Some(engine) = self.engines.get_mut_busy(&first.id) {
            engine.on_unplaced(now);
        }
    }

    /// Returns when a request must have its first event to count as in time for the service level.
    /// `None` for tenants above their share, and for requests that even an idle engine could not
    /// serve in time, since they do not depend on the load.
    pub(super) fn service_level_due(
        &self,
        demand: &Demand,
        class: ShareClass,
        uncached: u64,
    ) -> Option<Timestamp> {
        let prompt = demand.prompt.as_ref()?;
        let estimator = self.first_events.get(&demand.service).copied().unwrap_or_default();
        let predicted_idle =
            Duration::from_secs_f64(estimator.estimate(prompt.prefill(uncached)) / 1e3);
        let is_within = class != ShareClass::AboveShare;
        let could_be_in_time =
            predicted_idle <= demand.objective.mul_f64(self.limits.policy.time_fraction);
        (is_within && could_be_in_time).then_some(demand.arrived + demand.objective)
    }

    /// Records a refused request as missed, if it counts for the service level.
    pub(super) fn record_missed(&mut self, now: Timestamp, demand: &Demand) {
        let class = self.share_class(now, demand);
        let Some(first) = self.first_choice(now, demand) else { return };
        if self.service_level_due(demand, class, first.uncached).is_none() {
            return;
        }
        if let Some(engine) = self.engines.get_mut_busy(&first.id) {
            engine.on_service(now, false);
        }
    }

    pub(super) fn shares(&mut self, now: Timestamp) -> Rc<Shares> {
        if let Some((made, shares)) = &self.shares
            && now.since(*made) < SHARES_TTL
        {
            return shares.clone();
        }
        let shares = Rc::new(self.new_shares(now));
        self.shares = Some((now, shares.clone()));
        shares
    }

    fn new_shares(&mut self, now: Timestamp) -> Shares {
        let own = self.usage.reports(now);
        let (asked, given) = self.fleet.tenant_rates(&own);
        Shares::new(asked, given, self.capacity, self.limits.policy.fair_capacity)
    }
}
