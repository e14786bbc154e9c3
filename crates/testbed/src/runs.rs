//! Runs of requests that a plain service recorded.

use std::collections::BTreeMap;

/// Number of runs by request id and by idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Runs {
    /// Number of runs by request id.
    pub by_request: BTreeMap<String, u32>,
    /// Number of runs by idempotency key.
    pub by_key: BTreeMap<String, u32>,
}

impl Runs {
    /// Parses a record: one line with request id and key, `-` for none, for each run.
    pub fn read(record: &str) -> Self {
        let mut runs = Self::default();
        for (request, key) in record.lines().filter_map(|line| line.split_once(' ')) {
            *runs.by_request.entry(request.to_owned()).or_default() += 1;
            if key != "-" {
                *runs.by_key.entry(key.to_owned()).or_default() += 1;
            }
        }
        runs
    }

    /// Returns the number of runs with an idempotency key.
    pub fn of_key(&self, key: &str) -> u32 {
        self.by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of runs of a request.
    pub fn of_request(&self, request: &str) -> u32 {
        self.by_request.get(request).copied().unwrap_or(0)
    }

    /// Returns the number of all runs.
    pub fn total(&self) -> u32 {
        self.by_request.values().sum()
    }
}
