//! Log events about broken streams, where they began, and the archives that tell it.

use super::milliseconds;
use crate::call::Call;
use crate::dialect::CallerHead;
use crate::stream_origins::Search;
use crate::stream_source::StreamBackEnd;
use mastbay_routing::{BackEndId, LookupState, StreamOrigin};
use std::time::Duration;

/// Logs the attempt to resume a stream, which broke off at `from`, at `to`: the back end that could
/// resume it, if there was one.
pub fn stream_resumed(
    call: &Call,
    reason: &'static str,
    last_event: Option<u64>,
    from: Option<&StreamBackEnd>,
    to: Option<&StreamBackEnd>,
) {
    tracing::info!(
        event = "stream_resumed",
        request = %call.head.request_id,
        resumes = call.head.resumed_request.as_deref(),
        reason,
        last_event = last_event.unwrap_or(0),
        from = from.map(|from| from.id.to_string()),
        from_version = from.map(|from| &*from.version),
        found = to.is_some(),
        back_end = to.map(|to| to.id.to_string()),
        version = to.map(|to| &*to.version),
        fingerprint = call.fingerprint.get().map(|fingerprint| fingerprint.to_string()),
    );
}

/// Logs that a back end that was asked to continue a stream sent no event before its answer broke
/// off. The one that was silent is kept.
pub fn stream_without_event(call: &Call, back_end: &BackEndId) {
    tracing::info!(
        event = "stream_without_event",
        request = %call.head.request_id,
        back_end = %back_end,
    );
}

/// Logs the search for the origin of a stream that a caller resumes, and how it was learned.
pub fn stream_origin(head: &CallerHead, search: &Search, took: Duration) {
    let (origin, source, age) = match &search.state {
        LookupState::Found { origin, source, age } => (Some(origin), Some(source), Some(*age)),
        LookupState::Conflicting | LookupState::Pending | LookupState::NotFound => {
            (None, None, None)
        }
    };
    tracing::info!(
        event = "stream_origin",
        request = %head.request_id,
        resumes = head.resumed_request.as_deref(),
        last_event = head.last_event,
        result = search.name(),
        service = origin.map(|origin| &*origin.service),
        version = origin.map(|origin| &*origin.version),
        source = source.map(|source| source.to_string()),
        age_ms = age.map(milliseconds),
        asked = search.asked,
        answered = search.answered,
        starting = search.starting,
        archive = %search.confirmation,
        observed_ms = milliseconds(search.observed),
        age_limit_ms = milliseconds(search.age_limit),
        took_ms = milliseconds(took),
    );
}

/// Logs what an archive of software versions holds.
pub fn version_archive_read(versions: usize, complete: bool) {
    tracing::info!(event = "version_archive_read", versions, complete);
}

/// Logs what an archive held of streams' origins: of how many routers, and how many records this
/// router has now.
pub fn record_archive_read(routers: usize, records: usize) {
    tracing::info!(event = "record_archive_read", routers, records);
}

/// Logs that a version that may begin streams was written to the archive.
pub fn version_archived(origin: &StreamOrigin) {
    let StreamOrigin { service, version } = origin;
    tracing::info!(event = "version_archived", service = %service, version = %version);
}
