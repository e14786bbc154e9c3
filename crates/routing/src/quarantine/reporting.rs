//! Reports of terminations to peers.

use super::{Quarantine, QuarantinedSuspect, TerminationReport};
use crate::engine_key::EngineKey;
use crate::suspect::Suspect;
use mastbay_types::Timestamp;

/// Maximum number of reports per message, at about 40 bytes each.
const REPORTS_PER_MESSAGE: usize = 128;
/// Number of rounds between two reminders of quarantined suspects, for peers that missed the
/// reports or started later.
const ROUNDS_PER_REMINDER: u64 = 4;
/// Maximum number of quarantined suspects per reminder.
const SUSPECTS_PER_REMINDER: usize = 20;
/// Maximum number of terminations beyond the limit that are reported of a quarantined suspect. They
/// show how often it was probed, so that a router that starts doesn't probe it again soon.
const MAX_REPORTED_EXCESS: usize = 3;

impl Quarantine {
    /// Returns the reports to send to peers in the next round, usually none.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<TerminationReport> {
        self.round += 1;
        let due = self.pending_reports.next_round(REPORTS_PER_MESSAGE);
        due.into_iter()
            .filter_map(|(suspect, back_end)| self.report(now, suspect, back_end))
            .collect()
    }

    /// Returns reports that remind peers of quarantined suspects; empty in most rounds.
    pub fn next_reminder(&mut self, now: Timestamp) -> Vec<TerminationReport> {
        if self.is_empty() || !self.round.is_multiple_of(ROUNDS_PER_REMINDER) {
            return Vec::new();
        }
        let mut quarantined = self.quarantined(now);
        let begin = self.reminder_offset % quarantined.len().max(1);
        quarantined.rotate_left(begin);
        quarantined.truncate(SUSPECTS_PER_REMINDER);
        self.reminder_offset = begin + quarantined.len();
        self.reports_of(now, &quarantined)
    }

    /// Returns the reports of quarantined suspects for a new peer, limited to one message.
    pub fn reports_for_new_peer(&self, now: Timestamp) -> Vec<TerminationReport> {
        let mut reports = self.reports_of(now, &self.quarantined(now));
        reports.truncate(REPORTS_PER_MESSAGE);
        reports
    }

    /// Returns as many terminations of each suspect as quarantine it, and some that show how often
    /// it was probed.
    fn reports_of(
        &self,
        now: Timestamp,
        quarantined: &[QuarantinedSuspect],
    ) -> Vec<TerminationReport> {
        let reports = quarantined.iter().flat_map(|quarantined| {
            let back_ends =
                quarantined.back_ends.iter().take(self.limits.ends + MAX_REPORTED_EXCESS);
            back_ends.filter_map(|back_end| self.report(now, quarantined.suspect, *back_end))
        });
        reports.collect()
    }

    fn report(
        &self,
        now: Timestamp,
        suspect: Suspect,
        back_end: EngineKey,
    ) -> Option<TerminationReport> {
        let termination = self.suspects.get(&suspect)?.terminations.get(&back_end)?;
        let left = termination.until.since(now).as_millis();
        let counts_for_ms = u32::try_from(left).unwrap_or(u32::MAX);
        Some(TerminationReport {
            suspect,
            back_end,
            counts_for_ms,
            is_cleared: termination.is_cleared,
        })
    }
}
