//! Routers that decide alone, before engines that read prompts in order and keep what they read, in seeded
//! virtual time. One router with all the traffic knows everything at once: it is what a fleet is held
//! against.

use mastbay_routing::{
    Admission, AllowedRegions, BackEnd, BackEndId, BackEndList, BackEndState, BudgetLimits, Demand,
    Dispatcher, DispatcherLimits, EngineLimits, ExposureLimits, Limits, PeerId, Placement, Policy,
    Prompt, PromptPart, RouterPhase, RoutingConfiguration, Service, TicketId, WarmupLimits,
    ZoneRegions,
};
use mastbay_types::Timestamp;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What is simulated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterFleet {
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Requests a second, over the whole fleet.
    pub requests_per_second: f64,
    /// Time during which requests come.
    pub length: Duration,
    /// Seed of all chance.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RouterFleetReport {
    /// Requests that came.
    pub requests: u32,
    /// Requests whose first event came within the objective.
    pub in_time: u32,
    /// Requests whose first event came later.
    pub late: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Shared prompt tokens that were read though an engine held them, in thousands.
    pub read_again_thousands: u64,
    /// Most requests at one engine at a time.
    pub most_at_engine: u32,
}

impl RouterFleetReport {
    /// Part of the requests whose first event came in time.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

const SERVICE: &str = "model";
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Prompt tokens that an engine reads in a millisecond.
const PACE: f64 = 100.0;
/// Time from a prompt's end to its first event.
const FIRST_STEP: Duration = Duration::from_millis(30);
/// Time from the first event to the last.
const GENERATION: Duration = Duration::from_millis(1_500);
/// Prefixes that requests share, and the tokens of one.
const PREFIXES: u64 = 600;
const PREFIX_TOKENS: u32 = 1_400;
/// Tokens of a request's own part, from and to.
const OWN_TOKENS: (u32, u32) = (300, 5_000);
/// Time between digests of a router with up to ten peers, as the router has it.
const DIGEST_PERIOD: Duration = Duration::from_millis(80);
const PEERS_AT_FULL_RATE: f64 = 10.0;
/// Time for a datagram.
const DATAGRAM_TIME: Duration = Duration::from_millis(2);
/// Time between two looks at those that wait.
const POLL_PERIOD: Duration = Duration::from_millis(8);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Poll(usize),
    SendDigest(usize),
    Begin(usize, TicketId),
    End(usize, TicketId),
}

#[derive(Debug, Default)]
struct SimulatedEngine {
    reads_until: Timestamp,
    ends: BinaryHeap<Reverse<Timestamp>>,
    held: HashSet<u64>,
}

impl SimulatedEngine {
    /// The first event's time of a request that reaches it now, and the shared tokens that it reads.
    fn take(&mut self, now: Timestamp, slots: u32, prompt: &Prompt) -> (Timestamp, u32) {
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.ends.pop();
        }
        let begins = if self.ends.len() as u32 >= slots {
            self.ends.pop().map_or(now, |Reverse(end)| end)
        } else {
            now
        };
        let unread: Vec<PromptPart> =
            prompt.parts.iter().copied().filter(|part| self.held.insert(part.id)).collect();
        let tokens: u32 = unread.iter().map(|part| part.tokens).sum();
        let reading = Duration::from_secs_f64(f64::from(tokens) / PACE / 1e3);
        self.reads_until = self.reads_until.max(begins) + reading;
        let first = self.reads_until + FIRST_STEP;
        self.ends.push(Reverse(first + GENERATION));
        let shared = prompt.parts.len().saturating_sub(1);
        let own = prompt.parts[shared..].iter().map(|part| part.id).collect::<HashSet<_>>();
        let shared = unread.iter().filter(|part| !own.contains(&part.id));
        (first, shared.map(|part| part.tokens).sum())
    }
}

struct World {
    scenario: RouterFleet,
    random: ChaCha8Rng,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    dispatchers: Vec<Dispatcher>,
    engines: BTreeMap<BackEndId, SimulatedEngine>,
    waiting: BTreeMap<(usize, TicketId), Demand>,
    read_once: HashSet<u64>,
    report: RouterFleetReport,
}

