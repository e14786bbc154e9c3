//! Keeps the origins of running streams in an archive while several versions may have begun them, since
//! routers have no disk and may all be lost at once.
//!
//! Each router writes the records of its own streams about once a second and reads those of all
//! routers when it starts. A stream that began since the last write is not resumed after a loss of all
//! routers. In a large fleet, that would take too many writes, and none are made.

use crate::archive_reads::until_first_read;
use crate::availability::Availability;
use crate::router::Router;
use mastbay_routing::OriginReport;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Minimum interval between two writes of a router.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval beyond which the archive would lack most of the running streams.
const MAX_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Writes of the whole fleet per second. The store takes some hundred for all purposes.
const FLEET_WRITES_PER_SECOND: f64 = 20.0;
/// Time after which a router checks again whether writes are needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Backoff after a failed call.
const FAILURE_BACKOFF: Duration = Duration::from_millis(900);
/// Backoff after a failed first call, for which callers that resume streams wait.
const READ_BACKOFF: Duration = Duration::from_millis(150);

/// The records of one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterRecords {
    /// The address at which it receives messages of its peers; the same in each of its lives.
    pub router: SocketAddr,
    /// Origins of its streams.
    pub reports: Vec<OriginReport>,
}

/// Storage for the origins of streams that survives the routers.
#[expect(async_fn_in_trait, reason = "a router runs on one thread")]
pub trait RecordArchive {
    /// Error of a failed call.
    type Error: Display;

    /// Returns the records of all routers, and removes those of routers that have long been gone.
    async fn list(&self) -> Result<Vec<RouterRecords>, Self::Error>;

    /// Replaces the records of a router.
    async fn write(&self, records: RouterRecords) -> Result<(), Self::Error>;
}

/// Keeps the records of this router in the archive for as long as it runs.
pub async fn keep_records<A: RecordArchive>(router: Rc<Router>, archive: A) {
    router.stream_origins.expect_records();
    until_first_read(&router).await;
    let mut availability = Availability::new("record_archive");
    match write_interval(router.fleet_size()) {
        Some(_) => read(&router, &archive, &mut availability).await,
        None => router.stream_origins.on_archived_records(&router, &[]),
    }
    loop {
        let interval = write_interval(router.fleet_size());
        let pause = interval.unwrap_or(CHECK_INTERVAL).mul_f64(0.75 + 0.5 * rand::random::<f64>());
        router.runtime.sleep(router.runtime.until_aligned_tick(pause)).await;
        if interval.is_none() || !is_needed(&router) {
            continue;
        }
        let result = write(&router, &archive).await;
        availability.observe(&result);
        if result.is_err() {
            router.stream_origins.on_archive_failure();
            router.runtime.sleep(FAILURE_BACKOFF).await;
        }
    }
}

/// Returns the interval between two writes of one of `routers`; `None` if it would be too long.
fn write_interval(routers: usize) -> Option<Duration> {
    let interval = Duration::from_secs_f64(routers as f64 / FLEET_WRITES_PER_SECOND);
    (interval <= MAX_WRITE_INTERVAL).then(|| interval.max(MIN_WRITE_INTERVAL))
}

/// Returns whether a stream without a record may have begun at more than one version.
fn is_needed(router: &Router) -> bool {
    let possible = router.dispatcher.borrow().possible_origins(router.now());
    possible.is_none_or(|possible| possible.len() > 1)
}

/// Reads the records of the time before this life of the router. Tries until a call succeeds.
async fn read<A: RecordArchive>(router: &Router, archive: &A, availability: &mut Availability) {
    loop {
        let result = archive.list().await;
        availability.observe(&result);
        if let Ok(archived) = result {
            router.stream_origins.on_archived_records(router, &archived);
            return;
        }
        router.runtime.sleep(READ_BACKOFF.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

async fn write<A: RecordArchive>(router: &Router, archive: &A) -> Result<(), A::Error> {
    let Some(reports) = router.stream_origins.records_to_archive(router.now()) else {
        return Ok(());
    };
    archive.write(RouterRecords { router: router.settings.digests, reports }).await
}
