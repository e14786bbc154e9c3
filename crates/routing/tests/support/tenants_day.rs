//! A day of unequal tenants with long and short prompts at 62 routers, before engines that prefill
//! in order of arrival. Sizes are those of licpat-mastbay-now-grown.
#![allow(dead_code, missing_docs)]

use super::engine_model::{EngineEvent, EngineModel, GROWN_ENGINE, RequestKey};
use super::fair_rule::{BINS_PER_SECOND, FairCounts};
use super::fleet::Fleet;
use super::{configuration, demand, list};
use mastbay_routing::{
    Admission, Placement, Policy, Prompt, PromptPart, ROUND_PERIOD, Refusal, TicketId,
};
use mastbay_types::{Timestamp, mixed_hash};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const ROUTERS: usize = 62;
const ENGINES: usize = 60;
const TENANTS: usize = 30;
/// Exponent of the tenants' sizes by rank.
const SKEW: f64 = 2.25;
/// Connected callers, which are divided among the tenants by size.
const CALLERS: f64 = 288.0;
/// Declared capacity, in tokens per second.
const DECLARED: u64 = 2_300_000;
/// Mean number of requests that a caller sends at once.
const CLUMP: u64 = 3;
const STEP: Duration = Duration::from_millis(8);
const DURATION: Duration = Duration::from_secs(19);
/// The part of the day in which windows count, in seconds.
pub const COUNTED: std::ops::Range<usize> = 5..19;
/// Longest delay that callers follow, as a fraction of the time left to the deadline.
const MAX_RETURN_FRACTION: f64 = 0.34;

/// A kind of request.
struct Kind {
    /// Part of all requests.
    weight: f64,
    objective: Duration,
    deadline: Duration,
    /// Tokens that all prompts share, and mean tokens of the part that some share.
    shared: (u32, f64),
    /// Number of distinct parts for each tenant.
    things: u64,
    /// Mean, spread and maximum of a prompt's own tokens.
    own: (f64, f64, f64),
    /// Mean, spread and maximum of the events of a stream.
    events: (f64, f64, f64),
}

/// The requests of licpat-mastbay-now-grown.
const KINDS: [Kind; 3] = [
    Kind {
        weight: 262.0,
        objective: Duration::from_millis(400),
        deadline: Duration::from_secs(12),
        shared: (512, 4_870.0),
        things: 552,
        own: (6_610.0, 1.4, 54_600.0),
        events: (42.5, 0.44, 124.0),
    },
    Kind {
        weight: 465.0,
        objective: Duration::from_millis(250),
        deadline: Duration::from_secs(10),
        shared: (119, 79.4),
        things: 842,
        own: (628.0, 1.0, 3_310.0),
        events: (32.4, 0.69, 106.0),
    },
    Kind {
        weight: 512.0,
        objective: Duration::from_millis(300),
        deadline: Duration::from_millis(2_500),
        shared: (341, 227.0),
        things: 2_414,
        own: (1_800.0, 1.3, 6_870.0),
        events: (2.51, 1.4, 10.0),
    },
];

/// A change of a tenant's rate of requests.
#[derive(Debug, Clone, Copy)]
pub struct Jump {
    /// The tenant by size, from 1.
    pub rank: usize,
    pub from: f64,
    pub until: f64,
    pub factor: f64,
}

/// The load of a day.
#[derive(Debug, Clone)]
pub struct Day {
    pub seed: u64,
    /// Requests per second of all tenants at their usual rates.
    pub rate: f64,
    pub jumps: Vec<Jump>,
    /// Part of the small routers that are late, and the interval at which these run.
    pub late: (f64, Duration),
    /// Part of the prompts of the second to the fourth tenant that is long; `None` for the usual
    /// part.
    pub long: Option<f64>,
}

