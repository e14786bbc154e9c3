//! From a caller's HTTP request to an accepted request, or the reason why not.

use crate::access::AccessTable;
use crate::request::{
    AcceptedRequest, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID, RequestName, TENANT, TRACEPARENT,
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

/// Path of the model interface.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Longest idempotency key, in bytes.
const LONGEST_KEY: usize = 255;
/// Longest time that a caller may give a request.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);

/// Headers that speak about one connection only, or to the gateway only.
const NOT_PASSED_ON: [HeaderName; 14] = [
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

/// What a request is checked against.
#[derive(Debug, Clone)]
pub struct Admission {
    /// The configuration in force.
    pub configuration: Arc<FleetConfiguration>,
    /// Its keys.
    pub access: Arc<AccessTable>,
}

/// A request whose head was checked: its caller is known.
#[derive(Debug)]
pub struct RecognisedCaller {
    tenant: TenantName,
    head: Parts,
}

/// The part of a chat-completions request that routing needs.
#[derive(Deserialize)]
struct ChatRequest {
    model: String,
}

impl Admission {
    /// Checks the key, before any of the body is read.
    pub fn recognise(&self, head: Parts) -> Result<RecognisedCaller, NotRunReason> {
        let tenant = self.access.tenant(&head.headers).ok_or(NotRunReason::Unauthorized)?;
        Ok(RecognisedCaller { tenant, head })
    }

    /// Finds the service and what the caller asks for.
    pub fn accept(
        &self,
        name: RequestName,
        caller: RecognisedCaller,
        body: Bytes,
        now: Timestamp,
    ) -> Result<AcceptedRequest, NotRunReason> {
        let RecognisedCaller { tenant, head } = caller;
        let (service_name, service) = self.route(head.uri.path(), &body)?;
        let span = deadline(&head.headers)?.unwrap_or(service.deadline);
        let claim = match idempotency_key(&head.headers)? {
            Some(key) if !service.repeatable => Some(ClaimKey::new(&tenant, service_name, &key)),
            _ => None,
        };
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        Ok(AcceptedRequest {
            name,
            cell: CellId { service: service_name.clone(), index: 0 },
            service: service.clone(),
            deadline: now + span,
            claim,
            method: head.method,
            target,
            headers: headers_passed_on(head.headers, &name, &tenant),
            tenant,
            body,
        })
    }

    fn route(&self, path: &str, body: &[u8]) -> Result<(&ServiceName, &Service), NotRunReason> {
        if path == CHAT_PATH {
            let chat: ChatRequest =
                serde_json::from_slice(body).map_err(|_| NotRunReason::BadRequest)?;
            return self
                .find(|kind| matches!(kind, ServiceKind::Model { model } if *model == chat.model));
        }
        self.find(|kind| matches!(kind, ServiceKind::Plain { prefix } if is_below(path, prefix)))
    }

    fn find(
        &self,
        wanted: impl Fn(&ServiceKind) -> bool,
    ) -> Result<(&ServiceName, &Service), NotRunReason> {
        let mut services = self.configuration.services.iter();
        services.find(|(_, service)| wanted(&service.kind)).ok_or(NotRunReason::UnknownService)
    }
}

fn is_below(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, NotRunReason> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis.map(Duration::from_millis) {
        Some(span) if !span.is_zero() && span <= LONGEST_DEADLINE => Ok(Some(span)),
        _ => Err(NotRunReason::BadRequest),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, NotRunReason> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= LONGEST_KEY => Ok(Some(key.to_owned())),
        _ => Err(NotRunReason::BadRequest),
    }
}

fn headers_passed_on(mut headers: HeaderMap, name: &RequestName, tenant: &TenantName) -> HeaderMap {
    for header in &NOT_PASSED_ON {
        headers.remove(header);
    }
    let mut set = |header, text: &str| {
        // Names and numbers of ours are always valid header text.
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(header, value);
        }
    };
    set(REQUEST_ID, &name.id.to_string());
    set(TENANT, tenant.as_str());
    set(TRACEPARENT, &name.trace.to_string());
    headers
}
