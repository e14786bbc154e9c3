//! The maximum of a value over a sliding window.

use mastbay_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum of the values recorded within a window.
#[derive(Debug, Clone)]
pub struct WindowedMax {
    window: Duration,
    /// Values that are larger than all recorded later, in order of time.
    values: VecDeque<(Timestamp, usize)>,
}

impl WindowedMax {
    /// Creates a window of length `window` without values.
    pub fn new(window: Duration) -> Self {
        Self { window, values: VecDeque::new() }
    }

    /// Records a value, and removes those that are older than the window.
    pub fn record(&mut self, now: Timestamp, value: usize) {
        while self.values.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            self.values.pop_front();
        }
        while self.values.back().is_some_and(|(_, earlier)| *earlier <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
    }

    /// Returns the largest value recorded within the window that ends now.
    pub fn max(&self, now: Timestamp) -> Option<usize> {
        let mut values = self.values.iter();
        values.find(|(at, _)| now.since(*at) <= self.window).map(|(_, value)| *value)
    }
}
