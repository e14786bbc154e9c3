//! The events that a router logs, one key=value line each; docs/OPERATIONS.md lists them.

use crate::call::Call;
use crate::dialect::{OwnAnswer, RetryAfterError};
use crate::log_rate_limiter::SuppressedLines;
use crate::offload::{OffloadError, PeerFailure};
use crate::outcome::Outcome;
use crate::overflow::OverflowCounts;
use crate::update_signal::Origin;
use crate::write_timeout::WRITE_TIMEOUT;
use hyper::StatusCode;
use mastbay_routing::{
    BackEnd, BackEndDirectory, BackEndId, EngineKey, EvacuatedZones, Fault, Placement,
    QuarantinedRequest, RefusalDetails, RequestFingerprint, Revision, Role, RolloutRecord,
    Rollouts, RouteTable, Tick, UsableChanges,
};
use mastbay_types::Timestamp;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A request ended. What decided against it follows if it was refused.
pub fn request_ended(call: &Call, outcome: &Outcome, now: Timestamp) {
    match call.trace.borrow().refusal_details.as_ref() {
        Some(considered) => refused(call, outcome, considered, now),
        None => served_or_failed(call, outcome, now),
    }
}

fn served_or_failed(call: &Call, outcome: &Outcome, now: Timestamp) {
    let back_end = outcome.back_end.as_ref().map(BackEndId::to_string).unwrap_or_default();
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
        back_end,
        events = outcome.events,
        took_ms = milliseconds(now.since(call.arrived)),
        waited_ms = milliseconds(trace.waited),
        first_event_ms = trace.first_event.map_or(0, milliseconds),
        longest_pause_ms = milliseconds(trace.longest_pause),
        predicted_ms = milliseconds(trace.predicted),
        running = trace.running,
        limit = trace.limit,
        prompt_tokens = prompt.map_or(0, |prompt| prompt.input_tokens),
        uncached = trace.uncached,
        age_ms = milliseconds(trace.stats_age),
        draining = trace.excluded.draining,
        backing_off = trace.excluded.backing_off,
        sends = trace.sends,
        fingerprint = call.fingerprint.get().map(|fingerprint| fingerprint.to_string()),
    );
}

fn refused(call: &Call, outcome: &Outcome, considered: &RefusalDetails, now: Timestamp) {
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
        back_end = %considered.back_end,
        took_ms = milliseconds(now.since(call.arrived)),
        predicted_ms = milliseconds(considered.predicted),
        running = considered.running,
        limit = considered.limit,
        pending_prefill = considered.pending_prefill,
        tenant_asked = considered.asked as u64,
        tenant_given = considered.given as u64,
        rates_age_ms = milliseconds(considered.rates_age),
        fair_level = considered.fair_level.map(|level| level as u64),
        prompt_tokens = prompt.map_or(0, |prompt| prompt.input_tokens),
        retry_after_ms = trace.retry_after.map_or(0, milliseconds),
        draining = trace.excluded.draining,
        backing_off = trace.excluded.backing_off,
        sends = trace.sends,
    );
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A request was answered before it was routed.
pub fn request_turned_away(
    request_id: Option<&str>,
    answer: OwnAnswer,
    versions: (u64, Revision),
    handed_on_by: Option<IpAddr>,
) {
    tracing::info!(
        event = "request_turned_away",
        request = request_id.unwrap_or(""),
        answer = %answer,
        status = answer.status().as_u16(),
        configuration = versions.0,
        back_ends = %versions.1,
        handed_on_by = handed_on_by.map(|router| router.to_string()),
    );
}

/// Lines about requests were left out in the last second, since there were too many.
pub fn lines_left_out(left_out: SuppressedLines) {
    let SuppressedLines { successes, failures } = left_out;
    tracing::warn!(event = "lines_left_out", successes, failures);
}

/// A try at a back end failed.
pub fn try_failed(call: &Call, placement: &Placement, fault: Fault, reason: &'static str) {
    tracing::info!(
        event = "try_failed",
        request = %call.head.request_id,
        back_end = %placement.back_end.id,
        fault = ?fault,
        reason,
        predicted_ms = placement.predicted.as_millis() as u64,
        running = placement.running,
        age_ms = placement.stats_age.as_millis() as u64,
        fingerprint = call.fingerprint.get().map(|fingerprint| fingerprint.to_string()),
    );
}

/// A stream was taken up at another back end, or could not be.
pub fn stream_resumed(call: &Call, reason: &'static str, last_event: Option<u64>, found: bool) {
    tracing::info!(
        event = "stream_resumed",
        request = %call.head.request_id,
        reason,
        last_event = last_event.unwrap_or(0),
        found,
        fingerprint = call.fingerprint.get().map(|fingerprint| fingerprint.to_string()),
    );
}

/// A back end ended while requests were under way there: their connections broke, and it refuses new ones.
pub fn back_end_ended(back_end: &BackEnd, requests: &BTreeSet<RequestFingerprint>) {
    tracing::warn!(
        event = "back_end_ended",
        back_end = %back_end.id,
        name = %EngineKey::from(&back_end.id),
        address = %back_end.address,
        requests = requests.len(),
    );
}

/// A back end said in its answer to a request that it ends soon; `source` is who was told so (`own`, or another router).
pub fn back_end_draining(back_end: &BackEndId, request_id: Option<&str>, source: &str) {
    tracing::info!(
        event = "back_end_draining",
        back_end = %back_end,
        name = %EngineKey::from(back_end),
        request = request_id,
        source,
    );
}

/// A back end turned a request away and asked this router for no more of them for a while.
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

