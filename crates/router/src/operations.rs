//! The endpoints for load balancers, operators and peers: readiness, metrics and snapshots.

use crate::events;
use crate::local_body::{LocalBody, full, full_with_guard};
use crate::router::Router;
use crate::snapshots::{SNAPSHOT_PATH, known_versions};
use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use mastbay_web::MeteredBody;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::rc::Rc;

/// Path of the metrics endpoint.
pub const METRICS_PATH: &str = "/metrics";

/// Answers a request to the readiness address, with any path: 200 if the router is ready, else 503.
pub fn readiness(router: &Router) -> Response<LocalBody> {
    let status = if router.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain(status, Bytes::new())
}

/// Answers a request to the operations address.
pub fn operations(
    router: &Rc<Router>,
    registry: &Registry,
    request: &Request<MeteredBody>,
) -> Response<LocalBody> {
    match request.uri().path() {
        SNAPSHOT_PATH => snapshot(router, request.uri().query()),
        METRICS_PATH => metrics(registry),
        _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn snapshot(router: &Router, query: Option<&str>) -> Response<LocalBody> {
    let known = known_versions(query);
    let now = router.now();
    let mut encoded = router.snapshots.borrow_mut();
    match encoded.get(&router.catalogue.borrow(), now, known) {
        Ok(body) => match router.snapshot_transfers.try_acquire(now, body.len()) {
            Some(permit) => Response::new(full_with_guard(permit, body)),
            // The peer asks another router or retries soon.
            None => plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        },
        Err(error) => {
            events::message_not_encoded(&error);
            plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn metrics(registry: &Registry) -> Response<LocalBody> {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => plain(StatusCode::OK, Bytes::from(text)),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<LocalBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}
