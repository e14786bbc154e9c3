//! Logging in logfmt: one line of key=value pairs for each event, on standard error or standard
//! output.

use derive_more::{Display, Error};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// An error that prevents logging from starting.
#[derive(Debug, Display, Error)]
pub enum LoggingError {
    /// The filter cannot be parsed.
    #[display("the log filter is not understood: {source}")]
    Filter {
        /// The cause.
        source: tracing_subscriber::filter::ParseError,
    },
    /// The process already has a logger.
    #[display("logging was started before: {source}")]
    Started {
        /// The cause.
        source: tracing_subscriber::util::TryInitError,
    },
}

/// Starts logging to standard error with a filter such as `info` or `info,mastbay_gateway=debug`.
/// Writing a line may block.
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

/// Lines buffered while standard output is blocked; further ones are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Guard of non-blocking logging to standard output. Dropping it flushes the buffered lines.
pub struct OutputLog {
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

impl OutputLog {
    /// Returns the number of lines dropped so far because the buffer was full.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging to standard output with a filter such as `info`. Writing a line never blocks:
/// lines are dropped while the buffer is full.
pub fn start_output_log(filter: &str) -> Result<OutputLog, LoggingError> {
    let filter = EnvFilter::try_new(filter).map_err(|source| LoggingError::Filter { source })?;
    let (writer, worker): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
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
    log_panics();
    Ok(OutputLog { dropped, _worker: worker })
}

/// Logs each panic as an event, in addition to what is written to standard error.
fn log_panics() {
    let earlier = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        tracing::error!(event = "panic", detail = %panic);
        earlier(panic);
    }));
}
