//! How many grants beyond a back end's slots hide the round trip between two of its requests.
//!
//! Between the end of one request and the start of the next lie four messages: back end to gateway,
//! report, grant, gateway to back end. In that time a slot would idle. With `r` requests ended a
//! second at each back end and `d` seconds for a report and its grant, about `2 d r` requests end
//! meanwhile on average, and seldom more than one standard deviation above it; that many are granted
//! ahead. Where less than half a request ends meanwhile, none is: a request bound so early would wait
//! at one back end far longer than the round trip that it saves, and its tenant would fall behind.

use mastbay_types::Timestamp;
use std::time::Duration;

/// Share of a new observation in the learned delay and rate.
const GAIN: f64 = 0.1;
/// Time over which ended requests are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Round trips of report and grant that lie between two requests of a slot.
const ROUND_TRIPS: f64 = 2.0;

/// Requests that must end during a round trip for any to be granted ahead.
const LEAST_ENDED: f64 = 0.5;

/// Learns how many grants to give ahead.
#[derive(Debug, Default)]
pub(crate) struct AheadEstimate {
    /// Seconds from sending a grant to the report that has seen it.
    delay: f64,
    /// Requests ended a second, over all back ends.
    rate: f64,
    ended: u64,
    window_began: Timestamp,
}

impl AheadEstimate {
    /// Notes the time from sending a grant to the report that has seen it.
    pub(crate) fn note_delay(&mut self, delay: Duration) {
        let seconds = delay.as_secs_f64();
        let gain = if self.delay == 0.0 { 1.0 } else { GAIN };
        self.delay += gain * (seconds - self.delay);
    }

    /// Notes requests that ended.
    pub(crate) fn note_ended(&mut self, now: Timestamp, count: u64) {
        self.ended += count;
        let span = now.since(self.window_began);
        if span < WINDOW {
            return;
        }
        let rate = self.ended as f64 / span.as_secs_f64();
        let gain = if self.rate == 0.0 { 1.0 } else { GAIN };
        self.rate += gain * (rate - self.rate);
        self.ended = 0;
        self.window_began = now;
    }

    /// Grants to give ahead at each of `backends` back ends.
    pub(crate) fn per_backend(&self, backends: usize) -> u32 {
        let ended_meanwhile = ROUND_TRIPS * self.delay * self.rate / backends.max(1) as f64;
        if ended_meanwhile < LEAST_ENDED {
            return 0;
        }
        // Ends are independent of each other, so their number varies by about its root.
        (ended_meanwhile + ended_meanwhile.sqrt()).round() as u32
    }
}
