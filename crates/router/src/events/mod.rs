//! The log events of a router, one line of key=value pairs each; docs/OPERATIONS.md lists them.

mod registry;
mod retries;
mod shutdown;
mod streams;
mod terminations;

pub use registry::{registry_read, registry_written};
pub use retries::{fleet_counted, retry, sends_settled};
pub use shutdown::{StopDecision, StopStage, request_during_stop};
pub use streams::{
    record_archive_read, stream_origin, stream_resumed, stream_without_event, version_archive_read,
    version_archived,
};
pub use terminations::{
    back_end_ended, connection_broke, quarantine_archived, quarantine_lifted, request_probed,
    request_quarantined, unmarked_end,
};

use crate::body_budget::BodyBudget;
use crate::call::Call;
use crate::dialect::{OwnAnswer, RetryAfterError};
use crate::log_rate_limiter::SuppressedLines;
use crate::offload::{Interruption, OffloadError};
use crate::outcome::Outcome;
use crate::overflow::OverflowCounts;
use crate::shutdown::StopSchedule;
use crate::try_failure::{TryCircumstances, TryFailure};
use crate::update_signal::Origin;
use crate::watched_task::Remote;
use crate::write_timeout::WRITE_TIMEOUT;
use hyper::StatusCode;
use mastbay_routing::{
    BackEndDirectory, BackEndId, BackEndState, EngineKey, EvacuatedZones, Lateness, Placement,
    RankChange, RefusalDetails, Revision, Role, RolloutRecord, Rollouts, RouteTable,
    SilenceFinding, SourceCondition, SourceContact, SpeedChange, Tick, UsableChanges,
};
use mastbay_types::Timestamp;
use mastbay_web::ExcessBytes;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Logs that a task that the router depends on starts again after a panic.
pub fn task_restarted(name: &str) {
    tracing::error!(event = "task_restarted", name);
}

/// Logs the end of a request, with the details of the refusal if it was refused. `stop` is the
/// schedule of the router's stop, if there is one.
pub fn request_ended(call: &Call, outcome: &Outcome, now: Timestamp, stop: Option<StopSchedule>) {
    match call.trace.borrow().refusal_details.as_ref() {
        Some(details) => refused(call, outcome, details, now),
        None => served_or_failed(call, outcome, now, stop),
    }
}

fn served_or_failed(call: &Call, outcome: &Outcome, now: Timestamp, stop: Option<StopSchedule>) {
    let after_stop = |at| stop.map(|schedule| schedule.offset_milliseconds(at));
    let back_end = outcome.back_end.as_ref().map(BackEndId::to_string).unwrap_or_default();
    let trace = call.trace.borrow();
    let prompt = call.head.prompt.as_ref();
    let share = trace.share;
    tracing::info!(
        event = "request_ended",
        request = %call.head.request_id,
        outcome = %outcome.kind,
        status = outcome.status,
        reason = outcome.reason,
        route = %call.entry.route.name,
        configuration = call.entry.version,
        handed_on_by = call.forwarded_by.map(|router| router.to_string()),
        tenant = call.tenant.as_deref().unwrap_or(""),
        service = %call.service,
        back_end,
        version = trace.version.as_deref(),
        last_event = call.head.last_event,
        resumes = call.head.resumed_request.as_deref(),
        events = outcome.events,
        written = outcome.written,
        head_age_ms = milliseconds(call.head_age),
        time_given_ms = trace.time_given.map(milliseconds),
        took_ms = milliseconds(now.since(call.arrived)),
        waited_ms = milliseconds(trace.waited),
        first_event_ms = trace.first_event.map_or(0, milliseconds),
        longest_pause_ms = milliseconds(trace.longest_pause),
        predicted_ms = milliseconds(trace.predicted),
        running = trace.running,
        limit = trace.limit,
        rank = trace.choice.map(|choice| choice.to_string()),
        speed = trace.choice.map(|_| trace.speed),
        prompt_tokens = prompt.map_or(0, |prompt| prompt.input_tokens),
        uncached = trace.uncached,
        prefix_source = trace.prefix_source.map(|source| source.to_string()),
        share_class = share.map(|share| share.class.name()),
        tenant_asked = share.map(|share| share.asked as u64),
        tenant_given = share.map(|share| share.given as u64),
        rates_age_ms = share.map(|share| milliseconds(share.rates_age)),
        fair_level = share.and_then(|share| share.fair_level).map(|level| level as u64),
        age_ms = milliseconds(trace.stats_age),
        draining = trace.excluded.draining,
        backing_off = trace.excluded.backing_off,
        sends = trace.sends,
        last_failure = trace.last_failure.map(|cause| cause.to_string()),
        fingerprint = call.fingerprint.get().map(|fingerprint| fingerprint.to_string()),
        head_after_stop_ms = after_stop(call.arrived),
        received_after_stop_ms = after_stop(call.received),
        sent_after_stop_ms = trace.choice.and_then(|_| after_stop(call.arrived + trace.waited)),
    );
}

