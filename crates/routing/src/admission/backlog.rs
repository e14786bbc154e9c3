//! The waiting requests of the fleet by service and order class, and the rate at which they can be
//! placed.

use crate::decaying_counter::DecayingCounter;
use mastbay_types::{Timestamp, short_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the rates of arrivals. Longer than a burst, whose requests count as backlog and
/// not as the rate of those that follow.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Minimum time that rates are computed over. Rates over shorter times are mostly noise.
const MIN_ELAPSED: Duration = Duration::from_millis(300);
/// Fraction of the slots that free up that any class is assumed to get, which bounds the delay when
/// new requests take all of them.
const MIN_RATE_FRACTION: f64 = 0.05;
/// Rate below which a class has nothing to report, in requests a second.
const MIN_RATE: f32 = 0.01;
/// Utilization up to which callers are told to return. Near full utilization, slots are free
/// somewhere but seldom at the few engines that prefer a request's prefix.
const MAX_UTILIZATION: f64 = 0.8;
/// Weight of one request in the mean time at an engine.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Lower bound of the mean time at an engine, in seconds.
const MIN_SERVICE_TIME: f64 = 0.001;

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
    /// Rate at which running requests of this class end: the slots that free up in a second. The
    /// rate of placements would follow a burst into free slots, which is no measure of the rate
    /// once they are taken.
    pub ending: f32,
    /// New requests of this class a second that are not refused, without those of returning
    /// callers.
    pub arriving: f32,
    /// Refused requests whose callers were told to return and have not yet.
    #[serde(default)]
    pub returning: u32,
}

impl BacklogReport {
    /// Creates an empty report of a class.
    pub fn new(class: OrderClass) -> Self {
        let OrderClass { service, priority, above_share } = class;
        Self {
            service,
            priority,
            above_share,
            requests: 0,
            tokens: 0,
            ending: 0.0,
            arriving: 0.0,
            returning: 0,
        }
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
        self.ending += other.ending;
        self.arriving += other.arriving;
        self.returning = self.returning.saturating_add(other.returning);
    }

    /// Subtracts the requests of a router that were added before, saturating at zero.
    pub fn remove(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.ending = (self.ending - other.ending).max(0.0);
        self.arriving = (self.arriving - other.arriving).max(0.0);
        self.returning = self.returning.saturating_sub(other.returning);
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
            && self.returning == 0
            && self.ending < MIN_RATE
            && self.arriving < MIN_RATE
    }
}

/// What a request of one class finds before it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ClassBacklog {
    /// Waiting requests of classes that precede it.
    pub preceding: u32,
    /// Waiting requests of these classes and its own.
    pub waiting: u32,
    /// Callers of these classes that were told to return.
    pub returning: u32,
    /// Slots that free up in a second, less the new requests of preceding classes that take them.
    pub waiting_rate: f64,
    /// The same, less the new requests of its own class too, which find a free slot before a caller
    /// returns.
    pub drain_rate: f64,
}

impl ClassBacklog {
    /// Sums up reports of all routers for a request of `class`.
    pub fn of(class: OrderClass, reports: &[BacklogReport]) -> Self {
        let mut backlog = Self::default();
        let (mut ending, mut arriving, mut own) = (0.0, 0.0, 0.0);
        for report in reports.iter().filter(|report| report.service == class.service) {
            ending += f64::from(report.ending);
            if report.class().precedes(&class) {
                backlog.preceding = backlog.preceding.saturating_add(report.requests);
                arriving += f64::from(report.arriving);
            } else if report.class() == class {
                own += f64::from(report.arriving);
            } else {
                continue;
            }
            backlog.waiting = backlog.waiting.saturating_add(report.requests);
            backlog.returning = backlog.returning.saturating_add(report.returning);
        }
        let least = ending * MIN_RATE_FRACTION;
        backlog.waiting_rate = (ending - arriving).max(least);
        backlog.drain_rate = (ending * MAX_UTILIZATION - arriving - own).max(least);
        backlog
    }

    /// Returns the number of requests that are to be placed before a caller that returns.
    pub fn ahead(&self) -> u32 {
        self.waiting.saturating_add(self.returning)
    }

