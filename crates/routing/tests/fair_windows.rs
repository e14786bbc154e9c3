//! Fairness over a few seconds between tenants that request more than their share, in small fleets
//! and in large ones with aggregators.

mod support;

use mastbay_routing::{Admission, ROUND_PERIOD, TicketId};
use mastbay_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::fleet::{ENGINES, Fleet, SLOTS};
use support::{configuration, demand, prompt};

/// Time from the start of a request to its end.
const SERVICE_TIME: Duration = Duration::from_millis(1_200);
/// Time from the start of a request to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Number of tokens of a prompt.
const TOKENS: u32 = 2_100;
/// Number of tokens of the prefix that prompts share.
const PREFIX_TOKENS: u32 = 1_100;
/// Requests per second of each tenant; both together request three times what the fleet serves.
const REQUEST_RATE: f64 = 400.0;
/// Fraction of the capacity of the engines that the configuration declares.
const DECLARED_FRACTION: f64 = 0.6;
/// Duration of the simulation, in seconds.
const DURATION_SECS: u64 = 14;
/// Duration of a window, in seconds.
const WINDOW_SECS: u64 = 6;
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(8);
/// Number of distinct prompt prefixes.
const PREFIXES: u64 = 200;
const SEED: u64 = 1;

/// A tenant whose callers are all connected to one router.
struct Tenant {
    name: &'static str,
    router: usize,
    /// Time of its first request.
    from: Duration,
}

