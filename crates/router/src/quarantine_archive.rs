//! Keeps quarantined suspects in an archive, since routers have no disk and may all be lost at
//! once.
//!
//! The few routers that follow the source write missing entries to the archive and read those that
//! they lack; the other routers learn of them through peer messages. An operator lifts a quarantine
//! by removing its entry.

use crate::availability::Availability;
use crate::events;
use crate::quarantine;
use crate::router::Router;
use mastbay_routing::{QuarantinedSuspect, Revision, Suspect};
use mastbay_types::Timestamp;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// Longest time that a call waits for changes. Lifting a quarantine is not urgent, and each call
/// has a cost.
const CHANGES_WAIT: Duration = Duration::from_secs(20);
/// Interval between checks whether this router follows the source and has entries to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Longest random delay before a write, which gives other routers the chance to write first.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(300);
/// Time for which an expired entry is kept: a router whose wall clock is some seconds ahead must
/// not remove what is still valid for others.
const REMOVAL_DELAY: Duration = Duration::from_secs(60);
/// Backoff after a failed call.
const FAILURE_BACKOFF: Duration = Duration::from_millis(900);

/// All entries of an archive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArchiveListing {
    /// The entries that can be parsed.
    pub entries: Vec<QuarantinedSuspect>,
    /// Position after which to read changes.
    pub cursor: Revision,
}

/// Changes of an archive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArchiveChanges {
    /// Entries that were written.
    pub written: Vec<QuarantinedSuspect>,
    /// Entries that were removed.
    pub removed: Vec<Suspect>,
    /// Position after which to read changes.
    pub cursor: Revision,
}

/// Storage for quarantined suspects that survives the routers.
#[expect(async_fn_in_trait, reason = "a router runs on one thread")]
pub trait QuarantineArchive {
    /// Error of a failed call.
    type Error: Display;

    /// Returns all entries.
    async fn list(&self) -> Result<ArchiveListing, Self::Error>;

    /// Waits up to `wait` for changes after `cursor` and returns them; `None` if the archive no
    /// longer has them or has been restored from an older copy.
    async fn changes(
        &self,
        cursor: Revision,
        wait: Duration,
    ) -> Result<Option<ArchiveChanges>, Self::Error>;

    /// Writes an entry; an existing one stays unchanged.
    async fn write(&self, entry: &QuarantinedSuspect) -> Result<(), Self::Error>;

    /// Removes an entry, if it exists.
    async fn remove(&self, suspect: Suspect) -> Result<(), Self::Error>;
}

/// The known entries of the archive with their expiry times; `None` before the first listing.
type KnownEntries = RefCell<Option<BTreeMap<Suspect, Timestamp>>>;

/// Keeps the archive and the router in sync for as long as the router runs. `reader` and `writer`
/// access the same archive, so that a write does not wait for a call that waits for changes.
pub async fn sync_archive<A: QuarantineArchive>(router: Rc<Router>, reader: A, writer: A) {
    let known = KnownEntries::default();
    smol::future::zip(read(&router, &reader, &known), write(&router, &writer, &known)).await;
}

async fn read<A: QuarantineArchive>(router: &Router, archive: &A, known: &KnownEntries) {
    // A router queries the source at its start unless peers tell it all. It takes no requests until
    // it has read the archive once.
    router.until_following_source().await;
    router.set_reading_quarantines(true);
    let mut cursor = None;
    let mut availability = Availability::new("quarantine_archive");
    loop {
        if !router.is_following_source() {
            // A full listing replaces the cursor once the router follows the source again.
            cursor = None;
            known.replace(None);
            router.runtime.sleep(router.runtime.until_aligned_tick(CHECK_INTERVAL)).await;
            continue;
        }
        let result = read_once(router, archive, known, cursor).await;
        router.set_reading_quarantines(false);
        availability.observe(&result);
        match result {
            Ok(next) => cursor = next,
            Err(_) => {
                router.runtime.sleep(FAILURE_BACKOFF.mul_f64(0.5 + rand::random::<f64>())).await
            }
        }
    }
}

