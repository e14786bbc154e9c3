//! Spans: one for each hop of a request, written to the log when the hop ends and, if set, exported.

use crate::export::{SpanRecord, offer};
use crate::trace_context::TraceContext;
use rand::Rng;
use std::time::{Instant, SystemTime};

/// A hop under way.
#[derive(Debug, Clone)]
pub struct HopSpan {
    name: &'static str,
    context: TraceContext,
    parent: u64,
    started: Instant,
    began: SystemTime,
}

impl HopSpan {
    /// A hop below `parent`.
    pub fn start(name: &'static str, parent: TraceContext, random: &mut impl Rng) -> Self {
        let context = parent.child(random);
        let (started, began) = (Instant::now(), SystemTime::now());
        Self { name, context, parent: parent.span, started, began }
    }

    /// What the next hop gets as its `traceparent`.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Ends the hop. `request` and `result` are written with it.
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
        offer(|| SpanRecord {
            name: self.name,
            context: self.context,
            parent: self.parent,
            began: self.began,
            took: self.started.elapsed(),
            request: request.to_owned(),
            result: result.to_owned(),
        });
    }
}
