//! Reads and writes the shard objects, with many claims per write.

use crate::record::{
    ClaimAnswer, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimShard, ClaimState, Intent,
    ShardIndex,
};
use mastbay_types::{ProcessId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of a [`ClaimKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperConfig {
    /// Minimum time between two operations of this keeper over all shards: its share of the
    /// platform's rate limit.
    pub spacing: Duration,
    /// Time after which a request is answered with [`ClaimOutcome::Unavailable`].
    pub timeout: Duration,
    /// Backoff after the first failure of the platform, doubled with each further one up to
    /// `max_backoff`.
    pub initial_backoff: Duration,
    /// Maximum backoff.
    pub max_backoff: Duration,
    /// Time for which releases and completions wait to share a write with claims.
    pub background_delay: Duration,
    /// Time for which a claim of another request is answered from the cached shard.
    pub cache_ttl: Duration,
    /// Time for which a claim is stored.
    pub retention: Duration,
}

impl Default for KeeperConfig {
    fn default() -> Self {
        Self {
            spacing: Duration::from_millis(20),
            timeout: Duration::from_millis(2_000),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(800),
            background_delay: Duration::from_millis(500),
            cache_ttl: Duration::from_millis(500),
            retention: Duration::from_secs(7_200),
        }
    }
}

/// Kind of an operation on a shard object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationKind {
    /// Read the object.
    Read,
    /// Write the object if its version is still `expected`; `None` if it must not exist.
    Write {
        /// The version that the value was derived from.
        expected: Option<u64>,
        /// The new value.
        value: Vec<u8>,
    },
}

/// A call to the platform; its result must be passed to [`ClaimKeeper::handle_read`] or
/// [`ClaimKeeper::handle_write`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// The shard.
    pub shard: ShardIndex,
    /// Kind of the operation.
    pub kind: OperationKind,
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The object has a different version; nothing was written.
    Conflict,
    /// No answer was received; the write may have taken effect.
    NoAnswer,
}

#[derive(Debug)]
struct Pending {
    from: ProcessId,
    request: ClaimRequest,
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
    /// Contents of the write in flight.
    draft: Option<ClaimShard>,
    busy: bool,
    pending: Vec<Pending>,
    failures: u32,
    not_before: Timestamp,
}

/// Stores the claims that gateways request.
#[derive(Debug)]
pub struct ClaimKeeper {
    config: KeeperConfig,
    shards: BTreeMap<ShardIndex, Shard>,
    answers: Vec<(ProcessId, ClaimAnswer)>,
    next_operation: Timestamp,
}

impl ClaimKeeper {
    /// Creates a keeper without cached shards.
    pub fn new(config: KeeperConfig) -> Self {
        Self {
            config,
            shards: BTreeMap::new(),
            answers: Vec::new(),
            next_operation: Timestamp::ZERO,
        }
    }

    /// Sets the minimum time between two operations, see [`KeeperConfig::spacing`].
    pub fn set_spacing(&mut self, spacing: Duration) {
        self.config.spacing = spacing;
    }

    /// Adds a request of a gateway unless it is already pending.
    pub fn handle_request(&mut self, now: Timestamp, from: &ProcessId, request: ClaimRequest) {
        let shard = self.shards.entry(request.key.shard()).or_default();
        let same = |pending: &Pending| pending.request == request && pending.from == *from;
        if shard.pending.iter().any(same) {
            return;
        }
        shard.pending.push(Pending { from: from.clone(), request, since: now });
    }

    /// Returns the next operation, if one is due. `unix_time` is in seconds.
    pub fn poll(&mut self, now: Timestamp, unix_time: u64) -> Option<Operation> {
        self.expire_pending(now);
        if now < self.next_operation {
            return None;
        }
        let indexes: Vec<ShardIndex> = self.shards.keys().copied().collect();
        let operation =
            indexes.into_iter().find_map(|shard| self.poll_shard(now, unix_time, shard))?;
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
        if shard.busy || now < shard.not_before || !shard.is_due(now, config.background_delay) {
            return None;
        }
        if shard.confirmed.is_some() {
            shard.answer_decided(now, config.cache_ttl, &mut self.answers);
        }
        if shard.pending.is_empty() {
            return None;
        }
        shard.busy = true;
        let kind = shard.next_operation(unix_time, &config);
        Some(Operation { shard: index, kind })
    }

    /// Handles the result of a read: `Ok(None)` if the object does not exist, an error if the
    /// platform did not answer.
    pub fn handle_read(
        &mut self,
        now: Timestamp,
        index: ShardIndex,
        outcome: Result<Option<(u64, ClaimShard)>, CallFailure>,
    ) {
        let (cache_ttl, backoff) = (self.config.cache_ttl, self.backoff(index));
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
                shard.answer_decided(now, cache_ttl, &mut self.answers);
            }
            Err(_) => shard.back_off(now, backoff),
        }
    }

    /// Handles the result of a write: the new version of the object.
    pub fn handle_write(
        &mut self,
        now: Timestamp,
        index: ShardIndex,
        outcome: Result<u64, CallFailure>,
    ) {
        let (cache_ttl, backoff) = (self.config.cache_ttl, self.backoff(index));
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
                shard.answer_decided(now, cache_ttl, &mut self.answers);
            }
            // The shard is read again: another keeper wrote it, or this write took effect.
            (Err(CallFailure::Conflict), _) => {}
            (Err(CallFailure::NoAnswer), _) | (Ok(_), None) => shard.back_off(now, backoff),
        }
    }

    /// Takes the answers that are ready to be sent.
    pub fn take_answers(&mut self) -> Vec<(ProcessId, ClaimAnswer)> {
        std::mem::take(&mut self.answers)
    }

    /// Returns the time at which [`ClaimKeeper::poll`] must be called next.
    pub fn next_timeout(&self, now: Timestamp) -> Timestamp {
        let has_pending = self.shards.values().any(|shard| !shard.pending.is_empty());
        if has_pending {
            (now + self.config.spacing).max(self.next_operation)
        } else {
            Timestamp::NEVER
        }
    }

    fn backoff(&self, index: ShardIndex) -> Duration {
        let failures = self.shards.get(&index).map_or(0, |shard| shard.failures);
        let factor = 1_u32.checked_shl(failures.min(16)).unwrap_or(u32::MAX);
        self.config.initial_backoff.saturating_mul(factor).min(self.config.max_backoff)
    }

    fn expire_pending(&mut self, now: Timestamp) {
        let timeout = self.config.timeout;
        for shard in self.shards.values_mut() {
            let has_timed_out = |pending: &mut Pending| now.since(pending.since) >= timeout;
            for pending in shard.pending.extract_if(.., has_timed_out) {
                let answer =
                    ClaimAnswer { request: pending.request, outcome: ClaimOutcome::Unavailable };
                self.answers.push((pending.from, answer));
            }
        }
    }
}

impl Shard {
    /// Returns whether a claim is requested, or a release or completion has waited long enough.
    fn is_due(&self, now: Timestamp, background_delay: Duration) -> bool {
        self.pending.iter().any(|pending| {
            pending.request.intent == Intent::Take || now.since(pending.since) >= background_delay
        })
    }

    fn back_off(&mut self, now: Timestamp, backoff: Duration) {
        self.failures += 1;
        self.not_before = now + backoff;
        self.confirmed = None;
    }

    /// Answers all requests that the confirmed contents decide.
    fn answer_decided(
        &mut self,
        now: Timestamp,
        cache_ttl: Duration,
        answers: &mut Vec<(ProcessId, ClaimAnswer)>,
    ) {
        let Some(confirmed) = &self.confirmed else {
            return;
        };
        let is_fresh = now.since(confirmed.at) < cache_ttl;
        let contents = &confirmed.contents;
        let mut is_stale = false;
        self.pending.retain(|pending| {
            let outcome = match resolve(contents, &pending.request) {
                Resolution::NeedsWrite => return true,
                // The other request may have released its claim since.
                Resolution::Decided(ClaimOutcome::Taken { .. }) if !is_fresh => {
                    is_stale = true;
                    return true;
                }
                Resolution::Decided(outcome) => outcome,
            };
            answers.push((
                pending.from.clone(),
                ClaimAnswer { request: pending.request.clone(), outcome },
            ));
            false
        });
        if is_stale {
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
            apply(&mut draft, &pending.request, expires);
        }
        let (expected, value) = (confirmed.version, draft.encode());
        self.draft = Some(draft);
        OperationKind::Write { expected, value }
    }
}

enum Resolution {
    /// A write is needed.
    NeedsWrite,
    /// The stored contents determine the outcome.
    Decided(ClaimOutcome),
}

fn resolve(contents: &ClaimShard, request: &ClaimRequest) -> Resolution {
    let record = contents.records.get(&request.key);
    let own = record.filter(|record| record.request == request.request);
    match (request.intent, own, record) {
        (Intent::Take, Some(own), _) if own.state != ClaimState::Released => {
            Resolution::Decided(ClaimOutcome::Kept)
        }
        // A request that released its claim has ended; a delayed message must not reacquire it.
        (Intent::Take, Some(own), _) => {
            Resolution::Decided(ClaimOutcome::Taken { by: own.request, state: own.state })
        }
        (Intent::Take, None, Some(other)) if other.state != ClaimState::Released => {
            Resolution::Decided(ClaimOutcome::Taken { by: other.request, state: other.state })
        }
        (Intent::Take, None, _) => Resolution::NeedsWrite,
        // A claim that the request does not hold needs no release or completion.
        (Intent::Release | Intent::Complete { .. }, None, _) => {
            Resolution::Decided(ClaimOutcome::Kept)
        }
        (Intent::Release, Some(own), _) if own.state != ClaimState::Held => {
            Resolution::Decided(ClaimOutcome::Kept)
        }
        (Intent::Complete { .. }, Some(own), _) if own.state != ClaimState::Held => {
            Resolution::Decided(ClaimOutcome::Kept)
        }
        _ => Resolution::NeedsWrite,
    }
}

fn apply(draft: &mut ClaimShard, request: &ClaimRequest, expires: u64) {
    if matches!(resolve(draft, request), Resolution::Decided(_)) {
        return;
    }
    let state = match request.intent {
        Intent::Take => ClaimState::Held,
        Intent::Release => ClaimState::Released,
        Intent::Complete { status } => ClaimState::Completed { status },
    };
    let record = ClaimRecord { request: request.request, state, expires };
    draft.records.insert(request.key.clone(), record);
}
