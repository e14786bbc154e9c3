//! Log lines: one line of key=value pairs for each event, on standard error or standard output.

use derive_more::{Display, Error};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
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

/// Lines that wait for a slow reader of standard output; further ones are dropped and counted.
const BUFFERED_LINES: usize = 4_096;

/// Logging to standard output that never blocks. Dropped, it writes what still waits.
pub struct OutputLog {
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

impl OutputLog {
    /// Lines dropped so far, since the reader was too slow.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging to standard output with a filter such as `info`. No line ever waits for a reader.
pub fn start_output_log(filter: &str) -> Result<OutputLog, LoggingError> {
    let filter = EnvFilter::try_new(filter).map_err(|source| LoggingError::Filter { source })?;
    let (writer, worker): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .map_err(|source| LoggingError::Started { source })?;
    Ok(OutputLog { dropped, _worker: worker })
}
