//! Weighted fair ordering of the tenants of one service.
//!
//! Every tenant has a *level*: the service it received, divided by its weight. The next unit of
//! capacity goes to the backlogged tenant with the lowest level. A tenant that becomes backlogged
//! starts no lower than the lowest backlogged tenant, so idle time earns no credit. This is
//! start-time fair queueing for costs that are known only after service: an estimate is charged
//! first and corrected when the actual cost is known.
//!
//! ```
//! use mastbay_fairness::FairOrder;
//! use mastbay_types::{Cost, TenantName};
//!
//! let mut order = FairOrder::default();
//! let (office, summaries) = (TenantName::from("office"), TenantName::from("summaries"));
//! order.set_backlogged(&office, true);
//! order.set_backlogged(&summaries, true);
//! order.charge(&summaries, Cost(10));
//! assert_eq!(order.next(), Some(&office));
//! ```

use mastbay_types::{Cost, TenantName, Weight};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Sub-units per cost unit, which limit the rounding error of the division by a weight.
const SCALE: i64 = 1_000;

/// Service received over weight, in thousandths of a cost unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Level(pub i64);

impl Level {
    /// Returns the level that `cost` adds to a tenant of `weight`.
    pub fn of(cost: Cost, weight: Weight) -> Level {
        Level(cost.0.saturating_mul(SCALE) / i64::from(weight.get()))
    }

    /// Returns the level in cost units divided by weight.
    pub fn in_cost_units(self) -> f64 {
        self.0 as f64 / SCALE as f64
    }

    /// Returns the sum of two levels; saturates at the bounds of `i64`.
    pub fn plus(self, other: Level) -> Level {
        Level(self.0.saturating_add(other.0))
    }
}

#[derive(Debug, Clone)]
struct Account {
    weight: Weight,
    level: Level,
    backlogged: bool,
}

/// The fair order over the tenants of one cell.
#[derive(Debug, Clone, Default)]
pub struct FairOrder {
    accounts: BTreeMap<TenantName, Account>,
    backlogged: BTreeSet<(Level, TenantName)>,
    /// Level at which a tenant starts when none is backlogged: the highest level served so far.
    floor: Level,
}

impl FairOrder {
    /// Sets a tenant's weight; its level is kept.
    pub fn set_weight(&mut self, tenant: &TenantName, weight: Weight) {
        self.account(tenant).weight = weight;
    }

    /// Returns the tenant's weight, or one if none was set.
    pub fn weight(&self, tenant: &TenantName) -> Weight {
        self.accounts.get(tenant).map_or(Weight::ONE, |account| account.weight)
    }

    /// Sets whether `tenant` has waiting requests. A tenant that becomes backlogged is raised to
    /// the lowest level of the backlogged tenants.
    pub fn set_backlogged(&mut self, tenant: &TenantName, backlogged: bool) {
        let start = self.starting_level();
        let account = self.account(tenant);
        if account.backlogged == backlogged {
            return;
        }
        account.backlogged = backlogged;
        if backlogged {
            account.level = account.level.max(start);
            let entry = (account.level, tenant.clone());
            self.backlogged.insert(entry);
        } else {
            let entry = (account.level, tenant.clone());
            self.backlogged.remove(&entry);
        }
    }

    /// Charges `cost` to a tenant. A negative cost corrects an estimate that was too high.
    pub fn charge(&mut self, tenant: &TenantName, cost: Cost) {
        let account = self.account(tenant);
        let level = account.level.plus(Level::of(cost, account.weight));
        self.set_level(tenant, level);
    }

    /// Resets all levels and backlogs; weights are kept.
    pub fn forget_levels(&mut self) {
        self.backlogged.clear();
        self.floor = Level::default();
        for account in self.accounts.values_mut() {
            account.level = Level::default();
            account.backlogged = false;
        }
    }

    /// Raises a tenant to `level` if it is below, when another process reports a higher level than
    /// this order has.
    pub fn raise_to(&mut self, tenant: &TenantName, level: Level) {
        if self.level(tenant) < level {
            self.set_level(tenant, level);
        }
    }

    /// Restores the level that a tenant had in the order of a predecessor and marks the tenant as
    /// backlogged without raising it to the lowest backlogged level.
    pub fn restore_backlogged(&mut self, tenant: &TenantName, level: Level) {
        self.set_backlogged(tenant, false);
        let account = self.account(tenant);
        account.level = level;
        account.backlogged = true;
        self.backlogged.insert((level, tenant.clone()));
    }

    /// Returns the tenant's level, or zero for an unknown tenant.
    pub fn level(&self, tenant: &TenantName) -> Level {
        self.accounts.get(tenant).map_or(Level::default(), |account| account.level)
    }

    /// Returns the backlogged tenant with the lowest level, which is served next.
    pub fn next(&self) -> Option<&TenantName> {
        self.backlogged.first().map(|(_, tenant)| tenant)
    }

    /// Returns all backlogged tenants in ascending order of level.
    pub fn backlogged(&self) -> impl Iterator<Item = &TenantName> {
        self.backlogged.iter().map(|(_, tenant)| tenant)
    }

    /// Raises the starting level of tenants that become backlogged while no other is backlogged to
    /// that of `tenant`. To be called before its service is charged.
    pub fn note_served(&mut self, tenant: &TenantName) {
        self.floor = self.floor.max(self.level(tenant));
    }

    fn starting_level(&self) -> Level {
        self.backlogged.first().map_or(self.floor, |(level, _)| *level)
    }

    fn account(&mut self, tenant: &TenantName) -> &mut Account {
        self.accounts.entry(tenant.clone()).or_insert(Account {
            weight: Weight::ONE,
            level: Level::default(),
            backlogged: false,
        })
    }

    fn set_level(&mut self, tenant: &TenantName, level: Level) {
        let account = self.account(tenant);
        let previous = account.level;
        account.level = level;
        if account.backlogged {
            self.backlogged.remove(&(previous, tenant.clone()));
            self.backlogged.insert((level, tenant.clone()));
        }
    }
}