/// Reads the full list if there is no cursor, else the next changes. Returns the next cursor.
async fn read_once<A: QuarantineArchive>(
    router: &Router,
    archive: &A,
    known: &KnownEntries,
    cursor: Option<Revision>,
) -> Result<Option<Revision>, A::Error> {
    let Some(cursor) = cursor else {
        let listed = archive.list().await?;
        known.replace(Some(BTreeMap::new()));
        listed.entries.iter().for_each(|entry| apply_entry(router, known, entry));
        return Ok(Some(listed.cursor));
    };
    let wait = CHANGES_WAIT.mul_f64(0.75 + 0.25 * rand::random::<f64>());
    let Some(changes) = archive.changes(cursor, wait).await? else { return Ok(None) };
    changes.written.iter().for_each(|entry| apply_entry(router, known, entry));
    for suspect in changes.removed {
        let entry = known.borrow_mut().as_mut().and_then(|known| known.remove(&suspect));
        // Routers remove expired entries; only an operator removes one that is still valid.
        if entry.is_some_and(|until| until > router.now()) {
            quarantine::lift(router, suspect);
        }
    }
    Ok(Some(changes.cursor.max(cursor)))
}

fn apply_entry(router: &Router, known: &KnownEntries, entry: &QuarantinedSuspect) {
    let until = router.now() + entry.left;
    if let Some(known) = known.borrow_mut().as_mut() {
        known.insert(entry.suspect, until);
    }
    quarantine::apply_archived(router, entry);
}

async fn write<A: QuarantineArchive>(router: &Router, archive: &A, known: &KnownEntries) {
    loop {
        router.runtime.sleep(router.runtime.until_aligned_tick(CHECK_INTERVAL)).await;
        if !router.is_following_source() {
            continue;
        }
        if has_changes(router, known) {
            router.runtime.sleep(MAX_WRITE_DELAY.mul_f64(rand::random())).await;
            if write_changes(router, archive, known).await.is_err() {
                router.runtime.sleep(FAILURE_BACKOFF).await;
            }
        }
    }
}

fn has_changes(router: &Router, known: &KnownEntries) -> bool {
    !missing(router, known).is_empty() || !obsolete(router, known).is_empty()
}

/// Returns the quarantined suspects that the archive lacks.
fn missing(router: &Router, known: &KnownEntries) -> Vec<QuarantinedSuspect> {
    let known = known.borrow();
    let Some(known) = known.as_ref() else { return Vec::new() };
    let mut quarantined = quarantine::quarantined(router);
    quarantined.retain(|entry| !known.contains_key(&entry.suspect));
    quarantined
}

/// Returns the entries that expired a while ago or whose suspects were cleared.
fn obsolete(router: &Router, known: &KnownEntries) -> Vec<Suspect> {
    let now = router.now();
    let quarantined: BTreeSet<Suspect> =
        quarantine::quarantined(router).iter().map(|entry| entry.suspect).collect();
    let is_obsolete = |suspect: &Suspect, until: Timestamp| {
        let is_expired = until + REMOVAL_DELAY <= now;
        let is_cleared = until > now && !quarantined.contains(suspect);
        is_expired || is_cleared
    };
    let known = known.borrow();
    let all = known.iter().flatten().filter(|(suspect, until)| is_obsolete(suspect, **until));
    all.map(|(suspect, _)| *suspect).collect()
}

async fn write_changes<A: QuarantineArchive>(
    router: &Router,
    archive: &A,
    known: &KnownEntries,
) -> Result<(), A::Error> {
    for entry in missing(router, known) {
        archive.write(&entry).await?;
        let until = router.now() + entry.left;
        if let Some(known) = known.borrow_mut().as_mut() {
            known.insert(entry.suspect, until);
        }
        events::quarantine_archived(entry.suspect);
    }
    for suspect in obsolete(router, known) {
        archive.remove(suspect).await?;
        if let Some(known) = known.borrow_mut().as_mut() {
            known.remove(&suspect);
        }
    }
    Ok(())
}
