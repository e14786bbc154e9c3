//! How the routers of a fleet divide a burst by the registry: whatever seeds they are configured with,
//! whichever links are cut, and whichever of them reach the registry.

mod support;

use mastbay_routing::{
    BudgetLimits, Dispatcher, DispatcherLimits, Outgoing, PeerId, PeerMessage, ROUND_PERIOD,
    Registrations, Revision, RouterPhase, SourceContact,
};
use mastbay_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use support::{MODEL, limits};

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), burst: 54.0 };
/// Zones of a fleet, each with aggregators of its own in a large one.
const ZONES: usize = 4;
/// Time within which routers that have met divide the burst among all of them: a lease, and the time
/// to register and to tell it.
const SETTLING_TIME: Duration = Duration::from_secs(15);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

/// Which seeds the routers are configured with.
#[derive(Debug, Clone, Copy)]
enum SeedLists {
    Empty,
    OwnAddress,
    Unreachable,
    /// The first router in each of so many parts of the fleet.
    OneInEachOf(usize),
    /// Up to three routers or addresses without one, drawn for each router.
    Drawn,
}

/// A router and its links.
struct Node {
    router: Dispatcher,
    /// When it started; its clock counts from then.
    started: Timestamp,
    seeds: Vec<SocketAddr>,
    /// Routers exchange messages within a part only.
    part: usize,
    reaches_registry: bool,
    last_read: Timestamp,
    read_revision: Option<Revision>,
}

impl Node {
    fn clock(&self, now: Timestamp) -> Timestamp {
        Timestamp::ZERO + now.since(self.started)
    }
}

/// A fleet and its registry in virtual time.
struct Fleet {
    now: Timestamp,
    nodes: Vec<Node>,
    registry: Registrations,
    random: ChaCha8Rng,
    /// Reads of the registry by all routers.
    reads: usize,
    /// The largest sum of the parts of the burst that routers had at one time.
    largest_sum: f64,
}

impl Fleet {
    fn new(size: usize, lists: SeedLists, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Self {
            now: Timestamp::ZERO,
            nodes: Vec::new(),
            registry: Registrations::default(),
            random,
            reads: 0,
            largest_sum: 0.0,
        };
        (0..size).for_each(|_| fleet.add(size, lists));
        fleet
    }

