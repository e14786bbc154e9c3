//! Detects that a router has too little CPU for its load and should direct callers elsewhere.
//!
//! The measure is the lateness of a periodic tick of the event loop, as a fraction of time: it is
//! near zero while the CPU keeps up and rises when ticks wait behind other work. Time for which the
//! process was not run, although it had nothing to do, is no overload: whatever arrived meanwhile is
//! done as soon as it runs again.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Time constant of the lateness average that decides on shedding.
const LONG_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Maximum time that one tick counts for: a single long pause is no overload.
const MAX_TICK_TIME: Duration = Duration::from_millis(120);
/// Time constant of the lateness average that decides on single connections.
const SHORT_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Lateness at which rejection of new connections starts and reaches its maximum.
const REJECTION_RANGE: (f64, f64) = (0.45, 0.85);
/// Lateness at which forwarding of new connections to peers starts and reaches its maximum. It
/// starts before rejection, which makes callers reconnect: where one client overloaded a small
/// router, 46,740 of 68,358 requests of its zone failed without forwarding and 10,111 with it.
const OFFLOAD_RANGE: (f64, f64) = (0.15, 0.5);
/// Lateness above which the router reduces its work per request.
const PRESSURE_THRESHOLD: f64 = 0.15;
/// Maximum fraction of new connections rejected or forwarded. The accepted ones show when there is
/// capacity again.
const MAX_DIVERTED_FRACTION: f64 = 0.95;
/// Lateness above which a router sheds.
const OVERLOAD_THRESHOLD: f64 = 0.6;
/// Fraction of the connection limit above which a router sheds.
const MAX_CONNECTIONS_FRACTION: f64 = 0.6;
/// Duration of shedding while there are larger routers. Load balancers move callers one router at a
/// time, so reaching a larger one takes a while.
const SHED_TIME_WITH_LARGER_PEERS: Duration = Duration::from_secs(60);
/// Initial duration of shedding among routers of equal size.
const INITIAL_SHED_TIME: Duration = Duration::from_secs(3);
/// Maximum duration of shedding among routers of equal size.
const MAX_SHED_TIME: Duration = Duration::from_secs(8);
/// Time after shedding within which renewed overload doubles the duration.
const RELAPSE_WINDOW: Duration = Duration::from_secs(6);
/// Maximum fraction of a zone's routers that may shed at a time, with a minimum of one in zones of
/// several: load balancers that find fewer than half of them ready use all again.
const MAX_SHEDDING_FRACTION: f64 = 0.45;

/// Fraction of much smaller peers from which a router keeps its callers.
const SMALLER_PEERS_THRESHOLD: f64 = 0.5;

/// Measurements of one periodic tick of the event loop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tick {
    /// Planned time between two ticks.
    pub period: Duration,
    /// Time by which this tick was late.
    pub lag: TickLag,
    /// Open caller connections as a fraction of the limit.
    pub connections: f64,
    /// Ability of the other routers to take over callers.
    pub peers: PeerCapacity,
}

/// The time by which a tick of the event loop was late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TickLag {
    /// The part in which tasks were ready: the process had other work.
    pub busy: Duration,
    /// The part in which no task was ready: the process was not run.
    pub idle: Duration,
}

impl TickLag {
    /// Returns the whole time.
    pub fn total(self) -> Duration {
        self.busy + self.idle
    }
}

/// Average lateness of ticks, as fractions of time from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Lateness {
    /// Of ticks that waited behind other work.
    pub busy: f64,
    /// Of ticks that were late because the process was not run, although it had nothing else to do.
    pub not_run: f64,
}

/// Ability of the other routers to take over this router's callers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeerCapacity {
    /// Number of other routers in this router's zone.
    pub in_zone: usize,
    /// Number of those that are shedding.
    pub shedding: usize,
    /// Fraction of all peers with much more CPU than this router.
    pub larger: f64,
    /// Fraction of all peers with much less CPU than this router.
    pub smaller: f64,
}

/// Decides from tick lateness when to shed, reject and offload connections.
#[derive(Debug, Clone, Default)]
pub struct OverloadGuard {
    lateness: Lateness,
    /// Average lateness of ticks that waited behind other work, over a shorter time.
    recent_lateness: f64,
    shedding_until: Option<Timestamp>,
    /// When shedding ended last.
    ended: Option<Timestamp>,
    last_shed_time: Duration,
}

