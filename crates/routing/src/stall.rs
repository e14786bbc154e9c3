//! Detects stalls of the router process: its machine was suspended or frozen, or it got no CPU
//! time. Messages read right after a stall may have been sent long before.

use mastbay_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum time between two ticks that counts as a stall. Ticks are 20 ms apart, and the event loop
/// of an overloaded router is usually late by less.
const MIN_STALL: Duration = Duration::from_secs(1);
/// Time after a stall in which messages that are read may have arrived during it.
const RECOVERY_PERIOD: Duration = Duration::from_millis(150);
/// Minimum time between two ticks in which messages may have waited for long.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between two ticks in which messages may have waited at all. Ticks are 20 ms apart.
const MIN_WAIT: Duration = Duration::from_millis(25);
/// Time for which a delay says how late the event loop may be again.
const LATENESS_MEMORY: Duration = Duration::from_secs(3);
/// Maximum time for which requests wait for updates after a stall: a failed call and a second one.
const MAX_UPDATE_WAIT: Duration = Duration::from_millis(600);

/// A period in which the process did not run, or did not come to reading messages.
#[derive(Debug, Clone, Copy)]
struct Stall {
    began: Timestamp,
    ended: Timestamp,
}

impl Stall {
    /// Returns whether a message that is read now may have arrived within the period.
    fn may_hold_messages(&self, now: Timestamp) -> bool {
        now.since(self.ended) <= RECOVERY_PERIOD
    }
}

/// Detects stalls by the time between two ticks of the event loop.
#[derive(Debug, Clone, Default)]
pub struct StallDetector {
    last_tick: Timestamp,
    /// The tick before the last one.
    previous_tick: Timestamp,
    last_stall: Option<Stall>,
    /// Delays of the last [`LATENESS_MEMORY`], in order.
    recent: VecDeque<Stall>,
    last_contact: Timestamp,
}

impl StallDetector {
    /// Processes a tick. Returns the duration of the stall that it ends, if any.
    pub fn on_tick(&mut self, now: Timestamp) -> Option<Duration> {
        let began = std::mem::replace(&mut self.last_tick, now);
        self.previous_tick = began;
        let lasted = now.since(began);
        let stall = Stall { began, ended: now };
        self.record_delay(stall);
        if lasted < MIN_STALL {
            return None;
        }
        self.last_stall = Some(stall);
        Some(lasted)
    }

    /// Records the time between two ticks.
    fn record_delay(&mut self, between_ticks: Stall) {
        let lasted = between_ticks.ended.since(between_ticks.began);
        let now = between_ticks.ended;
        while self.recent.front().is_some_and(|delay| now.since(delay.ended) > LATENESS_MEMORY) {
            self.recent.pop_front();
        }
        if lasted >= MIN_DELAY {
            self.recent.push_back(between_ticks);
        }
    }

    /// Returns the longest recent delay of the event loop, one under way included: a timer may fire
    /// this late again.
    pub fn lateness(&self, now: Timestamp) -> Duration {
        let is_recent = |delay: &&Stall| now.since(delay.ended) <= LATENESS_MEMORY;
        let recent = self.recent.iter().filter(is_recent);
        let longest = recent.map(|delay| delay.ended.since(delay.began)).max().unwrap_or_default();
        let current = now.since(self.last_tick);
        if current >= MIN_DELAY { longest.max(current) } else { longest }
    }

    /// Records a message from a peer or an answer of the source.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.last_contact = now;
    }

    /// Returns the earliest time at which a message that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Timestamp) -> Timestamp {
        let is_late = now.since(self.last_tick) >= MIN_DELAY;
        let was_late = self.last_tick.since(self.previous_tick) >= MIN_DELAY;
        // Tasks run in the order in which they are woken: what waited during a delay is read before
        // the tick after the one that ends it.
        let delay = match (was_late, is_late) {
            (true, _) => Some(self.previous_tick),
            (false, true) => Some(self.last_tick),
            (false, false) => None,
        };
        let stall = self.current(now).filter(|stall| stall.may_hold_messages(now));
        delay.into_iter().chain(stall.map(|stall| stall.began)).min().unwrap_or(now)
    }

    /// Returns the longest time for which a message that is read now may have waited; zero if the
    /// event loop was not late. Unlike [`Self::earliest_arrival`], it counts short delays, too.
    pub fn longest_wait(&self, now: Timestamp) -> Duration {
        let current = now.since(self.last_tick);
        let last = self.last_tick.since(self.previous_tick);
        let short = if current.max(last) >= MIN_WAIT { current + last } else { Duration::ZERO };
        short.max(now.since(self.earliest_arrival(now)))
    }

    /// Returns the earliest time at which a signal that is read now may have arrived. After any delay
    /// of the event loop, however short, at most one tick precedes the reading of signals.
    pub fn earliest_signal(&self, now: Timestamp) -> Timestamp {
        let stall = self.current(now).filter(|stall| stall.may_hold_messages(now));
        self.previous_tick.min(stall.map_or(now, |stall| stall.began))
    }

    /// Returns whether a stall ended so recently that the known versions may be outdated: one of
    /// more than half of `bound`, the time within which updates must be in force. The other half is
    /// left for the way of the updates.
    pub fn may_be_outdated(&self, now: Timestamp, bound: Duration) -> bool {
        self.current(now).is_some_and(|stall| {
            stall.ended.since(stall.began) > bound / 2 && now.since(stall.ended) < MAX_UPDATE_WAIT
        })
    }

    /// Returns whether a peer or the source was heard from since the last stall. Messages read in
    /// the recovery period do not count, as they were sent during the stall.
    pub fn has_contact_since_stall(&self, now: Timestamp) -> bool {
        self.current(now).is_none_or(|stall| self.last_contact > stall.ended + RECOVERY_PERIOD)
    }

    /// Returns the last stall, including one that no tick has ended yet.
    fn current(&self, now: Timestamp) -> Option<Stall> {
        if now.since(self.last_tick) >= MIN_STALL {
            return Some(Stall { began: self.last_tick, ended: now });
        }
        self.last_stall
    }
}
