//! Builds the answers to callers, with the outcome of the request in their headers.

use crate::request::{OUTCOME, REQUEST_ID, RequestIdentity, TRACEPARENT};
use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use hyper::{Response, StatusCode};
use mastbay_attempts::Outcome;
use mastbay_web::{Body, full, json};
use serde::Serialize;

/// JSON body of an answer that the gateway generates itself.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Serialize)]
struct ErrorDetail {
    code: &'static str,
    message: String,
    outcome: String,
    request_id: String,
}

impl ErrorBody {
    /// Creates the body for an outcome other than "answered".
    pub fn new(identity: &RequestIdentity, outcome: Outcome) -> Self {
        let message = match outcome {
            Outcome::Answered => String::new(),
            Outcome::NotRun(reason) => reason.to_string(),
            Outcome::Unknown(reason) => reason.to_string(),
        };
        let error = ErrorDetail {
            code: outcome.code(),
            message,
            outcome: outcome.to_string(),
            request_id: identity.id.to_string(),
        };
        Self { error }
    }
}

/// Builds the answer for an outcome other than "answered".
pub fn error_answer(identity: &RequestIdentity, outcome: Outcome) -> Response<Body> {
    let mut response = Response::new(json(&ErrorBody::new(identity, outcome)));
    *response.status_mut() =
        StatusCode::from_u16(outcome.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Outcome::NotRun(reason) = outcome {
        headers.insert(RETRY_AFTER, HeaderValue::from(reason.retry_after().as_secs()));
    }
    add_request_headers(headers, identity, outcome);
    response
}

/// Builds the answer from a complete answer of the back end.
pub fn buffered_answer(
    identity: &RequestIdentity,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<Body> {
    build_answer(identity, status, headers, full(body))
}

/// Builds the answer from the head of the back end's answer and a body that may be streamed.
pub fn build_answer(
    identity: &RequestIdentity,
    status: StatusCode,
    mut headers: HeaderMap,
    body: Body,
) -> Response<Body> {
    for header in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        headers.remove(header);
    }
    add_request_headers(&mut headers, identity, Outcome::Answered);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn add_request_headers(headers: &mut HeaderMap, identity: &RequestIdentity, outcome: Outcome) {
    let mut set = |header, text: String| {
        // Outcomes and identifiers are always valid header values.
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header, value);
        }
    };
    set(OUTCOME, outcome.to_string());
    set(REQUEST_ID, identity.id.to_string());
    set(TRACEPARENT, identity.trace.to_string());
}
