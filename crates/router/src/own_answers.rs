//! Answers that the router generates itself, and the recording of outcomes in log and metrics.

use crate::call::Call;
use crate::dialect::OwnAnswer;
use crate::events;
use crate::local_body::{LocalBody, full};
use crate::log_rate_limiter::LogLineKind;
use crate::outcome::Outcome;
use crate::router::Router;
use hyper::Response;

/// Serializes an own answer with `connection: close`, for connections that are not served by hyper.
pub fn own_answer_bytes(router: &Router, request_id: Option<&str>, answer: OwnAnswer) -> Vec<u8> {
    let body = format!("{answer}\n");
    let mut bytes = format!("HTTP/1.1 {}\r\n", answer.status()).into_bytes();
    for (name, value) in &router.dialects.callers.own_headers(request_id, answer) {
        bytes.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
    }
    let end = format!("connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    bytes.extend(end.into_bytes());
    bytes
}

/// Builds an own answer.
pub fn own_answer(
    router: &Router,
    request_id: Option<&str>,
    answer: OwnAnswer,
) -> Response<LocalBody> {
    let mut response = Response::new(full(format!("{answer}\n")));
    *response.status_mut() = answer.status();
    *response.headers_mut() = router.dialects.callers.own_headers(request_id, answer);
    response
}

/// Records the outcome of a request in the metrics and, within the rate limit, in the log.
pub fn record_end(router: &Router, call: &Call, outcome: &Outcome) {
    let now = router.now();
    router.metrics.on_end(call, outcome, now);
    let kind = if outcome.is_success() { LogLineKind::Success } else { LogLineKind::Failure };
    if router.may_write_line(kind) {
        events::request_ended(call, outcome, now, router.shutdown.get().schedule());
    }
}
