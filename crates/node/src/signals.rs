//! Signals that ask a process to stop.

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// When the operating system does not let the process watch its signals.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(Err(error)) => Err(error),
        Some(Ok(_)) | None => Ok(()),
    }
}
