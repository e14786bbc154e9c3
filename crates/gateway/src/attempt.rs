//! One attempt at a back end: connects, sends the request and reads the head of the answer and,
//! unless it is streamed, its body.

use crate::duty::GatewayDuty;
use crate::request::{AcceptedRequest, REQUEST_ID, TRACEPARENT};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use mastbay_attempts::{Exchange, Failure};
use mastbay_telemetry::TraceContext;
use mastbay_types::Timestamp;
use mastbay_web::{Connection, read_limited, within};
use std::net::SocketAddr;
use std::time::Duration;

/// Media type of streams.
const EVENT_STREAM: &str = "text/event-stream";

/// The answer of a successful attempt.
pub enum BackendAnswer {
    /// An answer that is read completely.
    Buffered(BufferedAnswer),
    /// A streamed answer whose head is read.
    Stream(OpenStream),
}

/// An answer with its complete body.
pub struct BufferedAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body, up to `answer-limit`.
    pub body: Bytes,
}

/// A streamed answer whose body is still to be read.
pub struct OpenStream {
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body, from its first byte.
    pub body: Incoming,
    /// Address of the back end.
    pub source: SocketAddr,
    /// The connection; reusable once the body is read completely.
    pub connection: Connection,
}

/// Returns the time until `deadline`, zero once it has passed.
pub fn time_left(duty: &GatewayDuty, deadline: Timestamp) -> Duration {
    deadline.since(duty.node().now())
}

/// Sends the request to the back end at `address` and reads its answer.
pub async fn attempt(
    duty: &GatewayDuty,
    request: &AcceptedRequest,
    exchange: &mut Exchange,
    address: SocketAddr,
    trace: TraceContext,
) -> Result<BackendAnswer, Failure> {
    let mut connection = connect(duty, request, address).await?;
    let outgoing = outgoing(request, address, trace).ok_or(Failure::Connect)?;
    if !exchange.may_send(duty.node().now()) {
        return Err(Failure::Deadline);
    }
    let response = send(duty, request, exchange, &mut connection, outgoing).await?;
    check_identity(request, response.headers())?;
    let (head, body) = response.into_parts();
    if is_stream(&head.headers) {
        let headers = head.headers;
        return Ok(BackendAnswer::Stream(OpenStream {
            headers,
            body,
            source: address,
            connection,
        }));
    }
    let limit = duty.settings().answer_limit;
    let body = within(time_left(duty, request.deadline), read_limited(body, limit))
        .await
        .map_err(|_| Failure::Deadline)?
        .map_err(|error| {
            tracing::warn!(event = "answer_broken", request = %request.identity.id, %error);
            Failure::Broken
        })?;
    duty.connections().keep(address, connection);
    Ok(BackendAnswer::Buffered(BufferedAnswer { status: head.status, headers: head.headers, body }))
}

/// Returns an idle or a new connection. A connect that fails at the deadline of the request is not
/// blamed on the back end.
async fn connect(
    duty: &GatewayDuty,
    request: &AcceptedRequest,
    address: SocketAddr,
) -> Result<Connection, Failure> {
    let limit = duty.settings().connect_timeout.min(time_left(duty, request.deadline));
    if let Some(connection) = duty.connections().take(address) {
        return Ok(connection);
    }
    Connection::open(address, limit).await.map_err(|error| {
        if time_left(duty, request.deadline).is_zero() {
            return Failure::Deadline;
        }
        tracing::warn!(event = "backend_unreachable", %address, %error);
        Failure::Connect
    })
}

async fn send(
    duty: &GatewayDuty,
    request: &AcceptedRequest,
    exchange: &mut Exchange,
    connection: &mut Connection,
    outgoing: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    let response = connection.exchange(outgoing);
    match within(time_left(duty, request.deadline), response).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => {
            if !error.written {
                exchange.nothing_written();
            }
            tracing::warn!(event = "exchange_failed", request = %request.identity.id, %error);
            Err(Failure::Broken)
        }
        Err(_) => Err(Failure::Deadline),
    }
}

fn outgoing(
    request: &AcceptedRequest,
    address: SocketAddr,
    trace: TraceContext,
) -> Option<Request<Full<Bytes>>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.parse::<Uri>().ok()?;
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    headers.insert(TRACEPARENT, HeaderValue::from_str(&trace.to_string()).ok()?);
    Some(outgoing)
}

/// Checks the request identifier in the answer, if the back end sent one.
fn check_identity(request: &AcceptedRequest, headers: &HeaderMap) -> Result<(), Failure> {
    match headers.get(REQUEST_ID) {
        Some(answered) if answered.as_bytes() != request.identity.id.to_string().as_bytes() => {
            tracing::error!(event = "answer_mismatch", request = %request.identity.id);
            Err(Failure::Mismatch)
        }
        _ => Ok(()),
    }
}

fn is_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    media_type.is_some_and(|media_type| media_type.starts_with(EVENT_STREAM))
}
