//! A request as accepted from a caller.

use bytes::Bytes;
use hyper::Method;
use hyper::header::{HeaderMap, HeaderName};
use mastbay_claims::ClaimKey;
use mastbay_configuration::Service;
use mastbay_telemetry::TraceContext;
use mastbay_types::{CellId, RequestId, TenantName, Timestamp};

/// Header that carries the request's identifier, to back ends and back to callers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("mastbay-request-id");
/// Header that tells a caller what became of its request.
pub const OUTCOME: HeaderName = HeaderName::from_static("mastbay-outcome");
/// Header with the time that a caller gives its request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("mastbay-deadline-ms");
/// Header that names the tenant to a back end.
pub const TENANT: HeaderName = HeaderName::from_static("mastbay-tenant");
/// Header with the caller's own identifier of an operation that must run once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header of W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// What names a request in logs, spans and answers, from its first byte on.
#[derive(Debug, Clone, Copy)]
pub struct RequestName {
    /// Its identifier.
    pub id: RequestId,
    /// Its place in the caller's trace, or the root of a new one.
    pub trace: TraceContext,
}

/// A request that may be queued.
#[derive(Debug, Clone)]
pub struct AcceptedRequest {
    /// Its name.
    pub name: RequestName,
    /// Whose it is.
    pub tenant: TenantName,
    /// The cell that runs it.
    pub cell: CellId,
    /// What is declared for its service.
    pub service: Service,
    /// When it must be over.
    pub deadline: Timestamp,
    /// The claim that it needs.
    pub claim: Option<ClaimKey>,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// Its headers as they go to the back end.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}
