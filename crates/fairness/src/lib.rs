//! The order in which tenants of one service are served.
//!
//! Every tenant has a *level*: the service it received, divided by its weight. The next unit of
//! capacity goes to the backlogged tenant with the lowest level. A tenant that becomes backlogged
//! starts no lower than the lowest backlogged tenant, so that idle time earns no credit. This is
//! start-time fair queueing applied to costs that are known only afterwards: an estimate is
//! charged first and corrected as the true cost shows.
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

/// Sub-units per cost unit, so that dividing by a weight loses little.
const SCALE: i64 = 1_000;

/// Service received over weight, in thousandths of a cost unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Level(pub i64);

impl Level {
    /// The level that `cost` adds to a tenant of `weight`.
    pub fn of(cost: Cost, weight: Weight) -> Level {
        Level(cost.0.saturating_mul(SCALE) / i64::from(weight.get()))
    }

    /// The level in cost units over weight.
    pub fn in_cost_units(self) -> f64 {
        self.0 as f64 / SCALE as f64
    }

    /// The sum of two levels.
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
    /// Where a tenant starts when nobody is backlogged: the level last served.
    floor: Level,
}

impl FairOrder {
    /// Declares a tenant's weight; its level is kept.
    pub fn set_weight(&mut self, tenant: &TenantName, weight: Weight) {
        self.account(tenant).weight = weight;
    }

    /// The tenant's declared weight, one if none was declared.
    pub fn weight(&self, tenant: &TenantName) -> Weight {
        self.accounts.get(tenant).map_or(Weight::ONE, |account| account.weight)
    }

    /// Says whether `tenant` has work that waits. A tenant that becomes backlogged is raised to
    /// the lowest level among the backlogged.
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

    /// Adds `cost`, which is negative when an estimate turns out too high.
    pub fn charge(&mut self, tenant: &TenantName, cost: Cost) {
        let account = self.account(tenant);
        let level = account.level.plus(Level::of(cost, account.weight));
        self.set_level(tenant, level);
    }

    /// Forgets all levels and backlogs; weights are kept.
    pub fn forget_levels(&mut self) {
        self.backlogged.clear();
        self.floor = Level::default();
        for account in self.accounts.values_mut() {
            account.level = Level::default();
            account.backlogged = false;
        }
    }

    /// Raises a tenant to `level` if it is below: used when others remember more than this order
    /// knows.
    pub fn raise_to(&mut self, tenant: &TenantName, level: Level) {
        if self.level(tenant) < level {
            self.set_level(tenant, level);
        }
    }

    /// Gives a tenant the level that it had in a predecessor's order, and marks it as backlogged
    /// without raising it: it was backlogged there all along.
    pub fn restore_backlogged(&mut self, tenant: &TenantName, level: Level) {
        self.set_backlogged(tenant, false);
        let account = self.account(tenant);
        account.level = level;
        account.backlogged = true;
        self.backlogged.insert((level, tenant.clone()));
    }

    /// The tenant's level; zero for one never seen.
    pub fn level(&self, tenant: &TenantName) -> Level {
        self.accounts.get(tenant).map_or(Level::default(), |account| account.level)
    }

    /// The backlogged tenant that is due next.
    pub fn next(&self) -> Option<&TenantName> {
        self.backlogged.first().map(|(_, tenant)| tenant)
    }

    /// All backlogged tenants, the one due next first.
    pub fn backlogged(&self) -> impl Iterator<Item = &TenantName> {
        self.backlogged.iter().map(|(_, tenant)| tenant)
    }

    /// Remembers that `tenant` is being served, so that a later starter begins no lower.
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
