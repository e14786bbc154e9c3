//! The waiting requests of the fleet by service and order class, and the rate at which they are
//! placed.

use crate::decaying_counter::DecayingCounter;
use mastbay_types::{Timestamp, short_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the rates of placements.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Minimum time that rates are computed over. Rates over shorter times are mostly noise.
const MIN_ELAPSED: Duration = Duration::from_millis(300);
/// Fraction of a service's placements that any class is assumed to get. Without it, a class whose
/// requests arrive for the first time would have no rate and an endless delay.
const MIN_RATE_FRACTION: f64 = 0.1;

/// Requests of a service that are equal in the order of placement across routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OrderClass {
    /// Hash of the service's name.
    pub service: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Whether their tenants are above their fair share.
    pub above_share: bool,
}

impl OrderClass {
    /// Creates the class of requests to a service.
    pub fn new(service: &str, priority: u32, above_share: bool) -> Self {
        Self { service: short_hash(&[service.as_bytes()]), priority, above_share }
    }

    /// Returns whether requests of this class are placed before those of `other`, which is of the
    /// same service.
    pub fn precedes(&self, other: &Self) -> bool {
        (self.priority, self.above_share) < (other.priority, other.above_share)
    }
}

/// Waiting requests of one service and order class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BacklogReport {
    /// Hash of the service's name.
    pub service: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Whether their tenants are above their fair share.
    pub above_share: bool,
    /// Number of waiting requests.
    pub requests: u32,
    /// Their service, in tokens.
    pub tokens: u64,
    /// Placed requests of this class a second.
    pub placed: f32,
    /// Refused requests whose callers were told to return and have not yet.
    #[serde(default)]
    pub returning: u32,
}

impl BacklogReport {
    /// Creates an empty report of a class.
    pub fn new(class: OrderClass) -> Self {
        let OrderClass { service, priority, above_share } = class;
        let (requests, tokens, placed, returning) = (0, 0, 0.0, 0);
        Self { service, priority, above_share, requests, tokens, placed, returning }
    }

    /// Returns the class of the requests.
    pub fn class(&self) -> OrderClass {
        let Self { service, priority, above_share, .. } = *self;
        OrderClass { service, priority, above_share }
    }

    /// Returns whether both reports are of the same service and class.
    pub fn has_key_of(&self, other: &Self) -> bool {
        self.class() == other.class()
    }

    /// Adds the requests of other routers.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.placed += other.placed;
        self.returning = self.returning.saturating_add(other.returning);
    }

    /// Subtracts the requests of a router that were added before, saturating at zero.
    pub fn remove(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.placed = (self.placed - other.placed).max(0.0);
        self.returning = self.returning.saturating_sub(other.returning);
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.requests == 0 && self.returning == 0 && self.placed < 0.01
    }
}

/// What a request of one class finds before it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ClassBacklog {
    /// Waiting requests of classes that precede it.
    pub preceding: u32,
    /// Waiting requests and returning callers of these classes and its own.
    pub ahead: u32,
    /// Placements a second that the preceding classes leave to its own and those that follow.
    pub drain_rate: f64,
}

impl ClassBacklog {
    /// Sums up reports of all routers for a request of `class`.
    pub fn of(class: OrderClass, reports: &[BacklogReport]) -> Self {
        let mut backlog = Self::default();
        let mut total = 0.0;
        for report in reports.iter().filter(|report| report.service == class.service) {
            let precedes = report.class().precedes(&class);
            total += f64::from(report.placed);
            if precedes {
                backlog.preceding = backlog.preceding.saturating_add(report.requests);
            } else {
                backlog.drain_rate += f64::from(report.placed);
            }
            if precedes || report.class() == class {
                let ahead = report.requests.saturating_add(report.returning);
                backlog.ahead = backlog.ahead.saturating_add(ahead);
            }
        }
        backlog.drain_rate = backlog.drain_rate.max(total * MIN_RATE_FRACTION);
        backlog
    }

    /// Returns the time until the requests ahead are placed; `None` without placements.
    pub fn drain_time(&self) -> Option<Duration> {
        let seconds = f64::from(self.ahead) / self.drain_rate;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns whether the requests of preceding classes may need all `free` slots of an engine.
    /// Reports do not name the engines that requests wait for, so they are taken as spread over
    /// the service's `engines`, each waiting for `ranks` of them.
    pub fn needs_slots(&self, free: u32, ranks: usize, engines: usize) -> bool {
        let expected = f64::from(self.preceding) * ranks as f64 / engines.max(1) as f64;
        expected >= f64::from(free)
    }
}

/// The rates at which this router places requests, by class.
#[derive(Debug, Default)]
pub struct Backlog {
    /// When the first request was placed.
    began: Option<Timestamp>,
    placed: HashMap<OrderClass, DecayingCounter>,
}

impl Backlog {
    /// Records a placed request.
    pub fn on_placed(&mut self, now: Timestamp, class: OrderClass) {
        self.began.get_or_insert(now);
        let counter = self.placed.entry(class);
        counter.or_insert_with(|| DecayingCounter::new(RATE_TIME_CONSTANT)).add(now, 1.0);
    }

    /// Returns this router's report for each class, given its waiting requests with their service
    /// in tokens and the number of its returning callers.
    pub fn reports(
        &self,
        now: Timestamp,
        waiting: impl Iterator<Item = (OrderClass, u64)>,
        returning: impl Iterator<Item = (OrderClass, u32)>,
    ) -> Vec<BacklogReport> {
        let mut reports = Vec::new();
        for (class, placed) in self.rates(now) {
            entry(&mut reports, class).placed = placed;
        }
        for (class, tokens) in waiting {
            let report = entry(&mut reports, class);
            report.requests += 1;
            report.tokens = report.tokens.saturating_add(tokens);
        }
        for (class, callers) in returning {
            entry(&mut reports, class).returning += callers;
        }
        reports.retain(|report| !report.is_empty());
        reports
    }

    /// Returns the placements a second of each class, corrected for a time constant that has not
    /// passed yet.
    fn rates(&self, now: Timestamp) -> impl Iterator<Item = (OrderClass, f32)> {
        let elapsed = self.began.map_or(Duration::ZERO, |began| now.since(began)).max(MIN_ELAPSED);
        let constant = RATE_TIME_CONSTANT.as_secs_f64();
        let full = constant * (1.0 - (-elapsed.as_secs_f64() / constant).exp());
        self.placed.iter().map(move |(class, count)| (*class, (count.at(now) / full) as f32))
    }
}

fn entry(reports: &mut Vec<BacklogReport>, class: OrderClass) -> &mut BacklogReport {
    let index = reports.iter().position(|report| report.class() == class);
    let index = index.unwrap_or_else(|| {
        reports.push(BacklogReport::new(class));
        reports.len() - 1
    });
    &mut reports[index]
}
