//! The quarantine of a request that holds several suspects: itself and the parts of its prompt.

use super::{ProbeSlot, Quarantine, QuarantineStatus};
use crate::engine_key::EngineKey;
use crate::suspect::Suspect;
use mastbay_types::Timestamp;

impl Quarantine {
    /// Returns the status of a request that holds `suspects`: the strictest of theirs. A request
    /// is let through if its quarantined parts are explained by suspects that it doesn't hold,
    /// since it shows which of them is the cause.
    pub fn status_of(&self, now: Timestamp, suspects: &[Suspect]) -> QuarantineStatus {
        let quarantined = self.quarantined_of(now, suspects);
        let strictest = quarantined.iter().map(|suspect| self.status(now, *suspect));
        match strictest.max_by_key(QuarantineStatus::retry_after) {
            Some(_) if self.are_explained_by_others(now, &quarantined, suspects) => {
                QuarantineStatus::Suspect
            }
            Some(status) => status,
            None if self.main_suspect(now, suspects).is_some() => QuarantineStatus::Suspect,
            None => QuarantineStatus::Clear,
        }
    }

    /// Returns the one of `suspects` with the most terminations; `None` if there are none.
    pub fn main_suspect(&self, now: Timestamp, suspects: &[Suspect]) -> Option<Suspect> {
        let terminations =
            suspects.iter().map(|suspect| (self.terminations(now, *suspect), *suspect));
        let (count, suspect) = terminations.max()?;
        (count > 0).then_some(suspect)
    }

    /// Lets a request that holds quarantined suspects through as a probe of the one among them that
    /// is to wait longest, see [`Self::take_probe`]. Returns that one if it does.
    pub fn take_probe_of(
        &mut self,
        now: Timestamp,
        suspects: &[Suspect],
        slot_of: impl Fn(Suspect) -> ProbeSlot,
    ) -> Option<Suspect> {
        let quarantined = self.quarantined_of(now, suspects);
        let probed = quarantined
            .into_iter()
            .max_by_key(|suspect| self.status(now, *suspect).retry_after())?;
        let slot = slot_of(self.probe_key(probed));
        self.take_probe(now, probed, slot).then_some(probed)
    }

    fn quarantined_of(&self, now: Timestamp, suspects: &[Suspect]) -> Vec<Suspect> {
        let is_quarantined = |suspect: &&Suspect| {
            matches!(self.status(now, **suspect), QuarantineStatus::Quarantined { .. })
        };
        suspects.iter().filter(is_quarantined).copied().collect()
    }

    /// Returns whether the quarantined suspects of a request are parts, each of whose terminations
    /// also counts against a quarantined suspect that the request doesn't hold.
    fn are_explained_by_others(
        &self,
        now: Timestamp,
        quarantined: &[Suspect],
        held: &[Suspect],
    ) -> bool {
        let others: Vec<EngineKey> = self
            .quarantined(now)
            .into_iter()
            .filter(|other| !held.contains(&other.suspect))
            .flat_map(|other| other.back_ends)
            .collect();
        quarantined.iter().all(|suspect| {
            suspect.is_prompt_part()
                && self.counted_back_ends(now, *suspect).iter().all(|end| others.contains(end))
        })
    }

    fn counted_back_ends(&self, now: Timestamp, suspect: Suspect) -> Vec<EngineKey> {
        let suspicion = self.suspects.get(&suspect);
        let counted = suspicion.into_iter().flat_map(|suspicion| suspicion.counted(now));
        counted.map(|(back_end, _)| *back_end).collect()
    }
}
