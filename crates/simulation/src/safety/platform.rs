//! The platform's object API as claim keepers see it, with faults.

use mastbay_claims::{CallFailure, ClaimShard, OperationKind, ShardIndex};
use mastbay_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time that a call takes when all is well.
pub const CALL_TIME: Duration = Duration::from_millis(3);
/// Time after which a keeper stops to wait for an answer.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(100);
/// Time that a call takes while the platform is slow.
const SLOW_TIME: Duration = Duration::from_millis(180);

/// What a keeper hears, and when.
pub struct Heard {
    /// When it hears it.
    pub at: Timestamp,
    /// What became of the call.
    pub outcome: Outcome,
}

/// What became of a call.
pub enum Outcome {
    /// Of a read.
    Read(Result<Option<(u64, ClaimShard)>, CallFailure>),
    /// Of a write.
    Write(Result<u64, CallFailure>),
}

/// A call whose effect is still to come.
#[derive(Debug, Clone)]
pub struct PendingWrite {
    shard: ShardIndex,
    expected: Option<u64>,
    value: Vec<u8>,
}

/// The platform.
#[derive(Debug, Default)]
pub struct Platform {
    objects: BTreeMap<ShardIndex, (u64, ClaimShard)>,
    /// Until when it is down.
    pub down_until: Timestamp,
    /// Until when it is slow.
    pub slow_until: Timestamp,
    /// Writes whose answers are still to be lost.
    pub answers_to_lose: u32,
    unconditional: bool,
}

impl Platform {
    /// An empty platform. `unconditional` makes it ignore the conditions of writes: a mutation.
    pub fn new(unconditional: bool) -> Self {
        Self { unconditional, ..Self::default() }
    }

    /// Reads a shard.
    pub fn read(&self, now: Timestamp, shard: ShardIndex) -> Heard {
        if now < self.down_until {
            let outcome = Outcome::Read(Err(CallFailure::NoAnswer));
            return Heard { at: now + CALL_TIME, outcome };
        }
        if now < self.slow_until {
            let outcome = Outcome::Read(Err(CallFailure::NoAnswer));
            return Heard { at: now + ANSWER_LIMIT, outcome };
        }
        let found = self.objects.get(&shard).cloned();
        Heard { at: now + CALL_TIME, outcome: Outcome::Read(Ok(found)) }
    }

    /// Takes a write. Gives what the keeper hears and, if the platform is slow, the write whose
    /// effect is still to come, with its time.
    pub fn write(
        &mut self,
        now: Timestamp,
        shard: ShardIndex,
        operation: OperationKind,
    ) -> (Heard, Option<(Timestamp, PendingWrite)>) {
        let OperationKind::Write { expected, value } = operation else {
            return (self.read(now, shard), None);
        };
        let write = PendingWrite { shard, expected, value };
        let no_answer = || Outcome::Write(Err(CallFailure::NoAnswer));
        if now < self.down_until {
            return (Heard { at: now + CALL_TIME, outcome: no_answer() }, None);
        }
        if now < self.slow_until {
            let heard = Heard { at: now + ANSWER_LIMIT, outcome: no_answer() };
            return (heard, Some((now + SLOW_TIME, write)));
        }
        let result = self.take_effect(&write);
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return (Heard { at: now + ANSWER_LIMIT, outcome: no_answer() }, None);
        }
        (Heard { at: now + CALL_TIME, outcome: Outcome::Write(result) }, None)
    }

    /// Lets a write take effect.
    pub fn take_effect(&mut self, write: &PendingWrite) -> Result<u64, CallFailure> {
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
