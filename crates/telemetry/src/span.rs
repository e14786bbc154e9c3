//! Spans: one for each hop of a request, logged when the hop ends and exported if an exporter runs.

use crate::export::{SpanRecord, enqueue};
use crate::trace_context::TraceContext;
use rand::Rng;
use std::time::{Instant, SystemTime};

/// The span of a hop in progress.
#[derive(Debug, Clone)]
pub struct HopSpan {
    name: &'static str,
    context: TraceContext,
    parent: u64,
    started: Instant,
    started_at: SystemTime,
}

impl HopSpan {
    /// Starts a span that is a child of `parent`.
    pub fn start(name: &'static str, parent: TraceContext, random: &mut impl Rng) -> Self {
        let context = parent.child(random);
        let (started, started_at) = (Instant::now(), SystemTime::now());
        Self { name, context, parent: parent.span, started, started_at }
    }

    /// Returns the context to send to the next hop as its `traceparent`.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Ends the span: logs it with the request id and the result, and queues it for export.
    pub fn finish(self, request: &str, result: &str) {
        tracing::info!(
            event = "span",
            name = self.name,
            trace = %format_args!("{:032x}", self.context.trace),
            span = %format_args!("{:016x}", self.context.span),
            parent = %format_args!("{:016x}", self.parent),
            micros = self.started.elapsed().as_micros() as u64,
            request,
            result,
        );
        enqueue(|| SpanRecord {
            name: self.name,
            context: self.context,
            parent: self.parent,
            started_at: self.started_at,
            duration: self.started.elapsed(),
            request: request.to_owned(),
            result: result.to_owned(),
        });
    }
}
