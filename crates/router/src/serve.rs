//! A caller's request, from its head to its answer.

use crate::call::{Body, Call};
use crate::dialect::{CallerHead, OwnAnswer};
use crate::events;
use crate::exchange::Exchange;
use crate::listener::LocalBody;
use crate::own_answers::own_answer;
use crate::request_head::host;
use crate::router::Router;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, http};
use mastbay_routing::{Route, RouteTable};
use mastbay_types::Timestamp;
use mastbay_web::{ReadBodyError, read_limited};
use std::cell::{OnceCell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// When a caller may come back for whose body there is no memory.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(500);
/// Time that the body of a request may take.
const BODY_TIME: Duration = Duration::from_secs(10);

/// How a request came here.
#[derive(Debug, Clone)]
pub enum Way {
    /// From its caller.
    Direct,
    /// By a router that handed its connection on.
    HandedOn {
        /// That router.
        by: IpAddr,
        /// The configuration that this router had in force when it took the connection, as the other one did.
        table: Option<Rc<RouteTable>>,
    },
}

impl Way {
    /// The router that handed the connection on, if any did.
    fn handed_on_by(&self) -> Option<IpAddr> {
        match self {
            Self::Direct => None,
            Self::HandedOn { by, .. } => Some(*by),
        }
    }

    /// The configuration that decides.
    fn table(&self, router: &Router) -> Option<Rc<RouteTable>> {
        match self {
            Self::Direct => router.table(),
            Self::HandedOn { table, .. } => table.clone(),
        }
    }
}

/// Serves one request.
pub async fn serve_request(
    router: Rc<Router>,
    way: Way,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let arrival = Arrival { at: router.now(), earliest: router.earliest_arrival(), way };
    router.wait_until_up_to_date().await;
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

/// When a request came, and how.
#[derive(Debug, Clone)]
struct Arrival {
    /// When its head was read.
    at: Timestamp,
    /// When it came at the earliest: it may have lain unread.
    earliest: Timestamp,
    way: Way,
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
    let handed_on_by = arrival.way.handed_on_by();
    let way = arrival.way.clone();
    let refused = |request_id: Option<String>, answer| {
        let version = way.table(router).map_or(0, |table| table.version());
        let versions = (version, router.versions().1);
        events::request_turned_away(request_id.as_deref(), answer, versions, handed_on_by);
        router.metrics.on_own_answer(answer);
        Refused { request_id, answer }
    };
    let head = router.dialects.callers.read(&parts);
    let head = head.map_err(|_| refused(None, OwnAnswer::Malformed))?;
    let table = arrival.way.table(router);
    let limits = table.map(|table| table.configuration().limits).unwrap_or_default();
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(refused(Some(head.request_id), OwnAnswer::TooLarge));
    }
    let Some(share) = router.bodies.try_reserve(length) else {
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

/// Finds the route and the tenant of a request in the configuration that decides now that it has come whole.
fn route(
    router: &Router,
    arrival: Arrival,
    parts: http::request::Parts,
    head: CallerHead,
    body: Body,
) -> Result<Call, (String, OwnAnswer)> {
    let unknown_yet = OwnAnswer::NotRun { retry_after: Some(UNCONFIGURED_PAUSE) };
    let table = arrival.way.table(router);
    let Some(table) = table else { return Err((head.request_id, unknown_yet)) };
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
    let Some(service) = entry.service(rand::random()).map(str::to_owned) else {
        return Err((head.request_id, unknown_yet));
    };
    let deadline = arrival.earliest + time_allowed(&head, &entry.route);
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
        forwarded_by: arrival.way.handed_on_by(),
        arrived: arrival.at,
        deadline,
        trace: RefCell::default(),
        fingerprint: OnceCell::new(),
    })
}

/// Time that a request may take: as long as its caller waits, and no longer than its route allows.
pub fn time_allowed(head: &CallerHead, route: &Route) -> Duration {
    head.time_left.map_or(route.timeout, |left| left.min(route.timeout))
}

/// When a caller may come back to a router that knows no configuration yet.
const UNCONFIGURED_PAUSE: Duration = Duration::from_millis(500);
