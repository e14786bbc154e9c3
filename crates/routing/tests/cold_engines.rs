//! A cold back end gets no more than its allowance, from all routers together, whatever befalls them.

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

/// Requests a second that a cold back end bears, and what the fleet may send in any second.
const COLD_RATE: f64 = 18.0;
const LIMITS: WarmupLimits = WarmupLimits { overshoot: 1.5, burst: 5.0 };
const ALLOWANCE: usize = 32;
/// Time for which a back end is cold.
const COLD: Duration = Duration::from_secs(3);
/// Longest time until a router hears that a back end is cold.
const LONGEST_NEWS_MS: u64 = 400;
const SLOTS: u32 = 32;

/// Draws that depend on the seed and the names alone.
struct Draw(u64);

impl Draw {
    fn below(&self, bound: u64, names: &[u64]) -> u64 {
        let seed = self.0.to_be_bytes();
        let names: Vec<[u8; 8]> = names.iter().map(|name| name.to_be_bytes()).collect();
        let mut parts: Vec<&[u8]> = vec![&seed];
        parts.extend(names.iter().map(|name| name.as_slice()));
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
    list.back_ends[0].cold_for = COLD;
    list
}

fn router(index: usize, incarnation: u64, rate: Option<f64>) -> Dispatcher {
    let limits = DispatcherLimits { warmup: LIMITS, zone: format!("z{}", index % 3), ..limits() };
    let me = PeerId { address: address(index), incarnation: incarnation * 1_000 + index as u64 };
    let mut router = Dispatcher::new(limits, me, address(index));
    router.on_configuration(&cold_configuration(rate));
    router
}

/// What befalls the routers while a back end is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Some are killed and start again, some are cut off from the others, datagrams are lost.
    KillsAndCuts,
}

/// Requests at the one back end, by the second that ends with each, and how many there were.
#[derive(Debug, Default)]
struct Arrivals {
    recent: VecDeque<Timestamp>,
    most_in_a_second: usize,
    count: usize,
}

impl Arrivals {
    fn add(&mut self, now: Timestamp) {
        while self.recent.front().is_some_and(|first| now.since(*first) > Duration::from_secs(1)) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.count += 1;
        self.most_in_a_second = self.most_in_a_second.max(self.recent.len());
    }
}

/// A fleet before one back end, which turns cold.
struct Scene {
    fleet: Fleet,
    draw: Draw,
    rate: Option<f64>,
    addresses: Vec<SocketAddr>,
    next_own: u64,
}

impl Scene {
    fn new(size: usize, seed: u64, rate: Option<f64>) -> Self {
        let mut fleet = Fleet::new(size);
        fleet.seeds.truncate(size - 1);
        for index in 0..size {
            fleet.routers.insert(address(index), router(index, 1, rate));
        }
        fleet.rounds(60);
        let addresses = (0..size).map(address).collect();
        Self { fleet, draw: Draw(seed), rate, addresses, next_own: 0 }
    }

    fn tell(&mut self, index: usize, list: &BackEndList) {
        let now = self.fleet.clock(self.addresses[index]);
        self.fleet.router(index).on_back_ends(now, list);
    }

    /// A router tries to send one request; each ends at once, so that only the allowance bounds them.
    fn try_send(&mut self, index: usize, arrivals: &mut Arrivals) {
        self.next_own += 1;
        let now = self.fleet.clock(self.addresses[index]);
        let asked = demand(now, Some(prompt(1, self.next_own, 10)), "t");
        let router = self.fleet.router(index);
        let ticket = match router.admit(now, asked, 0.5) {
            Admission::Placed(placement) => {
                arrivals.add(self.fleet.now);
                placement.ticket
            }
            Admission::Waiting(ticket) => ticket,
            Admission::Refused(_) => return,
        };
        self.fleet.router(index).on_end(now, ticket, Ok(()));
    }

    fn trouble(&mut self, round: u64) {
        let size = self.addresses.len() as u64;
        let victim = self.draw.below(size, &[round, 1]) as usize;
        match self.draw.below(6, &[round, 2]) {
            0 => {
                let restarted = router(victim, 100 + round, self.rate);
                self.fleet.restart(self.addresses[victim], restarted);
                self.tell(victim, &cold_list(2));
            }
            1 => drop(self.fleet.silent.insert(self.addresses[victim])),
            2 => self.fleet.silent.clear(),
            _ => {}
        }
    }

