//! Keeps quarantined requests where they outlive all routers.
//!
//! Routers have no disk and may all be gone at once. Without an archive a request that had been quarantined ended three more back ends
//! after each such loss. The few routers that follow the source write what is missing in the archive and read what they miss
//! themselves; the others hear of it from them. An operator lifts a quarantine by removing its entry.

use crate::events;
use crate::quarantine;
use crate::router::Router;
use mastbay_routing::{QuarantinedRequest, RequestFingerprint, Revision};
use mastbay_types::Timestamp;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// Time that a call may wait for a change. Nothing hangs on how soon a lifted quarantine is noticed, and each call has a price.
const CHANGES_WAIT: Duration = Duration::from_secs(20);
/// Time between two looks at whether this router follows the source and whether anything is to be written.
const PERIOD: Duration = Duration::from_millis(300);
/// Longest time for which a router leaves it to the others to write an entry first.
const LONGEST_DEFERENCE: Duration = Duration::from_millis(300);
/// Time after an entry's end for which it is kept: a router whose time of day is some seconds ahead must not remove what holds for others.
const REMOVED_AFTER: Duration = Duration::from_secs(60);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(900);

/// All entries of an archive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArchiveListing {
    /// The entries that can be read.
    pub entries: Vec<QuarantinedRequest>,
    /// Where changes go on from.
    pub cursor: Revision,
}

/// Changes of an archive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArchiveChanges {
    /// Entries that were written.
    pub written: Vec<QuarantinedRequest>,
    /// Entries that were removed.
    pub removed: Vec<RequestFingerprint>,
    /// Where changes go on from.
    pub cursor: Revision,
}

/// The seam to where quarantined requests are kept.
#[expect(async_fn_in_trait, reason = "a router runs on one thread")]
pub trait QuarantineArchive {
    /// Why a call failed.
    type Error: Display;

    /// All entries.
    async fn list(&self) -> Result<ArchiveListing, Self::Error>;

    /// The changes after `cursor`, waited for up to `wait`; nothing if the archive no longer has them, or was restored
    /// from an older copy since.
    async fn changes(
        &self,
        cursor: Revision,
        wait: Duration,
    ) -> Result<Option<ArchiveChanges>, Self::Error>;

    /// Writes an entry; one that is there stays as it is.
    async fn write(&self, entry: &QuarantinedRequest) -> Result<(), Self::Error>;

    /// Removes an entry, if it is there.
    async fn remove(&self, request: RequestFingerprint) -> Result<(), Self::Error>;
}

/// The entries that a router knows of, by the time until which they count; nothing before it has read any list.
type Known = RefCell<Option<BTreeMap<RequestFingerprint, Timestamp>>>;

/// Keeps archive and router the same for as long as the router runs. `reader` and `writer` are two ways to the same archive, so that a
/// write doesn't wait for a change.
pub async fn sync_archive<A: QuarantineArchive>(router: Rc<Router>, reader: A, writer: A) {
    let known = Known::default();
    smol::future::zip(read(&router, &reader, &known), write(&router, &writer, &known)).await;
}

async fn read<A: QuarantineArchive>(router: &Router, archive: &A, known: &Known) {
    let mut cursor = None;
    let mut is_available = true;
    loop {
        if !router.is_following_source() {
            // What changes until it follows the source again is read then.
            cursor = None;
            known.replace(None);
            router.runtime.sleep(router.runtime.until_aligned_tick(PERIOD)).await;
            continue;
        }
        let result = read_once(router, archive, known, cursor).await;
        if is_available != result.is_ok() {
            is_available = result.is_ok();
            let detail = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            events::dependency("quarantine_archive", is_available, &detail);
        }
        match result {
            Ok(next) => cursor = next,
            Err(_) => {
                router.runtime.sleep(FAILURE_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await
            }
        }
    }
}

/// One call: the whole list where there is no cursor, else the next changes. Gives the cursor to go on from.
async fn read_once<A: QuarantineArchive>(
    router: &Router,
    archive: &A,
    known: &Known,
    cursor: Option<Revision>,
) -> Result<Option<Revision>, A::Error> {
    let Some(cursor) = cursor else {
        let listed = archive.list().await?;
        known.replace(Some(BTreeMap::new()));
        listed.entries.iter().for_each(|entry| take_entry(router, known, entry));
        return Ok(Some(listed.cursor));
    };
    let wait = CHANGES_WAIT.mul_f64(0.75 + 0.25 * rand::random::<f64>());
    let Some(changes) = archive.changes(cursor, wait).await? else { return Ok(None) };
    changes.written.iter().for_each(|entry| take_entry(router, known, entry));
    for request in changes.removed {
        let entry = known.borrow_mut().as_mut().and_then(|known| known.remove(&request));
        // An entry whose time was over is removed by routers.
        if entry.is_some_and(|until| until > router.now()) {
            quarantine::lift(router, request);
        }
    }
    Ok(Some(changes.cursor.max(cursor)))
}

fn take_entry(router: &Router, known: &Known, entry: &QuarantinedRequest) {
    let until = router.now() + entry.left;
    if let Some(known) = known.borrow_mut().as_mut() {
        known.insert(entry.request, until);
    }
    quarantine::take_archived(router, entry);
}

async fn write<A: QuarantineArchive>(router: &Router, archive: &A, known: &Known) {
    loop {
        router.runtime.sleep(router.runtime.until_aligned_tick(PERIOD)).await;
        if !router.is_following_source() {
            continue;
        }
        if has_changes(router, known) {
            router.runtime.sleep(LONGEST_DEFERENCE.mul_f64(rand::random())).await;
            if write_missing(router, archive, known).await.is_err() {
                router.runtime.sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn has_changes(router: &Router, known: &Known) -> bool {
    !missing(router, known).is_empty() || !superfluous(router, known).is_empty()
}

/// Quarantined requests that the archive doesn't hold.
fn missing(router: &Router, known: &Known) -> Vec<QuarantinedRequest> {
    let known = known.borrow();
    let Some(known) = known.as_ref() else { return Vec::new() };
    let mut quarantined = quarantine::quarantined(router);
    quarantined.retain(|one| !known.contains_key(&one.request));
    quarantined
}

/// Entries of requests whose time is over for a while, or that were cleared.
fn superfluous(router: &Router, known: &Known) -> Vec<RequestFingerprint> {
    let now = router.now();
    let quarantined: BTreeSet<RequestFingerprint> =
        quarantine::quarantined(router).iter().map(|one| one.request).collect();
    let is_superfluous = |request: &RequestFingerprint, until: Timestamp| {
        let is_over = until + REMOVED_AFTER <= now;
        let is_cleared = until > now && !quarantined.contains(request);
        is_over || is_cleared
    };
    let known = known.borrow();
    let all = known.iter().flatten().filter(|(request, until)| is_superfluous(request, **until));
    all.map(|(request, _)| *request).collect()
}

async fn write_missing<A: QuarantineArchive>(
    router: &Router,
    archive: &A,
    known: &Known,
) -> Result<(), A::Error> {
    for entry in missing(router, known) {
        archive.write(&entry).await?;
        let until = router.now() + entry.left;
        if let Some(known) = known.borrow_mut().as_mut() {
            known.insert(entry.request, until);
        }
        events::quarantine_archived(entry.request);
    }
    for request in superfluous(router, known) {
        archive.remove(request).await?;
        if let Some(known) = known.borrow_mut().as_mut() {
            known.remove(&request);
        }
    }
    Ok(())
}