impl OverloadGuard {
    /// Processes a tick. Returns whether the router sheds from now on if that changes.
    pub fn on_tick(&mut self, now: Timestamp, tick: Tick) -> Option<bool> {
        self.average(tick);
        match self.shedding_until {
            Some(until) if now < until => None,
            Some(_) if self.is_overloaded(tick) => {
                self.shed(now, self.last_shed_time);
                None
            }
            Some(_) => {
                self.shedding_until = None;
                self.ended = Some(now);
                Some(false)
            }
            None if self.is_overloaded(tick) && may_shed(tick.peers) => {
                self.shed(now, self.next_shed_time(now, tick.peers));
                Some(true)
            }
            None => None,
        }
    }

    /// Returns whether new callers are directed to other routers.
    pub fn is_shedding(&self) -> bool {
        self.shedding_until.is_some()
    }

    /// Returns the fraction of new connections to close without reading them. Their callers
    /// reconnect to another router at once instead of waiting here.
    pub fn rejected_fraction(&self) -> f64 {
        self.diverted_fraction(REJECTION_RANGE)
    }

    /// Returns the fraction of new connections to forward to peers with capacity.
    pub fn offloaded_fraction(&self) -> f64 {
        self.diverted_fraction(OFFLOAD_RANGE)
    }

    fn diverted_fraction(&self, (first, last): (f64, f64)) -> f64 {
        let fraction = (self.recent_lateness - first) / (last - first);
        fraction.clamp(0.0, MAX_DIVERTED_FRACTION)
    }

    /// Returns whether the router should save CPU per request at the cost of small delays.
    pub fn is_under_pressure(&self) -> bool {
        self.recent_lateness > PRESSURE_THRESHOLD
    }

    /// Returns the average lateness of ticks.
    pub fn lateness(&self) -> Lateness {
        self.lateness
    }

    fn average(&mut self, tick: Tick) {
        let elapsed = (tick.period + tick.lag.total()).as_secs_f64();
        let fraction = |lag: Duration| lag.as_secs_f64() / elapsed.max(f64::MIN_POSITIVE);
        let (busy, not_run) = (fraction(tick.lag.busy), fraction(tick.lag.idle));
        let elapsed = elapsed.min(MAX_TICK_TIME.as_secs_f64());
        let weight = ewma_weight(elapsed, LONG_TIME_CONSTANT);
        self.lateness.busy += weight * (busy - self.lateness.busy);
        self.lateness.not_run += weight * (not_run - self.lateness.not_run);
        self.recent_lateness +=
            ewma_weight(elapsed, SHORT_TIME_CONSTANT) * (busy - self.recent_lateness);
    }

    fn next_shed_time(&self, now: Timestamp, peers: PeerCapacity) -> Duration {
        if peers.larger > 0.0 {
            return SHED_TIME_WITH_LARGER_PEERS;
        }
        let relapsed = self.ended.is_some_and(|ended| now.since(ended) < RELAPSE_WINDOW);
        let shed_time = if relapsed { self.last_shed_time * 2 } else { INITIAL_SHED_TIME };
        shed_time.min(MAX_SHED_TIME)
    }

    fn is_overloaded(&self, tick: Tick) -> bool {
        self.lateness.busy > OVERLOAD_THRESHOLD || tick.connections > MAX_CONNECTIONS_FRACTION
    }

    fn shed(&mut self, now: Timestamp, shed_time: Duration) {
        self.shedding_until = Some(now + shed_time);
        self.last_shed_time = shed_time;
    }
}

/// Returns whether peers can take over callers: few of them shed and few are much smaller.
fn may_shed(peers: PeerCapacity) -> bool {
    let zone = peers.in_zone + 1;
    let max_shedding =
        if zone > 1 { ((zone as f64 * MAX_SHEDDING_FRACTION) as usize).max(1) } else { 0 };
    peers.shedding < max_shedding && peers.smaller < SMALLER_PEERS_THRESHOLD
}

/// Returns the weight of a sample over `elapsed` seconds in an exponential moving average.
fn ewma_weight(elapsed: f64, time_constant: Duration) -> f64 {
    1.0 - (-elapsed / time_constant.as_secs_f64()).exp()
}
