//! Estimates the number of grants beyond a back end's slots that hides the scheduling round trip.
//!
//! A slot idles while four messages pass between the end of one request and the start of the next:
//! back end to gateway, report, grant, gateway to back end. With `r` requests ended per second at
//! each back end and `d` seconds for a report and its grant, about `2 d r` requests end in that
//! time. That number plus one standard deviation is granted ahead; nothing is granted ahead if it
//! is below one half, because the request would wait at the back end far longer than the round
//! trip.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Weight of a new observation in the moving averages of delay and rate.
const SMOOTHING: f64 = 0.1;
/// Time over which ended requests are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Round trips of report and grant between two requests of a slot.
const ROUND_TRIPS: f64 = 2.0;

/// Minimum number of requests that end during the round trips for any to be granted ahead.
const MIN_ENDED: f64 = 0.5;

/// Moving averages from which the number of grants ahead is computed.
#[derive(Debug, Default)]
pub(crate) struct AheadEstimate {
    /// Seconds from sending a grant to the report that acknowledges it.
    delay: f64,
    /// Requests ended per second, over all back ends.
    rate: f64,
    ended: u64,
    window_started: Timestamp,
}

impl AheadEstimate {
    /// Records the time from sending a grant to the report that acknowledges it.
    pub(crate) fn note_delay(&mut self, delay: Duration) {
        let seconds = delay.as_secs_f64();
        let weight = if self.delay == 0.0 { 1.0 } else { SMOOTHING };
        self.delay += weight * (seconds - self.delay);
    }

    /// Records requests that ended.
    pub(crate) fn note_ended(&mut self, now: Timestamp, count: u64) {
        self.ended += count;
        let span = now.since(self.window_started);
        if span < WINDOW {
            return;
        }
        let rate = self.ended as f64 / span.as_secs_f64();
        let weight = if self.rate == 0.0 { 1.0 } else { SMOOTHING };
        self.rate += weight * (rate - self.rate);
        self.ended = 0;
        self.window_started = now;
    }

    /// Returns the number of grants ahead at each of `backends` back ends.
    pub(crate) fn per_backend(&self, backends: usize) -> u32 {
        let ended_during_round_trips =
            ROUND_TRIPS * self.delay * self.rate / backends.max(1) as f64;
        if ended_during_round_trips < MIN_ENDED {
            return 0;
        }
        // The number of independent ends has a standard deviation of about its square root.
        (ended_during_round_trips + ended_during_round_trips.sqrt()).round() as u32
    }
}
