//! Transfers in progress from each engine, and backoff from engines whose transfers save no time.

use crate::engine_key::EngineKey;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Consecutive transfers without a gain after which an engine is not used as a source.
const MAX_FAILURES: u32 = 3;
/// Time for which it is not used.
const BACKOFF: Duration = Duration::from_secs(5);
/// Number of sources from which those without transfers and failures are dropped.
const MAX_IDLE_SOURCES: usize = 512;

#[derive(Debug, Default)]
struct SourceState {
    /// Expected ends of started transfers.
    ends: Vec<Timestamp>,
    failures: u32,
    backoff_until: Timestamp,
}

impl SourceState {
    fn in_progress(&self, now: Timestamp) -> usize {
        self.ends.iter().filter(|end| now < **end).count()
    }
}

/// The engines from which this router has started transfers.
#[derive(Debug, Default)]
pub struct TransferSources(HashMap<EngineKey, SourceState>);

impl TransferSources {
    /// Returns the number of transfers from an engine that may still run.
    pub fn in_progress(&self, now: Timestamp, source: EngineKey) -> u32 {
        self.0.get(&source).map_or(0, |state| state.in_progress(now) as u32)
    }

    /// Returns whether an engine is not to be used as a source now.
    pub fn backs_off(&self, now: Timestamp, source: EngineKey) -> bool {
        self.0.get(&source).is_some_and(|state| now < state.backoff_until)
    }

    /// Records the start of a transfer that is expected to take `time`.
    pub fn on_start(&mut self, now: Timestamp, source: EngineKey, time: Duration) {
        if self.0.len() >= MAX_IDLE_SOURCES {
            self.0.retain(|_, state| {
                state.in_progress(now) > 0 || state.failures > 0 || now < state.backoff_until
            });
        }
        let state = self.0.entry(source).or_default();
        state.ends.retain(|end| now < *end);
        state.ends.push(now + time);
    }

    /// Records whether a transfer shortened the time to the first event.
    pub fn on_result(&mut self, now: Timestamp, source: EngineKey, saved_time: bool) {
        let Some(state) = self.0.get_mut(&source) else { return };
        state.failures = if saved_time { 0 } else { state.failures + 1 };
        if state.failures >= MAX_FAILURES {
            state.failures = 0;
            state.backoff_until = now + BACKOFF;
        }
    }
}
