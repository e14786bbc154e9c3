//! News that waits to be passed on, each item a limited number of times, the least passed on first.

use mastbay_types::ProcessId;
use std::collections::BTreeMap;

/// Members about which there is news, with the number of times it was passed on.
#[derive(Debug, Default)]
pub struct NewsBuffer {
    passed_on: BTreeMap<ProcessId, u32>,
}

impl NewsBuffer {
    /// Begins to pass on news about `process`, anew if there was older news.
    pub fn add(&mut self, process: &ProcessId) {
        self.passed_on.insert(process.clone(), 0);
    }

    /// Up to `most` members to mention now; each is dropped after `times` mentions.
    pub fn take(&mut self, most: usize, times: u32) -> Vec<ProcessId> {
        let mut by_use: Vec<(u32, ProcessId)> =
            self.passed_on.iter().map(|(process, count)| (*count, process.clone())).collect();
        by_use.sort();
        by_use.truncate(most);
        for (count, process) in &by_use {
            if count + 1 >= times {
                self.passed_on.remove(process);
            } else {
                self.passed_on.insert(process.clone(), count + 1);
            }
        }
        by_use.into_iter().map(|(_, process)| process).collect()
    }
}
