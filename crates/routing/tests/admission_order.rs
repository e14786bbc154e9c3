//! Admission by figures of the whole fleet, on replayed loads in virtual time.

mod support;

use mastbay_routing::{
    Admission, BackEndId, ConcurrencyPolicy, DelayFigures, Dispatcher, DispatcherLimits,
    MAX_DELAY_FRACTION, PeerId, Placement, Policy, ROUND_PERIOD, Refusal, RetryAfterPolicy,
    TicketId, WaitingScope,
};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use support::fleet::{Fleet, ZONES, address};
use support::{configuration, demand, limits, list, prompt};

const ROUTERS: usize = 60;
const ENGINES: usize = 64;
const SLOTS: u32 = 12;
/// Mean time from the start of a request to its end. At 60 routers and 64 engines a router and an
/// engine meet once in 7 s, too seldom for a limit that a router adjusts by its own observations.
const SERVICE_TIME: Duration = Duration::from_millis(1_500);
const FIRST_EVENT: Duration = Duration::from_millis(60);
const STEP: Duration = Duration::from_millis(8);
const PREFIXES: u64 = 400;
/// Tenants within their share, and the first one above it.
const SMALL_TENANTS: usize = 28;

fn fleet_policy() -> Policy {
    Policy {
        concurrency: ConcurrencyPolicy::Spare,
        waiting_scope: WaitingScope::Fleet,
        retry_after: RetryAfterPolicy::Backlog,
        ..Policy::default()
    }
}

/// A caller, which returns when it is told to, if the delay is at most a third of the time left.
#[derive(Clone, Copy)]
struct Caller {
    tenant: usize,
    request: u64,
    deadline: Timestamp,
    returns: u32,
}

#[derive(Default)]
struct Counts {
    /// Requested and placed requests by tenant.
    requested: BTreeMap<usize, u64>,
    placed: BTreeMap<usize, u64>,
    refused: u64,
    /// Refusals while the preferred engine ran under three quarters of its slots.
    refused_with_room: u64,
    /// Returns of callers, and those that were placed.
    returned: u64,
    returned_placed: u64,
    /// Delays longer than callers honor.
    too_long: u64,
    /// Sums over the steps of the busy slots.
    busy: u64,
    steps: u64,
}

struct Simulation {
    fleet: Fleet,
    random: ChaCha8Rng,
    counts: Counts,
    ends: BTreeMap<(Timestamp, u64), (usize, TicketId)>,
    first_events: BTreeMap<(Timestamp, u64), (usize, TicketId)>,
    returning: BTreeMap<(Timestamp, u64), Caller>,
    waiting: BTreeMap<(usize, TicketId), Caller>,
    requests: u64,
    started: u64,
    /// Times at which the slots of each engine are free.
    slots: HashMap<BackEndId, Vec<Timestamp>>,
}

