//! What balancers, operators and peers ask of a router: readiness, metrics, snapshots.

use crate::listener::{LocalBody, full};
use crate::router::Router;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::rc::Rc;

/// Where peers fetch configuration and back ends.
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// Where metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// Answers on the readiness address, whatever the path.
pub fn readiness(router: &Router) -> Response<LocalBody> {
    let status = if router.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain(status, Vec::new())
}

/// Answers on the operations address.
pub fn operations(
    router: &Rc<Router>,
    registry: &Registry,
    request: &Request<Incoming>,
) -> Response<LocalBody> {
    match request.uri().path() {
        SNAPSHOT_PATH => snapshot(router),
        METRICS_PATH => metrics(registry),
        _ => plain(StatusCode::NOT_FOUND, Vec::new()),
    }
}

fn snapshot(router: &Router) -> Response<LocalBody> {
    let snapshot = router.catalogue.borrow().snapshot();
    match rmp_serde::to_vec(&snapshot) {
        Ok(body) => plain(StatusCode::OK, body),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    }
}

fn metrics(registry: &Registry) -> Response<LocalBody> {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => plain(StatusCode::OK, text.into_bytes()),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    }
}

fn plain(status: StatusCode, body: Vec<u8>) -> Response<LocalBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}
