//! When a router that has started reads the archives of the time before its life.

use crate::router::Router;
use std::time::Duration;

/// Interval between checks whether the lists of back ends are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of first reads of an archive per second by a fleet whose routers all start at once.
const FIRST_READS_PER_SECOND: f64 = 200.0;

/// Waits until this router knows the lists of back ends, and so its peers, and then for a random part
/// of the time over which the fleet spreads its reads.
pub async fn until_first_read(router: &Router) {
    while !router.dispatcher.borrow().observes_origins() {
        router.runtime.sleep(router.runtime.until_aligned_tick(CHECK_INTERVAL)).await;
    }
    let spread = Duration::from_secs_f64(router.fleet_size() as f64 / FIRST_READS_PER_SECOND);
    router.runtime.sleep(spread.mul_f64(rand::random())).await;
}
