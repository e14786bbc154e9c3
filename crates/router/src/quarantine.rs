//! Keeps requests from back ends under which others have ended, together with the other routers.
//!
//! Without this a request that ended each engine which ran it was sent on at each coming: 23 runs of 20 arrivals at one router,
//! 19 of 24 at four (`tests/fatal_requests.rs`, which bounds both by six).

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

/// Time between two looks at whether it is known by now what became of a back end.
const VERDICT_PERIOD: Duration = Duration::from_millis(16);

/// What is known of a request. Where one more end would quarantine it and it isn't known yet whether a back end ended under it a
/// moment ago, that is waited for, a tenth of a second as a rule.
pub async fn status(router: &Router, call: &Call) -> QuarantineStatus {
    if !has_any(router) {
        return QuarantineStatus::Clear;
    }
    while is_verdict_awaited(router, call.fingerprint()) {
        router.runtime.sleep(VERDICT_PERIOD).await;
    }
    current_status(router, call)
}

/// Lets a quarantined request through to see whether back ends bear it, if that is this router's turn.
pub fn take_probe(router: &Router, call: &Call) -> bool {
    let request = call.fingerprint();
    let turn = router.dispatcher.borrow().probe_slot(request);
    let is_probe = router.quarantine.borrow_mut().take_probe(router.now(), request, turn);
    if is_probe {
        events::request_probed(request, &call.head.request_id);
    }
    is_probe
}

/// Whether anything is known that could speak against a request; as a rule there is nothing, and no fingerprint is taken.
fn has_any(router: &Router) -> bool {
    !router.quarantine.borrow().is_empty() || !router.broken.is_empty()
}

fn is_verdict_awaited(router: &Router, request: RequestFingerprint) -> bool {
    let awaited = router.broken.unresolved_for(request);
    let ends = router.quarantine.borrow().terminations(router.now(), request);
    awaited > 0 && awaited + ends + 1 >= router.settings.quarantine.ends
}

/// What is known of a request by now. One whose connection just broke is a suspect until it is known why.
fn current_status(router: &Router, call: &Call) -> QuarantineStatus {
    if !has_any(router) {
        return QuarantineStatus::Clear;
    }
    let request = call.fingerprint();
    let known = router.quarantine.borrow().status(router.now(), request);
    let is_awaited = router.broken.unresolved_for(request) > 0;
    if known == QuarantineStatus::Clear && is_awaited { QuarantineStatus::Suspect } else { known }
}

/// Whether back ends ended under a request, or may have.
pub fn is_suspect(router: &Router, call: &Call) -> bool {
    current_status(router, call) == QuarantineStatus::Suspect
}

/// When the caller of a request may come back, if it is quarantined.
pub fn retry_after(router: &Router, call: &Call) -> Option<Duration> {
    match current_status(router, call) {
        QuarantineStatus::Quarantined { retry_after, .. } => Some(retry_after),
        QuarantineStatus::Clear | QuarantineStatus::Suspect => None,
    }
}

/// A request was served to its end.
pub fn on_served(router: &Router, call: &Call) {
    if !router.quarantine.borrow().is_empty() {
        router.quarantine.borrow_mut().clear(call.fingerprint());
    }
}

/// A back end ended while requests of this router were under way there. The others are told at once.
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
    note_quarantined(router, &quarantined, "own");
    router.update_signal.notify();
}

/// Another router reports ends.
pub fn take_reports(router: &Router, reports: &[TerminationReport], sender: SocketAddr) {
    let relaying = router.dispatcher.borrow().relaying();
    let now = router.now();
    for report in reports {
        router.dispatcher.borrow_mut().on_back_end_ended(now, report.back_end);
    }
    let quarantined = router.quarantine.borrow_mut().on_reports(now, reports, relaying);
    if !quarantined.is_empty() {
        note_quarantined(router, &quarantined, &sender.to_string());
    }
}

fn note_quarantined(router: &Router, quarantined: &[QuarantinedRequest], source: &str) {
    quarantined.iter().for_each(|one| events::request_quarantined(one, source));
    let all = router.quarantine.borrow().quarantined(router.now());
    router.metrics.set_quarantined(all.len());
}

/// What this router tells others of ends in one round; as a rule nothing.
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

/// All that a router which just came must know: the requests that are quarantined.
pub fn message_for_newcomer(router: &Router) -> Option<PeerMessage> {
    let reports = router.quarantine.borrow().reports_for_new_peer(router.now());
    (!reports.is_empty()).then_some(PeerMessage::Ends(reports))
}

/// The requests that are quarantined.
pub fn quarantined(router: &Router) -> Vec<QuarantinedRequest> {
    router.quarantine.borrow().quarantined(router.now())
}

/// The archive holds a request as quarantined. The others are told at once.
pub fn take_archived(router: &Router, entry: &QuarantinedRequest) {
    let now = router.now();
    if router.quarantine.borrow_mut().on_listed(now, entry) {
        note_quarantined(router, std::slice::from_ref(entry), "archive");
        router.update_signal.notify();
    }
}

/// An operator lifts the quarantine of a request.
pub fn lift(router: &Router, request: RequestFingerprint) {
    events::quarantine_lifted(request);
    router.quarantine.borrow_mut().clear(request);
    router.update_signal.notify();
}

/// Forgets what no longer counts.
pub fn expire(router: &Router) {
    let now = router.now();
    let mut quarantine = router.quarantine.borrow_mut();
    if quarantine.is_empty() {
        return;
    }
    quarantine.expire(now);
    router.metrics.set_quarantined(quarantine.quarantined(now).len());
}
