//! Requests accepted from callers, and the HTTP headers of the gateway.

use bytes::Bytes;
use hyper::Method;
use hyper::header::{HeaderMap, HeaderName};
use mastbay_claims::ClaimKey;
use mastbay_configuration::Service;
use mastbay_telemetry::TraceContext;
use mastbay_types::{CellId, RequestId, TenantName, Timestamp};

/// Header with the request's identifier, sent to back ends and returned to callers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("mastbay-request-id");
/// Header of an answer with the outcome of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("mastbay-outcome");
/// Header with the caller's timeout for the request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("mastbay-deadline-ms");
/// Header with the name of the tenant, sent to back ends.
pub const TENANT: HeaderName = HeaderName::from_static("mastbay-tenant");
/// Header with the key that a caller chooses for an operation that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header of W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Identifies a request in logs, spans and answers.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity {
    /// The identifier that the gateway generated.
    pub id: RequestId,
    /// The caller's trace context, or the root of a new trace.
    pub trace: TraceContext,
}

/// A request that passed admission and may be queued.
#[derive(Debug, Clone)]
pub struct AcceptedRequest {
    /// Identifier and trace context.
    pub identity: RequestIdentity,
    /// The tenant that is charged for the request.
    pub tenant: TenantName,
    /// The cell that runs it.
    pub cell: CellId,
    /// The configuration of the service at the time of admission.
    pub service: Service,
    /// When the request times out.
    pub deadline: Timestamp,
    /// The claim to take before sending; `None` if the request needs none.
    pub claim: Option<ClaimKey>,
    /// HTTP method sent to the back end.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: String,
    /// Headers sent to the back end.
    pub headers: HeaderMap,
    /// Complete body, as the caller sent it.
    pub body: Bytes,
}
