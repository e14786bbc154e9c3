//! Tenants that ask for more than their share, over windows of some seconds, in fleets with aggregators.

mod support;

use mastbay_routing::{Admission, ROUND_PERIOD, TicketId};
use mastbay_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::fleet::{ENGINES, Fleet, SLOTS};
use support::{configuration, demand, prompt};

/// Time from a request's start to its end.
const SERVICE_TIME: Duration = Duration::from_millis(1_200);
/// Time from a request's start to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Tokens of a prompt.
const TOKENS: u32 = 2_100;
/// Prompt tokens that all prompts of a subject share.
const SHARED_TOKENS: u32 = 1_100;
/// Requests a second that each tenant asks for: three times what the fleet serves of both.
const ASKED: f64 = 400.0;
/// Part of what the engines serve that the configuration declares as their capacity.
const DECLARED_PART: f64 = 0.6;
/// Seconds played, and those of a window.
const LENGTH: u64 = 14;
const WINDOW: u64 = 6;
/// Time between two looks at who asks and who waits.
const STEP: Duration = Duration::from_millis(8);
/// Subjects that prompts are about.
const SUBJECTS: u64 = 200;
const SEED: u64 = 1;

/// A tenant whose callers are all at one router.
struct Tenant {
    name: &'static str,
    router: usize,
    /// When it begins to ask.
    from: Duration,
}

/// Tokens asked and given by tenant and second.
#[derive(Default)]
struct Account {
    asked: BTreeMap<(&'static str, u64), f64>,
    given: BTreeMap<(&'static str, u64), f64>,
}

/// What happens to a request at its engine.
enum Due {
    First(usize, TicketId),
    End(usize, TicketId),
}

/// A fleet before engines that serve each request in the same time.
struct Play {
    fleet: Fleet,
    random: ChaCha8Rng,
    account: Account,
    due: BTreeMap<(Timestamp, u64), Due>,
    waiting: BTreeSet<(usize, TicketId)>,
    /// Requests so far, and those of them that were started.
    requests: u64,
    started: u64,
    /// Time since the first tenant began.
    elapsed: Duration,
}

impl Play {
    fn new(size: usize) -> Self {
        let mut fleet = Fleet::new(size);
        let requests_per_second = ENGINES as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
        let declared = requests_per_second * f64::from(TOKENS) * DECLARED_PART;
        for router in fleet.routers.values_mut() {
            router.on_configuration(&configuration(Some(declared as u64)));
        }
        fleet.rounds(60);
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(SEED),
            account: Account::default(),
            due: BTreeMap::new(),
            waiting: BTreeSet::new(),
            requests: 0,
            started: 0,
            elapsed: Duration::ZERO,
        }
    }

    fn run(mut self, tenants: &[Tenant]) -> Account {
        let begin = self.fleet.now;
        let mut next_round = Duration::ZERO;
        while self.elapsed < Duration::from_secs(LENGTH) {
            if self.elapsed >= next_round {
                // A round moves the fleet's clock by itself.
                self.fleet.now = begin + next_round;
                self.fleet.round();
                next_round += ROUND_PERIOD;
            }
            self.elapsed += STEP;
            self.fleet.now = begin + self.elapsed;
            self.end_due();
            let asking = tenants.iter().filter(|tenant| tenant.from < self.elapsed);
            let asking: Vec<&Tenant> = asking.collect();
            for tenant in asking {
                self.ask(tenant);
                self.poll(tenant);
            }
        }
        self.account
    }

    fn end_due(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            let at = entry.key().0;
            if at > self.fleet.now {
                return;
            }
            match entry.remove() {
                Due::First(router, ticket) => self.fleet.router(router).on_first_event(at, ticket),
                Due::End(router, ticket) => {
                    self.fleet.router(router).on_end(at, ticket, Ok(()));
                }
            }
        }
    }