/// A back end turned a request away with a time that can't be followed.
pub fn retry_after_malformed(back_end: &BackEndId, error: &RetryAfterError, request_id: &str) {
    tracing::warn!(
        event = "retry_after_malformed",
        back_end = %back_end,
        error = %error,
        request = request_id,
    );
}

/// A request is sent to no back end from now on. `back_ends` are the names, in messages between routers, of the lives that ended under
/// it; `source` is who told the last of them.
pub fn request_quarantined(quarantined: &QuarantinedRequest, source: &str) {
    let back_ends = quarantined.back_ends.iter().map(EngineKey::to_string);
    tracing::warn!(
        event = "request_quarantined",
        fingerprint = %quarantined.request,
        back_ends = back_ends.collect::<Vec<_>>().join(","),
        for_s = quarantined.left.as_secs(),
        source,
    );
}

/// A quarantined request is let through to see whether back ends bear it.
pub fn request_probed(request: RequestFingerprint, request_id: &str) {
    tracing::info!(event = "request_probed", request = request_id, fingerprint = %request);
}

/// A quarantined request was written where it outlives the routers.
pub fn quarantine_archived(request: RequestFingerprint) {
    tracing::info!(event = "quarantine_archived", fingerprint = %request);
}

/// An operator removed the entry of a quarantined request: it is sent to back ends again.
pub fn quarantine_lifted(request: RequestFingerprint) {
    tracing::warn!(event = "quarantine_lifted", fingerprint = %request);
}

/// A configuration is in force.
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

/// Changes of back ends are known.
pub fn back_ends_known(known: &BackEndDirectory, changes: &UsableChanges, origin: Origin) {
    tracing::info!(
        event = "back_ends_known",
        revision = %changes.revision,
        back_ends = known.len(),
        ready = known.ready(),
        set = changes.updated.len(),
        gone = changes.removed.len(),
        source = %origin,
    );
}

/// The evacuated zones are known.
pub fn evacuations_known(evacuated: &EvacuatedZones, origin: Origin) {
    let zones: Vec<&str> = evacuated.zones.iter().map(String::as_str).collect();
    tracing::info!(
        event = "evacuations_known",
        revision = %evacuated.revision,
        zones = zones.join(","),
        source = %origin,
    );
}

/// A caller's connection was ended, since the caller read nothing of its answer for some seconds.
pub fn answer_unread(caller: SocketAddr) {
    tracing::info!(event = "answer_unread", caller = %caller, waited_ms = WRITE_TIMEOUT.as_millis() as u64);
}

/// The orders for roll-outs are known.
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

/// A state of a roll-out was recorded where its order lies.
pub fn rollout_recorded(record: &RolloutRecord) {
    tracing::info!(
        event = "rollout_recorded",
        service = record.order.service,
        version = %record.order.version,
        state = ?record.state,
    );
}

/// New connections of callers were not simply served since the last such line. `turned_away` and `full` were closed unread, so
/// they are part of no tenant's rate.
pub fn connections_overflowed(counts: OverflowCounts, lateness: f64) {
    let OverflowCounts { forwarded, unanswered, served_locally, rejected, full } = counts;
    tracing::info!(
        event = "connections_overflowed",
        handed_on = forwarded,
        unanswered,
        kept_here = served_locally,
        turned_away = rejected,
        full,
        lateness,
    );
}

/// A peer did not take a connection.
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

/// A peer took a connection with a request and gave no answer.
pub fn handed_on_unanswered(peer: SocketAddr, loss: PeerFailure, waited: Duration) {
    tracing::warn!(
        event = "handed_on_unanswered",
        peer = %peer,
        reason = %loss,
        waited_ms = milliseconds(waited),
    );
}

/// A peer was heard for the first time.
pub fn peer_heard(peer: SocketAddr, routers: usize) {
    tracing::info!(event = "peer_heard", peer = %peer, routers);
}

/// The router tells its figures in another way than before.
pub fn role_changed(role: Role, routers: usize) {
    let aggregator = match role {
        Role::Member(aggregator) => Some(aggregator.to_string()),
        Role::Mesh | Role::Aggregator => None,
    };
    tracing::info!(event = "role_changed", role = role.name(), aggregator, routers);
}

/// A message to other routers could not be encoded.
pub fn message_not_encoded(error: &rmp_serde::encode::Error) {
    tracing::error!(event = "message_not_encoded", error = %error);
}

/// A message did not leave for some of its targets; the last error stands for all.
pub fn message_not_sent(failed: usize, bytes: usize, error: &std::io::Error) {
    tracing::warn!(event = "message_not_sent", failed, bytes, error = %error);
}

/// An object of a source can't be read; what was known of it before stays only if it is a configuration.
pub fn object_not_understood(kind: &str, name: &str, error: &impl std::fmt::Display) {
    tracing::warn!(event = "object_not_understood", kind, name, error = %error);
}

/// A dependency was lost or regained.
pub fn dependency(name: &str, available: bool, detail: &str) {
    tracing::info!(event = "dependency", name, available, detail);
}

/// The router begins or ceases to send new callers elsewhere.
pub fn overload(shedding: bool, lateness: f64, turn: Tick) {
    tracing::info!(
        event = "overload",
        shedding,
        lateness,
        connections_part = turn.connections,
        zone_shedding = turn.peers.shedding,
        others_larger = turn.peers.larger,
    );
}

/// The router did nothing for a while: its machine was suspended or frozen, or it got no processor time.
pub fn stood_still(lasted: Duration) {
    tracing::warn!(event = "stood_still", lasted_ms = milliseconds(lasted));
}

/// A phase of the process's life began.
pub fn life(phase: &str, name: &str) {
    tracing::info!(event = "process", phase, name);
}
