//! Export of spans by OTLP over HTTP, in batches. Spans that the collector does not take in time are
//! dropped and counted: tracing never holds a request up.

use crate::trace_context::TraceContext;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use mastbay_web::{Client, ClientConfig};
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::common::v1::{AnyValue, InstrumentationScope, KeyValue};
use opentelemetry_proto::tonic::resource::v1::Resource;
use opentelemetry_proto::tonic::trace::v1::{ResourceSpans, ScopeSpans, Span};
use prost::Message;
use smol::channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Spans that may wait for the next batch.
const MOST_WAITING: usize = 8_192;
/// Spans in one batch.
const BATCH: usize = 512;
/// Time between two batches.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time that the collector has to take a batch.
const LIMIT: Duration = Duration::from_secs(2);

/// A hop that has ended.
#[derive(Debug, Clone)]
pub(crate) struct SpanRecord {
    pub(crate) name: &'static str,
    pub(crate) context: TraceContext,
    pub(crate) parent: u64,
    pub(crate) began: SystemTime,
    pub(crate) took: Duration,
    pub(crate) request: String,
    pub(crate) result: String,
}

/// Counts since the start.
#[derive(Debug, Default)]
pub struct ExportCounts {
    /// Spans that the collector took.
    pub exported: AtomicU64,
    /// Spans dropped.
    pub dropped: AtomicU64,
}

struct Export {
    queue: Sender<SpanRecord>,
    counts: ExportCounts,
}

/// The process's export. Like logging, there is one or none.
static EXPORT: OnceLock<Export> = OnceLock::new();

/// Offers a span that has ended; it is only made if spans are exported.
pub(crate) fn offer(record: impl FnOnce() -> SpanRecord) {
    let Some(export) = EXPORT.get() else { return };
    if export.queue.try_send(record()).is_err() {
        export.counts.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts to export spans to the collector at `address`, under a service name. A second call changes
/// nothing. Gives the counts.
pub fn start_export(address: SocketAddr, service: &'static str) -> &'static ExportCounts {
    let (sender, queue) = smol::channel::bounded(MOST_WAITING);
    let mut fresh = false;
    let export = EXPORT.get_or_init(|| {
        fresh = true;
        Export { queue: sender, counts: ExportCounts::default() }
    });
    if fresh {
        smol::spawn(run(address, service, queue, &export.counts)).detach();
    }
    &export.counts
}

async fn run(
    address: SocketAddr,
    service: &'static str,
    queue: Receiver<SpanRecord>,
    counts: &'static ExportCounts,
) {
    let client = Client::new(ClientConfig::default());
    while let Ok(first) = queue.recv().await {
        smol::Timer::after(INTERVAL).await;
        let mut batch = vec![first];
        while let Ok(record) = queue.try_recv() {
            batch.push(record);
            if batch.len() == BATCH {
                post(&client, address, service, std::mem::take(&mut batch), counts).await;
            }
        }
        post(&client, address, service, batch, counts).await;
    }
}

async fn post(
    client: &Client,
    address: SocketAddr,
    service: &'static str,
    batch: Vec<SpanRecord>,
    counts: &ExportCounts,
) {
    if batch.is_empty() {
        return;
    }
    let count = batch.len() as u64;
    let body = Bytes::from(encode(service, batch).encode_to_vec());
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/traces")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/x-protobuf")
        .body(Full::new(body))
        .unwrap_or_default();
    match client.call(address, request, LIMIT).await {
        Ok(reply) if reply.status.is_success() => {
            counts.exported.fetch_add(count, Ordering::Relaxed);
        }
        _ => {
            counts.dropped.fetch_add(count, Ordering::Relaxed);
            tracing::warn!(event = "spans_dropped", count);
        }
    }
}

fn encode(service: &str, batch: Vec<SpanRecord>) -> ExportTraceServiceRequest {
    let spans = batch.into_iter().map(span).collect();
    let scope = InstrumentationScope { name: "mastbay".to_owned(), ..Default::default() };
    let scope_spans = ScopeSpans { scope: Some(scope), spans, ..Default::default() };
    let attributes = vec![attribute("service.name", service)];
    let resource = Resource { attributes, ..Default::default() };
    let resource_spans = ResourceSpans {
        resource: Some(resource),
        scope_spans: vec![scope_spans],
        ..Default::default()
    };
    ExportTraceServiceRequest { resource_spans: vec![resource_spans] }
}

fn span(record: SpanRecord) -> Span {
    let began = record.began.duration_since(UNIX_EPOCH).unwrap_or_default();
    Span {
        trace_id: record.context.trace.to_be_bytes().to_vec(),
        span_id: record.context.span.to_be_bytes().to_vec(),
        parent_span_id: record.parent.to_be_bytes().to_vec(),
        name: record.name.to_owned(),
        start_time_unix_nano: nanoseconds(began),
        end_time_unix_nano: nanoseconds(began + record.took),
        attributes: vec![
            attribute("mastbay.request", &record.request),
            attribute("mastbay.result", &record.result),
        ],
        ..Default::default()
    }
}

fn nanoseconds(since: Duration) -> u64 {
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}

fn attribute(key: &str, text: &str) -> KeyValue {
    let value = AnyValue { value: Some(Value::StringValue(text.to_owned())) };
    KeyValue { key: key.to_owned(), value: Some(value), ..Default::default() }
}
