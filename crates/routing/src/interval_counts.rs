//! Counts of events in intervals of equal length, over a fixed time.

use mastbay_types::Timestamp;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Counts events by the interval in which they fall.
#[derive(Debug, Clone)]
pub(crate) struct IntervalCounts {
    interval: Duration,
    /// Maximum number of intervals that are kept, the current one included.
    most: usize,
    /// The number of the newest interval since the origin of the clock.
    newest: u64,
    /// Counts, the newest first.
    counts: VecDeque<u32>,
}

impl IntervalCounts {
    /// Creates counts over the last `most` intervals of this length.
    pub(crate) fn new(interval: Duration, most: usize) -> Self {
        Self { interval, most, newest: 0, counts: VecDeque::new() }
    }

    /// Counts `events` in the interval of `now`.
    pub(crate) fn add(&mut self, now: Timestamp, events: u32) {
        self.advance(now);
        match self.counts.front_mut() {
            Some(count) => *count += events,
            None => self.counts.push_front(events),
        }
    }

    /// Returns the sums of the counts as of `now`.
    pub(crate) fn sums(&mut self, now: Timestamp) -> IntervalSums {
        self.advance(now);
        let mut total = 0;
        let cumulative = self.counts.iter().map(|count| {
            total += count;
            total
        });
        IntervalSums(cumulative.collect())
    }

    /// Begins the interval of `now` and drops those that are too old.
    fn advance(&mut self, now: Timestamp) {
        let length = self.interval.as_micros().max(1);
        let current = u64::try_from(u128::from(now.as_micros()) / length).unwrap_or(u64::MAX);
        let passed = current.saturating_sub(self.newest);
        self.newest = self.newest.max(current);
        if self.counts.is_empty() {
            return;
        }
        // After a long time all counts are dropped.
        let passed = usize::try_from(passed).unwrap_or(self.most).min(self.most);
        (0..passed).for_each(|_| self.counts.push_front(0));
        self.counts.truncate(self.most);
    }
}

/// Sums of counts, by how many intervals ago they were made.
#[derive(Debug, Clone)]
pub(crate) struct IntervalSums(Vec<u32>);

impl IntervalSums {
    /// Returns the events of the intervals that are this many before the current one.
    pub(crate) fn of(&self, back: RangeInclusive<usize>) -> u32 {
        let newer = back.start().checked_sub(1).map_or(0, |back| self.up_to(back));
        self.up_to(*back.end()).saturating_sub(newer)
    }

    /// Returns the events of the current interval and of this many before it.
    fn up_to(&self, back: usize) -> u32 {
        self.0.get(back).or(self.0.last()).copied().unwrap_or_default()
    }
}
