//! What tenants ask for and are given, and the fair level that follows from it.

use crate::figures::TenantReport;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Rates under this are forgotten, in tokens a second.
const FORGOTTEN_RATE: f64 = 1.0;

/// Time for which an account is at least taken to be kept: rates over less are mostly chance. A few dozen
/// requests reach a router in it at the load of the deployments.
const LEAST_KEPT: Duration = Duration::from_millis(300);

/// An amount a second, over a window that fades.
#[derive(Debug, Clone, Copy, Default)]
struct FadingRate {
    amount: f64,
    moved: Timestamp,
}

impl FadingRate {
    fn fade(&mut self, now: Timestamp, window: Duration) {
        let passed = now.since(self.moved).as_secs_f64() / window.as_secs_f64();
        self.amount *= (-passed).exp();
        self.moved = now;
    }

    fn add(&mut self, now: Timestamp, window: Duration, amount: f64) {
        self.fade(now, window);
        self.amount += amount;
    }

    /// The rate, for an account that has been kept for `kept`. What a window holds that is not full yet
    /// is divided by the part that is, so that a router that has just started doesn't tell too little.
    fn per_second(mut self, now: Timestamp, window: Duration, kept: Duration) -> f64 {
        self.fade(now, window);
        let kept = kept.max(LEAST_KEPT).as_secs_f64() / window.as_secs_f64();
        let full = 1.0 - (-kept).exp();
        self.amount / window.as_secs_f64() / full
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct TenantUsage {
    asked: FadingRate,
    given: FadingRate,
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
        let usage = self.tenants.entry(tenant.clone()).or_default();
        usage.asked.add(now, self.window, cost as f64);
    }

    /// A tenant is given `cost` tokens of service.
    pub fn on_given(&mut self, now: Timestamp, tenant: &Arc<str>, cost: u64) {
        let usage = self.tenants.entry(tenant.clone()).or_default();
        usage.given.add(now, self.window, cost as f64);
    }

    /// The rates of all tenants that ask for anything or are given it, by name; the others are forgotten.
    pub fn reports(&mut self, now: Timestamp) -> Vec<TenantReport> {
        let window = self.window;
        let kept = self.began.map_or(Duration::ZERO, |began| now.since(began));
        self.tenants.retain(|_, usage| {
            let asked = usage.asked.per_second(now, window, kept);
            asked.max(usage.given.per_second(now, window, kept)) >= FORGOTTEN_RATE
        });
        let reports = self.tenants.iter().map(|(name, usage)| TenantReport {
            name: name.to_string(),
            asked: usage.asked.per_second(now, window, kept) as f32,
            given: usage.given.per_second(now, window, kept) as f32,
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
