//! A fleet of routers in virtual time that exchange messages, which may be dropped or duplicated.
#![allow(dead_code, missing_docs)]

use super::{configuration, demand, limits, list, prompt};
use mastbay_routing::{
    Admission, Dispatcher, DispatcherLimits, Outgoing, PeerId, PeerMessage, Policy, ROUND_PERIOD,
    RouterPhase, SumScope, TicketId,
};
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

pub const ZONES: usize = 5;
pub const ENGINES: usize = 8;
pub const SLOTS: u32 = 40;
/// Latency of a datagram.
pub const DATAGRAM_TIME: Duration = Duration::from_millis(2);

/// A fleet in virtual time. In every round each router that is not silent sends its messages; the
/// sends are spread over the round.
pub struct Fleet {
    pub now: Timestamp,
    pub routers: BTreeMap<SocketAddr, Dispatcher>,
    /// Routers that neither send nor receive.
    pub silent: BTreeSet<SocketAddr>,
    /// Senders whose sums are dropped.
    pub dropped_sum_senders: BTreeSet<SocketAddr>,
    /// Drops every n-th datagram; drops none if 0.
    pub drop_every: u64,
    /// Whether each datagram is delivered twice.
    pub duplicates: bool,
    pub seeds: Vec<SocketAddr>,
    /// Datagrams sent so far.
    pub datagrams: u64,
    /// Sums sent from one zone to another so far.
    pub cross_zone_sums: u64,
    /// Largest number of engines in one sum so far.
    pub max_engines_per_sum: usize,
    /// Time of the last restart, for routers that restarted.
    pub restarted_at: BTreeMap<SocketAddr, Timestamp>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, (index % ZONES) as u8, (index / 250) as u8, (index % 250) as u8], 7_000))
}

/// Returns the zone of the router at an address.
pub fn zone(address: SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[1],
        IpAddr::V6(_) => unreachable!("the fleet has IPv4 addresses"),
    }
}

pub fn router(index: usize, incarnation: u64) -> Dispatcher {
    router_with_engines(index, incarnation, ENGINES)
}

pub fn router_with_engines(index: usize, incarnation: u64, engines: usize) -> Dispatcher {
    router_with_policy(index, incarnation, engines, Policy::default())
}

pub fn router_with_policy(
    index: usize,
    incarnation: u64,
    engines: usize,
    policy: Policy,
) -> Dispatcher {
    let mut dispatcher = empty_router(index, incarnation, policy);
    dispatcher.on_back_ends(Timestamp::ZERO, &list(1, engines, SLOTS));
    dispatcher
}

/// Returns a router that has just started and knows no engine.
pub fn router_without_engines(index: usize, incarnation: u64) -> Dispatcher {
    empty_router(index, incarnation, Policy::default())
}

fn empty_router(index: usize, incarnation: u64, policy: Policy) -> Dispatcher {
    let is_large = index / ZONES < 3;
    let limits = DispatcherLimits {
        zone: format!("z{}", index % ZONES),
        processor: if is_large { 0.5 } else { 0.12 },
        policy,
        ..limits()
    };
    // Incarnations are unique across routers, as the random ones of real routers are.
    let id = PeerId { address: address(index), incarnation: incarnation * 1_000 + index as u64 };
    let mut dispatcher = Dispatcher::new(limits, id, address(index));
    dispatcher.on_configuration(&configuration(Some(1_000_000)));
    dispatcher
}

impl Fleet {
    /// Creates a fleet of `size` routers before [`ENGINES`] engines.
    pub fn new(size: usize) -> Self {
        Self::with_engines(size, ENGINES)
    }

    pub fn with_engines(size: usize, engines: usize) -> Self {
        Self::with_policy(size, engines, Policy::default())
    }

    pub fn with_policy(size: usize, engines: usize, policy: Policy) -> Self {
        let router = |index| (address(index), router_with_policy(index, 1, engines, policy));
        Self {
            now: Timestamp::ZERO,
            routers: (0..size).map(router).collect(),
            max_engines_per_sum: 0,
            restarted_at: BTreeMap::new(),
            silent: BTreeSet::new(),
            dropped_sum_senders: BTreeSet::new(),
            drop_every: 0,
            duplicates: false,
            seeds: (0..3).map(address).collect(),
            datagrams: 0,
            cross_zone_sums: 0,
        }
    }

    /// Runs one round: each router that is not silent sends its messages.
    pub fn round(&mut self) {
        let addresses: Vec<SocketAddr> = self.routers.keys().copied().collect();
        let step = ROUND_PERIOD / addresses.len() as u32;
        for sender in addresses {
            self.now = self.now + step;
            if self.silent.contains(&sender) {
                continue;
            }
            let seeds: Vec<SocketAddr> =
                self.seeds.iter().copied().filter(|seed| *seed != sender).collect();
            let now = self.clock(sender);
            let router = self.routers.get_mut(&sender).expect("known");
            let messages = router.next_round(now, RouterPhase::Serving, &seeds);
            for message in messages {
                self.deliver(sender, message);
            }
        }
    }

    /// Returns the time of a router's own clock, which starts at its last restart.
    pub fn clock(&self, address: SocketAddr) -> Timestamp {
        let started = self.restarted_at.get(&address).copied().unwrap_or(Timestamp::ZERO);
        Timestamp::ZERO + self.now.since(started)
    }