impl Day {
    /// The largest tenant returns after a quiet time, while others have jumps of their own.
    pub fn of_jumps(seed: u64, rate: f64) -> Self {
        let jump = |rank, from, until, factor| Jump { rank, from, until, factor };
        Self {
            seed,
            rate,
            jumps: vec![
                jump(1, 0.5, 8.0, 0.02),
                jump(9, 3.5, 10.8, 10.6),
                jump(3, 9.5, 17.0, 3.6),
                jump(2, 11.5, 17.7, 0.05),
                jump(4, 13.5, 21.0, 11.2),
            ],
            late: (0.1, Duration::from_millis(100)),
            long: None,
        }
    }

    fn factor(&self, tenant: usize, seconds: f64) -> f64 {
        let jumps = self.jumps.iter().filter(|jump| jump.rank == tenant + 1);
        jumps
            .filter(|jump| (jump.from..jump.until).contains(&seconds))
            .map(|jump| jump.factor)
            .product()
    }
}

/// One try of a request.
#[derive(Clone)]
struct Try {
    tenant: usize,
    router: usize,
    prompt: Prompt,
    output: u32,
    objective: Duration,
    sent: Timestamp,
    deadline: Timestamp,
    is_return: bool,
}

enum RouterEvent {
    Request(Box<Try>),
    FirstEvent(TicketId),
    Event(TicketId),
    End(TicketId),
}