    /// Starts a further router of a fleet that is configured for `size` routers.
    fn add(&mut self, size: usize, lists: SeedLists) {
        let index = self.nodes.len();
        let own = address(index);
        let limits = DispatcherLimits {
            zone: format!("zone-{}", index % ZONES),
            budget: LIMITS,
            burst_from: Timestamp::ZERO + LIMITS.window,
            ..limits()
        };
        let id = PeerId { address: own, incarnation: self.random.random() };
        let mut router = Dispatcher::new(limits, id, own);
        router.expect_registry();
        let mut seeds = match lists {
            SeedLists::Empty | SeedLists::OwnAddress => Vec::new(),
            SeedLists::Unreachable => vec![address(900), address(901)],
            SeedLists::OneInEachOf(parts) => vec![address(index % parts)],
            SeedLists::Drawn => {
                let count = self.random.random_range(0..=3);
                (0..count).map(|_| address(self.random.random_range(0..2 * size))).collect()
            }
        };
        seeds.retain(|seed| *seed != own);
        let started = self.now;
        self.nodes.push(Node {
            router,
            started,
            seeds,
            part: 0,
            reaches_registry: true,
            last_read: Timestamp::ZERO,
            read_revision: None,
        });
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ROUND_PERIOD;
            for index in 0..self.nodes.len() {
                self.use_registry(index);
                self.send_round(index);
            }
            self.largest_sum = self.largest_sum.max(self.sum_of_parts());
        }
    }

    fn send_round(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let messages = node.router.next_round(now, RouterPhase::Serving, &node.seeds);
        let mut queue: VecDeque<(usize, Outgoing)> =
            messages.into_iter().map(|message| (index, message)).collect();
        while let Some((sender, outgoing)) = queue.pop_front() {
            for target in &outgoing.targets {
                let Some(receiver) = self.index_of(*target) else { continue };
                if self.nodes[receiver].part == self.nodes[sender].part {
                    let responses = self.deliver(receiver, &outgoing.message);
                    queue.extend(responses.into_iter().map(|response| (receiver, response)));
                }
            }
        }
    }

    fn index_of(&self, target: SocketAddr) -> Option<usize> {
        (0..self.nodes.len()).find(|index| address(*index) == target)
    }

    fn deliver(&mut self, receiver: usize, message: &PeerMessage) -> Vec<Outgoing> {
        let node = &mut self.nodes[receiver];
        let now = node.clock(self.now);
        if let PeerMessage::Registry(notice) = message {
            node.router.on_registry_notice(now, now, notice.clone());
            return Vec::new();
        }
        let mut responses: Vec<Outgoing> =
            node.router.relayed_message(message).into_iter().collect();
        let new_peer = node.router.on_message(now, message.clone());
        if let Some(new_peer) = new_peer.filter(|new_peer| new_peer.needs_hello) {
            let message = PeerMessage::Digest(node.router.hello(RouterPhase::Serving));
            responses.push(Outgoing { message, targets: vec![new_peer.address] });
        }
        responses
    }

    /// Reads the registry and changes it as a router does that follows the source.
    fn use_registry(&mut self, index: usize) {
        let writes = self.random.random_bool(0.2);
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        if !node.router.watches_source(now) {
            node.router.on_source_contact(SourceContact::Idle);
            return;
        }
        if !node.reaches_registry {
            node.router.on_source_contact(SourceContact::Lost);
            return;
        }
        node.router.on_source_contact(SourceContact::Answered);
        if !node.router.reads_registry(now) {
            node.last_read = now;
            return;
        }
        // A change is told within a round, and a call that finds none lasts for its whole wait.
        let is_due = now.since(node.last_read) >= node.router.registry_wait();
        if is_due || node.read_revision != Some(self.registry.revision) {
            node.router.on_registry_read(now, node.last_read, self.registry.clone());
            node.last_read = now;
            node.read_revision = Some(self.registry.revision);
            self.reads += 1;
        }
        if writes && let Some(update) = node.router.registry_update(now, RouterPhase::Serving) {
            assert_eq!(update.revision, self.registry.revision, "a conflict in one thread");
            let number = self.registry.revision.number + 1;
            self.registry = Registrations { revision: number.into(), ..update };
        }
    }

    /// Returns the sum of the parts of the burst that the routers may spend now.
    fn sum_of_parts(&mut self) -> f64 {
        let now = self.now;
        let parts = self.nodes.iter_mut().map(|node| {
            let now = node.clock(now);
            let may_spend = now >= Timestamp::ZERO + LIMITS.window;
            let divided_by = node.router.fleet_count(now).divided_by.filter(|_| may_spend);
            divided_by.map_or(0.0, |routers| 1.0 / routers as f64)
        });
        parts.sum()
    }

    /// Returns the number of retries that all routers take at once.
    fn take_all(&mut self) -> usize {
        let now = self.now;
        let taken = self.nodes.iter_mut().map(|node| {
            let now = node.clock(now);
            (0..1_000).take_while(|_| node.router.take_retry(now, MODEL)).count()
        });
        taken.sum()
    }

    fn assert_within_budget(&self, case: &str) {
        // A router may use 0.7 of its part.
        let used = 0.7 * self.largest_sum;
        assert!(used <= 1.0, "{case}: {used} of the burst at one time");
    }
}

const ALL_LISTS: [SeedLists; 6] = [
    SeedLists::Empty,
    SeedLists::OwnAddress,
    SeedLists::Unreachable,
    SeedLists::OneInEachOf(2),
    SeedLists::OneInEachOf(3),
    SeedLists::Drawn,
];

/// Guards against shares that hang on the seeds in the settings.
#[test]
fn routers_divide_a_burst_among_all_whatever_their_seeds_are() {
    for lists in ALL_LISTS {
        for size in [2, 7, 9, 24] {
            let case = format!("{size} routers, {lists:?}");
            let mut fleet = Fleet::new(size, lists, 1);
            fleet.run(SETTLING_TIME);
            let sum = fleet.sum_of_parts();
            let taken = fleet.take_all();
            println!("{case}: parts add up to {sum}, at most {}; {taken}", fleet.largest_sum);
            assert!(fleet.largest_sum <= 1.0 + 1e-9, "{case}: {}", fleet.largest_sum);
            assert!((sum - 1.0).abs() < 1e-9, "{case}: parts add up to {sum}");
            assert!(taken as f64 <= LIMITS.burst, "{case}: {taken} retries");
        }
    }
}

/// The same in a fleet with aggregators, whose members learn the count from them.
#[test]
fn routers_of_a_large_fleet_divide_a_burst_among_all_whatever_their_seeds_are() {
    for (size, lists) in [(120, SeedLists::Empty), (300, SeedLists::OneInEachOf(2))] {
        let mut fleet = Fleet::new(size, lists, 1);
        fleet.run(SETTLING_TIME + LIMITS.window);
        let sum = fleet.sum_of_parts();
        println!("{size} routers: parts add up to {sum}, at most {}", fleet.largest_sum);
        assert!(fleet.largest_sum <= 1.0 + 1e-9, "{size} routers: {}", fleet.largest_sum);
        assert!((sum - 1.0).abs() < 0.05, "{size} routers: parts add up to {sum}");
    }
}

