//! Metrics of a run: the service gap of pairs of tenants, idle slots while work waits, and waits.

use hdrhistogram::Histogram;
use mastbay_types::Timestamp;

/// A pair of tenants of one service and the range of their service difference.
#[derive(Debug, Clone)]
struct Pair {
    left: usize,
    right: usize,
    /// Minimum and maximum difference since both became backlogged, in cost units over weight.
    range: Option<(f64, f64)>,
}

/// Measures the service gap: for each pair of tenants and each period in which both are
/// continuously backlogged, the range of the difference between their weighted service.
#[derive(Debug)]
pub struct GapMeter {
    pairs: Vec<Pair>,
    largest: f64,
    /// Pair of tenants with the largest gap.
    worst: Option<(usize, usize)>,
    /// Gaps of all samples, in thousandths of a cost unit over weight.
    samples: Histogram<u64>,
}

/// Significant decimal digits of histograms.
const DIGITS: u8 = 3;

fn histogram() -> Histogram<u64> {
    // `new` fails only for more than five digits.
    Histogram::new(DIGITS).expect("three digits are allowed")
}

impl GapMeter {
    /// Creates a meter for the tenants of one service.
    pub fn new(tenants: &[usize]) -> Self {
        let mut pairs = Vec::new();
        for (position, left) in tenants.iter().enumerate() {
            for right in &tenants[position + 1..] {
                pairs.push(Pair { left: *left, right: *right, range: None });
            }
        }
        Self { pairs, largest: 0.0, worst: None, samples: histogram() }
    }

    /// Records a sample: the weighted service of each tenant, and whether each was backlogged
    /// during the whole time since the last sample.
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

    /// Returns the largest gap, in cost units over weight.
    pub fn largest(&self) -> f64 {
        self.largest
    }

    /// Returns the pair of tenants with the largest gap.
    pub fn worst(&self) -> Option<(usize, usize)> {
        self.worst
    }

    /// Returns the 99th percentile of the gap, in cost units over weight.
    pub fn percentile_99(&self) -> f64 {
        self.samples.value_at_quantile(0.99) as f64 / 1e3
    }
}

/// Slot time used and left idle while work waits.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotMeter {
    last: Option<Timestamp>,
    /// Slot seconds used while work waited.
    pub used: f64,
    /// Slot seconds left idle that waiting work could have used.
    pub stranded: f64,
}

impl SlotMeter {
    /// Accounts for the time since the last call, during which `waiting` requests waited and `free`
    /// of `slots` slots were free.
    pub fn advance(&mut self, now: Timestamp, slots: u32, free: u32, waiting: u32) {
        let span = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        self.last = Some(now);
        if waiting == 0 {
            return;
        }
        self.used += span * f64::from(slots - free);
        self.stranded += span * f64::from(free.min(waiting));
    }

    /// Returns the used fraction of the slot time that waiting work could use; 1 if none waited.
    pub fn utilisation(&self) -> f64 {
        let usable = self.used + self.stranded;
        if usable == 0.0 { 1.0 } else { self.used / usable }
    }
}

/// Histogram of waits in microseconds.
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
    /// Records a wait in microseconds.
    pub fn record(&mut self, micros: u64) {
        // The histogram resizes itself.
        let _ = self.waits.record(micros);
    }

    /// Returns a quantile of the waits, in seconds; `share` is between 0 and 1.
    pub fn quantile(&self, share: f64) -> f64 {
        self.waits.value_at_quantile(share) as f64 / 1e6
    }

    /// Returns the longest wait, in seconds; 0 if there is none.
    pub fn longest(&self) -> f64 {
        if self.waits.is_empty() { 0.0 } else { self.waits.max() as f64 / 1e6 }
    }

    /// Returns the number of recorded waits.
    pub fn count(&self) -> u64 {
        self.waits.len()
    }
}
