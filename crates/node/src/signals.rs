//! Handling of termination signals.

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(Err(error)) => Err(error),
        Some(Ok(_)) | None => Ok(()),
    }
}
