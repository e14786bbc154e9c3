//! Messages between processes in virtual time: delay by zone, order kept between each pair, loss and
//! cuts, and a count of bytes.

use crate::world::Traffic;
use mastbay_types::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::HashMap;
use std::time::Duration;

/// Bytes that carry a message between processes: the envelope, and the heads of the HTTP request and
/// of its answer. Production often shares them among several messages; here each pays in full.
pub const CARRIER_BYTES: u64 = 260;
/// Largest jitter, as a share of the delay.
const JITTER: f64 = 0.2;

/// The network between machines.
#[derive(Debug)]
pub struct Network {
    zones: usize,
    delay: Duration,
    near_delay: Duration,
    random: ChaCha8Rng,
    /// Latest arrival between each pair of processes, which a later message does not overtake.
    latest: HashMap<(usize, usize), Timestamp>,
    cuts: Vec<ActiveCut>,
    loss: f64,
    loss_until: Timestamp,
    traffic: Traffic,
    by_process: Vec<u64>,
}

#[derive(Debug)]
struct ActiveCut {
    machines: Vec<usize>,
    both_ways: bool,
    until: Timestamp,
}

impl Network {
    /// A network between `processes` processes on machines spread over `zones`.
    pub fn new(
        processes: usize,
        zones: usize,
        delay: Duration,
        near_delay: Duration,
        seed: u64,
    ) -> Self {
        Self {
            zones,
            delay,
            near_delay,
            random: ChaCha8Rng::seed_from_u64(seed),
            latest: HashMap::new(),
            cuts: Vec::new(),
            loss: 0.0,
            loss_until: Timestamp::ZERO,
            traffic: Traffic::default(),
            by_process: vec![0; processes],
        }
    }

    /// Begins a cut.
    pub fn cut(&mut self, machines: Vec<usize>, both_ways: bool, until: Timestamp) {
        self.cuts.push(ActiveCut { machines, both_ways, until });
    }

    /// Begins to lose a share of all messages.
    pub fn lose(&mut self, share: f64, until: Timestamp) {
        self.loss = share;
        self.loss_until = until;
    }

    /// Delay between two machines, without jitter.
    pub fn delay_between(&self, from: usize, to: usize) -> Duration {
        if from % self.zones == to % self.zones { self.near_delay } else { self.delay }
    }

    /// Sends a message of `bytes` between processes that stand on machines. Gives its arrival, or
    /// `None` if it is lost.
    pub fn send(
        &mut self,
        now: Timestamp,
        from: Place,
        to: Place,
        bytes: u64,
    ) -> Option<Timestamp> {
        let bytes = bytes + CARRIER_BYTES;
        if from.machine != to.machine {
            self.traffic.messages += 1;
            self.traffic.bytes += bytes;
            self.by_process[from.process] += bytes;
            self.by_process[to.process] += bytes;
        }
        if self.is_lost(now, from.machine, to.machine) {
            return None;
        }
        let delay = self.delay_between(from.machine, to.machine);
        let jitter = 1.0 + JITTER * self.random.random::<f64>();
        let arrival = now + delay.mul_f64(jitter);
        let latest = self.latest.entry((from.process, to.process)).or_default();
        *latest = arrival.max(*latest);
        Some(*latest)
    }

    fn is_lost(&mut self, now: Timestamp, from: usize, to: usize) -> bool {
        self.cuts.retain(|cut| now < cut.until);
        let cut = self.cuts.iter().any(|cut| {
            let (from_inside, to_inside) =
                (cut.machines.contains(&from), cut.machines.contains(&to));
            from_inside && !to_inside || cut.both_ways && !from_inside && to_inside
        });
        let dropped = now < self.loss_until && self.random.random_bool(self.loss);
        cut || dropped
    }

    /// Messages and bytes so far. Those between processes of one machine do not count.
    pub fn traffic(&self) -> Traffic {
        let busiest_bytes = self.by_process.iter().copied().max().unwrap_or(0);
        Traffic { busiest_bytes, ..self.traffic }
    }
}

/// A process and the machine that it stands on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of the process.
    pub process: usize,
    /// Number of the machine.
    pub machine: usize,
}
