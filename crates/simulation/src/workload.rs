//! Arrivals of requests, identical for every dispatcher under the same scenario and seed.

use crate::scenario::{Arrivals, Scenario, TenantLoad};
use mastbay_types::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::time::Duration;

/// An arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the machine whose gateway receives it.
    pub gateway: usize,
    /// Actual cost of the request, in cost units.
    pub cost: u64,
}

/// One tenant's source of requests. Each has its own random number generator, so that dispatching
/// one tenant's requests does not change those of another tenant.
#[derive(Debug)]
struct Source {
    random: ChaCha8Rng,
    next_gateway: usize,
}

/// Request sources of all tenants.
#[derive(Debug)]
pub struct Workload {
    start: Timestamp,
    tenants: Vec<TenantLoad>,
    sources: Vec<Source>,
}

impl Workload {
    /// Creates the workload of a scenario for a seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let sources = (0..scenario.tenants.len())
            .map(|index| {
                let random = ChaCha8Rng::seed_from_u64(seed ^ (index as u64 + 1) << 32);
                Source { random, next_gateway: 0 }
            })
            .collect();
        let start = Timestamp::ZERO + scenario.load_start;
        Self { start, tenants: scenario.tenants.clone(), sources }
    }

    /// Returns the first arrivals of every tenant with their times.
    pub fn first(&mut self) -> Vec<(Timestamp, Arrival)> {
        let mut arrivals = Vec::new();
        for tenant in 0..self.tenants.len() {
            match self.tenants[tenant].arrivals {
                Arrivals::Closed { callers } => {
                    for _ in 0..callers {
                        // Spreads the callers over 100 ms to avoid simultaneous starts.
                        let micros = self.sources[tenant].random.random_range(0..100_000);
                        let at = self.start + Duration::from_micros(micros);
                        arrivals.push((at, self.draw(tenant)));
                    }
                }
                Arrivals::Open { .. } | Arrivals::Crowds { .. } => {
                    arrivals.push(self.next_open(self.start, tenant));
                }
            }
        }
        arrivals
    }

    /// Returns the tenant's next arrival after one at `now`, or `None` for closed arrivals.
    pub fn after_arrival(&mut self, now: Timestamp, tenant: usize) -> Option<(Timestamp, Arrival)> {
        match self.tenants[tenant].arrivals {
            Arrivals::Closed { .. } => None,
            _ => Some(self.next_open(now, tenant)),
        }
    }

    /// Returns the caller's next request after one has ended, or `None` for open arrivals.
    pub fn after_end(&mut self, tenant: usize) -> Option<Arrival> {
        match self.tenants[tenant].arrivals {
            Arrivals::Closed { .. } => Some(self.draw(tenant)),
            _ => None,
        }
    }

    fn next_open(&mut self, now: Timestamp, tenant: usize) -> (Timestamp, Arrival) {
        let (rate, crowd) = match self.tenants[tenant].arrivals {
            Arrivals::Open { rate } => (rate, None),
            Arrivals::Crowds { rate, on, off } => (rate, Some((on, off))),
            Arrivals::Closed { .. } => (1.0, None),
        };
        let random = &mut self.sources[tenant].random;
        let gap = Exp::new(rate).map_or(1.0, |gap| gap.sample(random));
        let mut at = now + Duration::from_secs_f64(gap);
        if let Some((on, off)) = crowd {
            at = within_crowd(at, on, off);
        }
        (at, self.draw(tenant))
    }

    fn draw(&mut self, tenant: usize) -> Arrival {
        let load = &self.tenants[tenant];
        let source = &mut self.sources[tenant];
        let cost = if load.cost_spread == 0.0 {
            load.median_cost as f64
        } else {
            let logarithm = (load.median_cost as f64).ln();
            LogNormal::new(logarithm, load.cost_spread)
                .map_or(load.median_cost as f64, |cost| cost.sample(&mut source.random))
        };
        let cost = (cost.round() as u64).clamp(1, load.largest_cost);
        let gateway = load.gateways[source.next_gateway % load.gateways.len()];
        source.next_gateway += 1;
        Arrival { tenant, gateway, cost }
    }
}

/// Returns `at`, or the start of the next crowd if `at` falls between two.
fn within_crowd(at: Timestamp, on: Duration, off: Duration) -> Timestamp {
    let period = (on + off).as_micros() as u64;
    let into = at.as_micros() % period;
    if into < on.as_micros() as u64 {
        return at;
    }
    Timestamp::from_micros(at.as_micros() - into + period)
}
