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
/// Running time after such a delay, shorter than a stall, in which messages that are read may have
/// arrived during it.
const DELAY_RECOVERY_PERIOD: Duration = Duration::from_millis(50);
/// Time between two ticks for which the process surely ran, however far apart they are.
const MAX_RUNNING_TIME: Duration = Duration::from_millis(20);
/// Maximum time for which requests wait for updates after a stall: a failed call and a second one.
const MAX_UPDATE_WAIT: Duration = Duration::from_millis(600);

/// A period in which the process did not run, or did not come to reading messages.
#[derive(Debug, Clone, Copy)]
struct Stall {
    began: Timestamp,
    ended: Timestamp,
}

impl Stall {
    /// Returns the time after it in which messages that are read may have arrived within it.
    fn recovery_period(&self) -> Duration {
        let is_stall = self.ended.since(self.began) >= MIN_STALL;
        if is_stall { RECOVERY_PERIOD } else { DELAY_RECOVERY_PERIOD }
    }

    /// Returns whether a message that is read now may have arrived within the period.
    fn may_hold_messages(&self, now: Timestamp) -> bool {
        now.since(self.ended) <= self.recovery_period()
    }
}

/// A delay of at least [`MIN_DELAY`] after which the process has run only shortly.
#[derive(Debug, Clone, Copy)]
struct Delay {
    stall: Stall,
    /// Time for which the process has run since. Further delays don't count: what was not read
    /// before them is read after them.
    running: Duration,
}

impl Delay {
    /// Returns whether a message that is read after running for `further` may have arrived within
    /// the delay.
    fn may_hold_messages(&self, further: Duration) -> bool {
        self.running + further <= self.stall.recovery_period()
    }
}

/// Detects stalls by the time between two ticks of the event loop.
#[derive(Debug, Clone, Default)]
pub struct StallDetector {
    last_tick: Timestamp,
    /// The tick before the last one.
    previous_tick: Timestamp,
    last_stall: Option<Stall>,
    /// Delays whose messages may not all have been read, in order.
    delays: VecDeque<Delay>,
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

    /// Records the time between two ticks, and forgets delays after which the process has run for
    /// long enough.
    fn record_delay(&mut self, between_ticks: Stall) {
        let lasted = between_ticks.ended.since(between_ticks.began);
        let running = lasted.min(MAX_RUNNING_TIME);
        self.delays.iter_mut().for_each(|delay| delay.running += running);
        self.delays.retain(|delay| delay.may_hold_messages(Duration::ZERO));
        if lasted >= MIN_DELAY {
            self.delays.push_back(Delay { stall: between_ticks, running: Duration::ZERO });
        }
    }

    /// Records a message from a peer or an answer of the source.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.last_contact = now;
    }

    /// Returns the earliest time at which a message that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Timestamp) -> Timestamp {
        let since_tick = now.since(self.last_tick);
        let running = since_tick.min(MAX_RUNNING_TIME);
        let earliest = self.delays.iter().find(|delay| delay.may_hold_messages(running));
        let current = (since_tick >= MIN_DELAY).then_some(self.last_tick);
        let stall = self.current(now).filter(|stall| stall.may_hold_messages(now));
        let began = [earliest.map(|delay| delay.stall.began), current, stall.map(|it| it.began)];
        began.into_iter().flatten().min().unwrap_or(now)
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
