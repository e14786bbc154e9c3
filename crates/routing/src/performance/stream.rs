//! Times between the events of one stream, and its pauses.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Progress of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamProgress {
    /// Longest time between two events that the route allows.
    pause_objective: Option<Duration>,
    /// When events arrived last.
    last_event: Option<Timestamp>,
    /// Whether the pause since then has been counted.
    is_pause_counted: bool,
}

impl StreamProgress {
    /// Creates the progress of a stream without events.
    pub fn new(pause_objective: Option<Duration>) -> Self {
        Self { pause_objective, ..Self::default() }
    }

    /// Records the arrival of events. Returns the time since those before them, or `None` for the
    /// first ones.
    pub fn on_events(&mut self, now: Timestamp) -> Option<Duration> {
        self.is_pause_counted = false;
        self.last_event.replace(now).map(|last| now.since(last))
    }

    /// Returns whether a pause longer than the route allows is under way or ends now, once for each
    /// pause.
    pub fn take_pause(&mut self, now: Timestamp) -> bool {
        let Some((last, objective)) = self.last_event.zip(self.pause_objective) else {
            return false;
        };
        let is_new = !self.is_pause_counted && now.since(last) > objective;
        self.is_pause_counted |= is_new;
        is_new
    }

    /// Returns whether the last events arrived before `time`.
    pub fn is_since_before(&self, time: Timestamp) -> bool {
        self.last_event.is_some_and(|last| last < time)
    }
}
