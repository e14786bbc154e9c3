//! Polling of conditions, and expected answers.

use smol::future::Future;
use std::time::{Duration, Instant};

/// Interval in which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `condition` holds.
///
/// # Panics
/// Panics if it does not hold within `limit`; the message has `what` as the name of the condition.
pub async fn wait_until<F: Future<Output = bool>>(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> F,
) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < limit, "timed out after {limit:?}: {what}");
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the answer of the engine stand-in to `prompt`: the words of the prompt, repeated in a
/// cycle.
pub fn expected_answer(prompt: &str, tokens: usize) -> String {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let answer: Vec<&str> = words.iter().copied().cycle().take(tokens).collect();
    answer.join(" ")
}
