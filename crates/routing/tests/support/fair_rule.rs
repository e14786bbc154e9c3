//! Counts the windows of rule FAIR: six seconds, in each of which a tenant has a request that is
//! refused or waits beyond its objective, and in which it is given under half of its due.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;

/// Counted intervals in a second. Windows slide by one interval.
pub const BINS_PER_SECOND: usize = 4;
const WINDOW_SECONDS: usize = 6;
/// Largest requests that are taken off a tenant's due.
const LARGEST_REQUESTS_OFF: f64 = 3.0;

/// What happened to one tenant in one interval.
#[derive(Debug, Clone, Copy, Default)]
pub struct Interval {
    /// Tokens of its requests, each try for itself.
    pub asked: f64,
    /// Tokens of its requests that engines began.
    pub given: f64,
    /// Whether a request was refused or waited beyond its objective.
    pub is_short: bool,
}

/// Tenants' intervals from the start of a simulation.
#[derive(Debug, Default)]
pub struct FairCounts {
    tenants: BTreeMap<usize, Vec<Interval>>,
    largest_request: f64,
}

/// The window in which a tenant is given the least part of its due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortest {
    pub tenant: usize,
    /// Start of the window, in seconds.
    pub from: f64,
    pub asked: f64,
    pub given: f64,
    /// The lesser of what it asks for and what the best served tenant is given, second by second,
    /// less three of the largest requests.
    pub due: f64,
}

impl Shortest {
    pub fn fraction(&self) -> f64 {
        self.given / self.due
    }
}

impl FairCounts {
    /// Returns the interval of a tenant at a time in seconds.
    pub fn at(&mut self, tenant: usize, seconds: f64) -> &mut Interval {
        let bin = (seconds * BINS_PER_SECOND as f64) as usize;
        let intervals = self.tenants.entry(tenant).or_default();
        if intervals.len() <= bin {
            intervals.resize(bin + 1, Interval::default());
        }
        &mut intervals[bin]
    }

    pub fn on_asked(&mut self, tenant: usize, seconds: f64, tokens: f64) {
        self.largest_request = self.largest_request.max(tokens);
        self.at(tenant, seconds).asked += tokens;
    }

    /// Sums up the second that begins with interval `bin`.
    pub fn second(&self, tenant: usize, bin: usize) -> Interval {
        let intervals = self.tenants.get(&tenant).map(Vec::as_slice).unwrap_or_default();
        let mut sum = Interval::default();
        for interval in intervals.iter().skip(bin).take(BINS_PER_SECOND) {
            sum.asked += interval.asked;
            sum.given += interval.given;
            sum.is_short |= interval.is_short;
        }
        sum
    }

    /// Returns for each tenant the window with the least part of its due, of those within
    /// `seconds` in which it is short in each second; the least first.
    pub fn shortest(&self, seconds: std::ops::Range<usize>) -> Vec<Shortest> {
        let bins =
            seconds.start * BINS_PER_SECOND..=(seconds.end - WINDOW_SECONDS) * BINS_PER_SECOND;
        let mut by_tenant: BTreeMap<usize, Shortest> = BTreeMap::new();
        for from in bins {
            for tenant in self.tenants.keys() {
                let Some(window) = self.window(*tenant, from) else { continue };
                let least = by_tenant.entry(*tenant).or_insert(window);
                if window.fraction() < least.fraction() {
                    *least = window;
                }
            }
        }
        let mut shortest: Vec<Shortest> = by_tenant.into_values().collect();
        shortest.sort_by(|left, right| left.fraction().total_cmp(&right.fraction()));
        shortest
    }

    fn window(&self, tenant: usize, from: usize) -> Option<Shortest> {
        let (mut asked, mut given, mut due) = (0.0, 0.0, 0.0);
        for second in 0..WINDOW_SECONDS {
            let bin = from + second * BINS_PER_SECOND;
            let own = self.second(tenant, bin);
            if !own.is_short {
                return None;
            }
            let others = self.tenants.keys().map(|other| self.second(*other, bin).given);
            let best = others.fold(0.0, f64::max);
            asked += own.asked;
            given += own.given;
            due += own.asked.min(best);
        }
        let due = due - LARGEST_REQUESTS_OFF * self.largest_request;
        let from = from as f64 / BINS_PER_SECOND as f64;
        (due > 0.0).then_some(Shortest { tenant, from, asked, given, due })
    }
}