    /// Replaces a router by a new incarnation without state.
    pub fn restart(&mut self, address: SocketAddr, router: Dispatcher) {
        self.restarted_at.insert(address, self.now);
        self.routers.insert(address, router);
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Delivers a message and all messages sent in response to it.
    pub fn deliver(&mut self, sender: SocketAddr, outgoing: Outgoing) {
        let mut queue = VecDeque::from([(sender, outgoing)]);
        while let Some((sender, outgoing)) = queue.pop_front() {
            for target in &outgoing.targets {
                let responses = self.deliver_to(sender, *target, &outgoing.message);
                queue.extend(responses.into_iter().map(|response| (*target, response)));
            }
        }
    }

    /// Delivers a message to one router. Returns what that router sends in response: relayed
    /// messages and hellos.
    pub fn deliver_to(
        &mut self,
        sender: SocketAddr,
        target: SocketAddr,
        message: &PeerMessage,
    ) -> Vec<Outgoing> {
        self.datagrams += 1;
        let is_sum = matches!(message, PeerMessage::Sum(_) | PeerMessage::SumForZone(_));
        self.cross_zone_sums += u64::from(is_sum && zone(sender) != zone(target));
        if let PeerMessage::Sum(sum) | PeerMessage::SumForZone(sum) = message {
            let service_levels = sum.stats.service_levels.as_ref().map_or(0, Vec::len);
            let engines_in_sum = sum.stats.loads.len().max(service_levels);
            self.max_engines_per_sum = self.max_engines_per_sum.max(engines_in_sum);
        }
        let is_lost = self.drop_every > 0 && self.datagrams.is_multiple_of(self.drop_every);
        let is_dropped_sum = is_sum && self.dropped_sum_senders.contains(&sender);
        if is_lost || is_dropped_sum || self.silent.contains(&target) {
            return Vec::new();
        }
        let received_at = self.clock(target) + DATAGRAM_TIME;
        let Some(router) = self.routers.get_mut(&target) else { return Vec::new() };
        let mut responses: Vec<Outgoing> = router.relayed_message(message).into_iter().collect();
        let new_peer = router.on_message(received_at, message.clone());
        if self.duplicates {
            assert_eq!(router.on_message(received_at, message.clone()), None);
        }
        if let Some(new_peer) = new_peer.filter(|new_peer| new_peer.needs_hello) {
            let message = PeerMessage::Digest(router.hello(RouterPhase::Serving));
            responses.push(Outgoing { message, targets: vec![new_peer.address] });
        }
        responses
    }

    pub fn router(&mut self, index: usize) -> &mut Dispatcher {
        self.routers.get_mut(&address(index)).expect("known")
    }

    /// Starts requests at one router, all with the same prefix. Returns those that were placed.
    pub fn start_requests(&mut self, index: usize, count: u64) -> Vec<TicketId> {
        let now = self.now;
        let router = self.router(index);
        let place_request = |request| match router.admit(
            now,
            demand(now, Some(prompt(1, request, 10)), "t"),
            0.5,
        ) {
            Admission::Placed(placement) => Some(placement.ticket),
            Admission::Waiting(_) | Admission::Refused(_) => None,
        };
        (0..count).map(|request| request + 1_000 * index as u64).filter_map(place_request).collect()
    }

    /// Starts one request at each of some routers. Panics if one is not placed.
    pub fn start_one_request_each(&mut self, routers: Range<usize>) {
        for index in routers {
            assert_eq!(self.start_requests(index, 1).len(), 1);
        }
    }

    /// Returns the number of running requests in the fleet as each router that is not silent knows
    /// it, in ascending order.
    pub fn known_running(&mut self) -> Vec<u32> {
        let silent = self.silent.clone();
        let active = self.routers.iter().filter(|(address, _)| !silent.contains(address));
        let mut known_running: Vec<u32> =
            active.map(|(_, router)| router.loads().map(|load| load.running).sum()).collect();
        known_running.sort_unstable();
        known_running
    }

    /// Returns the routers that would fetch the newest snapshot from a router of another zone.
    pub fn fetching_from_other_zones(&self) -> Vec<SocketAddr> {
        let fetches = |(address, router): (&SocketAddr, &Dispatcher)| {
            let source = router.newer_snapshot_address(self.now, 0.5)?;
            (zone(source) != zone(*address)).then_some(*address)
        };
        self.routers.iter().filter_map(fetches).collect()
    }

    /// Returns the routers that are not silent and send sums over the fleet.
    pub fn aggregators(&mut self) -> Vec<SocketAddr> {
        let now = self.now;
        let mut aggregators = Vec::new();
        for (address, router) in &mut self.routers {
            if self.silent.contains(address) {
                continue;
            }
            let messages = router.next_round(now, RouterPhase::Serving, &[]);
            let sends_sums = messages.iter().any(|outgoing| match &outgoing.message {
                PeerMessage::Sum(sum) => {
                    sum.scope == SumScope::Fleet && !outgoing.targets.is_empty()
                }
                PeerMessage::Digest(_)
                | PeerMessage::SumForZone(_)
                | PeerMessage::Ends(_)
                | PeerMessage::Draining(_)
                | PeerMessage::Silence(_)
                | PeerMessage::Registry(_)
                | PeerMessage::Origin(_) => false,
            });
            aggregators.extend(sends_sums.then_some(*address));
        }
        aggregators
    }
}
