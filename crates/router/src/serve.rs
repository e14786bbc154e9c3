//! Serves a request: reads its body, resolves the route, and runs the exchange with back ends.

use crate::call::Call;
use crate::containment::contain;
use crate::dialect::{CallerHead, OwnAnswer};
use crate::events;
use crate::exchange::Exchange;
use crate::local_body::LocalBody;
use crate::own_answers::own_answer;
use crate::request_body::read_request_body;
use crate::request_head::{detach_from_read_buffer, host};
use crate::reserved_buffer::{ReserveBodyError, ReservedBody};
use crate::router::Router;
use crate::shutdown::STOP_RETRY_AFTER;
use crate::stream_origins::{self, Resumption};
use hyper::body::Body as _;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, http};
use mastbay_routing::{Route, RouteTable};
use mastbay_types::Timestamp;
use mastbay_web::MeteredBody;
use smol::future::FutureExt;
use std::cell::{OnceCell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay returned when there is no memory for a body.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How a request reached this router.
#[derive(Debug, Clone)]
pub enum Ingress {
    /// On a connection from its caller.
    Direct,
    /// On a connection that another router forwards.
    Forwarded {
        /// The address of that router.
        by: IpAddr,
        /// The configuration in force when this router accepted the connection. Both routers use
        /// the same version.
        table: Option<Rc<RouteTable>>,
    },
}

impl Ingress {
    /// Returns the router that forwarded the connection, if any.
    fn forwarded_by(&self) -> Option<IpAddr> {
        match self {
            Self::Direct => None,
            Self::Forwarded { by, .. } => Some(*by),
        }
    }

    /// Returns the configuration that applies to the request.
    fn table(&self, router: &Router) -> Option<Rc<RouteTable>> {
        match self {
            Self::Direct => router.table(),
            Self::Forwarded { table, .. } => table.clone(),
        }
    }
}

/// Serves one request that began to arrive `age` ago. All failures are returned as answers of the
/// router's own; after a panic it is not known whether the request has run.
pub async fn serve_request(
    router: Rc<Router>,
    ingress: Ingress,
    request: Request<MeteredBody>,
    age: Duration,
) -> Response<LocalBody> {
    // Boxed, so that a connection without a request does not hold its memory.
    let serving = Box::pin(serve(router.clone(), ingress, request, age));
    match contain(serving).await {
        Some(response) => response,
        None => {
            router.metrics.on_own_answer(OwnAnswer::UnknownOutcome);
            own_answer(&router, None, OwnAnswer::UnknownOutcome)
        }
    }
}

async fn serve(
    router: Rc<Router>,
    ingress: Ingress,
    request: Request<MeteredBody>,
    age: Duration,
) -> Response<LocalBody> {
    let now = router.now();
    let arrival = Arrival { at: now, age, ingress };
    router.metrics.on_head(age, arrival.ingress.forwarded_by().is_some());
    router.wait_until_up_to_date().await;
    let (mut parts, body) = request.into_parts();
    detach_from_read_buffer(&mut parts);
    let stopped = async {
        router.stop_limit.wait().await;
        let retry_after = Some(STOP_RETRY_AFTER);
        Err(Rejection { request_id: None, answer: OwnAnswer::NotRun { retry_after } })
    };
    // Boxed, so that its memory is free again while a back end serves the request.
    let accepting = Box::pin(accept(&router, arrival, parts, body));
    let mut response = match accepting.or(stopped).await {
        Ok(call) => Exchange::run(&router, Rc::new(call)).await,
        Err(rejection) => own_answer(&router, rejection.request_id.as_deref(), rejection.answer),
    };
    if router.ends_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// When and how a request arrived.
#[derive(Debug, Clone)]
struct Arrival {
    /// When the head was complete.
    at: Timestamp,
    /// Time since the request began to arrive, here or at the router that forwarded it, which may be
    /// before this one started. After a stall it is the longest possible: the first bytes may have
    /// been waiting in the socket's buffer.
    age: Duration,
    ingress: Ingress,
}

/// A request that is rejected before it is routed.
struct Rejection {
    request_id: Option<String>,
    answer: OwnAnswer,
}

/// Reads the body and routes the request. Rejections are logged and counted.
async fn accept(
    router: &Rc<Router>,
    arrival: Arrival,
    parts: http::request::Parts,
    body: MeteredBody,
) -> Result<Call, Rejection> {
    let forwarded_by = arrival.ingress.forwarded_by();
    let ingress = arrival.ingress.clone();
    let reject = |request_id: Option<String>, answer| {
        let version = ingress.table(router).map_or(0, |table| table.version());
        let versions = (version, router.versions().1);
        events::request_turned_away(request_id.as_deref(), answer, versions, forwarded_by);
        router.metrics.on_own_answer(answer);
        Rejection { request_id, answer }
    };
    let head = router.dialects.callers.read(&parts);
    let head = head.map_err(|_| reject(None, OwnAnswer::Malformed))?;
    let table = arrival.ingress.table(router);
    let limits = table.map(|table| table.configuration().limits).unwrap_or_default();
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(reject(Some(head.request_id), OwnAnswer::TooLarge));
    }
    let reading = read_request_body(&router.bodies, body, limits.body_bytes);
    let body = match router.runtime.within(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(ReserveBodyError::TooLarge)) => {
            return Err(reject(Some(head.request_id), OwnAnswer::TooLarge));
        }
        Ok(Err(ReserveBodyError::NoMemory)) => {
            let retry_after = Some(NO_MEMORY_RETRY_AFTER);
            return Err(reject(Some(head.request_id), OwnAnswer::NotRun { retry_after }));
        }
        Ok(Err(ReserveBodyError::Broken)) | Err(_) => {
            return Err(reject(Some(head.request_id), OwnAnswer::Malformed));
        }
    };
    let table = arrival.ingress.table(router);
    let resumption = match stream_origins::find(router, table.as_deref(), &parts, &head).await {
        Ok(resumption) => resumption,
        Err(unknown) => {
            let retry_after = unknown.retry_after();
            return Err(reject(Some(head.request_id), OwnAnswer::NotRun { retry_after }));
        }
    };
    let routed = route(router, arrival, parts, head, body, resumption);
    routed.map_err(|(id, answer)| reject(Some(id), answer))
}

