//! A caller's request, from its head to its answer.

use crate::call::{Body, Call};
use crate::dialect::{CallerHead, OwnAnswer};
use crate::ending::own_answer;
use crate::events;
use crate::exchange::Exchange;
use crate::listener::LocalBody;
use crate::router::Router;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response, http};
use mastbay_types::Timestamp;
use mastbay_web::{ReadBodyError, read_limited};
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// When a caller may come back for whose body there is no memory.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(500);
/// Time that the body of a request may take.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Serves one request. `handed_on_by` is the router that handed its connection on, if any did.
pub async fn serve_request(
    router: Rc<Router>,
    handed_on_by: Option<IpAddr>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let arrival = Arrival { at: router.now(), handed_on_by };
    let (parts, body) = request.into_parts();
    let mut response = match accept(&router, arrival, parts, body).await {
        Ok(call) => Exchange::run(&router, Rc::new(call)).await,
        Err(refused) => own_answer(&router, refused.request_id.as_deref(), refused.answer),
    };
    if router.ends_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// When a request came, and by whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Arrival {
    /// When its head was read.
    at: Timestamp,
    /// The router that handed its connection on.
    handed_on_by: Option<IpAddr>,
}

/// A request that is answered before it is routed.
struct Refused {
    request_id: Option<String>,
    answer: OwnAnswer,
}

async fn accept(
    router: &Rc<Router>,
    arrival: Arrival,
    parts: http::request::Parts,
    body: Incoming,
) -> Result<Call, Refused> {
    let refused = |request_id: Option<String>, answer| {
        events::turned_away(request_id.as_deref(), answer, router.versions(), arrival.handed_on_by);
        router.metrics.on_own_answer(answer);
        Refused { request_id, answer }
    };
    let head = router.seams.callers.read(&parts);
    let head = head.map_err(|_| refused(None, OwnAnswer::Malformed))?;
    let limits = router.table().map(|table| table.configuration().limits).unwrap_or_default();
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(refused(Some(head.request_id), OwnAnswer::TooLarge));
    }
    let Some(share) = router.bodies.take(length) else {
        let retry_after = Some(NO_MEMORY_PAUSE);
        return Err(refused(Some(head.request_id), OwnAnswer::NotRun { retry_after }));
    };
    let read = router.runtime.within(BODY_TIME, read_limited(body, limits.body_bytes)).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(ReadBodyError::TooLarge { .. })) => {
            return Err(refused(Some(head.request_id), OwnAnswer::TooLarge));
        }
        Ok(Err(ReadBodyError::Broken)) | Err(_) => {
            return Err(refused(Some(head.request_id), OwnAnswer::Malformed));
        }
    };
    let routed = route(router, arrival, parts, head, Body { bytes: body, share });
    routed.map_err(|(id, answer)| refused(Some(id), answer))
}

/// Finds the route and the tenant of a request in the configuration that is in force now.
fn route(
    router: &Router,
    arrival: Arrival,
    parts: http::request::Parts,
    head: CallerHead,
    body: Body,
) -> Result<Call, (String, OwnAnswer)> {
    let unknown_yet = OwnAnswer::NotRun { retry_after: Some(UNCONFIGURED_PAUSE) };
    let Some(table) = router.table() else { return Err((head.request_id, unknown_yet)) };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(entry) = table.route(host, parts.uri.path()) else {
        return Err((head.request_id, OwnAnswer::NoRoute));
    };
    let tenant = head.key.as_deref().and_then(|key| table.tenant(key));
    if tenant.is_none() && table.has_tenants() && !entry.route.public {
        return Err((head.request_id, OwnAnswer::UnknownKey));
    }
    let priority = tenant.and_then(|tenant| tenant.priority).unwrap_or(entry.route.priority);
    let Some(service) = entry.service(rand::random()).map(str::to_owned) else {
        return Err((head.request_id, unknown_yet));
    };
    let held = head.time_left.map_or(entry.route.timeout, |left| left.min(entry.route.timeout));
    Ok(Call {
        tenant: tenant.map(|tenant| Arc::from(tenant.name.as_str())),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        entry,
        service,
        priority,
        handed_on_by: arrival.handed_on_by,
        arrived: arrival.at,
        deadline: arrival.at + held,
        trace: RefCell::default(),
    })
}

/// When a caller may come back to a router that knows no configuration yet.
const UNCONFIGURED_PAUSE: Duration = Duration::from_millis(500);
