//! State of the simulated object API: versions, conditional updates, rate limits and faults.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Rate limits, in calls per second.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Limit of writes.
    pub writes_per_second: u32,
    /// Limit of reads, including watches.
    pub reads_per_second: u32,
}

/// Faults that tests inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails with 503 and has no effect.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Reads return the version before the latest.
    pub stale_reads: bool,
}

/// Number of calls since the start of the process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Reads, including watches.
    pub reads: u64,
    /// Writes, including failed ones.
    pub writes: u64,
    /// Calls rejected by the rate limit.
    pub refused: u64,
    /// Largest number of writes within one second.
    pub peak_writes_per_second: u32,
}

/// Latest and previous version of an object.
#[derive(Debug, Clone)]
pub struct Stored {
    /// Latest version, starting from 1.
    pub version: u64,
    /// Value of the latest version.
    pub value: Bytes,
    previous: Option<(u64, Bytes)>,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object has this version.
    Version(u64),
    /// The object does not exist.
    Absent,
    /// Always holds.
    None,
}

/// Number of calls in the current second.
#[derive(Debug)]
struct RateWindow {
    started: Instant,
    calls: u32,
}

impl RateWindow {
    fn admit(&mut self, limit: u32) -> bool {
        if self.started.elapsed() >= Duration::from_secs(1) {
            *self = RateWindow { started: Instant::now(), calls: 0 };
        }
        self.calls += 1;
        self.calls <= limit
    }
}

/// Objects with their rate limits and faults.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    /// Faults that are injected at present.
    pub faults: Faults,
    /// Calls since the start of the process.
    pub counts: Counts,
    objects: BTreeMap<String, Stored>,
    reads: RateWindow,
    writes: RateWindow,
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        let window = || RateWindow { started: Instant::now(), calls: 0 };
        Self {
            limits,
            faults: Faults::default(),
            counts: Counts::default(),
            objects: BTreeMap::new(),
            reads: window(),
            writes: window(),
        }
    }

    /// Counts a read. Returns false if it exceeds the rate limit.
    pub fn admit_read(&mut self) -> bool {
        self.counts.reads += 1;
        let admitted = self.reads.admit(self.limits.reads_per_second);
        self.counts.refused += u64::from(!admitted);
        admitted
    }

    /// Counts a write. Returns false if it exceeds the rate limit.
    pub fn admit_write(&mut self) -> bool {
        self.counts.writes += 1;
        let admitted = self.writes.admit(self.limits.writes_per_second);
        self.counts.refused += u64::from(!admitted);
        self.counts.peak_writes_per_second =
            self.counts.peak_writes_per_second.max(self.writes.calls);
        admitted
    }

    /// Returns version and value of an object; those of the previous version while reads are stale.
    pub fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        let stored = self.objects.get(key)?;
        match (&stored.previous, self.faults.stale_reads) {
            (Some(previous), true) => Some(previous.clone()),
            _ => Some((stored.version, stored.value.clone())),
        }
    }

    /// Writes an object and returns its new version; `None` if the precondition does not hold.
    pub fn write(&mut self, key: &str, value: Bytes, precondition: Precondition) -> Option<u64> {
        let current = self.objects.get(key);
        let holds = match precondition {
            Precondition::Version(version) => {
                current.is_some_and(|stored| stored.version == version)
            }
            Precondition::Absent => current.is_none(),
            Precondition::None => true,
        };
        if !holds {
            return None;
        }
        let previous = current.map(|stored| (stored.version, stored.value.clone()));
        let version = previous.as_ref().map_or(1, |(version, _)| version + 1);
        self.objects.insert(key.to_owned(), Stored { version, value, previous });
        Some(version)
    }

    /// Returns whether the answer to the current write is to be lost, and counts it.
    pub fn loses_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }
}
