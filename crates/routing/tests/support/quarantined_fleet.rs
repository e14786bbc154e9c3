//! A fleet of routers in virtual time, each with its quarantine.
#![allow(dead_code, missing_docs)]

use super::fleet::{Fleet, address};
use mastbay_routing::{
    BackEndId, EngineKey, PeerMessage, Quarantine, QuarantineLimits, QuarantineStatus,
    ROUND_PERIOD, RequestFingerprint, RequestIdentity, Suspect,
};
use mastbay_types::Timestamp;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub const LIMITS: QuarantineLimits = QuarantineLimits { ends: 3, period: Duration::from_secs(600) };

pub fn request(number: u64) -> Suspect {
    let body = number.to_be_bytes();
    let target = "/p/1";
    Suspect::Request(RequestFingerprint::of(&RequestIdentity {
        tenant: Some("a"),
        method: "POST",
        host: "h",
        target,
        body: &body,
    }))
}

pub fn incarnation(number: u64) -> EngineKey {
    EngineKey::from(&BackEndId::from(format!("life-{number}").as_str()))
}

pub fn is_quarantined(quarantine: &Quarantine, now: Timestamp, number: u64) -> bool {
    matches!(quarantine.status(now, request(number)), QuarantineStatus::Quarantined { .. })
}

/// A fleet in virtual time with the quarantine of each router.
pub struct QuarantinedFleet {
    pub fleet: Fleet,
    pub quarantines: BTreeMap<SocketAddr, Quarantine>,
    random: ChaCha8Rng,
    /// Probability that a message is lost.
    loss_rate: f64,
    /// Datagrams with reports that were sent so far.
    pub datagrams: u64,
    /// Bytes of these datagrams.
    pub bytes: u64,
}

impl QuarantinedFleet {
    pub fn new(routers: usize, loss_rate: f64) -> Self {
        let mut fleet = Fleet::new(routers);
        fleet.rounds(40);
        let quarantines =
            fleet.routers.keys().map(|address| (*address, Quarantine::new(LIMITS))).collect();
        let random = ChaCha8Rng::seed_from_u64(1);
        Self { fleet, quarantines, random, loss_rate, datagrams: 0, bytes: 0 }
    }

    pub fn terminate(&mut self, router: usize, terminated: u64, number: u64) {
        self.terminate_at(address(router), terminated, number);
    }

    /// Exchanges one round of reports and reminders of all routers.
    pub fn round(&mut self) {
        self.fleet.now = self.fleet.now + ROUND_PERIOD;
        let now = self.fleet.now;
        let mut sent = Vec::new();
        for (sender, quarantine) in &mut self.quarantines {
            let dispatcher = &self.fleet.routers[sender];
            let reports = quarantine.next_reports(now);
            let targets = dispatcher.gossip_targets(self.random.next_u64());
            sent.extend(targets.into_iter().map(|target| (target, reports.clone())));
            let reminder = quarantine.next_reminder(now);
            sent.extend(
                dispatcher.random_peer(self.random.next_u64()).map(|target| (target, reminder)),
            );
        }
        for (target, reports) in sent {
            if !reports.is_empty() {
                let message = PeerMessage::Ends(reports.clone());
                self.datagrams += 1;
                self.bytes += rmp_serde::to_vec(&message).expect("encoded").len() as u64;
            }
            if self.random.random::<f64>() < self.loss_rate {
                continue;
            }
            let relaying = self.fleet.routers[&target].relaying();
            let quarantine = self.quarantines.get_mut(&target).expect("a router");
            quarantine.on_reports(now, &reports, relaying);
        }
    }

    pub fn quarantining(&self, number: u64) -> usize {
        let now = self.fleet.now;
        self.quarantines.values().filter(|one| is_quarantined(one, now, number)).count()
    }

    /// Runs rounds until all routers quarantine a request. Returns their number.
    pub fn rounds_until_all(&mut self, number: u64) -> u32 {
        for round in 0..200 {
            if self.quarantining(number) == self.quarantines.len() {
                return round;
            }
            self.round();
        }
        panic!("{} of {} routers quarantine it", self.quarantining(number), self.quarantines.len());
    }

    /// A request arrives at each router. Returns the routers that let it through as a probe.
    pub fn probes(&mut self, number: u64) -> Vec<SocketAddr> {
        let now = self.fleet.now;
        let fleet = &self.fleet;
        let probes = |(router, quarantine): (&SocketAddr, &mut Quarantine)| {
            let slot = fleet.routers[router].probe_slot(quarantine.probe_key(request(number)));
            quarantine.take_probe(now, request(number), slot).then_some(*router)
        };
        self.quarantines.iter_mut().filter_map(probes).collect()
    }

    /// A back end terminates while a router has a request in flight there.
    pub fn terminate_at(&mut self, router: SocketAddr, terminated: u64, number: u64) {
        let now = self.fleet.now;
        let quarantine = self.quarantines.get_mut(&router).expect("a router");
        quarantine.on_termination(now, incarnation(terminated), request(number));
    }

    /// A request of a router is served.
    pub fn serve_at(&mut self, router: SocketAddr, number: u64) {
        self.quarantines.get_mut(&router).expect("a router").clear(request(number));
    }
}
