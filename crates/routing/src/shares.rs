//! What tenants ask for and are given, and the fair level that follows from it.

use crate::decaying_counter::DecayingCounter;
use crate::load_stats::TenantReport;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Rates under this are forgotten, in tokens a second.
const FORGOTTEN_RATE: f64 = 1.0;

/// Time for which an account is at least taken to be kept: rates over less are mostly chance. A few dozen
/// requests reach a router in it at the load of the deployments.
const LEAST_KEPT: Duration = Duration::from_millis(300);

/// Tokens that one tenant asked for and was given.
#[derive(Debug, Clone, Copy)]
struct TenantUsage {
    asked: DecayingCounter,
    given: DecayingCounter,
}

impl TenantUsage {
    fn new(window: Duration) -> Self {
        Self { asked: DecayingCounter::new(window), given: DecayingCounter::new(window) }
    }

    /// The rates at `now`, in tokens a second. What a window holds that is not full yet is divided by the part that is, so
    /// that a router that has just started doesn't tell too little.
    fn rates(&self, now: Timestamp, window: Duration, kept: Duration) -> (f64, f64) {
        let window = window.as_secs_f64();
        let kept = kept.max(LEAST_KEPT).as_secs_f64() / window;
        let full = window * (1.0 - (-kept).exp());
        (self.asked.at(now) / full, self.given.at(now) / full)
    }
}

/// One router's account of its tenants.
#[derive(Debug)]
pub struct Usage {
    window: Duration,
    /// When the first tenant asked for anything.
    began: Option<Timestamp>,
    tenants: HashMap<Arc<str>, TenantUsage>,
}

impl Usage {
    /// An empty account over `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, began: None, tenants: HashMap::new() }
    }

    /// A tenant asks for `cost` tokens of service.
    pub fn on_asked(&mut self, now: Timestamp, tenant: &Arc<str>, cost: u64) {
        self.began.get_or_insert(now);
        self.usage_of(tenant).asked.add(now, cost as f64);
    }

    /// A tenant is given `cost` tokens of service.
    pub fn on_given(&mut self, now: Timestamp, tenant: &Arc<str>, cost: u64) {
        self.usage_of(tenant).given.add(now, cost as f64);
    }

    fn usage_of(&mut self, tenant: &Arc<str>) -> &mut TenantUsage {
        let window = self.window;
        self.tenants.entry(tenant.clone()).or_insert_with(|| TenantUsage::new(window))
    }

    /// The rates of all tenants that ask for anything or are given it, by name; the others are forgotten.
    pub fn reports(&mut self, now: Timestamp) -> Vec<TenantReport> {
        let window = self.window;
        let kept = self.began.map_or(Duration::ZERO, |began| now.since(began));
        self.tenants.retain(|_, usage| {
            let (asked, given) = usage.rates(now, window, kept);
            asked.max(given) >= FORGOTTEN_RATE
        });
        let reports = self.tenants.iter().map(|(name, usage)| {
            let (asked, given) = usage.rates(now, window, kept);
            TenantReport { name: name.to_string(), asked: asked as f32, given: given as f32 }
        });
        let mut reports: Vec<TenantReport> = reports.collect();
        reports.sort_by(|left, right| left.name.cmp(&right.name));
        reports
    }
}

/// The most that one of several demands is given when `capacity` is shared max-min fairly; infinite
/// when all demands can be met.
pub fn water_level(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let even = left / (demands.len() - index) as f64;
        if *demand > even {
            return even;
        }
        left -= demand;
    }
    f64::INFINITY
}
