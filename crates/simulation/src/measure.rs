//! What is measured: the service gap of pairs of tenants, idle slots while work waits, and waits.

use hdrhistogram::Histogram;
use mastbay_types::Timestamp;

/// Service of the tenants of one service, for pairs that stay backlogged together.
#[derive(Debug, Clone)]
struct Pair {
    left: usize,
    right: usize,
    /// Least and most difference since both became backlogged, in cost units over weight.
    range: Option<(f64, f64)>,
}

/// Follows the service gap: for each pair of tenants, through each time in which both are backlogged
/// without a break, the most by which the service of one over its weight drew ahead of the other's.
#[derive(Debug)]
pub struct GapMeter {
    pairs: Vec<Pair>,
    largest: f64,
    /// Tenants between which the largest gap was.
    worst: Option<(usize, usize)>,
    /// Every sample's gap, in thousandths.
    samples: Histogram<u64>,
}

/// Digits kept by histograms.
const DIGITS: u8 = 3;

fn histogram() -> Histogram<u64> {
    // Fails only for more than five digits.
    Histogram::new(DIGITS).expect("three digits are allowed")
}

impl GapMeter {
    /// A meter over the tenants of one service.
    pub fn new(tenants: &[usize]) -> Self {
        let mut pairs = Vec::new();
        for (position, left) in tenants.iter().enumerate() {
            for right in &tenants[position + 1..] {
                pairs.push(Pair { left: *left, right: *right, range: None });
            }
        }
        Self { pairs, largest: 0.0, worst: None, samples: histogram() }
    }

    /// Takes a sample: service over weight of each tenant, and whether each was backlogged all the
    /// time since the last sample.
    pub fn sample(&mut self, service: &[f64], backlogged: &[bool]) {
        for pair in &mut self.pairs {
            if !backlogged[pair.left] || !backlogged[pair.right] {
                pair.range = None;
                continue;
            }
            let difference = service[pair.left] - service[pair.right];
            let (least, most) = pair.range.unwrap_or((difference, difference));
            let range = (least.min(difference), most.max(difference));
            pair.range = Some(range);
            let gap = range.1 - range.0;
            if gap > self.largest {
                self.largest = gap;
                self.worst = Some((pair.left, pair.right));
            }
            // The histogram resizes itself.
            let _ = self.samples.record((gap * 1e3) as u64);
        }
    }

    /// The largest gap.
    pub fn largest(&self) -> f64 {
        self.largest
    }

    /// The tenants between which the largest gap was.
    pub fn worst(&self) -> Option<(usize, usize)> {
        self.worst
    }

    /// The gap that 99 in 100 samples do not exceed.
    pub fn at_99(&self) -> f64 {
        self.samples.value_at_quantile(0.99) as f64 / 1e3
    }
}

/// Slot time used and stranded while work waits.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotMeter {
    last: Option<Timestamp>,
    /// Slot seconds in use while work waited.
    pub used: f64,
    /// Slot seconds in which a slot was free that waiting work could have used.
    pub stranded: f64,
}

impl SlotMeter {
    /// Counts the time since the last call, in which `waiting` requests waited and `free` of `slots`
    /// slots were free.
    pub fn advance(&mut self, now: Timestamp, slots: u32, free: u32, waiting: u32) {
        let span = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        self.last = Some(now);
        if waiting == 0 {
            return;
        }
        self.used += span * f64::from(slots - free);
        self.stranded += span * f64::from(free.min(waiting));
    }

    /// Share of slot time used, of that which waiting work could have used.
    pub fn utilisation(&self) -> f64 {
        let usable = self.used + self.stranded;
        if usable == 0.0 { 1.0 } else { self.used / usable }
    }
}

/// Waits of requests, in microseconds.
#[derive(Debug)]
pub struct WaitMeter {
    waits: Histogram<u64>,
}

impl Default for WaitMeter {
    fn default() -> Self {
        Self { waits: histogram() }
    }
}

impl WaitMeter {
    /// Adds a wait.
    pub fn record(&mut self, micros: u64) {
        // The histogram resizes itself.
        let _ = self.waits.record(micros);
    }

    /// The wait that a share of requests does not exceed, in seconds.
    pub fn quantile(&self, share: f64) -> f64 {
        self.waits.value_at_quantile(share) as f64 / 1e6
    }

    /// The longest wait, in seconds.
    pub fn longest(&self) -> f64 {
        if self.waits.is_empty() { 0.0 } else { self.waits.max() as f64 / 1e6 }
    }

    /// Number of waits.
    pub fn count(&self) -> u64 {
        self.waits.len()
    }
}
