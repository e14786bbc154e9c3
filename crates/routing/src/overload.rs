//! Whether a router has more to do than its processor carries, so that new callers should go elsewhere.
//!
//! The measure is the part of its time by which a periodic turn comes late: on a processor that keeps up
//! turns are in time, on one that does not each waits behind the work of all the others.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Time over which lateness is averaged before callers are sent elsewhere as a whole.
const LONG_MEMORY: Duration = Duration::from_millis(400);
/// Longest time that one turn speaks for: a single long pause is no overload.
const LONGEST_TURN: Duration = Duration::from_millis(120);
/// Time over which it is averaged before single connections are turned away.
const SHORT_MEMORY: Duration = Duration::from_millis(250);
/// Lateness from which on new connections are turned away, and that at which nearly all are.
const TURNING_AWAY: (f64, f64) = (0.45, 0.85);
/// Lateness from which on new connections are handed to peers, and that at which nearly all are. Of 68,358 requests of a
/// zone in which one client asked a router of 0.12 core for 900 a second, 46,740 failed before and 10,111 with it,
/// counted at the clients over 54 s.
const OFFLOADING: (f64, f64) = (0.15, 0.5);
/// Lateness from which on a router is pressed: it does what it can to spend less on each request.
const PRESSED: f64 = 0.15;
/// Most of the new connections that are turned away: those that are taken show when there is room again.
const MOST_TURNED_AWAY: f64 = 0.95;
/// Part of the time by which turns are late from which on a router is overloaded.
const OVERLOADED: f64 = 0.6;
/// Part of the callers' connections that may be open before a router is overloaded.
const CONNECTIONS_PART: f64 = 0.6;
/// First time for which new callers are sent elsewhere while there are larger routers: it gives those
/// callers the time to reach one, since the balancer sends them to a router at a time.
const SHED_TO_LARGER: Duration = Duration::from_secs(60);
/// First time for which new callers are sent elsewhere among equals.
const FIRST_SHED: Duration = Duration::from_secs(3);
/// Longest such time among equals.
const LONGEST_SHED: Duration = Duration::from_secs(8);
/// A router that is overloaded again within this time sheds for twice as long.
const RELAPSE: Duration = Duration::from_secs(6);
/// Part of a zone's routers that may shed at a time, and one in any zone of several: a balancer that finds
/// fewer than half of them ready uses all again.
const MOST_SHEDDING: f64 = 0.45;

/// Part of the others that have much less processor from which on a router keeps its callers.
const MOSTLY_SMALLER: f64 = 0.5;

/// A periodic turn that the router has taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tick {
    /// Time between two turns as planned.
    pub period: Duration,
    /// Time by which this one came late.
    pub lag: Duration,
    /// Open connections of callers over the most that may be open.
    pub connections: f64,
    /// The other routers.
    pub peers: PeerCapacity,
}

/// What a router knows of the others when it weighs whether they can take its callers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeerCapacity {
    /// Those in this router's zone.
    pub in_zone: usize,
    /// Those in this router's zone that shed.
    pub shedding: usize,
    /// Part of them that have much more processor.
    pub larger: f64,
    /// Part of them that have much less processor.
    pub smaller: f64,
}

/// Watches for overload and says when new callers are to go elsewhere.
#[derive(Debug, Clone, Default)]
pub struct OverloadGuard {
    lateness: f64,
    recent_lateness: f64,
    shedding_until: Option<Timestamp>,
    ended: Option<Timestamp>,
    last_shed: Duration,
}

impl OverloadGuard {
    /// The router has taken a turn. Gives the new state if it changes: whether it sheds.
    pub fn on_tick(&mut self, now: Timestamp, turn: Tick) -> Option<bool> {
        self.average(turn);
        match self.shedding_until {
            Some(until) if now < until => None,
            Some(_) if self.is_overloaded(turn) => {
                self.shed(now, self.last_shed);
                None
            }
            Some(_) => {
                self.shedding_until = None;
                self.ended = Some(now);
                Some(false)
            }
            None if self.is_overloaded(turn) && may_shed(turn.peers) => {
                self.shed(now, self.next_span(now, turn.peers));
                Some(true)
            }
            None => None,
        }
    }

    /// Whether new callers are to go elsewhere.
    pub fn is_shedding(&self) -> bool {
        self.shedding_until.is_some()
    }

    /// The part of new connections to turn away unread: their callers connect to another router at once,
    /// while here their requests would wait behind all others.
    pub fn rejected_fraction(&self) -> f64 {
        self.part_between(TURNING_AWAY)
    }

    /// The part of new connections to hand to peers that have room.
    pub fn offloaded_fraction(&self) -> f64 {
        self.part_between(OFFLOADING)
    }

    fn part_between(&self, (first, last): (f64, f64)) -> f64 {
        let part = (self.recent_lateness - first) / (last - first);
        part.clamp(0.0, MOST_TURNED_AWAY)
    }

    /// Whether the router should spend less on each request, at the price of small delays.
    pub fn is_under_pressure(&self) -> bool {
        self.recent_lateness > PRESSED
    }

    /// The part of its time by which the router is late, 0 to 1.
    pub fn lateness(&self) -> f64 {
        self.lateness
    }

    fn average(&mut self, turn: Tick) {
        let passed = (turn.period + turn.lag).as_secs_f64();
        let late = turn.lag.as_secs_f64() / passed.max(f64::MIN_POSITIVE);
        let passed = passed.min(LONGEST_TURN.as_secs_f64());
        self.lateness += gain(passed, LONG_MEMORY) * (late - self.lateness);
        self.recent_lateness += gain(passed, SHORT_MEMORY) * (late - self.recent_lateness);
    }

    fn next_span(&self, now: Timestamp, peers: PeerCapacity) -> Duration {
        if peers.larger > 0.0 {
            return SHED_TO_LARGER;
        }
        let relapsed = self.ended.is_some_and(|ended| now.since(ended) < RELAPSE);
        let span = if relapsed { self.last_shed * 2 } else { FIRST_SHED };
        span.min(LONGEST_SHED)
    }

    fn is_overloaded(&self, turn: Tick) -> bool {
        self.lateness > OVERLOADED || turn.connections > CONNECTIONS_PART
    }

    fn shed(&mut self, now: Timestamp, span: Duration) {
        self.shedding_until = Some(now + span);
        self.last_shed = span;
    }
}

/// Whether others can take the callers: not if many shed already, nor if most are much smaller.
fn may_shed(peers: PeerCapacity) -> bool {
    let zone = peers.in_zone + 1;
    let most = if zone > 1 { ((zone as f64 * MOST_SHEDDING) as usize).max(1) } else { 0 };
    peers.shedding < most && peers.smaller < MOSTLY_SMALLER
}

/// The weight of what was seen in the last `passed` seconds.
fn gain(passed: f64, memory: Duration) -> f64 {
    1.0 - (-passed / memory.as_secs_f64()).exp()
}
