//! Answers to callers, each with its outcome.

use crate::request::{OUTCOME, REQUEST_ID, RequestName, TRACEPARENT};
use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use hyper::{Response, StatusCode};
use mastbay_attempts::Outcome;
use mastbay_web::{Body, full, json};
use serde::Serialize;

/// The body of an answer that is not the back end's.
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
    /// The body for an outcome other than "answered".
    pub fn new(name: &RequestName, outcome: Outcome) -> Self {
        let message = match outcome {
            Outcome::Answered => String::new(),
            Outcome::NotRun(reason) => reason.to_string(),
            Outcome::Unknown(reason) => reason.to_string(),
        };
        let error = ErrorDetail {
            code: outcome.code(),
            message,
            outcome: outcome.to_string(),
            request_id: name.id.to_string(),
        };
        Self { error }
    }
}

/// The answer for an outcome other than "answered".
pub fn error_answer(name: &RequestName, outcome: Outcome) -> Response<Body> {
    let mut response = Response::new(json(&ErrorBody::new(name, outcome)));
    *response.status_mut() =
        StatusCode::from_u16(outcome.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Outcome::NotRun(reason) = outcome {
        headers.insert(RETRY_AFTER, HeaderValue::from(reason.retry_after().as_secs()));
    }
    mark(headers, name, outcome);
    response
}

/// The back end's answer, whole.
pub fn whole_answer(
    name: &RequestName,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<Body> {
    head_of_answer(name, status, headers, full(body))
}

/// The back end's answer with a body that may still be on its way.
pub fn head_of_answer(
    name: &RequestName,
    status: StatusCode,
    mut headers: HeaderMap,
    body: Body,
) -> Response<Body> {
    for header in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        headers.remove(header);
    }
    mark(&mut headers, name, Outcome::Answered);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn mark(headers: &mut HeaderMap, name: &RequestName, outcome: Outcome) {
    let mut set = |header, text: String| {
        // Outcomes and identifiers are always valid header text.
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header, value);
        }
    };
    set(OUTCOME, outcome.to_string());
    set(REQUEST_ID, name.id.to_string());
    set(TRACEPARENT, name.trace.to_string());
}
