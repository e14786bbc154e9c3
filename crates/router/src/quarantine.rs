//! Quarantines requests that terminate back ends, together with the other routers.
//!
//! Without this, such a request would be sent to another back end each time that it arrives
//! (`tests/fatal_requests.rs`).

use crate::call::Call;
use crate::events;
use crate::router::Router;
use mastbay_routing::{
    BackEnd, EngineKey, Outgoing, PeerMessage, QuarantineStatus, QuarantinedRequest,
    RequestFingerprint, TerminationReport,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks whether it is known why a connection broke.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_millis(16);

/// Returns the quarantine status of a request. If one more termination would quarantine it and it
/// is not yet known whether a back end just terminated while running it, waits until it is, usually
/// about 0.1 s.
pub async fn status(router: &Router, call: &Call) -> QuarantineStatus {
    if !has_entries(router) {
        return QuarantineStatus::Clear;
    }
    while is_status_pending(router, call.fingerprint()) {
        router.runtime.sleep(STATUS_CHECK_INTERVAL).await;
    }
    current_status(router, call)
}

/// Lets a quarantined request through as a probe if one is due and it is this router's turn.
/// Returns whether it does.
pub fn take_probe(router: &Router, call: &Call) -> bool {
    let request = call.fingerprint();
    let probe_key = router.quarantine.borrow().probe_key(request);
    let slot = router.dispatcher.borrow().probe_slot(probe_key);
    let is_probe = router.quarantine.borrow_mut().take_probe(router.now(), request, slot);
    if is_probe {
        let explained_by = (probe_key != request).then_some(probe_key);
        events::request_probed(request, &call.head.request_id, explained_by);
    }
    is_probe
}

/// Returns whether any request may be suspect or quarantined. Usually none is, which saves
/// computing fingerprints.
fn has_entries(router: &Router) -> bool {
    !router.quarantine.borrow().is_empty() || !router.broken.is_empty()
}

fn is_status_pending(router: &Router, request: RequestFingerprint) -> bool {
    let unresolved = router.broken.unresolved_for(request);
    let ends = router.quarantine.borrow().terminations(router.now(), request);
    unresolved > 0 && unresolved + ends + 1 >= router.settings.quarantine.ends
}

/// Returns the status of a request without waiting. A request whose connection just broke is
/// suspect until it is known why.
fn current_status(router: &Router, call: &Call) -> QuarantineStatus {
    if !has_entries(router) {
        return QuarantineStatus::Clear;
    }
    let request = call.fingerprint();
    let known = router.quarantine.borrow().status(router.now(), request);
    let is_unresolved = router.broken.unresolved_for(request) > 0;
    if known == QuarantineStatus::Clear && is_unresolved {
        QuarantineStatus::Suspect
    } else {
        known
    }
}

/// Returns whether back ends terminated, or may have, while they ran a request.
pub fn is_suspect(router: &Router, call: &Call) -> bool {
    current_status(router, call) == QuarantineStatus::Suspect
}

/// Returns the time after which the caller may retry; `None` unless the request is quarantined.
pub fn retry_after(router: &Router, call: &Call) -> Option<Duration> {
    match current_status(router, call) {
        QuarantineStatus::Quarantined { retry_after, .. } => Some(retry_after),
        QuarantineStatus::Clear | QuarantineStatus::Suspect => None,
    }
}

/// Clears the quarantine state of a request that was served completely.
pub fn on_served(router: &Router, call: &Call) {
    if !router.quarantine.borrow().is_empty() {
        router.quarantine.borrow_mut().clear(call.fingerprint());
    }
}

/// Records that a back end terminated while it ran requests of this router, and reports it to the
/// other routers at once.
pub fn on_back_end_ended(
    router: &Router,
    back_end: &BackEnd,
    requests: &BTreeSet<RequestFingerprint>,
) {
    events::back_end_ended(back_end, requests);
    router.metrics.on_back_end_ended();
    let now = router.now();
    let key = EngineKey::from(&back_end.id);
    router.dispatcher.borrow_mut().on_back_end_ended(now, key);
    let quarantined: Vec<QuarantinedRequest> = {
        let mut quarantine = router.quarantine.borrow_mut();
        requests
            .iter()
            .filter_map(|request| quarantine.on_termination(now, key, *request))
            .collect()
    };
    record_quarantined(router, &quarantined, "own");
    router.update_signal.notify();
}

/// Applies reports of terminated back ends from another router.
pub fn apply_reports(router: &Router, reports: &[TerminationReport], sender: SocketAddr) {
    let relaying = router.dispatcher.borrow().relaying();
    let now = router.now();
    for report in reports {
        router.dispatcher.borrow_mut().on_back_end_ended(now, report.back_end);
    }
    let quarantined = router.quarantine.borrow_mut().on_reports(now, reports, relaying);
    if !quarantined.is_empty() {
        record_quarantined(router, &quarantined, &sender.to_string());
    }
}

fn record_quarantined(router: &Router, quarantined: &[QuarantinedRequest], source: &str) {
    quarantined.iter().for_each(|request| events::request_quarantined(request, source));
    let all = router.quarantine.borrow().quarantined(router.now());
    router.metrics.set_quarantined(all.len());
}

/// Returns the messages about terminated back ends for one round; usually none.
pub fn next_messages(router: &Rc<Router>) -> Vec<Outgoing> {
    let now = router.now();
    let mut quarantine = router.quarantine.borrow_mut();
    let reports = quarantine.next_reports(now);
    let reminder = quarantine.next_reminder(now);
    let dispatcher = router.dispatcher.borrow();
    let mut messages = Vec::new();
    if !reports.is_empty() {
        let targets = dispatcher.gossip_targets(rand::random());
        messages.push(Outgoing { message: PeerMessage::Ends(reports), targets });
    }
    if !reminder.is_empty() {
        let targets = dispatcher.random_peer(rand::random()).into_iter().collect();
        messages.push(Outgoing { message: PeerMessage::Ends(reminder), targets });
    }
    messages
}

/// Returns the message that reports all quarantined requests to a new peer, if there are any.
pub fn message_for_new_peer(router: &Router) -> Option<PeerMessage> {
    let reports = router.quarantine.borrow().reports_for_new_peer(router.now());
    (!reports.is_empty()).then_some(PeerMessage::Ends(reports))
}

/// Returns the quarantined requests.
pub fn quarantined(router: &Router) -> Vec<QuarantinedRequest> {
    router.quarantine.borrow().quarantined(router.now())
}

/// Applies an entry of the archive, and reports it to the other routers at once if it is new.
pub fn apply_archived(router: &Router, entry: &QuarantinedRequest) {
    let now = router.now();
    if router.quarantine.borrow_mut().on_listed(now, entry) {
        record_quarantined(router, std::slice::from_ref(entry), "archive");
        router.update_signal.notify();
    }
}

/// Lifts the quarantine of a request whose entry an operator removed.
pub fn lift(router: &Router, request: RequestFingerprint) {
    events::quarantine_lifted(request);
    router.quarantine.borrow_mut().clear(request);
    router.update_signal.notify();
}

/// Removes expired entries.
pub fn expire(router: &Router) {
    let now = router.now();
    let mut quarantine = router.quarantine.borrow_mut();
    if quarantine.is_empty() {
        return;
    }
    quarantine.expire(now);
    router.metrics.set_quarantined(quarantine.quarantined(now).len());
}
