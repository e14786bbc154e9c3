//! Batched export of spans by OTLP over HTTP. Spans are dropped and counted when the queue is full
//! or the collector does not accept a batch in time, so tracing never delays a request.

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

/// Capacity of the queue of spans that wait for export.
const MAX_QUEUED_SPANS: usize = 8_192;
/// Largest number of spans in one batch.
const MAX_BATCH_SIZE: usize = 512;
/// Time for which spans are gathered before they are exported.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one export request to the collector.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The span of a hop that has ended.
#[derive(Debug, Clone)]
pub(crate) struct SpanRecord {
    pub(crate) name: &'static str,
    pub(crate) context: TraceContext,
    pub(crate) parent: u64,
    pub(crate) started_at: SystemTime,
    pub(crate) duration: Duration,
    pub(crate) request: String,
    pub(crate) result: String,
}

/// Numbers of spans exported and dropped since the process started.
#[derive(Debug, Default)]
pub struct ExportCounts {
    /// Spans that the collector accepted.
    pub exported: AtomicU64,
    /// Spans dropped because the queue was full or an export failed.
    pub dropped: AtomicU64,
}

struct Exporter {
    queue: Sender<SpanRecord>,
    counts: ExportCounts,
}

/// The exporter of the process, unset while spans are not exported.
static EXPORTER: OnceLock<Exporter> = OnceLock::new();

/// Queues a span that has ended. `record` is called only if spans are exported; the span is dropped
/// if the queue is full.
pub(crate) fn enqueue(record: impl FnOnce() -> SpanRecord) {
    let Some(exporter) = EXPORTER.get() else { return };
    if exporter.queue.try_send(record()).is_err() {
        exporter.counts.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts the export of spans to the collector at `address` with `service` as `service.name`, and
/// returns its counts. Further calls only return the counts of the running export.
pub fn start_export(address: SocketAddr, service: &'static str) -> &'static ExportCounts {
    let (sender, queue) = smol::channel::bounded(MAX_QUEUED_SPANS);
    let mut is_new = false;
    let exporter = EXPORTER.get_or_init(|| {
        is_new = true;
        Exporter { queue: sender, counts: ExportCounts::default() }
    });
    if is_new {
        smol::spawn(run(address, service, queue, &exporter.counts)).detach();
    }
    &exporter.counts
}

async fn run(
    address: SocketAddr,
    service: &'static str,
    queue: Receiver<SpanRecord>,
    counts: &'static ExportCounts,
) {
    let client = Client::new(ClientConfig::default());
    while let Ok(first) = queue.recv().await {
        smol::Timer::after(EXPORT_INTERVAL).await;
        let mut batch = vec![first];
        while let Ok(record) = queue.try_recv() {
            batch.push(record);
            if batch.len() == MAX_BATCH_SIZE {
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
    match client.call(address, request, EXPORT_TIMEOUT).await {
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
    let started_at = record.started_at.duration_since(UNIX_EPOCH).unwrap_or_default();
    Span {
        trace_id: record.context.trace.to_be_bytes().to_vec(),
        span_id: record.context.span.to_be_bytes().to_vec(),
        parent_span_id: record.parent.to_be_bytes().to_vec(),
        name: record.name.to_owned(),
        start_time_unix_nano: nanoseconds(started_at),
        end_time_unix_nano: nanoseconds(started_at + record.duration),
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
