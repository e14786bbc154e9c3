//! The object API's state: versions, conditional updates, rates and faults.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Calls allowed each second.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Writes.
    pub writes_per_second: u32,
    /// Reads, watches included.
    pub reads_per_second: u32,
}

/// Faults that are switched on from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails with 503 and has no effect.
    pub down: bool,
    /// Milliseconds before each call takes effect.
    pub delay_ms: u64,
    /// Writes that take effect without an answer; counted down.
    pub lose_answers: u32,
    /// Reads give the version before the latest.
    pub stale_reads: bool,
}

/// Calls since the start.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Reads, watches included.
    pub reads: u64,
    /// Writes, whatever became of them.
    pub writes: u64,
    /// Calls refused for the rate.
    pub refused: u64,
    /// Most writes within one second.
    pub peak_writes_per_second: u32,
}

/// An object with the version before it.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The version.
    pub version: u64,
    /// The value.
    pub value: Bytes,
    before: Option<(u64, Bytes)>,
}

/// What a write requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Required {
    /// This version.
    Version(u64),
    /// That the object does not exist.
    Absent,
    /// Nothing.
    Nothing,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    calls: u32,
}

impl Window {
    fn admit(&mut self, limit: u32) -> bool {
        if self.began.elapsed() >= Duration::from_secs(1) {
            *self = Window { began: Instant::now(), calls: 0 };
        }
        self.calls += 1;
        self.calls <= limit
    }
}

/// The store.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    /// Faults in force.
    pub faults: Faults,
    /// Calls so far.
    pub counts: Counts,
    objects: BTreeMap<String, Stored>,
    reads: Window,
    writes: Window,
}

impl Store {
    /// An empty store.
    pub fn new(limits: Limits) -> Self {
        let window = || Window { began: Instant::now(), calls: 0 };
        Self {
            limits,
            faults: Faults::default(),
            counts: Counts::default(),
            objects: BTreeMap::new(),
            reads: window(),
            writes: window(),
        }
    }

    /// Counts a read. `false` if the rate is used up.
    pub fn admit_read(&mut self) -> bool {
        self.counts.reads += 1;
        let admitted = self.reads.admit(self.limits.reads_per_second);
        self.counts.refused += u64::from(!admitted);
        admitted
    }

    /// Counts a write. `false` if the rate is used up.
    pub fn admit_write(&mut self) -> bool {
        self.counts.writes += 1;
        let admitted = self.writes.admit(self.limits.writes_per_second);
        self.counts.refused += u64::from(!admitted);
        self.counts.peak_writes_per_second =
            self.counts.peak_writes_per_second.max(self.writes.calls);
        admitted
    }

    /// Reads an object, or the version before it while reads are stale.
    pub fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        let stored = self.objects.get(key)?;
        match (&stored.before, self.faults.stale_reads) {
            (Some(before), true) => Some(before.clone()),
            _ => Some((stored.version, stored.value.clone())),
        }
    }

    /// Writes an object. `None` if what is required does not hold.
    pub fn write(&mut self, key: &str, value: Bytes, required: Required) -> Option<u64> {
        let current = self.objects.get(key);
        let holds = match required {
            Required::Version(version) => current.is_some_and(|stored| stored.version == version),
            Required::Absent => current.is_none(),
            Required::Nothing => true,
        };
        if !holds {
            return None;
        }
        let before = current.map(|stored| (stored.version, stored.value.clone()));
        let version = before.as_ref().map_or(1, |(version, _)| version + 1);
        self.objects.insert(key.to_owned(), Stored { version, value, before });
        Some(version)
    }

    /// Whether the answer to the write just made is to be lost.
    pub fn loses_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }
}