/// Guards against calls to the registry by many routers for the same answer.
#[test]
fn one_router_reads_the_registry_for_all() {
    for size in [7, 24, 120] {
        let mut fleet = Fleet::new(size, SeedLists::OneInEachOf(1), 1);
        fleet.run(SETTLING_TIME);
        fleet.reads = 0;
        let span = Duration::from_secs(60);
        fleet.run(span);
        let by_one = span.div_duration_f64(fleet.nodes[0].router.registry_wait());
        println!("{size} routers: {} reads, {by_one} by one router", fleet.reads);
        assert!(fleet.reads as f64 <= 1.5 * by_one, "{size} routers: {} reads", fleet.reads);
    }
}

/// Guards against a fleet whose count is not confirmed any more after the reader has gone.
#[test]
fn another_router_reads_the_registry_when_the_reader_can_not() {
    let mut fleet = Fleet::new(24, SeedLists::OneInEachOf(1), 1);
    fleet.run(SETTLING_TIME);
    for unreachable in 0..20 {
        fleet.nodes[unreachable].reaches_registry = false;
        fleet.run(Duration::from_secs(4));
        let sum = fleet.sum_of_parts();
        assert!((sum - 1.0).abs() < 1e-9, "{unreachable}: parts add up to {sum}");
    }
}

/// Guards against a router that takes itself for the whole fleet while the registry can't be read.
#[test]
fn routers_without_a_registry_that_was_read_have_no_part() {
    let mut fleet = Fleet::new(7, SeedLists::Empty, 1);
    fleet.nodes.iter_mut().for_each(|node| node.reaches_registry = false);
    fleet.run(SETTLING_TIME);
    assert_eq!(fleet.take_all(), 0);
    fleet.nodes.iter_mut().for_each(|node| node.reaches_registry = true);
    fleet.run(SETTLING_TIME);
    let sum = fleet.sum_of_parts();
    assert!((sum - 1.0).abs() < 1e-9, "parts add up to {sum}");
    fleet.assert_within_budget("registry unreachable at the start");
}

/// Guards against parts of a fleet that take themselves for the whole: links are cut, routers start, and
/// the registry is out of reach of some of them, at any time.
#[test]
fn routers_stay_within_a_burst_while_links_and_the_registry_fail() {
    for seed in 0..60 {
        let lists = ALL_LISTS[seed as usize % ALL_LISTS.len()];
        let mut fleet = Fleet::new(2, lists, seed);
        for _ in 0..12 {
            match fleet.random.random_range(0..4) {
                0 => {
                    let added = fleet.random.random_range(1..=4);
                    (0..added).for_each(|_| fleet.add(20, lists));
                }
                1 => {
                    let parts = fleet.random.random_range(1..=3);
                    for index in 0..fleet.nodes.len() {
                        fleet.nodes[index].part = fleet.random.random_range(0..parts);
                    }
                }
                2 => {
                    for index in 0..fleet.nodes.len() {
                        fleet.nodes[index].reaches_registry = fleet.random.random_bool(0.7);
                    }
                }
                _ => {}
            }
            let span = fleet.random.random_range(1_000..20_000);
            fleet.run(Duration::from_millis(span));
        }
        let case = format!("seed {seed}, {} routers, {lists:?}", fleet.nodes.len());
        println!("{case}: parts add up to {} at most", fleet.largest_sum);
        fleet.assert_within_budget(&case);
        // All meet again.
        for node in &mut fleet.nodes {
            (node.part, node.reaches_registry) = (0, true);
        }
        fleet.run(SETTLING_TIME + LIMITS.window);
        let sum = fleet.sum_of_parts();
        assert!((sum - 1.0).abs() < 1e-9, "{case}: parts add up to {sum}");
    }
}

/// Guards against a count that includes routers which have left, and against one that forgets routers
/// which are only out of reach.
#[test]
fn routers_that_leave_are_removed_and_those_out_of_reach_are_not() {
    let mut fleet = Fleet::new(5, SeedLists::Empty, 1);
    fleet.run(SETTLING_TIME);
    let now = fleet.nodes[4].clock(fleet.now);
    let leaving = fleet.nodes[4].router.digest(now, RouterPhase::Leaving);
    (0..4).for_each(|index| {
        let now = fleet.nodes[index].clock(fleet.now);
        fleet.nodes[index].router.on_digest(now, leaving.clone());
    });
    // The fourth is cut off.
    fleet.nodes[3].part = 1;
    fleet.nodes[3].reaches_registry = false;
    fleet.nodes.truncate(4);
    fleet.run(Duration::from_secs(40));
    let expected: BTreeSet<SocketAddr> = (0..4).map(address).collect();
    assert_eq!(fleet.registry.routers, expected);
    for index in 0..3 {
        let now = fleet.nodes[index].clock(fleet.now);
        assert_eq!(fleet.nodes[index].router.fleet_count(now).divided_by, Some(4));
    }
}