/// Plays a scenario to its end.
pub fn play_router_fleet(scenario: RouterFleet) -> RouterFleetReport {
    let mut world = World::new(scenario);
    world.schedule(Duration::ZERO, Event::Arrival);
    for router in 0..scenario.routers {
        let phase = world.random.random_range(0.0..1.0);
        world.schedule(DIGEST_PERIOD.mul_f64(phase), Event::SendDigest(router));
        world.schedule(POLL_PERIOD.mul_f64(phase), Event::Poll(router));
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
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: Timestamp::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            dispatchers,
            engines,
            waiting: BTreeMap::new(),
            read_once: HashSet::new(),
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
                self.schedule(POLL_PERIOD, Event::Poll(router));
            }
            Event::SendDigest(router) => self.send_digest(router),
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
        let gap = -mean * (1.0 - self.random.random::<f64>()).ln();
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        self.report.requests += 1;
        let demand = self.demand();
        let router = self.random.random_range(0..self.scenario.routers);
        let dispatcher = &mut self.dispatchers[router];
        dispatcher.on_request(self.now, &demand);
        match dispatcher.admit(self.now, demand.clone(), self.random.random()) {
            Admission::Placed(placement) => self.send(router, &demand, &placement),
            Admission::Waiting(ticket) => drop(self.waiting.insert((router, ticket), demand)),
            Admission::Refused(_) => self.report.refused += 1,
        }
    }

    fn demand(&mut self) -> Demand {
        // Some prefixes are asked for far more often than others.
        let skewed = self.random.random::<f64>().powi(2);
        let prefix = (skewed * PREFIXES as f64) as u64;
        let own = self.random.random_range(OWN_TOKENS.0..OWN_TOKENS.1);
        let parts = vec![
            PromptPart { id: prefix, tokens: PREFIX_TOKENS },
            PromptPart { id: self.random.next_u64() | (1 << 63), tokens: own },
        ];
        let prompt = Prompt {
            parts,
            input_tokens: PREFIX_TOKENS + own,
            max_output_tokens: 200,
            output_hint: None,
        };
        let tenant = format!("tenant-{}", self.random.random_range(0..16));
        Demand {
            service: SERVICE.to_owned(),
            prompt: Some(prompt),
            arrived: self.now,
            deadline: self.now + Duration::from_secs(10),
            objective: OBJECTIVE,
            priority: 1,
            tenant: Some(Arc::from(tenant)),
            tried: Vec::new(),
            regions: AllowedRegions::default(),
            route: 1,
            suspect: None,
        }
    }

    fn poll(&mut self, router: usize) {
        let draw = self.random.random();
        for (ticket, verdict) in self.dispatchers[router].poll(self.now, draw) {
            let Some(demand) = self.waiting.remove(&(router, ticket)) else { continue };
            match verdict {
                Ok(placement) => self.send(router, &demand, &placement),
                Err(_) => self.report.refused += 1,
            }
        }
    }

    fn send(&mut self, router: usize, demand: &Demand, placement: &Placement) {
        let Some(prompt) = &demand.prompt else { return };
        let Some(engine) = self.engines.get_mut(&placement.back_end.id) else { return };
        let (first, shared) = engine.take(self.now, self.scenario.slots, prompt);
        self.report.most_at_engine = self.report.most_at_engine.max(engine.ends.len() as u32);
        let is_first_read = prompt.prefix_key().is_none_or(|key| self.read_once.insert(key));
        if !is_first_read {
            self.report.read_again_thousands += u64::from(shared) / 1_000;
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
        let heard = self.now + DATAGRAM_TIME;
        for (index, peer) in self.dispatchers.iter_mut().enumerate() {
            if index != router {
                peer.on_digest(heard, digest.clone());
            }
        }
        let peers = self.scenario.routers as f64 - 1.0;
        let factor = (peers / PEERS_AT_FULL_RATE).max(1.0);
        self.schedule(DIGEST_PERIOD.mul_f64(factor), Event::SendDigest(router));
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
    let engine = EngineLimits { batch: 48, memory_tokens: 1_000_000, tokens_per_event: 1 };
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
