//! A caller's request, from its head to its answer.

use crate::body_budget::BodyShare;
use crate::dialect::{CallerHead, OwnAnswer};
use crate::events::{self, Outcome};
use crate::exchange::Exchange;
use crate::line_budget::LineKind;
use crate::listener::{LocalBody, full};
use crate::router::Router;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri, http};
use mastbay_routing::{Considered, Demand, Placement, Refusal, TableEntry};
use mastbay_types::Timestamp;
use mastbay_web::{ReadBodyError, read_limited};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A request whose route is known and whose body has arrived.
pub struct Call {
    /// What the dialect read from its head.
    pub head: CallerHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
    /// Its route.
    pub entry: TableEntry,
    /// The service that the route's weights chose.
    pub service: String,
    /// Its tenant.
    pub tenant: Option<Arc<str>>,
    /// Its rank.
    pub priority: u32,
    /// When its head came.
    pub arrived: Timestamp,
    /// When it must have its final answer.
    pub deadline: Timestamp,
    /// What was decided on its way, for its one log line.
    pub trace: RefCell<Trace>,
}

/// What was decided on a request's way.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Time until it was placed last.
    pub waited: Duration,
    /// Time from its arrival to its first event or whole answer.
    pub first_event: Option<Duration>,
    /// Longest pause between two events.
    pub longest_pause: Duration,
    /// Time to the first event that was predicted.
    pub predicted: Duration,
    /// Requests that were known to be at its back end.
    pub running: u32,
    /// The concurrency limit of its back end.
    pub limit: u32,
    /// Prompt tokens that its back end was taken to read.
    pub uncached: u64,
    /// Age of the oldest figures that decided.
    pub age: Duration,
    /// Times that it was handed to a back end.
    pub sends: u32,
    /// What decided against it, if it was refused.
    pub considered: Option<Considered>,
    /// When its caller was told to come back.
    pub retry_after: Option<Duration>,
}

impl Call {
    /// What it asks of the dispatcher.
    pub fn demand(&self) -> Demand {
        Demand {
            service: self.service.clone(),
            prompt: self.head.prompt.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            objective: self.entry.route.objective,
            priority: self.priority,
            tenant: self.tenant.clone(),
            tried: Vec::new(),
        }
    }

    /// It was given to a back end.
    pub fn note_placement(&self, placement: &Placement, now: Timestamp) {
        let mut trace = self.trace.borrow_mut();
        trace.waited = now.since(self.arrived);
        trace.predicted = placement.predicted;
        trace.running = placement.running;
        trace.limit = placement.limit;
        trace.uncached = placement.uncached;
        trace.age = placement.age;
        trace.sends += 1;
    }

    /// It was refused.
    pub fn note_refusal(&self, refusal: &Refusal) {
        let mut trace = self.trace.borrow_mut();
        trace.considered = refusal.considered.clone();
        trace.retry_after = Some(refusal.retry_after);
    }

    /// Its first event or whole answer has come.
    pub fn note_first_event(&self, now: Timestamp) {
        let mut trace = self.trace.borrow_mut();
        trace.first_event.get_or_insert(now.since(self.arrived));
    }

    /// Time left until its deadline.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}

/// The body of a request and its share of the memory for bodies.
pub struct Body {
    /// The bytes.
    pub bytes: Bytes,
    _share: BodyShare,
}

/// When a caller may come back for whose body there is no memory.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(500);
/// Time that the body of a request may take.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Serves one request.
pub async fn serve_request(router: Rc<Router>, request: Request<Incoming>) -> Response<LocalBody> {
    let arrived = router.now();
    let (parts, body) = request.into_parts();
    let mut response = match accept(&router, arrived, parts, body).await {
        Ok(call) => Exchange::run(&router, Rc::new(call)).await,
        Err(refused) => own_answer(&router, refused.request_id.as_deref(), refused.answer),
    };
    if router.ends_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request that is answered before it is routed.
struct Refused {
    request_id: Option<String>,
    answer: OwnAnswer,
}

async fn accept(
    router: &Rc<Router>,
    arrived: Timestamp,
    parts: http::request::Parts,
    body: Incoming,
) -> Result<Call, Refused> {
    let refused = |request_id: Option<String>, answer| {
        events::turned_away(request_id.as_deref(), answer, router.versions());
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
    let routed = route(router, arrived, parts, head, Body { bytes: body, _share: share });
    routed.map_err(|(id, answer)| refused(Some(id), answer))
}

/// Finds the route and the tenant of a request in the configuration that is in force now.
fn route(
    router: &Router,
    arrived: Timestamp,
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
        arrived,
        deadline: arrived + held,
        trace: RefCell::default(),
    })
}

/// When a caller may come back to a router that knows no configuration yet.
const UNCONFIGURED_PAUSE: Duration = Duration::from_millis(500);

/// An answer of the router's own.
pub fn own_answer(
    router: &Router,
    request_id: Option<&str>,
    answer: OwnAnswer,
) -> Response<LocalBody> {
    let mut response = Response::new(full(format!("{answer}\n")));
    *response.status_mut() = answer.status();
    *response.headers_mut() = router.seams.callers.own_headers(request_id, answer);
    response
}

/// Tells log and metrics how a request ended.
pub fn note_end(router: &Router, call: &Call, outcome: &Outcome) {
    let now = router.now();
    router.metrics.on_end(call, outcome, now);
    let kind = if outcome.is_success() { LineKind::Success } else { LineKind::Failure };
    let (is_written, left_out) = router.lines.borrow_mut().take(now, kind);
    if let Some(left_out) = left_out {
        events::lines_left_out(left_out);
    }
    if is_written {
        events::ended(call, outcome, now);
    }
}
