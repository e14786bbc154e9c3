//! Keeps the software versions that may have begun streams in an archive, since routers have no disk
//! and may all be lost at once.
//!
//! The few routers that follow the source write each version of a service of streams once it is listed;
//! the others read whether it is there, and no stream begins at it before. A router that starts reads the
//! archive: if it is complete and names one version, a stream without a record began there. The archive
//! is complete once a router that knows all versions has written them: one that has seen the source
//! without any configuration, or for as long as a caller may wait, or that has read a complete archive.

use crate::archive_reads::until_first_read;
use crate::availability::Availability;
use crate::events;
use crate::router::Router;
use mastbay_routing::StreamOrigin;
use mastbay_types::Timestamp;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks whether there is something to read or to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an archive that was not complete is read again.
const INCOMPLETE_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which routers that follow the source compare the archive with what they know: it may
/// have been restored from an older copy.
const VERIFY_INTERVAL: Duration = Duration::from_secs(60);
/// Reads in one [`CHECK_INTERVAL`] by a fleet of which all routers but a few wait for a new version.
const READS_PER_INTERVAL: f64 = 200.0;
/// Backoff after a failed call.
const FAILURE_BACKOFF: Duration = Duration::from_millis(900);

/// What an archive holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ArchivedVersions {
    /// Services with the versions that may have begun streams.
    pub origins: BTreeSet<StreamOrigin>,
    /// Whether no other version may have begun a stream.
    pub is_complete: bool,
}

impl ArchivedVersions {
    /// Returns whether streams of the origin's service can have begun at no other version.
    pub fn holds_only(&self, origin: &StreamOrigin) -> bool {
        let mut of_service =
            self.origins.iter().filter(|archived| archived.service == origin.service);
        let is_only = of_service.next() == Some(origin) && of_service.next().is_none();
        self.is_complete && is_only
    }
}

/// Storage for versions that survives the routers.
#[expect(async_fn_in_trait, reason = "a router runs on one thread")]
pub trait VersionArchive {
    /// Error of a failed call.
    type Error: Display;

    /// Returns what the archive holds. It counts as complete only if it was not restored from an
    /// older copy since it was marked.
    async fn list(&self) -> Result<ArchivedVersions, Self::Error>;

    /// Writes a version, unless it is there.
    async fn write(&self, origin: &StreamOrigin) -> Result<(), Self::Error>;

    /// Removes a version, if it is there.
    async fn remove(&self, origin: &StreamOrigin) -> Result<(), Self::Error>;

    /// Marks the archive as complete.
    async fn mark_complete(&self) -> Result<(), Self::Error>;
}

/// The archive as this router last read or wrote it.
#[derive(Debug, Default)]
struct Known {
    archived: ArchivedVersions,
    /// When it was read last; `None` before.
    read: Option<Timestamp>,
}

/// Keeps the archive and the router in sync for as long as the router runs.
pub async fn keep_versions<A: VersionArchive>(router: Rc<Router>, archive: A) {
    router.stream_origins.expect_archive();
    until_first_read(&router).await;
    let mut known = Known::default();
    let mut availability = Availability::new("version_archive");
    loop {
        router.runtime.sleep(router.runtime.until_aligned_tick(CHECK_INTERVAL)).await;
        let result = sync_once(&router, &archive, &mut known).await;
        availability.observe(&result);
        if result.is_err() {
            router.runtime.sleep(FAILURE_BACKOFF.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }
}

async fn sync_once<A: VersionArchive>(
    router: &Router,
    archive: &A,
    known: &mut Known,
) -> Result<(), A::Error> {
    let is_read = is_read_due(router, known);
    if is_read {
        read(router, archive, known).await?;
    }
    if !router.is_following_source() {
        return Ok(());
    }
    if is_read {
        remove_obsolete(router, archive, known).await?;
    }
    write_missing(router, archive, known).await
}

fn is_read_due(router: &Router, known: &Known) -> bool {
    let now = router.now();
    let dispatcher = router.dispatcher.borrow();
    let Some(read) = known.read else { return true };
    let age = now.since(read);
    let needed = dispatcher.needs_origins_before(now);
    needed.is_some_and(|before| read < before || age >= INCOMPLETE_INTERVAL)
        || router.is_following_source() && age >= VERIFY_INTERVAL
        || !router.is_following_source() && is_version_read_due(router)
}

/// Returns whether a router that does not write versions itself reads whether a listed one has been
/// written. In a large fleet, a random part of the routers reads at a time.
fn is_version_read_due(router: &Router) -> bool {
    let fraction = READS_PER_INTERVAL / router.fleet_size() as f64;
    router.dispatcher.borrow().lacks_archived_origins() && rand::random::<f64>() < fraction
}

async fn read<A: VersionArchive>(
    router: &Router,
    archive: &A,
    known: &mut Known,
) -> Result<(), A::Error> {
    let began = router.now();
    known.archived = archive.list().await?;
    known.read = Some(began);
    router.stream_origins.on_archive_read(began);
    let ArchivedVersions { origins, is_complete } = &known.archived;
    events::version_archive_read(origins.len(), *is_complete);
    router.dispatcher.borrow_mut().on_origin_archive(began, origins, *is_complete);
    Ok(())
}

/// Writes what the archive lacks.
async fn write_missing<A: VersionArchive>(
    router: &Router,
    archive: &A,
    known: &mut Known,
) -> Result<(), A::Error> {
    let now = router.now();
    let observed = router.dispatcher.borrow().observed_origins();
    for origin in observed.difference(&known.archived.origins.clone()) {
        archive.write(origin).await?;
        events::version_archived(origin);
        router.dispatcher.borrow_mut().on_archived_origin(origin);
        known.archived.origins.insert(origin.clone());
    }
    if known.archived.is_complete {
        return Ok(());
    }
    let possible = router.dispatcher.borrow().possible_origins(now);
    if possible.is_some_and(|possible| possible.is_subset(&known.archived.origins)) {
        archive.mark_complete().await?;
        known.archived.is_complete = true;
    }
    Ok(())
}

/// Removes versions of which no stream can be resumed any more.
async fn remove_obsolete<A: VersionArchive>(
    router: &Router,
    archive: &A,
    known: &mut Known,
) -> Result<(), A::Error> {
    let archived = &mut known.archived.origins;
    let obsolete = router.dispatcher.borrow_mut().take_obsolete_origins(router.now(), archived);
    for origin in obsolete {
        archive.remove(&origin).await?;
        archived.remove(&origin);
    }
    Ok(())
}
