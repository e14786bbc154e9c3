//! Simulation of independent routers in seeded virtual time. Engines prefill prompts in order of
//! arrival and cache all prompt parts. A single router, which always has complete state, is the
//! baseline for a fleet.

use mastbay_routing::{
    Admission, AllowedRegions, BackEnd, BackEndId, BackEndList, BackEndState, BudgetLimits, Demand,
    Dispatcher, DispatcherLimits, EARLY_ROUND_PERIOD, EngineLimits, ExposureLimits, Limits, PeerId,
    Placement, Policy, Prompt, PromptPart, RouterPhase, RoutingConfiguration, Service, TicketId,
    WarmupLimits, ZoneRegions,
};
use mastbay_types::Timestamp;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterFleet {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Mean arrival rate of the whole fleet, in requests per second.
    pub requests_per_second: f64,
    /// Simulated time.
    pub length: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RouterFleetReport {
    /// Number of requests that arrived.
    pub requests: u32,
    /// Requests whose first event is within the objective.
    pub in_time: u32,
    /// Requests whose first event is later than the objective.
    pub late: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Shared prompt tokens, in thousands, prefilled again after some engine had prefilled them.
    pub repeated_prefill_thousands: u64,
    /// Maximum number of concurrent requests at one engine.
    pub max_at_engine: u32,
}

impl RouterFleetReport {
    /// Returns the fraction of requests whose first event is within the objective.
    pub fn in_time_fraction(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

const SERVICE: &str = "model";
const OBJECTIVE: Duration = Duration::from_millis(400);
const PREFILL_TOKENS_PER_MILLISECOND: f64 = 100.0;
/// Time from the end of prefill to the first event.
const FIRST_STEP: Duration = Duration::from_millis(30);
/// Time from the first event to the last.
const GENERATION: Duration = Duration::from_millis(1_500);
/// Number of shared prefixes, and the tokens of each.
const PREFIXES: u64 = 600;
const PREFIX_TOKENS: u32 = 1_400;
/// Range of tokens in the unshared part of a request; the end is exclusive.
const OWN_TOKENS: (u32, u32) = (300, 5_000);
/// Interval between digests of a router with up to `PEERS_AT_FULL_RATE` peers, as in production.
const DIGEST_INTERVAL: Duration = Duration::from_millis(80);
const PEERS_AT_FULL_RATE: f64 = 10.0;
/// One-way delay of a datagram.
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);
/// Interval between polls of waiting requests.
const POLL_INTERVAL: Duration = Duration::from_millis(8);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Poll(usize),
    SendDigest(usize),
    /// Time at which a router may send its next digest early.
    CheckSlots(usize),
    Begin(usize, TicketId),
    End(usize, TicketId),
}

#[derive(Debug, Default)]
struct SimulatedEngine {
    prefill_until: Timestamp,
    ends: BinaryHeap<Reverse<Timestamp>>,
    cached_parts: HashSet<u64>,
}

impl SimulatedEngine {
    /// Accepts a request at `now`. Returns the time of its first event and the number of shared
    /// tokens that it prefills.
    fn submit(&mut self, now: Timestamp, slots: u32, prompt: &Prompt) -> (Timestamp, u32) {
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.ends.pop();
        }
        let begins = if self.ends.len() as u32 >= slots {
            self.ends.pop().map_or(now, |Reverse(end)| end)
        } else {
            now
        };
        let uncached: Vec<PromptPart> =
            prompt.parts.iter().copied().filter(|part| self.cached_parts.insert(part.id)).collect();
        let tokens: u32 = uncached.iter().map(|part| part.tokens).sum();
        let prefill_time =
            Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MILLISECOND / 1e3);
        self.prefill_until = self.prefill_until.max(begins) + prefill_time;
        let first = self.prefill_until + FIRST_STEP;
        self.ends.push(Reverse(first + GENERATION));
        let shared = prompt.parts.len().saturating_sub(1);
        let own = prompt.parts[shared..].iter().map(|part| part.id).collect::<HashSet<_>>();
        let shared = uncached.iter().filter(|part| !own.contains(&part.id));
        (first, shared.map(|part| part.tokens).sum())
    }
}

