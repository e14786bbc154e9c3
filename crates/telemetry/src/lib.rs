//! Observability of a process: log lines of key=value pairs, spans with W3C trace context, and an
//! admin address that serves health, readiness, metrics, status and details of requests.

mod admin;
mod export;
mod logging;
mod span;
mod trace_context;

pub use admin::{Inspect, NotReady, serve_admin};
pub use export::{ExportCounts, start_export};
pub use logging::{LoggingError, OutputLog, start_logging, start_output_log};
pub use span::HopSpan;
pub use trace_context::{ParseTraceContextError, TraceContext};

/// Registry for the metrics of a process, served at `/metrics`.
pub use prometheus_client::registry::Registry;

#[cfg(test)]
mod tests;
