//! Distinguishes a back end that terminated from a single connection that ended.
//!
//! When a back end terminates, all its connections break, it refuses new ones, and no further
//! answers arrive from it. A back end that resets some connections still accepts new ones.

use crate::call::Call;
use crate::events;
use crate::quarantine;
use crate::router::Router;
use crate::run_progress::RunProgress;
use mastbay_routing::{BackEnd, BackEndId, BackEndState, Suspect};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Delays before the first connection check, and between the first and the second. Meanwhile the
/// other connections break, and answers in flight arrive. Restarting a process takes longer than
/// both.
const CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(80)];
/// Delay from the end of an answer until its back end may be found alive: a back end that terminates
/// may accept connections for a moment after the first ones broke.
const SETTLING_TIME: Duration = Duration::from_millis(10);
/// Interval between checks whether it is known why a connection ended.
const FATE_INTERVAL: Duration = Duration::from_millis(8);

/// What may be the cause of the termination of a back end.
#[derive(Debug, Clone, Default)]
pub struct EndedRuns {
    /// The requests, and the parts of those whose runs had begun shortly before.
    pub suspects: BTreeSet<Suspect>,
    /// The parts of requests whose runs are not known to have begun.
    pub waiting_parts: BTreeSet<Suspect>,
}

impl EndedRuns {
    fn add(&mut self, router: &Router, call: &Call, progress: RunProgress) {
        self.suspects.insert(Suspect::Request(call.fingerprint()));
        let quarantine = router.quarantine.borrow();
        let unproven = call.shared_parts().filter(|part| !quarantine.has_survived(*part));
        match progress {
            RunProgress::Waiting => self.waiting_parts.extend(unproven),
            RunProgress::Started => self.suspects.extend(unproven),
            RunProgress::Sustained => {}
        }
    }

    fn merge(&mut self, other: Self) {
        self.suspects.extend(other.suspects);
        self.waiting_parts.extend(other.waiting_parts);
    }
}

/// What is known of a back end whose connections ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackEndFate {
    /// It accepts new connections.
    Alive,
    /// It has terminated.
    Ended,
    /// It is about to leave or has left, and accepts new connections.
    Leaving,
}

/// The check of a back end whose connections ended.
#[derive(Debug)]
struct Check {
    /// Runs whose connections broke.
    broken: EndedRuns,
    /// Runs whose answers ended with their connections, as they also do at a back end that is alive.
    unmarked: EndedRuns,
    /// `None` while the check is in progress.
    fate: Rc<Cell<Option<BackEndFate>>>,
}

/// The back ends whose check is in progress.
#[derive(Debug, Default)]
pub struct BrokenConnections(RefCell<HashMap<BackEndId, Check>>);

impl BrokenConnections {
    /// Returns whether no check is in progress.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Returns the number of back ends that may have terminated under a suspect and whose check is
    /// in progress.
    pub fn unresolved_for(&self, suspect: Suspect) -> usize {
        let checks = self.0.borrow();
        checks.values().filter(|check| check.broken.suspects.contains(&suspect)).count()
    }

    /// Updates the check of a back end, which is begun if there is none. Returns where its result
    /// will be.
    fn update(
        &self,
        router: &Rc<Router>,
        back_end: BackEnd,
        update: impl FnOnce(&mut Check),
    ) -> Rc<Cell<Option<BackEndFate>>> {
        let mut checks = self.0.borrow_mut();
        let check = checks.entry(back_end.id.clone()).or_insert_with(|| {
            let fate = Rc::default();
            let task = check_back_end(router.clone(), back_end, Rc::clone(&fate));
            router.runtime.control().spawn(task).detach();
            Check { broken: EndedRuns::default(), unmarked: EndedRuns::default(), fate }
        });
        update(check);
        check.fate.clone()
    }

    fn take(&self, id: &BackEndId) -> Option<Check> {
        self.0.borrow_mut().remove(id)
    }
}

/// Returns the back end if its termination would not be planned.
fn ready_back_end(router: &Router, id: &BackEndId) -> Option<BackEnd> {
    let listed = router.dispatcher.borrow().back_end(id).cloned();
    listed.filter(|listed| listed.state == BackEndState::Ready)
}

/// Records that the connection of a request broke before its answer was complete, and starts the
/// check of the back end.
pub fn record(router: &Rc<Router>, call: &Call, id: &BackEndId, progress: RunProgress) {
    events::connection_broke(call, id, progress);
    if let Some(back_end) = ready_back_end(router, id) {
        router.broken.update(router, back_end, |check| check.broken.add(router, call, progress));
    }
}

/// Returns what became of a back end when the answer to a request ended with its connection, which
/// is how an answer without a length or chunks ends in any case. Takes 10 to 30 ms if the back end
/// is alive, 0.1 s if it has terminated. The termination of one that leaves is reported to nobody,
/// since it is planned; the answer may have been cut all the same.
pub async fn fate_after_answer(
    router: &Rc<Router>,
    call: &Call,
    id: &BackEndId,
    address: SocketAddr,
    progress: RunProgress,
) -> BackEndFate {
    router.runtime.sleep(SETTLING_TIME).await;
    let Some(back_end) = ready_back_end(router, id) else {
        let has_ended = has_ended(router, id, address).await;
        return if has_ended { BackEndFate::Ended } else { BackEndFate::Leaving };
    };
    let unmarked = |check: &mut Check| check.unmarked.add(router, call, progress);
    let fate = router.broken.update(router, back_end, unmarked);
    loop {
        if let Some(fate) = fate.get() {
            return fate;
        }
        router.runtime.sleep(FATE_INTERVAL).await;
    }
}

/// Checks whether a back end has terminated, and reports it to the quarantine if so.
async fn check_back_end(
    router: Rc<Router>,
    back_end: BackEnd,
    fate: Rc<Cell<Option<BackEndFate>>>,
) {
    let has_ended = has_ended(&router, &back_end.id, back_end.address).await;
    fate.set(Some(if has_ended { BackEndFate::Ended } else { BackEndFate::Alive }));
    let Some(check) = router.broken.take(&back_end.id) else { return };
    if has_ended {
        let mut runs = check.broken;
        runs.merge(check.unmarked);
        quarantine::on_back_end_ended(&router, &back_end, runs);
    }
}

/// Returns whether the back end refuses connections in all checks and sends nothing in between.
async fn has_ended(router: &Router, id: &BackEndId, address: SocketAddr) -> bool {
    let mut refused_at = None;
    for delay in CHECK_DELAYS {
        router.runtime.sleep(delay).await;
        if !router.pool.refuses_connections(address).await {
            return false;
        }
        refused_at.get_or_insert(router.now());
    }
    // Events that were sent before may be read one batching interval later.
    let since = refused_at.unwrap_or_default() + router.batching_interval().unwrap_or_default();
    !router.dispatcher.borrow().has_responded_since(id, since)
}
