//! Reads of an archive of versions on behalf of searches for a stream's origin.
//!
//! What a router and its peers know of the versions may be old: it may have missed that one joined. A
//! search therefore asks the archive after its request has arrived. Searches that wait at the same time
//! share one read, which begins after all of them.

use crate::router::Router;
use crate::version_archive::{ArchivedVersions, VersionArchive};
use smol::channel::{Receiver, Sender, bounded, unbounded};
use std::rc::Rc;
use std::time::Duration;

/// Time after which a search gives up: the archive answers within milliseconds, or is out of reach.
const TIMEOUT: Duration = Duration::from_millis(700);

/// The searches that wait for a read.
#[derive(Debug)]
pub struct ArchiveConfirmations {
    sender: Sender<Sender<ArchivedVersions>>,
    waiting: Receiver<Sender<ArchivedVersions>>,
}

impl Default for ArchiveConfirmations {
    fn default() -> Self {
        let (sender, waiting) = unbounded();
        Self { sender, waiting }
    }
}

impl ArchiveConfirmations {
    /// Returns what the archive holds, read after this call; `None` if it can't be read in time.
    pub async fn read(&self, router: &Router) -> Option<ArchivedVersions> {
        let (sender, read) = bounded(1);
        self.sender.try_send(sender).ok()?;
        router.runtime.within(TIMEOUT, read.recv()).await.ok()?.ok()
    }

    /// Waits for a search. Returns all that wait and have not given up.
    async fn next(&self) -> Vec<Sender<ArchivedVersions>> {
        loop {
            let mut waiting: Vec<_> = self.waiting.recv().await.into_iter().collect();
            while let Ok(next) = self.waiting.try_recv() {
                waiting.push(next);
            }
            waiting.retain(|search| !search.is_closed());
            if !waiting.is_empty() {
                return waiting;
            }
        }
    }
}

/// Reads the archive for searches for as long as the router runs.
pub async fn confirm_versions<A: VersionArchive>(router: Rc<Router>, archive: A) {
    loop {
        let waiting = router.stream_origins.confirmations().next().await;
        let began = router.now();
        // Searches whose read failed learn it as their sender is dropped.
        let Ok(archived) = archive.list().await else { continue };
        let ArchivedVersions { origins, is_complete } = &archived;
        router.dispatcher.borrow_mut().on_confirmed_origins(began, origins, *is_complete);
        for search in waiting {
            // A search that has given up needs no answer.
            let _ = search.try_send(archived.clone());
        }
    }
}
