//! Request rates of tenants, and max-min fair sharing of capacity among them.

use crate::decaying_counter::DecayingCounter;
use crate::load_stats::TenantReport;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Rate below which a tenant is dropped, in tokens a second.
const MIN_RATE: f64 = 1.0;

/// Minimum time that rates are computed over. Rates over shorter times are mostly noise.
const MIN_ELAPSED: Duration = Duration::from_millis(300);

/// Tokens that one tenant requested and was granted.
#[derive(Debug, Clone, Copy)]
struct TenantUsage {
    asked: DecayingCounter,
    given: DecayingCounter,
}

impl TenantUsage {
    fn new(window: Duration) -> Self {
        Self { asked: DecayingCounter::new(window), given: DecayingCounter::new(window) }
    }

    /// Returns the requested and granted rates at `now`, in tokens a second. They are corrected for
    /// a window that is not full yet, so that a router that has just started doesn't report too low
    /// rates.
    fn rates(&self, now: Timestamp, window: Duration, elapsed: Duration) -> (f64, f64) {
        let window = window.as_secs_f64();
        let elapsed = elapsed.max(MIN_ELAPSED).as_secs_f64() / window;
        let full = window * (1.0 - (-elapsed).exp());
        (self.asked.at(now) / full, self.given.at(now) / full)
    }
}

/// Usage of this router by tenant.
#[derive(Debug)]
pub struct Usage {
    window: Duration,
    /// When the first tenant requested anything.
    began: Option<Timestamp>,
    tenants: HashMap<Arc<str>, TenantUsage>,
}

impl Usage {
    /// Creates an empty account; `window` is the time constant of the rates.
    pub fn new(window: Duration) -> Self {
        Self { window, began: None, tenants: HashMap::new() }
    }

    /// Records that a tenant requests `cost` tokens of service.
    pub fn on_asked(&mut self, now: Timestamp, tenant: &Arc<str>, cost: u64) {
        self.began.get_or_insert(now);
        self.usage_of(tenant).asked.add(now, cost as f64);
    }

    /// Records that a tenant is granted `cost` tokens of service.
    pub fn on_given(&mut self, now: Timestamp, tenant: &Arc<str>, cost: u64) {
        self.usage_of(tenant).given.add(now, cost as f64);
    }

    fn usage_of(&mut self, tenant: &Arc<str>) -> &mut TenantUsage {
        let window = self.window;
        self.tenants.entry(tenant.clone()).or_insert_with(|| TenantUsage::new(window))
    }

    /// Returns the rates of all active tenants, sorted by name, and drops inactive ones.
    pub fn reports(&mut self, now: Timestamp) -> Vec<TenantReport> {
        let window = self.window;
        let elapsed = self.began.map_or(Duration::ZERO, |began| now.since(began));
        self.tenants.retain(|_, usage| {
            let (asked, given) = usage.rates(now, window, elapsed);
            asked.max(given) >= MIN_RATE
        });
        let reports = self.tenants.iter().map(|(name, usage)| {
            let (asked, given) = usage.rates(now, window, elapsed);
            TenantReport { name: name.to_string(), asked: asked as f32, given: given as f32 }
        });
        let mut reports: Vec<TenantReport> = reports.collect();
        reports.sort_by(|left, right| left.name.cmp(&right.name));
        reports
    }
}

/// Returns the maximum granted to any demand when `capacity` is shared max-min fairly; infinity if
/// all demands can be met. Sorts `demands`.
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