impl Simulation {
    fn new(policy: Policy, has_capacity: bool) -> Self {
        let mut fleet = Fleet::with_engines(ROUTERS, ENGINES);
        let per_second = (ENGINES as f64 * f64::from(SLOTS)) / SERVICE_TIME.as_secs_f64();
        let tokens = prompt(0, 0, 1_000).cost() as f64;
        for index in 0..ROUTERS {
            let zone = format!("z{}", index % ZONES);
            let processor = if index / ZONES < 3 { 0.5 } else { 0.12 };
            let limits = DispatcherLimits { zone, processor, policy, ..limits() };
            let id = PeerId { address: address(index), incarnation: 1_000 + index as u64 };
            let mut router = Dispatcher::new(limits, id, address(index));
            let declared = has_capacity.then_some((per_second * tokens * 0.6) as u64);
            router.on_configuration(&configuration(declared));
            router.on_back_ends(Timestamp::ZERO, &list(1, ENGINES, SLOTS));
            fleet.routers.insert(address(index), router);
        }
        fleet.rounds(40);
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(1),
            counts: Counts::default(),
            ends: BTreeMap::new(),
            first_events: BTreeMap::new(),
            returning: BTreeMap::new(),
            waiting: BTreeMap::new(),
            requests: 0,
            started: 0,
            slots: HashMap::new(),
        }
    }

    /// Runs for `seconds` with the given rates of tenants. `each_step` may add requests.
    fn run(&mut self, seconds: u64, rates: &[f64]) {
        self.run_for(Duration::from_secs(seconds), rates);
    }

    fn run_for(&mut self, duration: Duration, rates: &[f64]) {
        let begin = self.fleet.now;
        let mut elapsed = Duration::ZERO;
        let mut next_round = Duration::ZERO;
        while elapsed < duration {
            if elapsed >= next_round {
                self.fleet.now = begin + next_round;
                self.fleet.round();
                next_round += ROUND_PERIOD;
            }
            elapsed += STEP;
            self.fleet.now = begin + elapsed;
            self.process_ends();
            self.send_returning();
            for (tenant, rate) in rates.iter().enumerate() {
                let mean = rate * STEP.as_secs_f64();
                let count = mean as u64 + u64::from(self.random.random::<f64>() < mean.fract());
                (0..count).for_each(|_| self.send_new(tenant));
            }
            (0..ROUTERS).for_each(|router| self.poll(router));
            let now = self.fleet.now;
            let busy = self.slots.values().flatten().filter(|free| **free > now);
            self.counts.busy += busy.count() as u64;
            self.counts.steps += 1;
        }
    }

    /// Sends twice as many requests as there are slots within 0.4 s.
    fn run_wave(&mut self) {
        let n = 1_600.0 / 30.0 / 0.4;
        self.run_for(Duration::from_millis(400), &vec![n; 30]);
    }

    fn process_ends(&mut self) {
        while let Some(entry) = self.first_events.first_entry()
            && entry.key().0 <= self.fleet.now
        {
            let (at, (router, ticket)) = (entry.key().0, entry.remove());
            self.fleet.router(router).on_first_event(at, ticket);
        }
        while let Some(entry) = self.ends.first_entry()
            && entry.key().0 <= self.fleet.now
        {
            let (at, (router, ticket)) = (entry.key().0, entry.remove());
            self.fleet.router(router).on_end(at, ticket, Ok(()));
        }
    }

    fn send_returning(&mut self) {
        while let Some(entry) = self.returning.first_entry()
            && entry.key().0 <= self.fleet.now
        {
            let caller = entry.remove();
            self.counts.returned += 1;
            self.send(caller);
        }
    }

    fn send_new(&mut self, tenant: usize) {
        self.requests += 1;
        *self.counts.requested.entry(tenant).or_default() += 1;
        let deadline = self.fleet.now + Duration::from_secs(20);
        self.send(Caller { tenant, request: self.requests, deadline, returns: 0 });
    }

    fn send(&mut self, caller: Caller) {
        let now = self.fleet.now;
        let router = self.random.random_range(0..ROUTERS);
        let prompt = prompt(caller.request * 7 % PREFIXES, caller.request, 1_000);
        let mut demand = demand(now, Some(prompt), &format!("t{}", caller.tenant));
        demand.deadline = caller.deadline;
        let draw = self.random.random();
        let dispatcher = self.fleet.router(router);
        dispatcher.on_request(now, &demand);
        match dispatcher.admit(now, demand, draw) {
            Admission::Placed(placement) => self.start(caller, router, &placement),
            Admission::Waiting(ticket) => {
                self.waiting.insert((router, ticket), caller);
            }
            Admission::Refused(refusal) => self.refuse(caller, &refusal),
        }
    }

    fn poll(&mut self, router: usize) {
        let (now, draw) = (self.fleet.now, self.random.random());
        for (ticket, result) in self.fleet.router(router).poll(now, draw) {
            let caller = self.waiting.remove(&(router, ticket)).expect("waits");
            match result {
                Ok(placement) => self.start(caller, router, &placement),
                Err(refusal) => self.refuse(caller, &refusal),
            }
        }
    }

    /// Runs a request as soon as its engine has a free slot.
    fn start(&mut self, caller: Caller, router: usize, placement: &Placement) {
        let ticket = placement.ticket;
        let slots = self.slots.entry(placement.back_end.id.clone());
        let slots = slots.or_insert_with(|| vec![Timestamp::ZERO; SLOTS as usize]);
        let slot = slots.iter_mut().min().expect("has slots");
        let now = self.fleet.now.max(*slot);
        self.started += 1;
        *self.counts.placed.entry(caller.tenant).or_default() += 1;
        self.counts.returned_placed += u64::from(caller.returns > 0);
        let taken = SERVICE_TIME.mul_f64(0.5 + self.random.random::<f64>());
        self.first_events.insert((now + FIRST_EVENT, self.started), (router, ticket));
        *slot = now + taken;
        self.ends.insert((now + taken, self.started), (router, ticket));
    }

    fn refuse(&mut self, mut caller: Caller, refusal: &Refusal) {
        let now = self.fleet.now;
        self.counts.refused += 1;
        let running = refusal.details.as_ref().map_or(SLOTS, |details| details.running);
        self.counts.refused_with_room += u64::from(running < SLOTS * 3 / 4);
        let remaining = caller.deadline.since(now);
        if now >= caller.deadline {
            return;
        }
        if refusal.retry_after > remaining.mul_f64(1.0 / 3.0) {
            self.counts.too_long += 1;
            return;
        }
        caller.returns += 1;
        self.returning.insert((now + refusal.retry_after, caller.request), caller);
    }
}

