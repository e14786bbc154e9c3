//! Quarantines requests and parts of prompts that terminate back ends, together with the other
//! routers.
//!
//! Without this, such a request would be sent to another back end each time that it arrives
//! (`tests/fatal_requests.rs`), and so would each new one with such a part
//! (`tests/fatal_parts.rs`).

use crate::broken_connections::EndedRuns;
use crate::call::Call;
use crate::events;
use crate::router::Router;
use mastbay_routing::{
    BackEnd, EngineKey, Outgoing, PeerMessage, QuarantineStatus, QuarantinedSuspect, Suspect,
    TerminationReport,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks whether it is known why a connection broke.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_millis(16);

/// Time after which the parts of requests that had not begun at an ended back end are suspected,
/// unless some that had begun explain its termination.
const WAITING_PARTS_DELAY: Duration = Duration::from_millis(300);

/// Returns the quarantine status of a request. Waits while it is not known whether a back end just
/// terminated while running it, usually about 0.1 s, if that might quarantine the request, or a part
/// of its prompt that no back end is known to bear.
pub async fn status(router: &Router, call: &Call) -> QuarantineStatus {
    if !has_entries(router) {
        return QuarantineStatus::Clear;
    }
    while is_status_pending(router, call) {
        router.runtime.sleep(STATUS_CHECK_INTERVAL).await;
    }
    current_status(router, call)
}

/// Lets a quarantined request through as a probe if one is due and it is this router's turn.
/// Returns whether it does.
pub fn take_probe(router: &Router, call: &Call) -> bool {
    let slot_of = |suspect: Suspect| router.dispatcher.borrow().probe_slot(suspect);
    let mut quarantine = router.quarantine.borrow_mut();
    let probed = quarantine.take_probe_of(router.now(), &call.suspects(), slot_of);
    if let Some(suspect) = probed {
        let probe_key = quarantine.probe_key(suspect);
        let explained_by = (probe_key != suspect).then_some(probe_key);
        events::request_probed(suspect, &call.head.request_id, explained_by);
    }
    probed.is_some()
}

/// Returns whether anything may be suspect or quarantined. Usually nothing is, which saves computing
/// fingerprints.
fn has_entries(router: &Router) -> bool {
    !router.quarantine.borrow().is_empty() || !router.broken.is_empty()
}

fn is_status_pending(router: &Router, call: &Call) -> bool {
    let quarantine = router.quarantine.borrow();
    let is_pending = |suspect: Suspect| {
        let unresolved = router.broken.unresolved_for(suspect);
        let is_unproven_part = suspect.is_prompt_part() && !quarantine.has_survived(suspect);
        let ends = quarantine.terminations(router.now(), suspect);
        let may_quarantine = unresolved + ends + 1 >= router.settings.quarantine.ends;
        unresolved > 0 && (is_unproven_part || may_quarantine)
    };
    call.suspects().into_iter().any(is_pending)
}

/// Returns the status of a request without waiting. A request whose connection just broke is
/// suspect until it is known why.
fn current_status(router: &Router, call: &Call) -> QuarantineStatus {
    if !has_entries(router) {
        return QuarantineStatus::Clear;
    }
    let suspects = call.suspects();
    let known = router.quarantine.borrow().status_of(router.now(), &suspects);
    if known == QuarantineStatus::Clear && unresolved_suspect(router, &suspects).is_some() {
        QuarantineStatus::Suspect
    } else {
        known
    }
}

/// Returns the first suspect under which a back end may have terminated just now.
fn unresolved_suspect(router: &Router, suspects: &[Suspect]) -> Option<Suspect> {
    suspects.iter().copied().find(|suspect| router.broken.unresolved_for(*suspect) > 0)
}

/// Returns the request or the part of its prompt under which back ends terminated, or may have;
/// `None` unless the request's status is [`QuarantineStatus::Suspect`].
pub fn suspect_of(router: &Router, call: &Call) -> Option<Suspect> {
    if current_status(router, call) != QuarantineStatus::Suspect {
        return None;
    }
    main_suspect(router, call)
}

/// Returns the request or the part of its prompt under which most back ends terminated, or may have.
pub fn main_suspect(router: &Router, call: &Call) -> Option<Suspect> {
    let suspects = call.suspects();
    let known = router.quarantine.borrow().main_suspect(router.now(), &suspects);
    known.or_else(|| unresolved_suspect(router, &suspects))
}

/// Returns the time after which the caller may retry; `None` unless the request is quarantined.
pub fn retry_after(router: &Router, call: &Call) -> Option<Duration> {
    current_status(router, call).retry_after()
}

/// Clears the quarantine state of a request that was served completely, and of the parts of its
/// prompt.
pub fn on_served(router: &Router, call: &Call) {
    if !router.quarantine.borrow().is_empty() {
        router.quarantine.borrow_mut().clear(Suspect::Request(call.fingerprint()));
    }
    on_sustained(router, call);
}

/// Records that a back end bears the parts of a request's prompt.
pub fn on_sustained(router: &Router, call: &Call) {
    let mut quarantine = router.quarantine.borrow_mut();
    call.shared_parts().for_each(|part| quarantine.on_survival(part));
}

/// Records that a back end terminated while it ran requests of this router, and reports it to the
/// other routers at once.
pub fn on_back_end_ended(router: &Rc<Router>, back_end: &BackEnd, runs: EndedRuns) {
    events::back_end_ended(back_end, &runs.suspects);
    router.metrics.on_back_end_ended();
    let key = EngineKey::from(&back_end.id);
    router.dispatcher.borrow_mut().on_back_end_ended(router.now(), key);
    record_terminations(router, key, &runs.suspects);
    if !runs.waiting_parts.is_empty() {
        let task = record_waiting_parts(router.clone(), key, runs.waiting_parts);
        router.runtime.control().spawn(task).detach();
    }
}

/// Records the termination of a back end against suspects, and reports it at once.
fn record_terminations(router: &Router, back_end: EngineKey, suspects: &BTreeSet<Suspect>) {
    let now = router.now();
    let quarantined: Vec<QuarantinedSuspect> = {
        let mut quarantine = router.quarantine.borrow_mut();
        suspects
            .iter()
            .filter_map(|suspect| quarantine.on_termination(now, back_end, *suspect))
            .collect()
    };
    record_quarantined(router, &quarantined, "own");
    router.update_signal.notify();
}

/// Records the termination of a back end against parts of requests that are not known to have begun
/// there, unless it counts against another part by then: the head of an answer may be lost.
async fn record_waiting_parts(router: Rc<Router>, back_end: EngineKey, parts: BTreeSet<Suspect>) {
    router.runtime.sleep(WAITING_PARTS_DELAY).await;
    if !router.quarantine.borrow().is_attributed(back_end) {
        record_terminations(&router, back_end, &parts);
    }
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

fn record_quarantined(router: &Router, quarantined: &[QuarantinedSuspect], source: &str) {
    quarantined.iter().for_each(|suspect| events::request_quarantined(suspect, source));
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

/// Returns the quarantined requests and parts.
pub fn quarantined(router: &Router) -> Vec<QuarantinedSuspect> {
    router.quarantine.borrow().quarantined(router.now())
}

/// Applies an entry of the archive, and reports it to the other routers at once if it is new.
pub fn apply_archived(router: &Router, entry: &QuarantinedSuspect) {
    let now = router.now();
    if router.quarantine.borrow_mut().on_listed(now, entry) {
        record_quarantined(router, std::slice::from_ref(entry), "archive");
        router.update_signal.notify();
    }
}

/// Lifts the quarantine of a suspect whose entry an operator removed.
pub fn lift(router: &Router, suspect: Suspect) {
    events::quarantine_lifted(suspect);
    router.quarantine.borrow_mut().clear(suspect);
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