/// Simulates a day in virtual time.
pub struct DaySimulation {
    day: Day,
    fleet: Fleet,
    random: ChaCha8Rng,
    pub counts: FairCounts,
    engines: Vec<EngineModel>,
    engine_names: HashMap<String, usize>,
    /// Routers of each tenant's callers.
    callers: Vec<Vec<usize>>,
    inboxes: Vec<Vec<RouterEvent>>,
    late: Vec<bool>,
    waiting: BTreeMap<RequestKey, Try>,
    /// Requests without their first event.
    open: BTreeMap<RequestKey, (usize, Timestamp)>,
    placed: HashMap<RequestKey, Try>,
    returning: BTreeMap<(Timestamp, u64), Try>,
    requests: u64,
    begin: Timestamp,
    /// Refusals by tenant, second and reason.
    refused: BTreeMap<(usize, usize, &'static str), u32>,
    /// Tokens placed by tenant, second and class.
    placed_by_class: BTreeMap<(usize, usize, &'static str), f64>,
    /// Refusals while the engines have free slots and no request waits there.
    pub refused_with_room: u64,
    pub refusals: u64,
    pub tries: u64,
}

fn size(tenant: usize) -> f64 {
    let sum: f64 = (1..=TENANTS).map(|rank| (rank as f64).powf(-SKEW)).sum();
    ((tenant + 1) as f64).powf(-SKEW) / sum
}

fn normal(random: &mut ChaCha8Rng) -> f64 {
    let (first, second): (f64, f64) = (random.random(), random.random());
    (-2.0 * first.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}

/// Draws from a log-normal distribution with a mean, the deviation of the logarithm and a maximum.
fn log_normal(random: &mut ChaCha8Rng, (mean, spread, max): (f64, f64, f64)) -> f64 {
    let location = mean.ln() - spread * spread / 2.0;
    (location + spread * normal(random)).exp().clamp(1.0, max)
}

impl DaySimulation {
    pub fn new(day: Day, policy: Policy) -> Self {
        let mut fleet = Fleet::with_policy(ROUTERS, ENGINES, policy);
        let mut limits = configuration(Some(DECLARED));
        for service in &mut limits.services {
            if let Some(engine) = &mut service.engine {
                engine.memory_tokens = 715_203;
                engine.batch = 32;
            }
        }
        for router in fleet.routers.values_mut() {
            router.on_configuration(&limits);
            router.on_back_ends(Timestamp::ZERO, &list(2, ENGINES, GROWN_ENGINE.slots as u32));
        }
        fleet.rounds(60);
        let mut random = ChaCha8Rng::seed_from_u64(day.seed);
        let callers = (0..TENANTS)
            .map(|tenant| {
                let count = (CALLERS * size(tenant)).round().max(1.0) as usize;
                (0..count).map(|_| random.random_range(0..ROUTERS)).collect()
            })
            .collect();
        let late = (0..ROUTERS)
            .map(|router| router >= 15 && random.random::<f64>() < day.late.0)
            .collect();
        let begin = fleet.now;
        Self {
            fleet,
            random,
            counts: FairCounts::default(),
            engines: (0..ENGINES).map(|_| EngineModel::new(GROWN_ENGINE)).collect(),
            engine_names: (0..ENGINES).map(|index| (format!("e{index}"), index)).collect(),
            callers,
            inboxes: (0..ROUTERS).map(|_| Vec::new()).collect(),
            late,
            waiting: BTreeMap::new(),
            open: BTreeMap::new(),
            placed: HashMap::new(),
            returning: BTreeMap::new(),
            requests: 0,
            begin,
            refused: BTreeMap::new(),
            placed_by_class: BTreeMap::new(),
            refused_with_room: 0,
            refusals: 0,
            tries: 0,
            day,
        }
    }

    fn seconds(&self) -> f64 {
        self.fleet.now.since(self.begin).as_secs_f64()
    }

    pub fn run(&mut self) {
        let mut elapsed = Duration::ZERO;
        let mut next_round = Duration::ZERO;
        let mut next_bin = 0.0;
        while elapsed < DURATION {
            if elapsed >= next_round {
                self.fleet.now = self.begin + next_round;
                self.fleet.round();
                next_round += ROUND_PERIOD;
            }
            elapsed += STEP;
            self.fleet.now = self.begin + elapsed;
            self.send_requests();
            self.run_engines();
            for router in 0..ROUTERS {
                let period = if self.late[router] { self.day.late.1 } else { STEP };
                let steps = (period.as_micros() / STEP.as_micros()).max(1);
                if (elapsed.as_micros() / STEP.as_micros() + router as u128).is_multiple_of(steps) {
                    self.run_router(router);
                }
            }
            if self.seconds() >= next_bin {
                self.mark_late_requests();
                next_bin += 1.0 / BINS_PER_SECOND as f64;
            }
        }
    }

    fn mark_late_requests(&mut self) {
        let (now, seconds) = (self.fleet.now, self.seconds());
        for (tenant, due) in self.open.values() {
            if *due < now {
                self.counts.at(*tenant, seconds).is_short = true;
            }
        }
        let unread = self.inboxes.iter().flatten();
        for event in unread {
            if let RouterEvent::Request(unread) = event
                && unread.sent + unread.objective < now
            {
                self.counts.at(unread.tenant, seconds).is_short = true;
            }
        }
    }

    fn send_requests(&mut self) {
        let seconds = self.seconds();
        for tenant in 0..TENANTS {
            let rate = self.day.rate * size(tenant) * self.day.factor(tenant, seconds);
            let mut mean = rate * STEP.as_secs_f64() / CLUMP as f64;
            while mean > 0.0 {
                if self.random.random::<f64>() < mean {
                    let router = self.random.random_range(0..self.callers[tenant].len());
                    let router = self.callers[tenant][router];
                    for _ in 0..self.random.random_range(1..=2 * CLUMP - 1) {
                        let new = self.new_try(tenant, router);
                        self.inboxes[router].push(RouterEvent::Request(Box::new(new)));
                    }
                }
                mean -= 1.0;
            }
        }
        while let Some(first) = self.returning.first_entry()
            && first.key().0 <= self.fleet.now
        {
            let mut again = first.remove();
            again.sent = self.fleet.now;
            self.on_sent(&again);
            self.inboxes[again.router].push(RouterEvent::Request(Box::new(again)));
        }
    }

    fn new_try(&mut self, tenant: usize, router: usize) -> Try {
        let long = self.day.long.filter(|_| (1..4).contains(&tenant));
        let weights: Vec<f64> = match long {
            Some(long) => vec![long, (1.0 - long) / 2.0, (1.0 - long) / 2.0],
            None => KINDS.iter().map(|kind| kind.weight).collect(),
        };
        let mut draw = self.random.random::<f64>() * weights.iter().sum::<f64>();
        let mut index = 0;
        while index + 1 < KINDS.len() && draw >= weights[index] {
            draw -= weights[index];
            index += 1;
        }
        let kind = &KINDS[index];
        self.requests += 1;
        let thing = self.random.random_range(0..kind.things);
        let mut of_thing = ChaCha8Rng::seed_from_u64(mixed_hash(index as u64, thing));
        let shared = log_normal(&mut of_thing, (kind.shared.1, 0.5, kind.shared.1 * 3.0)) as u32;
        let own = log_normal(&mut self.random, kind.own) as u32;
        let output =
            log_normal(&mut self.random, kind.events).ceil() as u32 * GROWN_ENGINE.tokens_per_event;
        let max_output = kind.events.2 as u32 * GROWN_ENGINE.tokens_per_event;
        let id = (index as u64 + 1) << 40;
        let parts = vec![
            PromptPart { id: id + 1, tokens: kind.shared.0 },
            PromptPart { id: id + 1_000 + thing * 64 + tenant as u64, tokens: shared },
            PromptPart { id: (1 << 50) + self.requests, tokens: own },
        ];
        let prompt = Prompt {
            parts,
            input_tokens: kind.shared.0 + shared + own,
            max_output_tokens: max_output.max(output),
            output_hint: self.random.random::<bool>().then_some(output),
        };
        let now = self.fleet.now;
        let new = Try {
            tenant,
            router,
            prompt,
            output,
            objective: kind.objective,
            sent: now,
            deadline: now + kind.deadline,
            is_return: false,
        };
        self.on_sent(&new);
        new
    }

    fn on_sent(&mut self, sent: &Try) {
        self.tries += 1;
        let seconds = self.seconds();
        self.counts.on_asked(sent.tenant, seconds, f64::from(sent.prompt.input_tokens));
    }

    fn run_engines(&mut self) {
        let now = self.fleet.now;
        let mut events = Vec::new();
        self.engines.iter_mut().for_each(|engine| engine.run_until(now, &mut events));
        for (at, event) in events {
            let seconds = at.since(self.begin).as_secs_f64();
            match event {
                EngineEvent::Begun(key) => {
                    let begun = &self.placed[&key];
                    let tokens = f64::from(begun.prompt.input_tokens);
                    self.counts.at(begun.tenant, seconds).given += tokens;
                }
                EngineEvent::FirstEvent(key) => {
                    self.open.remove(&key);
                    self.inboxes[key.0].push(RouterEvent::FirstEvent(key.1));
                }
                EngineEvent::Event(key) => self.inboxes[key.0].push(RouterEvent::Event(key.1)),
                EngineEvent::End(key) => {
                    self.placed.remove(&key);
                    self.inboxes[key.0].push(RouterEvent::End(key.1));
                }
            }
        }
    }

    fn run_router(&mut self, router: usize) {
        let now = self.fleet.now;
        for event in std::mem::take(&mut self.inboxes[router]) {
            match event {
                RouterEvent::Request(request) => self.admit(router, *request),
                RouterEvent::FirstEvent(ticket) => {
                    self.fleet.router(router).on_first_event(now, ticket);
                }
                RouterEvent::Event(ticket) => self.fleet.router(router).on_events(now, ticket, 1),
                RouterEvent::End(ticket) => {
                    self.fleet.router(router).on_end(now, ticket, Ok(()));
                }
            }
        }
        let draw = self.random.random();
        if !self.fleet.router(router).has_waiting() {
            return;
        }
        for (ticket, result) in self.fleet.router(router).poll(now, draw) {
            let key = (router, ticket);
            let Some(waiter) = self.waiting.remove(&key) else { continue };
            match result {
                Ok(placement) => self.start(key, &placement, waiter),
                Err(refusal) => {
                    self.open.remove(&key);
                    self.on_refused(waiter, &refusal);
                }
            }
        }
    }

    fn admit(&mut self, router: usize, request: Try) {
        let now = self.fleet.now;
        let tenant = format!("t{}", request.tenant + 1);
        let mut demand = demand(now, Some(request.prompt.clone()), &tenant);
        demand.objective = request.objective;
        demand.deadline = request.deadline;
        let draw = self.random.random();
        let dispatcher = self.fleet.router(router);
        dispatcher.on_request(now, &demand);
        match dispatcher.admit(now, demand, draw) {
            Admission::Placed(placement) => {
                let key = (router, placement.ticket);
                self.open.insert(key, (request.tenant, request.sent + request.objective));
                self.start(key, &placement, request);
            }
            Admission::Waiting(ticket) => {
                let due = request.sent + request.objective;
                self.open.insert((router, ticket), (request.tenant, due));
                self.waiting.insert((router, ticket), request);
            }
            Admission::Refused(refusal) => self.on_refused(request, &refusal),
        }
    }

    fn start(&mut self, key: RequestKey, placement: &Placement, request: Try) {
        let engine = self.engine_names[&placement.back_end.id.to_string()];
        let class = placement.share.map_or("none", |share| share.class.name());
        let by_class = (request.tenant, self.seconds() as usize, class);
        *self.placed_by_class.entry(by_class).or_default() +=
            f64::from(request.prompt.input_tokens);
        let (prompt, output) = (request.prompt.clone(), request.output);
        self.engines[engine].send(self.fleet.now, key, prompt, output);
        self.placed.insert(key, request);
    }

    fn on_refused(&mut self, request: Try, refusal: &Refusal) {
        let (now, seconds) = (self.fleet.now, self.seconds());
        self.refusals += 1;
        let busy: usize =
            self.engines.iter().map(|engine| engine.running() + engine.queued()).sum();
        let has_room = 2 * busy < ENGINES * GROWN_ENGINE.slots;
        self.refused_with_room += u64::from(has_room);
        self.counts.at(request.tenant, seconds).is_short = true;
        let reason = (request.tenant, seconds as usize, refusal.reason.name());
        *self.refused.entry(reason).or_default() += 1;
        let left = request.deadline.since(now);
        if request.is_return || refusal.retry_after > left.mul_f64(MAX_RETURN_FRACTION) {
            return;
        }
        let due = now + refusal.retry_after;
        self.requests += 1;
        self.returning.insert((due, self.requests), Try { is_return: true, ..request });
    }

    /// Prints each second of a tenant.
    pub fn print(&self, tenant: usize) {
        println!(
            "tenant {}: second, asked, given in thousands, short, placed by class, refused",
            tenant + 1
        );
        for second in 0..DURATION.as_secs() as usize {
            let sums = self.counts.second(tenant, second * BINS_PER_SECOND);
            let reasons =
                self.refused.iter().filter(|((one, at, _), _)| (*one, *at) == (tenant, second));
            let reasons = reasons.map(|((_, _, reason), count)| format!("{reason} {count}"));
            let placed = self.placed_by_class.iter();
            let placed = placed.filter(|((one, at, _), _)| (*one, *at) == (tenant, second));
            let placed =
                placed.map(|((_, _, class), tokens)| format!("{class} {:.0}", tokens / 1e3));
            let reasons: Vec<String> = placed.chain(reasons).collect();
            println!(
                "  {second:2} {:6.0} {:6.0} {:5} {}",
                sums.asked / 1e3,
                sums.given / 1e3,
                sums.is_short,
                reasons.join(", ")
            );
        }
    }
}