fn refused(call: &Call, outcome: &Outcome, details: &RefusalDetails, now: Timestamp) {
    let trace = call.trace.borrow();
    let prompt = call.head.prompt.as_ref();
    tracing::info!(
        event = "request_ended",
        request = %call.head.request_id,
        outcome = %outcome.kind,
        status = outcome.status,
        reason = outcome.reason,
        route = %call.entry.route.name,
        configuration = call.entry.version,
        handed_on_by = call.forwarded_by.map(|router| router.to_string()),
        tenant = call.tenant.as_deref().unwrap_or(""),
        service = %call.service,
        back_end = %details.back_end,
        last_event = call.head.last_event,
        resumes = call.head.resumed_request.as_deref(),
        head_age_ms = milliseconds(call.head_age),
        time_given_ms = trace.time_given.map(milliseconds),
        took_ms = milliseconds(now.since(call.arrived)),
        predicted_ms = milliseconds(details.predicted),
        running = details.running,
        limit = details.limit,
        pending_prefill = details.pending_prefill,
        share_class = details.class.name(),
        tenant_asked = details.asked as u64,
        tenant_given = details.given as u64,
        rates_age_ms = milliseconds(details.rates_age),
        fair_level = details.fair_level.map(|level| level as u64),
        backlog_ahead = details.backlog_ahead,
        drain_rate = details.drain_rate,
        prompt_tokens = prompt.map_or(0, |prompt| prompt.input_tokens),
        retry_after_ms = trace.retry_after.map_or(0, milliseconds),
        draining = trace.excluded.draining,
        backing_off = trace.excluded.backing_off,
        sends = trace.sends,
        last_failure = trace.last_failure.map(|cause| cause.to_string()),
    );
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Logs a request that the router answered before routing it.
pub fn request_turned_away(
    request_id: Option<&str>,
    answer: OwnAnswer,
    versions: (u64, Revision),
    forwarded_by: Option<IpAddr>,
) {
    tracing::info!(
        event = "request_turned_away",
        request = request_id.unwrap_or(""),
        answer = %answer,
        status = answer.status().as_u16(),
        configuration = versions.0,
        back_ends = %versions.1,
        handed_on_by = forwarded_by.map(|router| router.to_string()),
    );
}

/// Logs how many lines about requests the rate limit suppressed in the last second.
pub fn lines_left_out(suppressed: SuppressedLines) {
    let SuppressedLines { successes, failures } = suppressed;
    tracing::warn!(event = "lines_left_out", successes, failures);
}

/// Logs a failed attempt at a back end.
pub fn try_failed(
    call: &Call,
    placement: &Placement,
    failure: TryFailure,
    reason: &'static str,
    circumstances: TryCircumstances,
) {
    tracing::info!(
        event = "try_failed",
        request = %call.head.request_id,
        back_end = %placement.back_end.id,
        fault = ?failure.fault,
        reason,
        cause = %failure.cause,
        send = circumstances.send,
        took_ms = milliseconds(circumstances.took),
        others_answered = circumstances.has_responded,
        predicted_ms = placement.predicted.as_millis() as u64,
        running = placement.running,
        age_ms = placement.stats_age.as_millis() as u64,
        fingerprint = call.fingerprint.get().map(|fingerprint| fingerprint.to_string()),
    );
}

/// Logs that a back end announced its shutdown in an answer. `source` is `own` or the address of
/// the router that reported it.
pub fn back_end_draining(back_end: &BackEndId, request_id: Option<&str>, source: &str) {
    tracing::info!(
        event = "back_end_draining",
        back_end = %back_end,
        name = %EngineKey::from(back_end),
        request = request_id,
        source,
    );
}

/// Logs that a back end has fallen silent, or answers again. `source` is `own` or the address of the
/// router that reported it.
pub fn back_end_silence(back_end: &BackEndId, finding: SilenceFinding, source: &str) {
    tracing::info!(
        event = "back_end_silence",
        back_end = %back_end,
        name = %EngineKey::from(back_end),
        is_silent = finding == SilenceFinding::Silent,
        source,
    );
}

/// Logs that a back end rejected a request and asked this router to send none for `backoff`.
pub fn back_end_backoff(
    back_end: &BackEndId,
    backoff: Duration,
    status: StatusCode,
    request_id: &str,
) {
    tracing::info!(
        event = "back_end_backoff",
        back_end = %back_end,
        for_ms = milliseconds(backoff),
        status = status.as_u16(),
        request = request_id,
    );
}

/// Logs that a back end rejected a request with an invalid time to retry after.
pub fn retry_after_malformed(back_end: &BackEndId, error: &RetryAfterError, request_id: &str) {
    tracing::warn!(
        event = "retry_after_malformed",
        back_end = %back_end,
        error = %error,
        request = request_id,
    );
}

/// Logs that a configuration came into force.
pub fn configuration_in_force(table: &RouteTable, origin: Origin) {
    let configuration = table.configuration();
    tracing::info!(
        event = "configuration_in_force",
        version = table.version(),
        routes = configuration.routes.len(),
        services = configuration.services.len(),
        tenants = configuration.tenants.len(),
        peer = origin.peer().map(|peer| peer.to_string()),
        source = %origin,
    );
}

/// Maximum number of back ends named in one line of a change.
const MAX_NAMED_BACK_ENDS: usize = 12;

/// Logs a change of the known back ends. Names some of those that get no more requests, or whose
/// entries are gone while they still get some.
pub fn back_ends_known(known: &BackEndDirectory, changes: &UsableChanges, origin: Origin) {
    let draining = changes.updated.iter().filter(|one| one.state == BackEndState::Draining);
    tracing::info!(
        event = "back_ends_known",
        revision = %changes.revision,
        back_ends = known.len(),
        ready = known.ready(),
        set = changes.updated.len(),
        gone = changes.removed.len(),
        source = %origin,
        peer = origin.peer().map(|peer| peer.to_string()),
        set_draining = names(draining.map(|one| &one.id)),
        removed = names(changes.removed.iter()),
        kept = names(changes.kept.iter()),
        undrained = names(changes.undrained.iter()),
    );
}

/// Returns the first names, joined by commas; `None` if there are none.
fn names<'a>(back_ends: impl Iterator<Item = &'a BackEndId>) -> Option<String> {
    let names: Vec<String> =
        back_ends.take(MAX_NAMED_BACK_ENDS).map(BackEndId::to_string).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Logs that an outage of the source began or ended, as this router sees it. `contact` is the
/// result of its own calls.
pub fn source_condition(condition: SourceCondition, contact: SourceContact) {
    tracing::info!(event = "source_condition", condition = %condition, own_contact = ?contact);
}

/// Logs a change of the evacuated zones.
pub fn evacuations_known(evacuated: &EvacuatedZones, origin: Origin) {
    let zones: Vec<&str> = evacuated.zones.iter().map(String::as_str).collect();
    tracing::info!(
        event = "evacuations_known",
        revision = %evacuated.revision,
        zones = zones.join(","),
        source = %origin,
    );
}

/// Logs that a caller's connection was closed because the caller stopped reading its answer.
pub fn answer_unread(caller: SocketAddr) {
    tracing::info!(event = "answer_unread", caller = %caller, waited_ms = WRITE_TIMEOUT.as_millis() as u64);
}

/// Logs that a connection was closed because its other side sent bytes that completed nothing.
pub fn excess_bytes(remote: Remote, excess: ExcessBytes) {
    tracing::warn!(
        event = "excess_bytes",
        connection = %remote.kind,
        remote = %remote.address,
        bytes = excess.bytes,
    );
}

/// Logs that one connection kept the router's thread for `lasted`: nothing else was served meanwhile.
pub fn long_turn(remote: Remote, lasted: Duration) {
    tracing::warn!(
        event = "long_turn",
        connection = %remote.kind,
        remote = %remote.address,
        lasted_ms = milliseconds(lasted),
    );
}

/// Logs a change of the roll-out orders, one line for each.
pub fn rollouts_known(rollouts: &Rollouts, origin: Origin) {
    for order in &rollouts.orders {
        tracing::info!(
            event = "rollout_known",
            service = order.service,
            version = %order.version,
            state = ?order.state,
            revision = %rollouts.revision,
            source = %origin,
        );
    }
}

/// Logs that the state of a roll-out was recorded at its source.
pub fn rollout_recorded(record: &RolloutRecord) {
    tracing::info!(
        event = "rollout_recorded",
        service = record.order.service,
        version = %record.order.version,
        state = ?record.state,
    );
}

/// Logs the new connections since the last such line that were not served normally. Those in
/// `turned_away` and `full` were closed unread, so no tenant's rate includes them.
pub fn connections_overflowed(counts: OverflowCounts, lateness: Lateness) {
    let OverflowCounts { forwarded, unanswered, served_locally, rejected, full } = counts;
    tracing::info!(
        event = "connections_overflowed",
        handed_on = forwarded,
        unanswered,
        kept_here = served_locally,
        turned_away = rejected,
        full,
        lateness = lateness.busy,
        not_run = lateness.not_run,
    );
}

/// Logs that a peer did not accept a connection.
pub fn not_offloaded(peer: SocketAddr, error: &OffloadError) {
    let version = match error {
        OffloadError::OtherConfiguration { peer } => Some(*peer),
        OffloadError::Unreachable(_) | OffloadError::NoCapacity | OffloadError::TimedOut => None,
    };
    tracing::info!(
        event = "connection_not_offloaded",
        peer = %peer,
        reason = %error,
        configuration = version,
    );
}

/// Logs that a forwarded connection ended with a request that was not answered whole. The request
/// that was not passed on has not run.
pub fn forwarding_interrupted(
    peer: SocketAddr,
    request_id: Option<&str>,
    interruption: &Interruption<'_>,
) {
    let Interruption { reason, stage, waited, answering, .. } = interruption;
    tracing::warn!(
        event = "handed_on_unanswered",
        peer = %peer,
        request = request_id,
        reason = %reason,
        stage = %stage,
        waited_ms = milliseconds(*waited),
        answering_ms = answering.map(milliseconds),
    );
}

/// Logs the first message from a peer.
pub fn peer_heard(peer: SocketAddr, routers: usize) {
    tracing::info!(event = "peer_heard", peer = %peer, routers);
}

/// Logs that the system does not record when bytes are received, so that the ages of requests are
/// estimated after delays.
pub fn receive_times_unknown(error: &std::io::Error) {
    tracing::info!(event = "receive_times_unknown", error = %error);
}

/// Logs a changed number of engines for a shared prefix.
pub fn prefix_ranks_changed(change: &RankChange) {
    tracing::info!(
        event = "prefix_ranks",
        prefix = format_args!("{:016x}", change.demand.prefix),
        ranks = change.ranks,
        rate = f64::from(change.demand.rate),
        slots = f64::from(change.demand.slots),
    );
}

/// Logs a change of the router's role in the exchange of load reports.
pub fn role_changed(role: Role, routers: usize) {
    let aggregator = match role {
        Role::Member(aggregator) => Some(aggregator.to_string()),
        Role::Mesh | Role::Aggregator => None,
    };
    tracing::info!(event = "role_changed", role = role.name(), aggregator, routers);
}

/// Logs the performance of an engine whose speed changed, as observed by all routers.
pub fn engine_performance(change: &SpeedChange) {
    let SpeedChange { back_end, estimate, counts } = change;
    tracing::info!(
        event = "engine_performance",
        engine = %back_end,
        speed = estimate.speed,
        latency_ratio = estimate.latency_ratio,
        event_ms = estimate.event_interval.map(|interval| interval.as_millis() as u64),
        pause_rate = estimate.pause_rate,
        observations = counts.first_events / 100,
    );
}

/// Logs that a message to other routers could not be encoded.
pub fn message_not_encoded(error: &rmp_serde::encode::Error) {
    tracing::error!(event = "message_not_encoded", error = %error);
}

/// Logs that a message could not be sent to `failed` of its targets; `error` is the last error.
pub fn message_not_sent(failed: usize, bytes: usize, error: &std::io::Error) {
    tracing::warn!(event = "message_not_sent", failed, bytes, error = %error);
}

/// Logs that an object of a source cannot be parsed. Only a configuration keeps its previous state.
pub fn object_not_understood(kind: &str, name: &str, error: &impl std::fmt::Display) {
    let (name, error) = (shortened(name), shortened(&error.to_string()));
    tracing::warn!(event = "object_not_understood", kind, name, error);
}

/// Maximum length in the log of a text that another writer chose, in characters.
const MAX_FOREIGN_TEXT: usize = 256;

/// Returns the beginning of a text. Errors of parsing quote the whole value, which may be as large as
/// the source takes.
fn shortened(text: &str) -> String {
    text.chars().take(MAX_FOREIGN_TEXT).collect()
}

/// Logs that a dependency became unavailable or available again.
pub fn dependency(name: &str, available: bool, detail: &str) {
    tracing::info!(event = "dependency", name, available, detail);
}

/// Logs that the router starts or stops shedding new callers.
pub fn overload(shedding: bool, lateness: Lateness, tick: Tick) {
    tracing::info!(
        event = "overload",
        shedding,
        lateness = lateness.busy,
        not_run = lateness.not_run,
        connections_part = tick.connections,
        zone_shedding = tick.peers.shedding,
        others_larger = tick.peers.larger,
    );
}

/// Logs that the memory is short from now on, or no longer: new connections are closed unread.
pub fn memory(is_short: bool, heap: u64, bodies: &BodyBudget, replies: &BodyBudget) {
    tracing::warn!(
        event = "memory",
        is_short,
        heap_bytes = heap,
        body_bytes = bodies.used(),
        reply_bytes = replies.used(),
    );
}

/// Logs a stall: the machine was suspended or frozen, or the process got no processor time.
pub fn stood_still(lasted: Duration) {
    tracing::warn!(event = "stood_still", lasted_ms = milliseconds(lasted));
}

/// Logs a key of the settings that has no effect.
pub fn setting_ignored(key: &str) {
    tracing::warn!(event = "setting_ignored", key);
}

/// Logs that the process starts, reloads or stops.
pub fn process(phase: &str, name: &str) {
    tracing::info!(event = "process", phase, name);
}
