//! All routers together send a cold back end no more than its allowance, even under faults.

mod support;

use mastbay_routing::{
    Admission, BackEndList, Dispatcher, DispatcherLimits, Holders, PeerId, RoutingConfiguration,
    Warmup, WarmupLimits,
};
use mastbay_types::{Timestamp, stable_hash};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use support::fleet::{Fleet, address};
use support::{at, configuration, demand, limits, list, prompt};

/// Requests per second that a cold back end sustains.
const COLD_RATE: f64 = 18.0;
const LIMITS: WarmupLimits = WarmupLimits { overshoot: 1.5, burst: 5.0 };
/// Requests that the whole fleet may send in any second: `COLD_RATE * overshoot + burst`.
const ALLOWANCE: usize = 32;
/// Time for which a back end is cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Longest delay until a router learns that a back end is cold.
const MAX_UPDATE_DELAY_MS: u64 = 400;
const SLOTS: u32 = 32;

/// Deterministic random numbers from a seed and a key.
struct Random(u64);

impl Random {
    fn below(&self, bound: u64, key: &[u64]) -> u64 {
        let seed = self.0.to_be_bytes();
        let key: Vec<[u8; 8]> = key.iter().map(|part| part.to_be_bytes()).collect();
        let mut parts: Vec<&[u8]> = vec![&seed];
        parts.extend(key.iter().map(|part| part.as_slice()));
        stable_hash(&parts) % bound.max(1)
    }
}

fn cold_configuration(rate: Option<f64>) -> RoutingConfiguration {
    let mut configuration = configuration(None);
    for service in &mut configuration.services {
        service.cold_rate = rate;
    }
    configuration
}

fn cold_list(revision: u64) -> BackEndList {
    let mut list = list(revision, 1, SLOTS);
    list.back_ends[0].cold_for = COLD_TIME;
    list
}

fn router(index: usize, incarnation: u64, rate: Option<f64>) -> Dispatcher {
    let limits = DispatcherLimits { warmup: LIMITS, zone: format!("z{}", index % 3), ..limits() };
    let id = PeerId { address: address(index), incarnation: incarnation * 1_000 + index as u64 };
    let mut router = Dispatcher::new(limits, id, address(index));
    router.on_configuration(&cold_configuration(rate));
    router
}

/// Faults of the routers and the network while a back end is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    None,
    /// Routers restart or are partitioned from the others.
    RestartsAndPartitions,
}

/// Requests that arrived at the back end, and the largest number of them within one second.
#[derive(Debug, Default)]
struct Arrivals {
    recent: VecDeque<Timestamp>,
    max_per_second: usize,
    count: usize,
}

impl Arrivals {
    fn add(&mut self, now: Timestamp) {
        while self.recent.front().is_some_and(|first| now.since(*first) > Duration::from_secs(1)) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.count += 1;
        self.max_per_second = self.max_per_second.max(self.recent.len());
    }
}

/// A fleet before one back end, which becomes cold.
struct Simulation {
    fleet: Fleet,
    random: Random,
    rate: Option<f64>,
    addresses: Vec<SocketAddr>,
    next_request: u64,
}

impl Simulation {
    fn new(size: usize, seed: u64, rate: Option<f64>) -> Self {
        let mut fleet = Fleet::new(size);
        fleet.seeds.truncate(size - 1);
        for index in 0..size {
            fleet.routers.insert(address(index), router(index, 1, rate));
        }
        fleet.rounds(60);
        let addresses = (0..size).map(address).collect();
        Self { fleet, random: Random(seed), rate, addresses, next_request: 0 }
    }

    fn send_list(&mut self, index: usize, list: &BackEndList) {
        let now = self.fleet.clock(self.addresses[index]);
        self.fleet.router(index).on_back_ends(now, list);
    }

    /// Tries to send one request from a router. Requests end at once, so only the allowance limits
    /// them.
    fn try_send(&mut self, index: usize, arrivals: &mut Arrivals) {
        self.next_request += 1;
        let now = self.fleet.clock(self.addresses[index]);
        let request = demand(now, Some(prompt(1, self.next_request, 10)), "t");
        let router = self.fleet.router(index);
        let ticket = match router.admit(now, request, 0.5) {
            Admission::Placed(placement) => {
                arrivals.add(self.fleet.now);
                placement.ticket
            }
            Admission::Waiting(ticket) => ticket,
            Admission::Refused(_) => return,
        };
        self.fleet.router(index).on_end(now, ticket, Ok(()));
    }

