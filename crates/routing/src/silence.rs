//! Back ends that have fallen silent: they accept connections and requests, and answer nothing.
//!
//! Each router that finds one reports it to its peers. It is excluded for a while, after which the
//! routers try it one after the other with a request, until one of them gets an answer.

use crate::back_end::BackEndId;
use crate::gossip::GossipQueue;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a back end is excluded when it is found silent; doubles with each trial that fails.
const INITIAL_EXCLUSION: Duration = Duration::from_millis(400);
/// Maximum time of exclusion.
const MAX_EXCLUSION: Duration = Duration::from_millis(3_000);
/// Time that a router leaves to the one before it for a trial and the report of its result.
const TRIAL_TIME: Duration = Duration::from_millis(800);
/// Number of routers that try a back end one after the other. All others follow together.
const TRIAL_POSITIONS: u32 = 4;
/// Time after the end of its exclusion, or its last answer, for which a back end is remembered.
const RETENTION: Duration = Duration::from_secs(10);

/// What a router has found out about a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SilenceFinding {
    /// It did not answer a request in time, and nothing else since that was sent.
    Silent,
    /// It sent something.
    Answered,
}

/// A finding as routers report it to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SilenceReport {
    /// The back end.
    pub back_end: BackEndId,
    /// What was found.
    pub finding: SilenceFinding,
    /// Time since the unanswered request was sent, or since something was received, in milliseconds.
    pub age_ms: u32,
}

/// What is known of one back end.
#[derive(Debug, Clone, Copy)]
struct Silence {
    /// When the last unanswered request was sent.
    since: Timestamp,
    /// When that was found.
    found: Timestamp,
    /// Number of trials that failed.
    failures: u32,
    excluded_until: Timestamp,
    /// When it sent something, after `since` if it has ended.
    answered: Timestamp,
}

impl Silence {
    fn has_ended(&self) -> bool {
        self.answered > self.since
    }

    /// Returns when it was last tried again or answered, at the latest.
    fn last_change(&self) -> Timestamp {
        self.excluded_until.max(self.answered)
    }
}

/// A finding with its time: when the unanswered request was sent, or something was received.
#[derive(Debug, Clone)]
struct DatedFinding {
    back_end: BackEndId,
    finding: SilenceFinding,
    at: Timestamp,
}

/// The back ends that this router or a peer has found silent.
#[derive(Debug, Default)]
pub struct SilentBackEnds {
    known: BTreeMap<BackEndId, Silence>,
    /// When the last answer was received with which this router contradicted a peer.
    contradicted: BTreeMap<BackEndId, Timestamp>,
    queue: GossipQueue<DatedFinding>,
}

impl SilentBackEnds {
    /// Returns whether no back end is known to be silent, or to have been lately.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records that a request sent at `since` was not answered in time, and nothing else arrived.
    /// `position` is this router's place in the order in which routers try the back end again.
    /// Returns whether that was not known.
    pub fn on_silent(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        since: Timestamp,
        position: u64,
    ) -> bool {
        self.known.retain(|_, known| now.since(known.last_change()) < RETENTION);
        let known = self.known.get(id);
        // Requests that were sent before the finding tell nothing new.
        if known.is_some_and(|known| since <= known.found.max(known.answered)) {
            return false;
        }
        let failures =
            known.filter(|known| !known.has_ended()).map_or(0, |known| known.failures + 1);
        let answered = known.map_or(Timestamp::ZERO, |known| known.answered);
        let excluded_until = now + exclusion(failures) + trial_delay(position);
        let silence = Silence { since, found: now, failures, excluded_until, answered };
        self.known.insert(id.clone(), silence);
        true
    }

    /// Records that something that the back end sent was received at `at`. Returns whether it was
    /// silent before.
    pub fn on_answered(&mut self, id: &BackEndId, at: Timestamp) -> bool {
        let Some(known) = self.known.get_mut(id) else { return false };
        let was_silent = !known.has_ended();
        known.answered = known.answered.max(at);
        was_silent && known.has_ended()
    }

    /// Returns whether a back end has sent nothing since it was found silent, tried again or not.
    pub fn is_silent(&self, id: &BackEndId) -> bool {
        self.known.get(id).is_some_and(|known| !known.has_ended())
    }

    /// Returns whether requests should be sent to other back ends.
    pub fn is_excluded(&self, now: Timestamp, id: &BackEndId) -> bool {
        self.known.get(id).is_some_and(|known| is_excluded(now, known))
    }

    /// Returns the excluded back ends.
    pub fn excluded(&self, now: Timestamp) -> impl Iterator<Item = &BackEndId> {
        self.known.iter().filter(move |(_, known)| is_excluded(now, known)).map(|(id, _)| id)
    }

    /// Adds a finding to those that are reported in the next rounds.
    pub fn report(
        &mut self,
        back_end: &BackEndId,
        finding: SilenceFinding,
        at: Timestamp,
        transmissions: u32,
    ) {
        let finding = DatedFinding { back_end: back_end.clone(), finding, at };
        self.queue.push(finding, transmissions);
    }

    /// Contradicts a peer that found a back end silent since `since`: something was received at
    /// `answered`. A finding is reported several times, and contradicted once.
    pub fn contradict(
        &mut self,
        id: &BackEndId,
        since: Timestamp,
        answered: Timestamp,
        transmissions: u32,
    ) {
        if self.contradicted.get(id).is_some_and(|last| *last > since) {
            return;
        }
        self.contradicted.insert(id.clone(), answered);
        self.report(id, SilenceFinding::Answered, answered, transmissions);
    }

    /// Returns the reports of one round, at most `max`.
    pub fn next_round(&mut self, now: Timestamp, max: usize) -> Vec<SilenceReport> {
        let report = |dated: DatedFinding| SilenceReport {
            back_end: dated.back_end,
            finding: dated.finding,
            age_ms: u32::try_from(now.since(dated.at).as_millis()).unwrap_or(u32::MAX),
        };
        self.queue.next_round(max).into_iter().map(report).collect()
    }
}

fn is_excluded(now: Timestamp, known: &Silence) -> bool {
    now < known.excluded_until && !known.has_ended()
}

fn exclusion(failures: u32) -> Duration {
    INITIAL_EXCLUSION.saturating_mul(1 << failures.min(8)).min(MAX_EXCLUSION)
}

fn trial_delay(position: u64) -> Duration {
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    TRIAL_TIME * position.min(TRIAL_POSITIONS)
}
