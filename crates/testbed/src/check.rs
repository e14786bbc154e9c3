//! Conditions that tests wait for, and the answers that they expect.

use smol::future::Future;
use std::time::{Duration, Instant};

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Waits until `condition` holds.
///
/// # Panics
/// When it does not hold within `limit`; `what` says what was waited for.
pub async fn wait_until<F: Future<Output = bool>>(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> F,
) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < limit, "waited {limit:?} in vain for: {what}");
        smol::Timer::after(LOOK).await;
    }
}

/// The words that the engine stand-in answers to `prompt`: its own, over and over.
pub fn expected_words(prompt: &str, tokens: usize) -> String {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let answer: Vec<&str> = words.iter().copied().cycle().take(tokens).collect();
    answer.join(" ")
}