struct World {
    scenario: RouterFleet,
    /// Draws the requests, the same ones for any number of routers.
    arrivals: ChaCha8Rng,
    random: ChaCha8Rng,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    dispatchers: Vec<Dispatcher>,
    engines: BTreeMap<BackEndId, SimulatedEngine>,
    waiting: BTreeMap<(usize, TicketId), Demand>,
    prefilled: HashSet<u64>,
    report: RouterFleetReport,
}

/// Runs a simulation to its end.
pub fn simulate_router_fleet(scenario: RouterFleet) -> RouterFleetReport {
    let mut world = World::new(scenario);
    world.schedule(Duration::ZERO, Event::Arrival);
    for router in 0..scenario.routers {
        let phase = world.random.random_range(0.0..1.0);
        world.schedule(DIGEST_INTERVAL.mul_f64(phase), Event::SendDigest(router));
        world.schedule(POLL_INTERVAL.mul_f64(phase), Event::Poll(router));
    }
    let last = Timestamp::ZERO + scenario.length;
    while let Some(Reverse((time, _, event))) = world.queue.pop() {
        if time > last {
            break;
        }
        world.now = time;
        world.handle(event);
    }
    world.report
}

impl World {
    fn new(scenario: RouterFleet) -> Self {
        let names = (0..scenario.engines).map(|index| format!("engine-{index}"));
        let back_ends: Vec<BackEnd> = names.map(|name| back_end(&name, scenario.slots)).collect();
        let list = BackEndList { revision: 1.into(), back_ends };
        let dispatchers = (0..scenario.routers).map(|index| dispatcher(index, &list)).collect();
        let engines = list.back_ends.iter();
        let engines = engines.map(|one| (one.id.clone(), SimulatedEngine::default())).collect();
        Self {
            scenario,
            arrivals: ChaCha8Rng::seed_from_u64(scenario.seed),
            random: ChaCha8Rng::seed_from_u64(!scenario.seed),
            now: Timestamp::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            dispatchers,
            engines,
            waiting: BTreeMap::new(),
            prefilled: HashSet::new(),
            report: RouterFleetReport::default(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, time: Timestamp, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Poll(router) => {
                self.poll(router);
                self.schedule(POLL_INTERVAL, Event::Poll(router));
            }
            Event::SendDigest(router) => {
                self.send_digest(router);
                let peers = self.scenario.routers as f64 - 1.0;
                let factor = (peers / PEERS_AT_FULL_RATE).max(1.0);
                self.schedule(DIGEST_INTERVAL.mul_f64(factor), Event::SendDigest(router));
                if factor <= 1.0 {
                    self.schedule(EARLY_ROUND_PERIOD, Event::CheckSlots(router));
                }
            }
            Event::CheckSlots(router) => {
                if self.dispatchers[router].has_unreported_slots() {
                    self.send_digest(router);
                }
            }
            Event::Begin(router, ticket) => {
                self.dispatchers[router].on_first_event(self.now, ticket);
            }
            Event::End(router, ticket) => {
                self.dispatchers[router].on_end(self.now, ticket, Ok(()));
                self.poll(router);
            }
        }
    }

    fn on_arrival(&mut self) {
        let mean = 1.0 / self.scenario.requests_per_second;
        let gap = -mean * (1.0 - self.arrivals.random::<f64>()).ln();
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        self.report.requests += 1;
        let demand = self.demand();
        let routers = self.scenario.routers as f64;
        let router = (self.arrivals.random::<f64>() * routers) as usize;
        let dispatcher = &mut self.dispatchers[router];
        dispatcher.on_request(self.now, &demand);
        match dispatcher.admit(self.now, demand.clone(), self.random.random()) {
            Admission::Placed(placement) => self.send(router, &demand, &placement),
            Admission::Waiting(ticket) => drop(self.waiting.insert((router, ticket), demand)),
            Admission::Refused(_) => self.report.refused += 1,
        }
    }

    fn demand(&mut self) -> Demand {
        // The distribution of prefixes is skewed towards low numbers.
        let skewed = self.arrivals.random::<f64>().powi(2);
        let prefix = (skewed * PREFIXES as f64) as u64;
        let own = self.arrivals.random_range(OWN_TOKENS.0..OWN_TOKENS.1);
        let parts = vec![
            PromptPart { id: prefix, tokens: PREFIX_TOKENS },
            PromptPart { id: self.arrivals.next_u64() | (1 << 63), tokens: own },
        ];
        let prompt = Prompt {
            parts,
            input_tokens: PREFIX_TOKENS + own,
            max_output_tokens: 200,
            output_hint: None,
        };
        let tenant = format!("tenant-{}", self.arrivals.random_range(0..16));
        Demand {
            service: SERVICE.to_owned(),
            prompt: Some(prompt),
            arrived: self.now,
            deadline: self.now + Duration::from_secs(10),
            objective: OBJECTIVE,
            pause_objective: None,
            priority: 1,
            tenant: Some(Arc::from(tenant)),
            tried: Vec::new(),
            regions: AllowedRegions::default(),
            route: 1,
            version: None,
            suspect: None,
        }
    }

    fn poll(&mut self, router: usize) {
        let draw = self.random.random();
        for (ticket, result) in self.dispatchers[router].poll(self.now, draw) {
            let Some(demand) = self.waiting.remove(&(router, ticket)) else { continue };
            match result {
                Ok(placement) => self.send(router, &demand, &placement),
                Err(_) => self.report.refused += 1,
            }
        }
    }

    fn send(&mut self, router: usize, demand: &Demand, placement: &Placement) {
        let Some(prompt) = &demand.prompt else { return };
        let Some(engine) = self.engines.get_mut(&placement.back_end.id) else { return };
        let (first, shared) = engine.submit(self.now, self.scenario.slots, prompt);
        self.report.max_at_engine = self.report.max_at_engine.max(engine.ends.len() as u32);
        let is_first_prefill = prompt.prefix_key().is_none_or(|key| self.prefilled.insert(key));
        if !is_first_prefill {
            self.report.repeated_prefill_thousands += u64::from(shared) / 1_000;
        }
        if first.since(demand.arrived) <= OBJECTIVE {
            self.report.in_time += 1;
        } else {
            self.report.late += 1;
        }
        self.schedule_at(first, Event::Begin(router, placement.ticket));
        self.schedule_at(first + GENERATION, Event::End(router, placement.ticket));
    }

    fn send_digest(&mut self, router: usize) {
        self.dispatchers[router].expire_peers(self.now);
        let digest = self.dispatchers[router].digest(self.now, RouterPhase::Serving);
        let received = self.now + DATAGRAM_DELAY;
        for (index, peer) in self.dispatchers.iter_mut().enumerate() {
            if index != router {
                peer.on_digest(received, digest.clone());
            }
        }
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn back_end(name: &str, slots: u32) -> BackEnd {
    BackEnd {
        id: BackEndId::from(name),
        service: SERVICE.to_owned(),
        address: address(0),
        zone: String::new(),
        version: "1".into(),
        slots,
        state: BackEndState::Ready,
        cold_for: Duration::ZERO,
    }
}

fn dispatcher(index: usize, list: &BackEndList) -> Dispatcher {
    let limits = DispatcherLimits {
        zone: String::new(),
        regions: ZoneRegions::default(),
        share_window: Duration::from_secs(4),
        budget: BudgetLimits::default(),
        burst_from: Timestamp::ZERO,
        processor: 1.0,
        exposure: ExposureLimits::default(),
        warmup: WarmupLimits::default(),
        most_waiting: 400,
        policy: Policy::default(),
    };
    let me = PeerId { address: address(index), incarnation: 1 };
    let engine =
        EngineLimits { batch: 48, memory_tokens: 1_000_000, tokens_per_event: 1, transfer: None };
    let service = Service {
        name: SERVICE.to_owned(),
        max_connections: 100,
        cold_rate: None,
        engine: Some(engine),
    };
    let mut dispatcher = Dispatcher::new(limits, me, address(index));
    dispatcher.on_configuration(&RoutingConfiguration {
        version: 1,
        services: vec![service],
        limits: Limits::default(),
        ..RoutingConfiguration::default()
    });
    dispatcher.on_back_ends(Timestamp::ZERO, list);
    dispatcher
}