    fn inject_fault(&mut self, round: u64) {
        let size = self.addresses.len() as u64;
        let victim = self.random.below(size, &[round, 1]) as usize;
        match self.random.below(6, &[round, 2]) {
            0 => {
                let restarted = router(victim, 100 + round, self.rate);
                self.fleet.restart(self.addresses[victim], restarted);
                self.send_list(victim, &cold_list(2));
            }
            1 => drop(self.fleet.silent.insert(self.addresses[victim])),
            2 => self.fleet.silent.clear(),
            _ => {}
        }
    }

    /// Simulates the time for which the back end is cold, with `per_round` requests of each router
    /// in each round.
    fn run_cold(&mut self, per_round: u64, faults: Faults) -> Arrivals {
        let started = self.fleet.now;
        let size = self.addresses.len();
        let update_delays: BTreeMap<usize, u64> = (0..size)
            .map(|index| (index, self.random.below(MAX_UPDATE_DELAY_MS, &[index as u64])))
            .collect();
        let mut is_updated = vec![false; size];
        let mut arrivals = Arrivals::default();
        let mut round = 0;
        while self.fleet.now.since(started) < COLD_TIME {
            round += 1;
            if faults == Faults::RestartsAndPartitions {
                self.inject_fault(round);
            }
            self.fleet.round();
            let elapsed = self.fleet.now.since(started).as_millis() as u64;
            for index in 0..size {
                if !is_updated[index] && elapsed >= update_delays[&index] {
                    is_updated[index] = true;
                    self.send_list(index, &cold_list(2));
                }
                (0..per_round).for_each(|_| self.try_send(index, &mut arrivals));
            }
        }
        arrivals
    }
}

#[test]
fn without_an_allowance_many_routers_overrun_a_cold_back_end() {
    let arrivals = Simulation::new(62, 1, None).run_cold(1, Faults::None);
    assert!(arrivals.max_per_second > ALLOWANCE, "{}", arrivals.max_per_second);
}

#[test]
fn a_new_cold_back_end_gets_its_allowance_and_no_more() {
    for size in [1, 8, 62, 295] {
        let arrivals = Simulation::new(size, 2, Some(COLD_RATE)).run_cold(2, Faults::None);
        assert!(arrivals.max_per_second <= ALLOWANCE, "{size}: {}", arrivals.max_per_second);
        let used = arrivals.count as f64 / COLD_TIME.as_secs_f64() / COLD_RATE;
        assert!(used >= 1.0, "{size} routers use {used} of the cold rate");
    }
}

#[test]
fn restarts_and_partitions_do_not_exceed_the_allowance() {
    for (size, seeds) in [(8, 0..12), (62, 0..6), (295, 0..1)] {
        for seed in seeds {
            let mut simulation = Simulation::new(size, seed, Some(COLD_RATE));
            simulation.fleet.drop_every = 7;
            let arrivals = simulation.run_cold(2, Faults::RestartsAndPartitions);
            let max_per_second = arrivals.max_per_second;
            assert!(
                max_per_second <= ALLOWANCE,
                "{size} routers, seed {seed}: {max_per_second} in one second"
            );
        }
    }
}

#[test]
fn a_fleet_that_starts_with_a_cold_back_end_keeps_within_the_allowance() {
    for size in [8, 62] {
        let mut simulation = Simulation::new(size, 3, Some(COLD_RATE));
        for index in 0..size {
            simulation.fleet.restart(address(index), router(index, 2, Some(COLD_RATE)));
        }
        let arrivals = simulation.run_cold(2, Faults::None);
        assert!(arrivals.max_per_second <= ALLOWANCE, "{size}: {}", arrivals.max_per_second);
    }
}

#[test]
fn a_back_end_that_becomes_cold_gets_nothing_until_its_warm_load_is_a_second_old() {
    let holders = Holders::of(ALLOWANCE as f64, 62);
    let mut warmup = Warmup::of_new(at(0), Duration::ZERO);
    assert!(!warmup.is_cold(at(5_000)));
    warmup.on_update(at(5_000), COLD_TIME);
    assert!(!warmup.has_capacity(at(5_999), holders));
    assert!(warmup.has_capacity(at(6_000), holders));
    warmup.on_update(at(6_200), Duration::from_millis(1_800));
    assert!(warmup.has_capacity(at(6_200), holders), "a repeated update of the same time");
    assert!(!warmup.is_cold(at(8_000)));
}

#[test]
fn a_small_allowance_has_fewer_holders() {
    let holders = |allowance| Holders::of(allowance, 62);
    assert_eq!(holders(32.0), Holders { routers: 5, requests: 4 });
    assert_eq!(holders(5.0), Holders { routers: 3, requests: 1 });
    assert_eq!(holders(1.0), Holders { routers: 1, requests: 1 });
    assert_eq!(Holders::of(32.0, 1), Holders { routers: 1, requests: 32 });
    assert_eq!(Holders::of(32.0, 2), Holders { routers: 2, requests: 10 });
}
