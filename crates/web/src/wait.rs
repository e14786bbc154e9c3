//! Timeouts of futures.

use derive_more::{Display, Error};
use smol::future::{Future, FutureExt};
use std::time::Duration;

/// The future did not complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("timed out")]
pub struct TimedOut;

/// Returns the output of the future, or [`TimedOut`] after `limit`.
pub async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimedOut> {
    let output = async { Ok(future.await) };
    let timer = async {
        smol::Timer::after(limit).await;
        Err(TimedOut)
    };
    output.or(timer).await
}
