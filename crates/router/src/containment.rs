//! Containment of panics: a fault in the handling of one value ends no task that the router depends on,
//! and leaves no caller without an answer.

use crate::events;
use crate::runtime::Runtime;
use smol::future::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

/// Time after which a task starts again: the value that ended it may still be there.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task that the router depends on, such as one that follows a source, until it completes.
/// Starts it again after a panic.
pub async fn supervise<F: Future<Output = ()>>(
    runtime: Runtime,
    name: &'static str,
    task: impl Fn() -> F,
) {
    while contain(task()).await.is_none() {
        events::task_restarted(name);
        runtime.sleep(RESTART_DELAY).await;
    }
}

/// Runs a future. Returns `None` if it panics. What it shares with others has to be consistent
/// wherever it may panic.
pub(crate) async fn contain<F: Future>(future: F) -> Option<F::Output> {
    AssertUnwindSafe(future).catch_unwind().await.ok()
}
