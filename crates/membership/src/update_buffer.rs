//! Queue of membership updates to disseminate. Each update is sent a limited number of times, the
//! least often sent first.

use mastbay_types::ProcessId;
use std::collections::BTreeMap;

/// Members with pending updates and the number of times each update was sent.
#[derive(Debug, Default)]
pub struct UpdateBuffer {
    transmissions: BTreeMap<ProcessId, u32>,
}

impl UpdateBuffer {
    /// Queues an update about `process`, resetting its transmission count if one is already queued.
    pub fn add(&mut self, process: &ProcessId) {
        self.transmissions.insert(process.clone(), 0);
    }

    /// Returns up to `max_updates` members to include in a packet. An update is dropped after
    /// `max_transmissions` transmissions.
    pub fn take(&mut self, max_updates: usize, max_transmissions: u32) -> Vec<ProcessId> {
        let mut by_count: Vec<(u32, ProcessId)> =
            self.transmissions.iter().map(|(process, count)| (*count, process.clone())).collect();
        by_count.sort();
        by_count.truncate(max_updates);
        for (count, process) in &by_count {
            if count + 1 >= max_transmissions {
                self.transmissions.remove(process);
            } else {
                self.transmissions.insert(process.clone(), count + 1);
            }
        }
        by_count.into_iter().map(|(_, process)| process).collect()
    }
}
