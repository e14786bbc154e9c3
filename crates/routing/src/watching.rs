//! How long a router waits on a source for a change before it asks again.

use std::time::Duration;

/// Part of the propagation bound that one wait may take: a source may fail to tell a waiting call of a
/// change, which then shows only when the call ends.
const WAIT_PART: f64 = 0.6;
/// Least part of the longest wait that is drawn. Waits that differ keep routers from asking together, so
/// that one of them soon sees what a deaf source missed to tell, and the others learn it from that one.
const LEAST_DRAWN: f64 = 0.4;
/// Routers up to which each keeps the bound by itself; in larger fleets it is kept by the first to ask.
const ALONE: usize = 12;
/// Longest wait.
const LONGEST: Duration = Duration::from_secs(10);

/// The wait of one call. `propagation` is the time in which a change must be in force, `routers` the
/// number of routers known, `draw` uniform in 0..1.
pub fn watch_wait(propagation: Duration, routers: usize, draw: f64) -> Duration {
    let crowd = (routers as f64 / ALONE as f64).max(1.0);
    let longest = propagation.mul_f64(WAIT_PART * crowd).min(LONGEST);
    longest.mul_f64(LEAST_DRAWN + (1.0 - LEAST_DRAWN) * draw)
}