    fn ask(&mut self, tenant: &Tenant) {
        let mean = ASKED * STEP.as_secs_f64();
        let count = mean as u64 + u64::from(self.random.random::<f64>() < mean.fract());
        for _ in 0..count {
            self.requests += 1;
            let subject = self.random.random_range(0..SUBJECTS);
            let prompt = prompt(subject, self.requests, TOKENS - SHARED_TOKENS);
            let demand = demand(self.fleet.now, Some(prompt), tenant.name);
            let second = self.elapsed.as_secs();
            let asked = self.account.asked.entry((tenant.name, second)).or_default();
            *asked += f64::from(TOKENS);
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
        for (ticket, verdict) in self.fleet.router(tenant.router).poll(now, draw) {
            if self.waiting.remove(&(tenant.router, ticket)) && verdict.is_ok() {
                self.start(tenant, ticket);
            }
        }
    }

    fn start(&mut self, tenant: &Tenant, ticket: TicketId) {
        let given = self.account.given.entry((tenant.name, self.elapsed.as_secs())).or_default();
        *given += f64::from(TOKENS);
        let now = self.fleet.now;
        self.started += 1;
        self.due.insert((now + FIRST_EVENT, self.started), Due::First(tenant.router, ticket));
        self.due.insert((now + SERVICE_TIME, self.started), Due::End(tenant.router, ticket));
    }
}

/// The least part, over windows of six seconds, of what a tenant is due that it is given: in each second the lesser of what
/// it asks for and what the best served tenant is given.
fn least_part_given(account: &Account, tenants: &[Tenant], from: u64) -> f64 {
    let rate =
        |rates: &BTreeMap<_, f64>, name, second| rates.get(&(name, second)).copied().unwrap_or(0.0);
    let best = |second| {
        tenants.iter().map(|one| rate(&account.given, one.name, second)).fold(0.0, f64::max)
    };
    let mut least: f64 = 1.0;
    for begin in from..=LENGTH - WINDOW {
        for tenant in tenants {
            let window = begin..begin + WINDOW;
            let due: f64 = window
                .clone()
                .map(|second| rate(&account.asked, tenant.name, second).min(best(second)))
                .sum();
            let given: f64 = window.map(|second| rate(&account.given, tenant.name, second)).sum();
            least = least.min(given / due.max(1.0));
        }
    }
    least
}

/// Two tenants, each at a router of its own, that ask for the same, more than their share; the second begins four seconds
/// after the first. Gives the least part of its due that either is given in any six seconds with both there.
fn least_part_of_two(size: usize, routers: (usize, usize)) -> f64 {
    let first = Tenant { name: "first", router: routers.0, from: Duration::ZERO };
    let second = Tenant { name: "second", router: routers.1, from: Duration::from_secs(4) };
    let tenants = [first, second];
    let account = Play::new(size).run(&tenants);
    let least = least_part_given(&account, &tenants, 5);
    println!(
        "{size} routers: least part {least:.2}, tokens given by tenant and second {:?}",
        account.given
    );
    least
}

// Symptom: in a fleet of 295 routers one tenant is given under half of what another is given over six seconds, while it asks
// for as much and its requests are refused all through.
//
// Sequence: both ask for more than the fair level. Each router refuses what the rates that it knows show to be above it. The
// tenant that all believe to be above is given next to nothing for two seconds, and the other everything; then all learn of
// that, and the two change places.
//
// Cause: through aggregators rates take up to two seconds, 0.64 s on each of three ways, half of the four seconds over which
// they are measured. A control loop that is that late swings from one end to the other.
//
// What settled it: requests given a second in this play with 295 routers, from the fourth second on: first tenant 94, 16, 0, 211,
// 198, 69, 82, 221, second tenant 98, 278, 281, 9, 45, 163, 202, 34; the least part is 0.43 (0.48 with 62 routers). With seven
// routers, which tell all others directly, it is 0.79.
#[test]
fn tenants_above_their_share_are_given_alike_in_large_fleets() {
    for (size, routers) in [(62, (17, 38)), (295, (1, 250))] {
        let least = least_part_of_two(size, routers);
        assert!(
            least > 0.5,
            "{size} routers: a tenant is given {least:.2} of its due over six seconds"
        );
    }
}

#[test]
fn tenants_above_their_share_are_given_alike_in_a_small_fleet() {
    let least = least_part_of_two(7, (5, 0));
    assert!(least > 0.5, "a tenant is given {least:.2} of its due over six seconds");
}
