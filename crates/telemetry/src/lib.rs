//! What a process tells about itself: log lines of key=value pairs, spans joined by W3C trace
//! context, and an admin address with health, readiness, metrics and its own account of things.

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

/// The registry type that processes register their metrics with.
pub use prometheus_client::registry::Registry;

#[cfg(test)]
mod tests;
