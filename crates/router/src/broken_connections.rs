//! Tells a back end that ended from a connection that was reset, closed or spoilt.
//!
//! When a back end ends, the connections of all its requests break at once, it refuses new ones and nothing more comes from it.
//! One that closes a connection in the middle of an answer, or resets some of them, still takes new ones.

use crate::call::Call;
use crate::quarantine;
use crate::router::Router;
use mastbay_routing::{BackEnd, BackEndId, BackEndState, RequestFingerprint};
use mastbay_types::Timestamp;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Times between a broken connection and the first look at whether its back end takes new ones, and from there to the
/// second. The other connections break meanwhile, and what had been on its way from a living back end comes. A process takes
/// longer to come back than both.
const LOOKS_AFTER: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(80)];

/// The requests whose connections to one back end broke at about the same time.
#[derive(Debug)]
struct Broken {
    since: Timestamp,
    requests: BTreeSet<RequestFingerprint>,
}

/// Back ends whose connections broke a moment ago.
#[derive(Debug, Default)]
pub struct BrokenConnections(RefCell<HashMap<BackEndId, Broken>>);

impl BrokenConnections {
    /// Notes a broken connection. Gives whether it is the back end's first.
    fn add(&self, now: Timestamp, id: &BackEndId, request: RequestFingerprint) -> bool {
        let mut all = self.0.borrow_mut();
        let is_first = !all.contains_key(id);
        let broken = all
            .entry(id.clone())
            .or_insert_with(|| Broken { since: now, requests: BTreeSet::new() });
        broken.requests.insert(request);
        is_first
    }

    /// Whether no connection broke lately.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Back ends of which it isn't known yet whether they ended under a request.
    pub fn unresolved_for(&self, request: RequestFingerprint) -> usize {
        self.0.borrow().values().filter(|broken| broken.requests.contains(&request)).count()
    }

    fn take(&self, id: &BackEndId) -> Option<Broken> {
        self.0.borrow_mut().remove(id)
    }
}

/// The connection of a request that a back end was given broke before its answer was whole.
pub fn note(router: &Rc<Router>, call: &Call, id: &BackEndId) {
    let request = call.fingerprint();
    let listed = router.dispatcher.borrow().back_end(id).cloned();
    // One that leaves ends by plan, whatever it was given.
    let Some(back_end) = listed.filter(|listed| listed.state == BackEndState::Ready) else {
        return;
    };
    if router.broken.add(router.now(), id, request) {
        router.runtime.control().spawn(examine(router.clone(), back_end)).detach();
    }
}

/// Finds out whether a back end ended.
async fn examine(router: Rc<Router>, back_end: BackEnd) {
    let is_refused = is_refused_twice(&router, &back_end).await;
    let Some(broken) = router.broken.take(&back_end.id) else { return };
    let was_heard = router.dispatcher.borrow().has_responded_since(&back_end.id, broken.since);
    if is_refused && !was_heard {
        quarantine::on_back_end_ended(&router, &back_end, &broken.requests);
    }
}

async fn is_refused_twice(router: &Router, back_end: &BackEnd) -> bool {
    for pause in LOOKS_AFTER {
        router.runtime.sleep(pause).await;
        if !router.pool.is_refused(back_end.address).await {
            return false;
        }
    }
    true
}
