//! The engines to which this router recently sent each prefix. They include draining engines and
//! those chosen outside the prefix's order.

use crate::back_end::BackEndId;
use mastbay_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Engines remembered for one prefix.
const MAX_HOLDERS: usize = 4;
/// Remembered prefixes; when exceeded, all are dropped.
const MAX_PREFIXES: usize = 4_096;
/// Time after which an engine is no longer assumed to hold a prefix.
pub const HOLDER_TTL: Duration = Duration::from_secs(30);

/// Engines by prefix, the most recently used first.
#[derive(Debug, Default)]
pub struct PrefixHolders(HashMap<u64, Vec<(BackEndId, Timestamp)>>);

impl PrefixHolders {
    /// Records that a request with `prefix` was sent to an engine.
    pub fn record(&mut self, now: Timestamp, prefix: u64, id: &BackEndId) {
        if self.0.len() >= MAX_PREFIXES && !self.0.contains_key(&prefix) {
            self.0.clear();
        }
        let holders = self.0.entry(prefix).or_default();
        holders.retain(|(known, _)| known != id);
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(0, (id.clone(), now));
    }

    /// Returns the engines to which `prefix` was sent recently.
    pub fn of(&self, now: Timestamp, prefix: u64) -> impl Iterator<Item = &BackEndId> {
        let holders = self.0.get(&prefix).into_iter().flatten();
        holders.filter(move |(_, sent)| now.since(*sent) < HOLDER_TTL).map(|(id, _)| id)
    }
}
