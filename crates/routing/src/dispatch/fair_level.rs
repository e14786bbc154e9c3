//! Tenants' rates over the fleet, the fair level that follows, and the order of waiters.

use crate::policy::FairCapacity;
use crate::shares::water_level;
use crate::waiting::{Waiter, WaitingOrder};
use std::collections::HashMap;

/// Part of the fair share from which on others are left capacity before a tenant gets more.
const PRECEDENCE_FRACTION: f64 = 0.5;

/// How much of its max-min fair share of the capacity a tenant is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareClass {
    /// Under half of the fair share.
    BelowHalf,
    /// From half of the fair share up to it.
    BelowShare,
    /// More than the fair share.
    AboveShare,
}

/// Tenants' rates over the fleet and the fair level.
#[derive(Debug)]
pub struct Shares {
    asked: HashMap<String, f64>,
    given: HashMap<String, f64>,
    /// The most that a tenant is given before others go first, in tokens a second.
    pub fair_level: f64,
}

impl Shares {
    /// The shares that follow from rates asked and given by tenant. What is given shows what engines
    /// really make; the capacity of the configuration is a guess.
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

    /// Service that a tenant asks for, in tokens a second. What its callers ask for on connections that are closed unread is
    /// not part of it.
    pub fn asked(&self, tenant: &str) -> f64 {
        self.asked.get(tenant).copied().unwrap_or(0.0)
    }

    /// Service given to a tenant, in tokens a second.
    pub fn given(&self, tenant: &str) -> f64 {
        self.given.get(tenant).copied().unwrap_or(0.0)
    }

    /// How much of its share a tenant is given.
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

    /// The place of a waiter in the order.
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
