//! Messages between processes in virtual time: delay by zone, in-order delivery between each pair,
//! loss, partitions, and counts of messages and bytes.

use crate::world::Traffic;
use mastbay_types::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::HashMap;
use std::time::Duration;

/// Overhead of a message in bytes: the envelope and the heads of the HTTP request and response.
/// Production often batches several messages into one request; the simulation does not.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 260;
/// Maximum jitter as a fraction of the delay.
const MAX_JITTER: f64 = 0.2;

/// Delay, loss and partitions between machines, and the traffic so far.
#[derive(Debug)]
pub struct Network {
    zones: usize,
    delay: Duration,
    near_delay: Duration,
    random: ChaCha8Rng,
    /// Latest arrival between each pair of processes; later messages do not overtake it.
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
    /// Creates a network between `processes` processes on machines spread over `zones`.
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

    /// Partitions machines from all others until a time. Unless `both_ways`, only messages that
    /// they send are lost.
    pub fn cut(&mut self, machines: Vec<usize>, both_ways: bool, until: Timestamp) {
        self.cuts.push(ActiveCut { machines, both_ways, until });
    }

    /// Drops a fraction of all messages at random until a time.
    pub fn lose(&mut self, share: f64, until: Timestamp) {
        self.loss = share;
        self.loss_until = until;
    }

    /// Returns the delay between two machines, without jitter.
    pub fn delay_between(&self, from: usize, to: usize) -> Duration {
        if from % self.zones == to % self.zones { self.near_delay } else { self.delay }
    }

    /// Sends a message of `bytes` between two processes. Returns its time of arrival, or `None` if
    /// it is lost.
    pub fn send(
        &mut self,
        now: Timestamp,
        from: ProcessLocation,
        to: ProcessLocation,
        bytes: u64,
    ) -> Option<Timestamp> {
        let bytes = bytes + MESSAGE_OVERHEAD_BYTES;
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
        let jitter = 1.0 + MAX_JITTER * self.random.random::<f64>();
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

    /// Returns the messages and bytes so far, except those between processes on the same machine.
    pub fn traffic(&self) -> Traffic {
        let busiest_bytes = self.by_process.iter().copied().max().unwrap_or(0);
        Traffic { busiest_bytes, ..self.traffic }
    }
}

/// A process and the machine that it runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLocation {
    /// Index of the process.
    pub process: usize,
    /// Index of the machine.
    pub machine: usize,
}