/// Resolves the route and the tenant of a request. The configuration is looked up after the body
/// was received, since it may have changed meanwhile.
fn route(
    router: &Router,
    arrival: Arrival,
    parts: http::request::Parts,
    head: CallerHead,
    body: ReservedBody,
    resumption: Option<Resumption>,
) -> Result<Call, (String, OwnAnswer)> {
    let unconfigured = OwnAnswer::NotRun { retry_after: Some(UNCONFIGURED_RETRY_AFTER) };
    let table = arrival.ingress.table(router);
    let Some(table) = table else { return Err((head.request_id, unconfigured)) };
    let Some(entry) = table.route(host(&parts), parts.uri.path()) else {
        return Err((head.request_id, OwnAnswer::NoRoute));
    };
    let tenant = head.key.as_deref().and_then(|key| table.tenant(key));
    if tenant.is_none() && table.has_tenants() && !entry.route.public {
        return Err((head.request_id, OwnAnswer::UnknownKey));
    }
    let regions = match tenant {
        Some(tenant) => entry.route.regions.and(&tenant.regions),
        None => entry.route.regions.clone(),
    };
    let priority = tenant.and_then(|tenant| tenant.priority).unwrap_or(entry.route.priority);
    let service = match &resumption {
        // The configuration has changed since the stream began.
        Some(resumption) if !entry.has_target(&resumption.origin.service) => {
            return Err((head.request_id, OwnAnswer::NotRun { retry_after: None }));
        }
        Some(resumption) => Some(&*resumption.origin.service),
        None => entry.service(rand::random()),
    };
    let Some(service) = service.map(str::to_owned) else {
        return Err((head.request_id, unconfigured));
    };
    // The caller counts from when it began to send.
    let deadline = arrival.at + time_allowed(&head, &entry.route).saturating_sub(arrival.age);
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
        regions,
        forwarded_by: arrival.ingress.forwarded_by(),
        head_age: arrival.age,
        arrived: arrival.at,
        received: router.now(),
        deadline,
        resumed_stream: resumption.as_ref().and_then(|resumption| resumption.stream),
        origin: resumption.map(|resumption| resumption.origin.into()).unwrap_or_default(),
        trace: RefCell::default(),
        fingerprint: OnceCell::new(),
    })
}

/// Returns the time that a request may take: the route's timeout, or less if the caller waits less.
pub fn time_allowed(head: &CallerHead, route: &Route) -> Duration {
    head.time_left.map_or(route.timeout, |left| left.min(route.timeout))
}

/// Retry delay returned while no configuration or no service of the route is known.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
