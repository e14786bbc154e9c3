//! A simulated plain service that records each run of each request, to reveal duplicate and lost
//! runs.

use crate::reply::{status, value};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use mastbay_web::{Body, BodyError, Server, read_limited, streamed};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Largest request body, in bytes.
const MAX_BODY: usize = 16 << 20;
/// Header with the id of the request, echoed in the answer.
const REQUEST_ID: HeaderName = HeaderName::from_static("mastbay-request-id");
/// Header with the idempotency key that the caller chose for an operation.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that sets the time that this request takes, in milliseconds.
const WORK: HeaderName = HeaderName::from_static("stand-in-work-ms");
/// Header that injects a fault: `break-answer`, `hang` or `crossed` (an answer with a foreign id).
const FAULT: HeaderName = HeaderName::from_static("stand-in-fault");

/// Number of runs since the start of the process.
#[derive(Default)]
struct Record {
    /// Runs by request id.
    requests: BTreeMap<String, u32>,
    /// Runs by idempotency key.
    keys: BTreeMap<String, u32>,
    /// Record that outlives the process: one line with request id and key, `-` for none, for each
    /// run.
    file: Option<File>,
}

/// Serves requests until the process ends.
pub async fn serve(server: Server, work: Duration, file: Option<File>) {
    let record = Arc::new(Mutex::new(Record { file, ..Record::default() }));
    server
        .run(move |request, _| {
            let record = record.clone();
            async move { answer(&record, work, request).await }
        })
        .await;
}

async fn answer(
    record: &Mutex<Record>,
    work: Duration,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/healthz" {
        return status(StatusCode::OK);
    }
    if head.uri.path() == "/record" {
        let record = record.lock().unwrap_or_else(PoisonError::into_inner);
        return value(&json!({ "requests": record.requests, "keys": record.keys }));
    }
    let Ok(body) = read_limited(body, MAX_BODY).await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let id = text(&head.headers, &REQUEST_ID).unwrap_or_default().to_owned();
    record_run(record, &id, text(&head.headers, &IDEMPOTENCY_KEY));
    let requested_work = text(&head.headers, &WORK).and_then(|text| text.parse().ok());
    smol::Timer::after(requested_work.map_or(work, Duration::from_millis)).await;
    let digest = hex::encode(Sha256::digest(&body));
    let answer = json!({
        "request": id,
        "path": head.uri.path(),
        "tenant": text(&head.headers, &HeaderName::from_static("mastbay-tenant")),
        "body_sha256": digest,
    });
    respond(&id, &answer.to_string(), text(&head.headers, &FAULT)).await
}

fn record_run(record: &Mutex<Record>, id: &str, key: Option<&str>) {
    let mut record = record.lock().unwrap_or_else(PoisonError::into_inner);
    *record.requests.entry(id.to_owned()).or_default() += 1;
    if let Some(key) = key {
        *record.keys.entry(key.to_owned()).or_default() += 1;
    }
    if let Some(file) = &mut record.file {
        writeln!(file, "{id} {}", key.unwrap_or("-")).expect("the record can be written");
    }
}

async fn respond(id: &str, answer: &str, fault: Option<&str>) -> Response<Body> {
    let (sender, chunks) = smol::channel::bounded(2);
    let half = answer.len() / 2;
    let mut echoed_id = id.to_owned();
    match fault {
        Some("hang") => std::future::pending().await,
        Some("break-answer") => {
            let _ = sender.send(Ok(answer.as_bytes()[..half].to_vec().into())).await;
            let _ = sender.send(Err(BodyError)).await;
        }
        Some("crossed") => {
            echoed_id = "0".repeat(32);
            let _ = sender.send(Ok(answer.to_owned().into())).await;
        }
        _ => {
            let _ = sender.send(Ok(answer.to_owned().into())).await;
        }
    }
    let mut response = Response::new(streamed(chunks));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(echoed_id) = HeaderValue::from_str(&echoed_id) {
        response.headers_mut().insert(REQUEST_ID, echoed_id);
    }
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
