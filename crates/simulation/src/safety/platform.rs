//! Model of the platform's object API as used by claim keepers, with injected faults.

use mastbay_claims::{CallFailure, ClaimShard, OperationKind, ShardIndex};
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of a call without faults.
pub const CALL_TIME: Duration = Duration::from_millis(3);
/// Time after which a keeper gives up on an answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time until a write is applied while the platform is slow.
const SLOW_TIME: Duration = Duration::from_millis(180);

/// Result of a call with the time at which the keeper receives it.
pub struct PlatformReply {
    /// Time at which the keeper receives the result.
    pub at: Timestamp,
    /// Result of the call.
    pub outcome: Outcome,
}

/// Result of a call.
pub enum Outcome {
    /// Result of a read: the version and contents of the shard, or `None` if it does not exist.
    Read(Result<Option<(u64, ClaimShard)>, CallFailure>),
    /// Result of a write: the new version.
    Write(Result<u64, CallFailure>),
}

/// A write that is applied later.
#[derive(Debug, Clone)]
pub struct PendingWrite {
    shard: ShardIndex,
    expected: Option<u64>,
    value: Vec<u8>,
}

/// Objects of the platform and its active faults.
#[derive(Debug, Default)]
pub struct Platform {
    objects: BTreeMap<ShardIndex, (u64, ClaimShard)>,
    /// End of the current outage.
    pub down_until: Timestamp,
    /// End of the time in which it is slow.
    pub slow_until: Timestamp,
    /// Number of further writes whose answers are lost.
    pub answers_to_lose: u32,
    unconditional: bool,
}

impl Platform {
    /// Creates an empty platform. With `unconditional`, a mutation, it ignores the conditions of
    /// writes.
    pub fn new(unconditional: bool) -> Self {
        Self { unconditional, ..Self::default() }
    }

    /// Reads a shard and returns the result with its time of arrival.
    pub fn read(&self, now: Timestamp, shard: ShardIndex) -> PlatformReply {
        if now < self.down_until {
            let outcome = Outcome::Read(Err(CallFailure::NoAnswer));
            return PlatformReply { at: now + CALL_TIME, outcome };
        }
        if now < self.slow_until {
            let outcome = Outcome::Read(Err(CallFailure::NoAnswer));
            return PlatformReply { at: now + ANSWER_TIMEOUT, outcome };
        }
        let found = self.objects.get(&shard).cloned();
        PlatformReply { at: now + CALL_TIME, outcome: Outcome::Read(Ok(found)) }
    }

    /// Executes an operation. Returns the reply to the keeper and, for a write while the platform
    /// is slow, the pending write with the time at which it is applied.
    pub fn write(
        &mut self,
        now: Timestamp,
        shard: ShardIndex,
        operation: OperationKind,
    ) -> (PlatformReply, Option<(Timestamp, PendingWrite)>) {
        let OperationKind::Write { expected, value } = operation else {
            return (self.read(now, shard), None);
        };
        let write = PendingWrite { shard, expected, value };
        let no_answer = || Outcome::Write(Err(CallFailure::NoAnswer));
        if now < self.down_until {
            return (PlatformReply { at: now + CALL_TIME, outcome: no_answer() }, None);
        }
        if now < self.slow_until {
            let reply = PlatformReply { at: now + ANSWER_TIMEOUT, outcome: no_answer() };
            return (reply, Some((now + SLOW_TIME, write)));
        }
        let result = self.apply(&write);
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return (PlatformReply { at: now + ANSWER_TIMEOUT, outcome: no_answer() }, None);
        }
        (PlatformReply { at: now + CALL_TIME, outcome: Outcome::Write(result) }, None)
    }

    /// Applies a write and returns the new version, or `Conflict` if the expected version differs.
    pub fn apply(&mut self, write: &PendingWrite) -> Result<u64, CallFailure> {
        let current = self.objects.get(&write.shard).map(|(version, _)| *version);
        if current != write.expected && !self.unconditional {
            return Err(CallFailure::Conflict);
        }
        let version = current.unwrap_or(0) + 1;
        let contents = ClaimShard::decode(&write.value).unwrap_or_default();
        self.objects.insert(write.shard, (version, contents));
        Ok(version)
    }
}
