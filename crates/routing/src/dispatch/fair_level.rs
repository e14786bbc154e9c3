//! Tenant rates over the fleet, the resulting max-min fair level, and the order of waiting
//! requests.

use crate::policy::FairCapacity;
use crate::share_class::ShareClass;
use crate::shares::water_level;
use crate::waiting::{Waiter, WaitingOrder};
use std::collections::HashMap;

/// Fraction of the fair level up to which a tenant has precedence.
const PRECEDENCE_FRACTION: f64 = 0.5;

/// Tenant rates over the fleet and the resulting fair level.
#[derive(Debug)]
pub struct Shares {
    asked: HashMap<String, f64>,
    given: HashMap<String, f64>,
    /// Service per tenant above which other tenants have precedence, in tokens per second.
    pub fair_level: f64,
}

impl Shares {
    /// Calculates the fair level from the rates requested and given by tenant. `capacity` is the
    /// declared one, an estimate; with [`FairCapacity::Served`] a higher total given rate replaces
    /// it.
    pub fn new(
        asked: HashMap<String, f64>,
        given: HashMap<String, f64>,
        capacity: Option<u64>,
        kind: FairCapacity,
    ) -> Self {
        let mut demands: Vec<f64> = asked.values().copied().collect();
        let total_given: f64 = given.values().sum();
        let fair_level = capacity.map_or(f64::INFINITY, |capacity| {
            let declared = capacity as f64;
            let shared = match kind {
                FairCapacity::Declared => declared,
                FairCapacity::Served => total_given.max(declared),
            };
            water_level(&mut demands, shared)
        });
        Self { asked, given, fair_level }
    }

    /// Returns the service that a tenant requests, in tokens per second. Connections closed unread
    /// are not included.
    pub fn asked(&self, tenant: &str) -> f64 {
        self.asked.get(tenant).copied().unwrap_or(0.0)
    }

    /// Returns the service given to a tenant, in tokens per second.
    pub fn given(&self, tenant: &str) -> f64 {
        self.given.get(tenant).copied().unwrap_or(0.0)
    }

    pub fn class(&self, tenant: &str) -> ShareClass {
        let given = self.given(tenant);
        if given > self.fair_level {
            ShareClass::AboveShare
        } else if given > self.fair_level * PRECEDENCE_FRACTION {
            ShareClass::BelowShare
        } else {
            ShareClass::BelowHalf
        }
    }

    /// Returns the sort key of a waiting request.
    pub fn order(&self, waiter: &Waiter) -> WaitingOrder {
        let tenant = waiter.demand.tenant.as_deref();
        WaitingOrder {
            priority: waiter.demand.priority,
            over_share: tenant.is_some_and(|tenant| self.class(tenant) == ShareClass::AboveShare),
            given: tenant.map_or(0.0, |tenant| self.given(tenant)),
            ticket: waiter.ticket.0,
        }
    }
}