    /// Plays the time for which the back end is cold: `per_round` tries of each router in each round.
    fn play_cold(&mut self, per_round: u64, trouble: Trouble) -> Arrivals {
        let began = self.fleet.now;
        let size = self.addresses.len();
        let news: BTreeMap<usize, u64> = (0..size)
            .map(|index| (index, self.draw.below(LONGEST_NEWS_MS, &[index as u64])))
            .collect();
        let mut is_told = vec![false; size];
        let mut arrivals = Arrivals::default();
        let mut round = 0;
        while self.fleet.now.since(began) < COLD {
            round += 1;
            if trouble == Trouble::KillsAndCuts {
                self.trouble(round);
            }
            self.fleet.round();
            let passed = self.fleet.now.since(began).as_millis() as u64;
            for index in 0..size {
                if !is_told[index] && passed >= news[&index] {
                    is_told[index] = true;
                    self.tell(index, &cold_list(2));
                }
                (0..per_round).for_each(|_| self.try_send(index, &mut arrivals));
            }
        }
        arrivals
    }
}

#[test]
fn without_an_allowance_many_routers_overrun_a_cold_back_end() {
    let arrivals = Scene::new(62, 1, None).play_cold(1, Trouble::None);
    assert!(arrivals.most_in_a_second > ALLOWANCE, "{}", arrivals.most_in_a_second);
}

#[test]
fn a_new_cold_back_end_gets_its_allowance_and_no_more() {
    for size in [1, 8, 62, 295] {
        let arrivals = Scene::new(size, 2, Some(COLD_RATE)).play_cold(2, Trouble::None);
        assert!(arrivals.most_in_a_second <= ALLOWANCE, "{size}: {}", arrivals.most_in_a_second);
        let used = arrivals.count as f64 / COLD.as_secs_f64() / COLD_RATE;
        assert!(used >= 1.0, "{size} routers use {used} of what it bears");
    }
}

#[test]
fn kills_cuts_and_newcomers_do_not_double_the_allowance() {
    for (size, seeds) in [(8, 0..12), (62, 0..6), (295, 0..1)] {
        for seed in seeds {
            let mut scene = Scene::new(size, seed, Some(COLD_RATE));
            scene.fleet.drop_every = 7;
            let arrivals = scene.play_cold(2, Trouble::KillsAndCuts);
            let most = arrivals.most_in_a_second;
            assert!(most <= ALLOWANCE, "{size} routers, seed {seed}: {most} in one second");
        }
    }
}

#[test]
fn a_fleet_that_starts_with_a_cold_back_end_keeps_to_the_allowance() {
    for size in [8, 62] {
        let mut scene = Scene::new(size, 3, Some(COLD_RATE));
        for index in 0..size {
            scene.fleet.restart(address(index), router(index, 2, Some(COLD_RATE)));
        }
        let arrivals = scene.play_cold(2, Trouble::None);
        assert!(arrivals.most_in_a_second <= ALLOWANCE, "{size}: {}", arrivals.most_in_a_second);
    }
}

#[test]
fn a_back_end_that_turns_cold_gets_nothing_until_its_warm_load_is_a_second_old() {
    let holders = Holders::of(ALLOWANCE as f64, 62);
    let mut warmup = Warmup::of_new(at(0), Duration::ZERO);
    assert!(!warmup.is_cold(at(5_000)));
    warmup.on_update(at(5_000), COLD);
    assert!(!warmup.has_capacity(at(5_999), holders));
    assert!(warmup.has_capacity(at(6_000), holders));
    warmup.on_update(at(6_200), Duration::from_millis(1_800));
    assert!(warmup.has_capacity(at(6_200), holders), "told again of the same time");
    assert!(!warmup.is_cold(at(8_000)));
}

#[test]
fn a_small_allowance_has_fewer_holders() {
    let held = |allowance| Holders::of(allowance, 62);
    assert_eq!(held(32.0), Holders { routers: 5, requests: 4 });
    assert_eq!(held(5.0), Holders { routers: 3, requests: 1 });
    assert_eq!(held(1.0), Holders { routers: 1, requests: 1 });
    assert_eq!(Holders::of(32.0, 1), Holders { routers: 1, requests: 32 });
    assert_eq!(Holders::of(32.0, 2), Holders { routers: 2, requests: 10 });
}
