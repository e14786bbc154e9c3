//! What a router tells others of ends, and when.

use super::{Quarantine, QuarantinedRequest, TerminationReport};
use crate::fingerprint::RequestFingerprint;
use crate::load_stats::EngineKey;
use mastbay_types::Timestamp;

/// Reports in one message; each takes some 40 bytes.
const REPORTS_PER_MESSAGE: usize = 128;
/// Rounds between two messages that tell of quarantined requests again, to whoever missed them or started since.
const ROUNDS_PER_REMINDER: u64 = 4;
/// Quarantined requests in one such message.
const REQUESTS_PER_REMINDER: usize = 24;

impl Quarantine {
    /// What this router tells others in one round; often nothing.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<TerminationReport> {
        self.round += 1;
        let due = self.news.next_round(REPORTS_PER_MESSAGE);
        due.into_iter()
            .filter_map(|(request, back_end)| self.report(now, request, back_end))
            .collect()
    }

    /// What reminds others of requests that are quarantined; nothing in most rounds.
    pub fn next_reminder(&mut self, now: Timestamp) -> Vec<TerminationReport> {
        if self.is_empty() || !self.round.is_multiple_of(ROUNDS_PER_REMINDER) {
            return Vec::new();
        }
        let mut quarantined = self.quarantined(now);
        let begin = self.reminded % quarantined.len().max(1);
        quarantined.rotate_left(begin);
        quarantined.truncate(REQUESTS_PER_REMINDER);
        self.reminded = begin + quarantined.len();
        self.reports_of(now, &quarantined)
    }

    /// What a router must know that has just come: the requests that are quarantined, as many as one message holds.
    pub fn reports_for_new_peer(&self, now: Timestamp) -> Vec<TerminationReport> {
        let mut reports = self.reports_of(now, &self.quarantined(now));
        reports.truncate(REPORTS_PER_MESSAGE);
        reports
    }

    /// As many ends of each request as quarantine it, and one more: it tells that it was probed.
    fn reports_of(
        &self,
        now: Timestamp,
        quarantined: &[QuarantinedRequest],
    ) -> Vec<TerminationReport> {
        let reports = quarantined.iter().flat_map(|quarantined| {
            let ends = quarantined.back_ends.iter().take(self.limits.ends + 1);
            ends.filter_map(|back_end| self.report(now, quarantined.request, *back_end))
        });
        reports.collect()
    }

    fn report(
        &self,
        now: Timestamp,
        request: RequestFingerprint,
        back_end: EngineKey,
    ) -> Option<TerminationReport> {
        let end = self.requests.get(&request)?.ends.get(&back_end)?;
        let left = end.until.since(now).as_millis();
        let counts_for_ms = u32::try_from(left).unwrap_or(u32::MAX);
        Some(TerminationReport { request, back_end, counts_for_ms, is_cleared: end.is_cleared })
    }
}