/// Rates of 28 tenants within their share and two that send two thirds of 1.3 times the capacity.
fn two_heavy_tenants() -> Vec<f64> {
    let capacity = ENGINES as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let mut rates = vec![0.25 * capacity / SMALL_TENANTS as f64; SMALL_TENANTS];
    rates.extend([0.6 * capacity; 2]);
    rates
}

fn run_two_heavy(policy: Policy) -> Counts {
    let mut simulation = Simulation::new(policy, true);
    simulation.run(4, &two_heavy_tenants());
    simulation.counts = Counts::default();
    simulation.run(6, &two_heavy_tenants());
    simulation.counts
}

fn busy_fraction(counts: &Counts) -> f64 {
    counts.busy as f64 / counts.steps as f64 / ENGINES as f64 / f64::from(SLOTS)
}

fn small_served(counts: &Counts) -> f64 {
    let sum = |by: &BTreeMap<usize, u64>| by.range(..SMALL_TENANTS).map(|(_, count)| count).sum();
    let (placed, requested): (u64, u64) = (sum(&counts.placed), sum(&counts.requested));
    placed as f64 / requested as f64
}

/// Guards against slots left empty while tenants above their share are refused, because a limit
/// that each router adjusts by its own observations stays at its initial value.
#[test]
fn tenants_above_their_share_use_the_slots_that_others_do_not_need() {
    let adaptive = run_two_heavy(Policy::default());
    let spare = run_two_heavy(fleet_policy());
    let with_room = spare.refused_with_room as f64 / spare.refused as f64;
    println!(
        "{with_room:.3} of refusals with room, {:.3} busy; others served {:.3}, adaptive {:.3}",
        busy_fraction(&spare),
        small_served(&spare),
        small_served(&adaptive),
    );
    let before = adaptive.refused_with_room as f64 / adaptive.refused as f64;
    assert!(with_room < before / 2.0, "{with_room:.3} of the refusals, {before:.3} before");
    assert!(small_served(&spare) >= small_served(&adaptive), "others are served as well");
}

/// Guards against refusals while an engine that could take the request has room: under 2 in 100.
#[test]
fn hardly_any_request_is_refused_while_a_quarter_of_the_slots_is_free() {
    let counts = run_two_heavy(fleet_policy());
    let with_room = counts.refused_with_room as f64 / counts.refused as f64;
    assert!(with_room < 0.02, "{with_room:.3} of the refusals");
}

/// Guards against callers that are told to return before those ahead of them have been placed.
#[test]
fn nine_of_ten_callers_that_were_told_to_return_are_placed() {
    let policy = Policy { retry_after: RetryAfterPolicy::Backlog, ..Policy::default() };
    let mut wave = Simulation::new(policy, false);
    let rates = vec![0.4 * 512.0 / 30.0; 30];
    wave.run(4, &rates);
    wave.counts = Counts::default();
    wave.run_wave();
    wave.run(8, &rates);
    let counts = &wave.counts;
    let placed = counts.returned_placed as f64 / counts.returned as f64;
    println!("{placed:.3} of {} returned callers placed", counts.returned);
    assert_eq!(counts.too_long, 0, "callers honor all delays");
    assert!(counts.returned > 200 && placed >= 0.9, "{placed:.3} of {}", counts.returned);
    for (tenant, requested) in &counts.requested {
        assert!(counts.placed[tenant] * 10 >= requested * 8, "tenant {tenant} is starved");
    }
}

quickcheck! {
    fn a_delay_is_never_longer_than_callers_honor(
        drain: u32, engine: u32, tenant: u32, remaining: u32, draw: u8
    ) -> bool {
        let millis = |value: u32| Duration::from_millis(u64::from(value));
        let figures = DelayFigures {
            drain_time: millis(drain),
            engine_time: millis(engine),
            tenant_time: millis(tenant),
            remaining: millis(remaining),
        };
        let longest = millis(remaining).mul_f64(MAX_DELAY_FRACTION);
        let delay = figures.delay(f64::from(draw) / 256.0);
        let wait = millis(drain).max(millis(tenant));
        delay <= longest && delay >= wait.min(longest.mul_f64(0.74))
    }
}