/// Requested and granted tokens by tenant and second.
#[derive(Default)]
struct TokenCounts {
    requested: BTreeMap<(&'static str, u64), f64>,
    granted: BTreeMap<(&'static str, u64), f64>,
}

/// Scheduled event of a running request.
enum ScheduledEvent {
    FirstEvent(usize, TicketId),
    End(usize, TicketId),
}

/// Simulates a fleet whose engines serve every request in the same time.
struct Simulation {
    fleet: Fleet,
    random: ChaCha8Rng,
    counts: TokenCounts,
    scheduled: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    waiting: BTreeSet<(usize, TicketId)>,
    /// Number of requests so far.
    requests: u64,
    /// Number of requests started so far.
    started: u64,
    /// Time since the start of the simulation.
    elapsed: Duration,
}

impl Simulation {
    fn new(size: usize) -> Self {
        let mut fleet = Fleet::new(size);
        let requests_per_second = ENGINES as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
        let declared = requests_per_second * f64::from(TOKENS) * DECLARED_FRACTION;
        for router in fleet.routers.values_mut() {
            router.on_configuration(&configuration(Some(declared as u64)));
        }
        fleet.rounds(60);
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(SEED),
            counts: TokenCounts::default(),
            scheduled: BTreeMap::new(),
            waiting: BTreeSet::new(),
            requests: 0,
            started: 0,
            elapsed: Duration::ZERO,
        }
    }

    fn run(mut self, tenants: &[Tenant]) -> TokenCounts {
        let begin = self.fleet.now;
        let mut next_round = Duration::ZERO;
        while self.elapsed < Duration::from_secs(DURATION_SECS) {
            if self.elapsed >= next_round {
                // A round advances the fleet's clock.
                self.fleet.now = begin + next_round;
                self.fleet.round();
                next_round += ROUND_PERIOD;
            }
            self.elapsed += STEP;
            self.fleet.now = begin + self.elapsed;
            self.process_scheduled();
            let active = tenants.iter().filter(|tenant| tenant.from < self.elapsed);
            let active: Vec<&Tenant> = active.collect();
            for tenant in active {
                self.send_requests(tenant);
                self.poll(tenant);
            }
        }
        self.counts
    }

    fn process_scheduled(&mut self) {
        while let Some(entry) = self.scheduled.first_entry() {
            let at = entry.key().0;
            if at > self.fleet.now {
                return;
            }
            match entry.remove() {
                ScheduledEvent::FirstEvent(router, ticket) => {
                    self.fleet.router(router).on_first_event(at, ticket)
                }
                ScheduledEvent::End(router, ticket) => {
                    self.fleet.router(router).on_end(at, ticket, Ok(()));
                }
            }
        }
    }

    fn send_requests(&mut self, tenant: &Tenant) {
        let mean = REQUEST_RATE * STEP.as_secs_f64();
        let count = mean as u64 + u64::from(self.random.random::<f64>() < mean.fract());
        for _ in 0..count {
            self.requests += 1;
            let prefix = self.random.random_range(0..PREFIXES);
            let prompt = prompt(prefix, self.requests, TOKENS - PREFIX_TOKENS);
            let demand = demand(self.fleet.now, Some(prompt), tenant.name);
            let second = self.elapsed.as_secs();
            let requested = self.counts.requested.entry((tenant.name, second)).or_default();
            *requested += f64::from(TOKENS);
            let (now, draw) = (self.fleet.now, self.random.random());
            let router = self.fleet.router(tenant.router);
            router.on_request(now, &demand);
            match router.admit(now, demand, draw) {
                Admission::Placed(placement) => self.start(tenant, placement.ticket),
                Admission::Waiting(ticket) => {
                    self.waiting.insert((tenant.router, ticket));
                }
                Admission::Refused(_) => {}
            }
        }
    }

    fn poll(&mut self, tenant: &Tenant) {
        let (now, draw) = (self.fleet.now, self.random.random());
        for (ticket, result) in self.fleet.router(tenant.router).poll(now, draw) {
            if self.waiting.remove(&(tenant.router, ticket)) && result.is_ok() {
                self.start(tenant, ticket);
            }
        }
    }

    fn start(&mut self, tenant: &Tenant, ticket: TicketId) {
        let granted = self.counts.granted.entry((tenant.name, self.elapsed.as_secs())).or_default();
        *granted += f64::from(TOKENS);
        let now = self.fleet.now;
        self.started += 1;
        self.scheduled.insert(
            (now + FIRST_EVENT, self.started),
            ScheduledEvent::FirstEvent(tenant.router, ticket),
        );
        self.scheduled
            .insert((now + SERVICE_TIME, self.started), ScheduledEvent::End(tenant.router, ticket));
    }
}

/// Returns the minimum over tenants and windows of granted tokens divided by the fair share. The
/// share in each second is the lesser of what the tenant requests and what the best served tenant
/// is granted.
fn min_granted_fraction(counts: &TokenCounts, tenants: &[Tenant], from: u64) -> f64 {
    let rate =
        |rates: &BTreeMap<_, f64>, name, second| rates.get(&(name, second)).copied().unwrap_or(0.0);
    let best = |second| {
        tenants.iter().map(|one| rate(&counts.granted, one.name, second)).fold(0.0, f64::max)
    };
    let mut min_fraction: f64 = 1.0;
    for begin in from..=DURATION_SECS - WINDOW_SECS {
        for tenant in tenants {
            let window = begin..begin + WINDOW_SECS;
            let share: f64 = window
                .clone()
                .map(|second| rate(&counts.requested, tenant.name, second).min(best(second)))
                .sum();
            let granted: f64 =
                window.map(|second| rate(&counts.granted, tenant.name, second)).sum();
            min_fraction = min_fraction.min(granted / share.max(1.0));
        }
    }
    min_fraction
}

/// Simulates two tenants at different routers with the same request rate; the second starts four
/// seconds after the first. Returns the minimum fraction of its fair share that either is granted
/// in any window with both.
fn min_fraction_of_two(size: usize, routers: (usize, usize)) -> f64 {
    let first = Tenant { name: "first", router: routers.0, from: Duration::ZERO };
    let second = Tenant { name: "second", router: routers.1, from: Duration::from_secs(4) };
    let tenants = [first, second];
    let counts = Simulation::new(size).run(&tenants);
    let min_fraction = min_granted_fraction(&counts, &tenants, 5);
    println!(
        "{size} routers: minimum fraction {min_fraction:.2}, granted tokens by tenant and second {:?}",
        counts.granted
    );
    min_fraction
}

/// Aggregators delay rates by up to half the window over which they are measured. Routers must not
/// react so strongly that two tenants are served alternately, each refused for seconds.
#[test]
fn tenants_above_their_share_are_granted_alike_in_large_fleets() {
    for (size, routers) in [(62, (17, 38)), (295, (1, 250))] {
        let min_fraction = min_fraction_of_two(size, routers);
        assert!(
            min_fraction > 0.5,
            "{size} routers: a tenant is granted {min_fraction:.2} of its fair share over six seconds"
        );
    }
}

#[test]
fn tenants_above_their_share_are_granted_alike_in_a_small_fleet() {
    let min_fraction = min_fraction_of_two(7, (5, 0));
    assert!(
        min_fraction > 0.5,
        "a tenant is granted {min_fraction:.2} of its fair share over six seconds"
    );
}
