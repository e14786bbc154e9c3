//! The router's native protocol, which uses `mastbay-*` headers. It applies where no platform
//! prescribes another one.

use crate::dialect::{
    AnswerKind, BackEndDialect, BackEndNotice, CallerDialect, CallerHead, MalformedRequest,
    OutgoingCall, OwnAnswer, ResumptionHeaders, retry_after_of,
};
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http;
use mastbay_routing::{Prompt, PromptPart};
use std::time::Duration;

/// The caller's ID of a request, also in the answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("mastbay-request-id");
/// Time that the caller waits for the answer, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("mastbay-deadline-ms");
/// The parts of a prompt in order, as a comma-separated list of `ID:TOKENS` with hexadecimal IDs.
pub const PARTS: HeaderName = HeaderName::from_static("mastbay-prompt-parts");
/// The number of prompt tokens and the maximum number of output tokens, as `IN,OUT`.
pub const TOKENS: HeaderName = HeaderName::from_static("mastbay-tokens");
/// The headers with which callers resume streams.
const RESUMPTION: ResumptionHeaders =
    ResumptionHeaders { last_event: "mastbay-last-event", resumes: "mastbay-resumes" };
/// The number of the last event that the caller received.
pub const LAST_EVENT: HeaderName = HeaderName::from_static(RESUMPTION.last_event);
/// The ID of the request that brought the first event of the stream that the caller resumes.
pub const RESUMES: HeaderName = HeaderName::from_static(RESUMPTION.resumes);
/// The tenant's name, sent to back ends only.
pub const TENANT: HeaderName = HeaderName::from_static("mastbay-tenant");
/// The name of the back end that a request is addressed to.
pub const BACK_END: HeaderName = HeaderName::from_static("mastbay-back-end");
/// Whether a request ran: [`NOT_RUN`], [`UNKNOWN`] or [`REPLACED`]. Absent if it ran.
pub const OUTCOME: HeaderName = HeaderName::from_static("mastbay-outcome");
/// `1` in the answers of a back end that is shutting down.
pub const DRAINING: HeaderName = HeaderName::from_static("mastbay-draining");

/// The outcome of a request that was rejected without running.
pub const NOT_RUN: &str = "not-run";
/// The outcome of a request that may have run.
pub const UNKNOWN: &str = "unknown";
/// The outcome of a request that was addressed to another incarnation of the back end and did not
/// run.
pub const REPLACED: &str = "not-run-replaced";

const BEARER: &str = "Bearer ";

/// The native protocol, for callers and back ends.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

impl CallerDialect for NativeDialect {
    fn read(&self, head: &http::request::Parts) -> Result<CallerHead, MalformedRequest> {
        let headers = &head.headers;
        let request_id = text(headers, &REQUEST_ID).ok_or(MalformedRequest::NoId)?.to_owned();
        let time_left = match text(headers, &DEADLINE) {
            Some(left) => Some(
                left.parse()
                    .map(Duration::from_millis)
                    .map_err(|_| MalformedRequest::Header { name: "mastbay-deadline-ms" })?,
            ),
            None => None,
        };
        let key = text(headers, &AUTHORIZATION).and_then(|value| value.strip_prefix(BEARER));
        Ok(CallerHead {
            request_id,
            time_left,
            key: key.map(str::to_owned),
            prompt: prompt(headers),
            last_event: RESUMPTION.last_event(headers)?,
            resumed_request: RESUMPTION.resumed_request(headers)?,
        })
    }

    fn own_headers(&self, request_id: Option<&str>, answer: OwnAnswer) -> HeaderMap {
        let mut headers = HeaderMap::new();
        set(&mut headers, REQUEST_ID, request_id.unwrap_or_default());
        let outcome = match answer {
            OwnAnswer::UnknownOutcome | OwnAnswer::OutOfTime => UNKNOWN,
            _ => NOT_RUN,
        };
        set(&mut headers, OUTCOME, outcome);
        if let OwnAnswer::NotRun { retry_after: Some(delay) } = answer {
            set(&mut headers, RETRY_AFTER, &delay.as_secs_f64().ceil().to_string());
        }
        headers
    }
}

impl BackEndDialect for NativeDialect {
    fn outgoing(&self, caller: &HeaderMap, call: &OutgoingCall<'_>) -> HeaderMap {
        let mut headers = caller.clone();
        for name in [AUTHORIZATION, TENANT, BACK_END, LAST_EVENT, OUTCOME] {
            headers.remove(name);
        }
        set(&mut headers, BACK_END, call.back_end);
        set(&mut headers, DEADLINE, &call.time_left.as_millis().to_string());
        if let Some(tenant) = call.tenant {
            set(&mut headers, TENANT, tenant);
        }
        if let Some(number) = call.last_event {
            set(&mut headers, LAST_EVENT, &number.to_string());
        }
        headers
    }

    fn classify(&self, request_id: &str, head: &http::response::Parts) -> AnswerKind {
        match (text(&head.headers, &REQUEST_ID), text(&head.headers, &OUTCOME)) {
            (Some(named), _) if named != request_id => AnswerKind::Foreign,
            (_, Some(NOT_RUN)) => AnswerKind::NotRunFull,
            (_, Some(REPLACED)) => AnswerKind::NotRunReplaced,
            (None, _) => AnswerKind::Foreign,
            (Some(_), _) => AnswerKind::Answer,
        }
    }

    fn notice(&self, request_id: &str, head: &http::response::Parts) -> BackEndNotice {
        let is_own = text(&head.headers, &REQUEST_ID) == Some(request_id);
        if !is_own || text(&head.headers, &OUTCOME) == Some(REPLACED) {
            return BackEndNotice::default();
        }
        BackEndNotice {
            is_draining: text(&head.headers, &DRAINING) == Some("1"),
            retry_after: retry_after_of(head),
        }
    }

    fn event_number(&self, event: &[u8]) -> Option<u64> {
        let mut lines = event.split(|byte| *byte == b'\n');
        let number = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(number).ok()?.trim().parse().ok()
    }
}

fn prompt(headers: &HeaderMap) -> Option<Prompt> {
    let (input, output) = text(headers, &TOKENS)?.split_once(',')?;
    Some(Prompt {
        parts: PromptPart::read_list(text(headers, &PARTS).unwrap_or_default()),
        input_tokens: input.parse().ok()?,
        max_output_tokens: output.parse().ok()?,
        output_hint: None,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
