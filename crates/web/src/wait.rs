//! A bound on how long a future may take.

use derive_more::{Display, Error};
use smol::future::{Future, FutureExt};
use std::time::Duration;

/// The time allowed has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("timed out")]
pub struct TimedOut;

/// The future's output, or [`TimedOut`] after `limit`.
pub async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimedOut> {
    let output = async { Ok(future.await) };
    let timer = async {
        smol::Timer::after(limit).await;
        Err(TimedOut)
    };
    output.or(timer).await
}
