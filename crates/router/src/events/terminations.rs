//! Log events about back ends that terminate, and what is quarantined because of that.

use crate::call::Call;
use crate::run_progress::RunProgress;
use mastbay_routing::{BackEnd, BackEndId, EngineKey, Prompt, QuarantinedSuspect, Suspect};
use std::collections::BTreeSet;

/// Logs that the connection of a request broke before its answer was complete. `parts` are those of
/// its prompt that other requests may share.
pub fn connection_broke(call: &Call, back_end: &BackEndId, progress: RunProgress) {
    let parts = call.head.prompt.iter().flat_map(Prompt::shared_parts);
    let parts: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
    tracing::info!(
        event = "connection_broke",
        request = %call.head.request_id,
        back_end = %back_end,
        progress = %progress,
        parts = parts.join(","),
        fingerprint = %call.fingerprint(),
    );
}

/// Logs that a stream ended together with its connection: neither a length nor chunks mark the end
/// of its answer.
pub fn unmarked_end(call: &Call, back_end: &BackEndId, events: u64) {
    tracing::info!(
        event = "unmarked_end",
        request = %call.head.request_id,
        back_end = %back_end,
        events,
    );
}

/// Logs that a back end terminated with requests in progress: their connections broke, and it
/// refuses new ones.
pub fn back_end_ended(back_end: &BackEnd, suspects: &BTreeSet<Suspect>) {
    let requests = suspects.iter().filter(|suspect| !suspect.is_prompt_part());
    tracing::warn!(
        event = "back_end_ended",
        back_end = %back_end.id,
        name = %EngineKey::from(&back_end.id),
        address = %back_end.address,
        requests = requests.count(),
    );
}

/// Logs that a request, or all that hold a part, are quarantined: they are sent to no back end.
/// `back_ends` are the keys, as in messages between routers, of the back-end incarnations that
/// terminated while they ran it; `source` is where the last report came from: `own`, `archive` or
/// the address of a router.
pub fn request_quarantined(quarantined: &QuarantinedSuspect, source: &str) {
    let back_ends = quarantined.back_ends.iter().map(EngineKey::to_string);
    tracing::warn!(
        event = "request_quarantined",
        kind = quarantined.suspect.kind(),
        fingerprint = %quarantined.suspect,
        back_ends = back_ends.collect::<Vec<_>>().join(","),
        for_s = quarantined.left.as_secs(),
        source,
    );
}

/// Logs that a quarantined request is sent to a back end as a probe. `explained_by` is the request
/// that explains its terminations, if there is one.
pub fn request_probed(suspect: Suspect, request_id: &str, explained_by: Option<Suspect>) {
    tracing::info!(
        event = "request_probed",
        request = request_id,
        kind = suspect.kind(),
        fingerprint = %suspect,
        explained_by = explained_by.map(|suspect| suspect.to_string()),
    );
}

/// Logs that a quarantined request was written to the archive.
pub fn quarantine_archived(suspect: Suspect) {
    tracing::info!(event = "quarantine_archived", fingerprint = %suspect);
}

/// Logs that an operator removed a quarantine entry: the request is sent to back ends again.
pub fn quarantine_lifted(suspect: Suspect) {
    tracing::warn!(event = "quarantine_lifted", fingerprint = %suspect);
}
