//! A fleet in seeded virtual time: routers that send each other their messages, which may be late, lost or repeated.
#![allow(dead_code, missing_docs)]

use super::{configuration, demand, limits, list, prompt};
use mastbay_routing::{
    Admission, Dispatcher, DispatcherLimits, Outgoing, PeerId, PeerMessage, ROUND_PERIOD,
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
/// Time for a datagram.
pub const DATAGRAM_TIME: Duration = Duration::from_millis(2);

/// A fleet in virtual time; every round all living routers send their messages, staggered over the round.
pub struct Fleet {
    pub now: Timestamp,
    pub routers: BTreeMap<SocketAddr, Dispatcher>,
    /// Routers that neither send nor receive.
    pub silent: BTreeSet<SocketAddr>,
    /// Senders whose sums are lost.
    pub dropped_sum_senders: BTreeSet<SocketAddr>,
    /// One datagram in this many is lost, none if 0.
    pub drop_every: u64,
    /// Whether each datagram comes twice.
    pub duplicates: bool,
    pub seeds: Vec<SocketAddr>,
    pub datagrams: u64,
    /// Sums that went from one zone to another.
    pub cross_zone_sums: u64,
    /// Most engines in one sum so far.
    pub max_engines_per_sum: usize,
    /// When routers started again, where they did.
    pub restarted_at: BTreeMap<SocketAddr, Timestamp>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, (index % ZONES) as u8, (index / 250) as u8, (index % 250) as u8], 7_000))
}

/// The zone of the router at an address, as a number.
pub fn zone(address: SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[1],
        IpAddr::V6(_) => unreachable!("the fleet has addresses of the fourth version"),
    }
}

pub fn router(index: usize, incarnation: u64) -> Dispatcher {
    router_with_engines(index, incarnation, ENGINES)
}

pub fn router_with_engines(index: usize, incarnation: u64, engines: usize) -> Dispatcher {
    let is_large = index / ZONES < 3;
    let limits = DispatcherLimits {
        zone: format!("z{}", index % ZONES),
        processor: if is_large { 0.5 } else { 0.12 },
        ..limits()
    };
    // Lives are random numbers, so no two routers share one.
    let me = PeerId { address: address(index), incarnation: incarnation * 1_000 + index as u64 };
    let mut dispatcher = Dispatcher::new(limits, me, address(index));
    dispatcher.on_configuration(&configuration(Some(1_000_000)));
    dispatcher.on_back_ends(Timestamp::ZERO, &list(1, engines, SLOTS));
    dispatcher
}

impl Fleet {
    pub fn new(size: usize) -> Self {
        Self::with_engines(size, ENGINES)
    }

    pub fn with_engines(size: usize, engines: usize) -> Self {
        let router = |index| (address(index), router_with_engines(index, 1, engines));
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

    /// The time of a router's own clock, which begins with its life.
    pub fn clock(&self, address: SocketAddr) -> Timestamp {
        let started = self.restarted_at.get(&address).copied().unwrap_or(Timestamp::ZERO);
        Timestamp::ZERO + self.now.since(started)
    }

    /// Another life of a router, which knows nothing, in place of the one that ran.
    pub fn restart(&mut self, address: SocketAddr, router: Dispatcher) {
        self.restarted_at.insert(address, self.now);
        self.routers.insert(address, router);
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Delivers a message, and what follows from it.
    pub fn deliver(&mut self, sender: SocketAddr, outgoing: Outgoing) {
        let mut under_way = VecDeque::from([(sender, outgoing)]);
        while let Some((sender, outgoing)) = under_way.pop_front() {
            for target in &outgoing.targets {
                let following = self.deliver_to(sender, *target, &outgoing.message);
                under_way.extend(following.into_iter().map(|following| (*target, following)));
            }
        }
    }

    /// Delivers a message to one router. Gives what that sends because of it: what it passes on, and greetings.
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
            let told = sum.stats.loads.len().max(service_levels);
            self.max_engines_per_sum = self.max_engines_per_sum.max(told);
        }
        let is_lost = self.drop_every > 0 && self.datagrams.is_multiple_of(self.drop_every);
        let is_unheard = is_sum && self.dropped_sum_senders.contains(&sender);
        if is_lost || is_unheard || self.silent.contains(&target) {
            return Vec::new();
        }
        let heard = self.clock(target) + DATAGRAM_TIME;
        let Some(router) = self.routers.get_mut(&target) else { return Vec::new() };
        let mut following: Vec<Outgoing> = router.relayed_message(message).into_iter().collect();
        let new_peer = router.on_message(heard, message.clone());
        if self.duplicates {
            assert_eq!(router.on_message(heard, message.clone()), None);
        }
        if let Some(new_peer) = new_peer.filter(|new_peer| new_peer.needs_hello) {
            let message = PeerMessage::Digest(router.hello(RouterPhase::Serving));
            following.push(Outgoing { message, targets: vec![new_peer.address] });
        }
        following
    }

    pub fn router(&mut self, index: usize) -> &mut Dispatcher {
        self.routers.get_mut(&address(index)).expect("known")
    }

    /// Starts requests at one router, all for the same shared prefix. Gives those that were placed.
    pub fn start_requests(&mut self, index: usize, count: u64) -> Vec<TicketId> {
        let now = self.now;
        let router = self.router(index);
        let place = |own| match router.admit(now, demand(now, Some(prompt(1, own, 10)), "t"), 0.5) {
            Admission::Placed(placement) => Some(placement.ticket),
            Admission::Waiting(_) | Admission::Refused(_) => None,
        };
        (0..count).map(|own| own + 1_000 * index as u64).filter_map(place).collect()
    }

    /// Starts one request at each of some routers; all must be placed.
    pub fn start_one_request_each(&mut self, routers: Range<usize>) {
        for index in routers {
            assert_eq!(self.start_requests(index, 1).len(), 1);
        }
    }

    /// What the routers that are not silent believe, from the least to the most.
    pub fn known_running(&mut self) -> Vec<u32> {
        let silent = self.silent.clone();
        let living = self.routers.iter().filter(|(address, _)| !silent.contains(address));
        let mut known_running: Vec<u32> =
            living.map(|(_, router)| router.loads().map(|load| load.running).sum()).collect();
        known_running.sort_unstable();
        known_running
    }

    /// Routers that would ask one of another zone for what is new.
    pub fn fetching_from_other_zones(&self) -> Vec<SocketAddr> {
        let asks = |(address, router): (&SocketAddr, &Dispatcher)| {
            let asked = router.newer_snapshot_address(self.now, 0.5)?;
            (zone(asked) != zone(*address)).then_some(*address)
        };
        self.routers.iter().filter_map(asks).collect()
    }

    /// Routers that send sums to members.
    pub fn aggregators(&mut self) -> Vec<SocketAddr> {
        let now = self.now;
        let mut found = Vec::new();
        for (address, router) in &mut self.routers {
            if self.silent.contains(address) {
                continue;
            }
            let messages = router.next_round(now, RouterPhase::Serving, &[]);
            let serves = messages.iter().any(|outgoing| match &outgoing.message {
                PeerMessage::Sum(sum) => {
                    sum.scope == SumScope::Fleet && !outgoing.targets.is_empty()
                }
                PeerMessage::Digest(_)
                | PeerMessage::SumForZone(_)
                | PeerMessage::Ends(_)
                | PeerMessage::Draining(_) => false,
            });
            found.extend(serves.then_some(*address));
        }
        found
    }
}
