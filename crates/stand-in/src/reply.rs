//! Constructors of responses.

use hyper::{Response, StatusCode};
use mastbay_web::{Body, empty, json};
use serde::Serialize;

/// Creates an empty response.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Creates a JSON response.
pub fn value(value: &impl Serialize) -> Response<Body> {
    Response::new(json(value))
}
