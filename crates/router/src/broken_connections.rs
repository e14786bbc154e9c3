//! Distinguishes a back end that terminated from a single connection that failed.
//!
//! When a back end terminates, all its connections break, it refuses new ones, and no further
//! answers arrive from it. A back end that resets some connections still accepts new ones.

use crate::call::Call;
use crate::events;
use crate::quarantine;
use crate::router::Router;
use crate::run_progress::RunProgress;
use mastbay_routing::{BackEnd, BackEndId, BackEndState, RequestFingerprint};
use mastbay_types::Timestamp;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Delays before the first connection check, and between the first and the second. Meanwhile the
/// other connections break, and answers in flight arrive. Restarting a process takes longer than
/// both.
const CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(80)];

/// The requests whose connections to one back end broke since a time.
#[derive(Debug)]
struct BrokenRequests {
    since: Timestamp,
    requests: BTreeSet<RequestFingerprint>,
}

/// The back ends with broken connections whose check is in progress.
#[derive(Debug, Default)]
pub struct BrokenConnections(RefCell<HashMap<BackEndId, BrokenRequests>>);

impl BrokenConnections {
    /// Adds a broken connection. Returns whether it is the first one of the back end, whose check
    /// is to be started.
    fn add(&self, now: Timestamp, id: &BackEndId, request: RequestFingerprint) -> bool {
        let mut all = self.0.borrow_mut();
        let is_first = !all.contains_key(id);
        let broken = all
            .entry(id.clone())
            .or_insert_with(|| BrokenRequests { since: now, requests: BTreeSet::new() });
        broken.requests.insert(request);
        is_first
    }

    /// Returns whether no check is in progress.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Returns the number of back ends that may have terminated while running a request and whose
    /// check is in progress.
    pub fn unresolved_for(&self, request: RequestFingerprint) -> usize {
        self.0.borrow().values().filter(|broken| broken.requests.contains(&request)).count()
    }

    fn take(&self, id: &BackEndId) -> Option<BrokenRequests> {
        self.0.borrow_mut().remove(id)
    }
}

/// Records that the connection of a request broke before its answer was complete, and starts the
/// check of the back end.
pub fn record(router: &Rc<Router>, call: &Call, id: &BackEndId, progress: RunProgress) {
    let request = call.fingerprint();
    events::connection_broke(call, id, progress);
    let listed = router.dispatcher.borrow().back_end(id).cloned();
    // The termination of a draining back end is planned and not caused by a request.
    let Some(back_end) = listed.filter(|listed| listed.state == BackEndState::Ready) else {
        return;
    };
    if router.broken.add(router.now(), id, request) {
        router.runtime.control().spawn(check_back_end(router.clone(), back_end)).detach();
    }
}

/// Checks whether a back end has terminated, and reports it to the quarantine if so.
async fn check_back_end(router: Rc<Router>, back_end: BackEnd) {
    let refuses = refuses_connections(&router, &back_end).await;
    let Some(broken) = router.broken.take(&back_end.id) else { return };
    let has_responded = router.dispatcher.borrow().has_responded_since(&back_end.id, broken.since);
    if refuses && !has_responded {
        quarantine::on_back_end_ended(&router, &back_end, &broken.requests);
    }
}

/// Returns whether the back end refuses connections in all checks.
async fn refuses_connections(router: &Router, back_end: &BackEnd) -> bool {
    for delay in CHECK_DELAYS {
        router.runtime.sleep(delay).await;
        if !router.pool.refuses_connections(back_end.address).await {
            return false;
        }
    }
    true
}
