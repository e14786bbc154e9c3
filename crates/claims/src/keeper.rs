//! The side that reads and writes shard objects, many claims to a write.

use crate::record::{
    ClaimAnswer, ClaimRecord, ClaimRequest, ClaimShard, ClaimState, Intent, ShardIndex, Verdict,
};
use mastbay_types::{ProcessId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of a [`ClaimKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperConfig {
    /// Least time between two operations of this keeper, over all shards: its share of the
    /// platform's rate.
    pub spacing: Duration,
    /// How long a wish is tried before it is answered with [`Verdict::Unavailable`].
    pub patience: Duration,
    /// Pause after the platform failed, doubled each time up to `longest_pause`.
    pub first_pause: Duration,
    /// Longest pause between tries.
    pub longest_pause: Duration,
    /// How long a note that nobody waits for may wait for a write to ride on.
    pub note_delay: Duration,
    /// How long another's claim is believed from memory.
    pub memory: Duration,
    /// How long a claim is kept.
    pub retention: Duration,
}

impl Default for KeeperConfig {
    fn default() -> Self {
        Self {
            spacing: Duration::from_millis(20),
            patience: Duration::from_millis(2_000),
            first_pause: Duration::from_millis(50),
            longest_pause: Duration::from_millis(800),
            note_delay: Duration::from_millis(500),
            memory: Duration::from_millis(500),
            retention: Duration::from_secs(7_200),
        }
    }
}

/// What to do with a shard object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationKind {
    /// Read it.
    Read,
    /// Write it if its version is still `expected`; `None` means that it must not exist.
    Write {
        /// The version that the value was worked out from.
        expected: Option<u64>,
        /// The new value.
        value: Vec<u8>,
    },
}

/// One call to the platform, to be answered by [`ClaimKeeper::handle_read`] or
/// [`ClaimKeeper::handle_write`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// The shard.
    pub shard: ShardIndex,
    /// What to do.
    pub kind: OperationKind,
}

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The object's version is another: nothing was written.
    Conflict,
    /// No answer: it may have been written or not.
    NoAnswer,
}

#[derive(Debug)]
struct Pending {
    from: ProcessId,
    wish: ClaimRequest,
    since: Timestamp,
}

#[derive(Debug)]
struct Confirmed {
    version: Option<u64>,
    contents: ClaimShard,
    at: Timestamp,
}

#[derive(Debug, Default)]
struct Shard {
    confirmed: Option<Confirmed>,
    /// What the write under way will store.
    draft: Option<ClaimShard>,
    busy: bool,
    pending: Vec<Pending>,
    failures: u32,
    not_before: Timestamp,
}

/// Keeps the claims of the shards that others bring to it.
#[derive(Debug)]
pub struct ClaimKeeper {
    config: KeeperConfig,
    shards: BTreeMap<ShardIndex, Shard>,
    answers: Vec<(ProcessId, ClaimAnswer)>,
    next_operation: Timestamp,
}

impl ClaimKeeper {
    /// A keeper that knows no claim.
    pub fn new(config: KeeperConfig) -> Self {
        Self {
            config,
            shards: BTreeMap::new(),
            answers: Vec::new(),
            next_operation: Timestamp::ZERO,
        }
    }

    /// Sets this keeper's share of the platform's rate.
    pub fn set_spacing(&mut self, spacing: Duration) {
        self.config.spacing = spacing;
    }

    /// Takes a wish. A wish already pending is not noted twice.
    pub fn handle_wish(&mut self, now: Timestamp, from: &ProcessId, wish: ClaimRequest) {
        let shard = self.shards.entry(wish.key.shard()).or_default();
        let same = |pending: &Pending| pending.wish == wish && pending.from == *from;
        if shard.pending.iter().any(same) {
            return;
        }
        shard.pending.push(Pending { from: from.clone(), wish, since: now });
    }

    /// The next call to make, if one is due. `unix_time` is in seconds.
    pub fn poll(&mut self, now: Timestamp, unix_time: u64) -> Option<Operation> {
        self.give_up(now);
        if now < self.next_operation {
            return None;
        }
        let due: Vec<ShardIndex> = self.shards.keys().copied().collect();
        let operation = due.into_iter().find_map(|shard| self.poll_shard(now, unix_time, shard))?;
        self.next_operation = now + self.config.spacing;
        Some(operation)
    }

    fn poll_shard(
        &mut self,
        now: Timestamp,
        unix_time: u64,
        index: ShardIndex,
    ) -> Option<Operation> {
        let config = self.config.clone();
        let shard = self.shards.get_mut(&index)?;
        if shard.busy || now < shard.not_before || !shard.is_due(now, config.note_delay) {
            return None;
        }
        if shard.confirmed.is_some() {
            shard.answer_settled(now, config.memory, &mut self.answers);
        }
        if shard.pending.is_empty() {
            return None;
        }
        shard.busy = true;
        let kind = shard.next_operation(unix_time, &config);
        Some(Operation { shard: index, kind })
    }

    /// Takes the outcome of a read: `Ok(None)` if the object does not exist, and an error if the
    /// platform did not answer.
    pub fn handle_read(
        &mut self,
        now: Timestamp,
        index: ShardIndex,
        outcome: Result<Option<(u64, ClaimShard)>, CallFailure>,
    ) {
        let (memory, pause) = (self.config.memory, self.pause(index));
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        shard.busy = false;
        match outcome {
            Ok(found) => {
                shard.failures = 0;
                let (version, contents) = match found {
                    Some((version, contents)) => (Some(version), contents),
                    None => (None, ClaimShard::default()),
                };
                shard.confirmed = Some(Confirmed { version, contents, at: now });
                shard.answer_settled(now, memory, &mut self.answers);
            }
            Err(_) => shard.back_off(now, pause),
        }
    }

    /// Takes the outcome of a write: the object's new version.
    pub fn handle_write(
        &mut self,
        now: Timestamp,
        index: ShardIndex,
        outcome: Result<u64, CallFailure>,
    ) {
        let (memory, pause) = (self.config.memory, self.pause(index));
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        shard.busy = false;
        let draft = shard.draft.take();
        shard.confirmed = None;
        match (outcome, draft) {
            (Ok(version), Some(contents)) => {
                shard.failures = 0;
                shard.confirmed = Some(Confirmed { version: Some(version), contents, at: now });
                shard.answer_settled(now, memory, &mut self.answers);
            }
            // Read back: another wrote in between, or our own write may have taken effect.
            (Err(CallFailure::Conflict), _) => {}
            (Err(CallFailure::NoAnswer), _) | (Ok(_), None) => shard.back_off(now, pause),
        }
    }

    /// Answers that are ready to be sent.
    pub fn take_answers(&mut self) -> Vec<(ProcessId, ClaimAnswer)> {
        std::mem::take(&mut self.answers)
    }

    /// When [`ClaimKeeper::poll`] should be called next.
    pub fn next_timeout(&self, now: Timestamp) -> Timestamp {
        let waiting = self.shards.values().any(|shard| !shard.pending.is_empty());
        if waiting {
            (now + self.config.spacing).max(self.next_operation)
        } else {
            Timestamp::NEVER
        }
    }

    fn pause(&self, index: ShardIndex) -> Duration {
        let failures = self.shards.get(&index).map_or(0, |shard| shard.failures);
        let factor = 1_u32.checked_shl(failures.min(16)).unwrap_or(u32::MAX);
        self.config.first_pause.saturating_mul(factor).min(self.config.longest_pause)
    }

    fn give_up(&mut self, now: Timestamp) {
        let patience = self.config.patience;
        for shard in self.shards.values_mut() {
            let late = |pending: &mut Pending| now.since(pending.since) >= patience;
            for pending in shard.pending.extract_if(.., late) {
                let answer = ClaimAnswer { wish: pending.wish, verdict: Verdict::Unavailable };
                self.answers.push((pending.from, answer));
            }
        }
    }
}

impl Shard {
    /// Whether anyone waits for an answer, or a note has waited long enough.
    fn is_due(&self, now: Timestamp, note_delay: Duration) -> bool {
        self.pending.iter().any(|pending| {
            pending.wish.intent == Intent::Take || now.since(pending.since) >= note_delay
        })
    }

    fn back_off(&mut self, now: Timestamp, pause: Duration) {
        self.failures += 1;
        self.not_before = now + pause;
        self.confirmed = None;
    }

    /// Answers all wishes that the confirmed contents settle.
    fn answer_settled(
        &mut self,
        now: Timestamp,
        memory: Duration,
        answers: &mut Vec<(ProcessId, ClaimAnswer)>,
    ) {
        let Some(confirmed) = &self.confirmed else {
            return;
        };
        let fresh = now.since(confirmed.at) < memory;
        let contents = &confirmed.contents;
        let mut stale = false;
        self.pending.retain(|pending| {
            let verdict = match settle(contents, &pending.wish) {
                Settled::Open => return true,
                // Another's claim may have been released since.
                Settled::As(Verdict::Taken { .. }) if !fresh => {
                    stale = true;
                    return true;
                }
                Settled::As(verdict) => verdict,
            };
            answers
                .push((pending.from.clone(), ClaimAnswer { wish: pending.wish.clone(), verdict }));
            false
        });
        if stale {
            self.confirmed = None;
        }
    }

    fn next_operation(&mut self, unix_time: u64, config: &KeeperConfig) -> OperationKind {
        let Some(confirmed) = &self.confirmed else {
            return OperationKind::Read;
        };
        let mut draft = confirmed.contents.clone();
        draft.records.retain(|_, record| record.expires > unix_time);
        let expires = unix_time + config.retention.as_secs();
        for pending in &self.pending {
            apply(&mut draft, &pending.wish, expires);
        }
        let (expected, value) = (confirmed.version, draft.encode());
        self.draft = Some(draft);
        OperationKind::Write { expected, value }
    }
}

enum Settled {
    /// A write is needed.
    Open,
    /// The contents decide.
    As(Verdict),
}

fn settle(contents: &ClaimShard, wish: &ClaimRequest) -> Settled {
    let record = contents.records.get(&wish.key);
    let own = record.filter(|record| record.request == wish.request);
    match (wish.intent, own, record) {
        (Intent::Take, Some(own), _) if own.state != ClaimState::Released => {
            Settled::As(Verdict::Kept)
        }
        // A request that was released is over: its late wish must not take the claim again.
        (Intent::Take, Some(own), _) => {
            Settled::As(Verdict::Taken { by: own.request, state: own.state })
        }
        (Intent::Take, None, Some(other)) if other.state != ClaimState::Released => {
            Settled::As(Verdict::Taken { by: other.request, state: other.state })
        }
        (Intent::Take, None, _) => Settled::Open,
        // Notes about a claim that the request does not hold have nothing to change.
        (Intent::Release | Intent::Complete { .. }, None, _) => Settled::As(Verdict::Kept),
        (Intent::Release, Some(own), _) if own.state != ClaimState::Held => {
            Settled::As(Verdict::Kept)
        }
        (Intent::Complete { .. }, Some(own), _) if own.state != ClaimState::Held => {
            Settled::As(Verdict::Kept)
        }
        _ => Settled::Open,
    }
}

fn apply(draft: &mut ClaimShard, wish: &ClaimRequest, expires: u64) {
    if matches!(settle(draft, wish), Settled::As(_)) {
        return;
    }
    let state = match wish.intent {
        Intent::Take => ClaimState::Held,
        Intent::Release => ClaimState::Released,
        Intent::Complete { status } => ClaimState::Completed { status },
    };
    let record = ClaimRecord { request: wish.request, state, expires };
    draft.records.insert(wish.key.clone(), record);
}
