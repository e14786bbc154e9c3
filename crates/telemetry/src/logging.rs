//! Log lines: one line of key=value pairs for each event, on standard error.

use derive_more::{Display, Error};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Logging could not be started.
#[derive(Debug, Display, Error)]
pub enum LoggingError {
    /// The filter is not understood.
    #[display("the log filter is not understood: {source}")]
    Filter {
        /// The cause.
        source: tracing_subscriber::filter::ParseError,
    },
    /// Logging was started before.
    #[display("logging was started before: {source}")]
    Started {
        /// The cause.
        source: tracing_subscriber::util::TryInitError,
    },
}

/// Starts logging with a filter such as `info` or `info,mastbay_gateway=debug`.
pub fn start_logging(filter: &str) -> Result<(), LoggingError> {
    let filter = EnvFilter::try_new(filter).map_err(|source| LoggingError::Filter { source })?;
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .map_err(|source| LoggingError::Started { source })
}
