//! Admission of callers' HTTP requests: authentication, routing to a service, and validation.

use crate::access::AccessTable;
use crate::request::{
    AcceptedRequest, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID, RequestIdentity, TENANT, TRACEPARENT,
};
use bytes::Bytes;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use mastbay_attempts::NotRunReason;
use mastbay_claims::ClaimKey;
use mastbay_configuration::{FleetConfiguration, Service, ServiceKind};
use mastbay_types::{CellId, ServiceName, TenantName, Timestamp};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// Path of requests that are routed by the model in their body.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LENGTH: usize = 255;
/// Maximum timeout that a caller may ask for.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Headers removed before forwarding: they apply to one connection, or only to the gateway.
const STRIPPED_HEADERS: [HeaderName; 14] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    DEADLINE,
    REQUEST_ID,
    TENANT,
];

/// The configuration that requests are checked against.
#[derive(Debug, Clone)]
pub struct Admission {
    /// The configuration in force.
    pub configuration: Arc<FleetConfiguration>,
    /// The keys of its tenants.
    pub access: Arc<AccessTable>,
}

/// A request whose tenant is known and whose body is not read yet.
#[derive(Debug)]
pub struct AuthenticatedRequest {
    tenant: TenantName,
    head: Parts,
}

/// The fields of a chat completions request that routing needs.
#[derive(Deserialize)]
struct ChatRequest {
    model: String,
}

impl Admission {
    /// Authenticates the caller by the head alone, before the body is read.
    pub fn authenticate(&self, head: Parts) -> Result<AuthenticatedRequest, NotRunReason> {
        let tenant = self.access.tenant(&head.headers).ok_or(NotRunReason::Unauthorized)?;
        Ok(AuthenticatedRequest { tenant, head })
    }

    /// Finds the service of the request and validates its timeout and idempotency key.
    pub fn accept(
        &self,
        identity: RequestIdentity,
        request: AuthenticatedRequest,
        body: Bytes,
        now: Timestamp,
    ) -> Result<AcceptedRequest, NotRunReason> {
        let AuthenticatedRequest { tenant, head } = request;
        let (service_name, service) = self.route(head.uri.path(), &body)?;
        let timeout = requested_timeout(&head.headers)?.unwrap_or(service.deadline);
        let claim = match idempotency_key(&head.headers)? {
            Some(key) if !service.repeatable => Some(ClaimKey::new(&tenant, service_name, &key)),
            _ => None,
        };
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        Ok(AcceptedRequest {
            identity,
            cell: CellId { service: service_name.clone(), index: 0 },
            service: service.clone(),
            deadline: now + timeout,
            claim,
            method: head.method,
            target,
            headers: forwarded_headers(head.headers, &identity, &tenant),
            tenant,
            body,
        })
    }

    fn route(&self, path: &str, body: &[u8]) -> Result<(&ServiceName, &Service), NotRunReason> {
        if path == CHAT_PATH {
            let chat: ChatRequest =
                serde_json::from_slice(body).map_err(|_| NotRunReason::BadRequest)?;
            return self.find_service(
                |kind| matches!(kind, ServiceKind::Model { model } if *model == chat.model),
            );
        }
        self.find_service(
            |kind| matches!(kind, ServiceKind::Plain { prefix } if has_path_prefix(path, prefix)),
        )
    }

    fn find_service(
        &self,
        wanted: impl Fn(&ServiceKind) -> bool,
    ) -> Result<(&ServiceName, &Service), NotRunReason> {
        let mut services = self.configuration.services.iter();
        services.find(|(_, service)| wanted(&service.kind)).ok_or(NotRunReason::UnknownService)
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn requested_timeout(headers: &HeaderMap) -> Result<Option<Duration>, NotRunReason> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis.map(Duration::from_millis) {
        Some(timeout) if !timeout.is_zero() && timeout <= MAX_TIMEOUT => Ok(Some(timeout)),
        _ => Err(NotRunReason::BadRequest),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, NotRunReason> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_LENGTH => Ok(Some(key.to_owned())),
        _ => Err(NotRunReason::BadRequest),
    }
}

fn forwarded_headers(
    mut headers: HeaderMap,
    identity: &RequestIdentity,
    tenant: &TenantName,
) -> HeaderMap {
    for header in &STRIPPED_HEADERS {
        headers.remove(header);
    }
    let mut set = |header, text: &str| {
        // These names and identifiers are always valid header values.
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(header, value);
        }
    };
    set(REQUEST_ID, &identity.id.to_string());
    set(TENANT, tenant.as_str());
    set(TRACEPARENT, &identity.trace.to_string());
    headers
}