    /// Returns the time until the waiting requests of preceding classes are placed; `None` without
    /// a rate.
    pub fn preceding_time(&self) -> Option<Duration> {
        time_for(self.preceding, self.waiting_rate)
    }

    /// Returns the time until all requests ahead are placed; `None` without a rate.
    pub fn drain_time(&self) -> Option<Duration> {
        time_for(self.ahead(), self.drain_rate)
    }

    /// Returns whether the requests of preceding classes may need all `free` slots of an engine.
    /// Reports do not name the engines that requests wait for, so they are taken as spread over
    /// the service's `engines`, each waiting for `ranks` of them.
    pub fn needs_slots(&self, free: u32, ranks: usize, engines: usize) -> bool {
        let expected = f64::from(self.preceding) * ranks as f64 / engines.max(1) as f64;
        expected >= f64::from(free)
    }
}

fn time_for(requests: u32, rate: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(f64::from(requests) / rate).ok()
}

/// Running requests, arrivals and times at engines by which this router reports its backlog.
#[derive(Debug, Default)]
pub struct Backlog {
    /// When the first request arrived.
    began: Option<Timestamp>,
    /// Arrivals less refusals and the expected returns of refused callers.
    arrivals: HashMap<OrderClass, DecayingCounter>,
    running: HashMap<OrderClass, u32>,
    /// Mean time at an engine by service, in seconds.
    service_times: HashMap<u32, f64>,
}

impl Backlog {
    /// Records the arrival of a request.
    pub fn on_arrival(&mut self, now: Timestamp, class: OrderClass) {
        self.began.get_or_insert(now);
        self.count_arrival(now, class, 1.0);
    }

    /// Records that an arrival takes no slot as a new request: it was refused, or its caller
    /// returned as it was told to.
    pub fn on_not_taken(&mut self, now: Timestamp, class: OrderClass) {
        self.count_arrival(now, class, -1.0);
    }

    fn count_arrival(&mut self, now: Timestamp, class: OrderClass, count: f64) {
        let counter = self.arrivals.entry(class);
        counter.or_insert_with(|| DecayingCounter::new(RATE_TIME_CONSTANT)).add(now, count);
    }

    /// Records a placed request.
    pub fn on_placed(&mut self, class: OrderClass) {
        *self.running.entry(class).or_default() += 1;
    }

    /// Records the end of a request, after `taken` at its engine if it was served.
    pub fn on_ended(&mut self, class: OrderClass, taken: Option<Duration>) {
        if let Some(running) = self.running.get_mut(&class) {
            *running = running.saturating_sub(1);
        }
        if let Some(taken) = taken.map(|taken| taken.as_secs_f64()) {
            let mean = self.service_times.entry(class.service).or_insert(taken);
            *mean += SERVICE_TIME_WEIGHT * (taken - *mean);
        }
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
        for (class, arrivals) in &self.arrivals {
            let rate = arrivals.at(now) / self.observed_seconds(now);
            entry(&mut reports, *class).arriving = rate.max(0.0) as f32;
        }
        for (class, running) in &self.running {
            entry(&mut reports, *class).ending = self.ending(*class, *running);
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

    /// Returns the mean time of a service's requests at an engine; zero if it is unknown.
    pub fn service_time(&self, class: OrderClass) -> Duration {
        let seconds = self.service_times.get(&class.service).copied().unwrap_or(0.0);
        Duration::from_secs_f64(seconds)
    }

    /// Returns the rate at which running requests end; zero while their time is unknown.
    fn ending(&self, class: OrderClass, running: u32) -> f32 {
        let time = self.service_times.get(&class.service).copied().unwrap_or(f64::INFINITY);
        (f64::from(running) / time.max(MIN_SERVICE_TIME)) as f32
    }

    /// Returns the time constant of the arrivals, corrected for the time since the first one.
    fn observed_seconds(&self, now: Timestamp) -> f64 {
        let elapsed = self.began.map_or(Duration::ZERO, |began| now.since(began)).max(MIN_ELAPSED);
        let constant = RATE_TIME_CONSTANT.as_secs_f64();
        constant * (1.0 - (-elapsed.as_secs_f64() / constant).exp())
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
