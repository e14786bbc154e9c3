//! Executes the claim keeper's reads and writes of claim shards on the platform.

use crate::duty::SchedulerDuty;
use bytes::Bytes;
use mastbay_claims::{CallFailure, ClaimShard, Operation, OperationKind, ShardIndex};
use mastbay_object_store::{Platform, Precondition, WriteError};
use std::sync::Arc;

fn shard_key(shard: ShardIndex) -> String {
    format!("claims/{shard}")
}

/// Executes one operation and reports its outcome to the keeper.
pub async fn execute(duty: Arc<SchedulerDuty>, operation: Operation) {
    duty.metrics().claim_calls.inc();
    let platform = duty.node().platform();
    let shard = operation.shard;
    match operation.kind {
        OperationKind::Read => {
            let outcome = read(platform, shard).await;
            duty.record_claim_outcome(outcome.is_err());
            let now = duty.node().now();
            duty.with_keeper(|keeper| keeper.handle_read(now, shard, outcome));
        }
        OperationKind::Write { expected, value } => {
            let outcome = write(platform, shard, expected, value).await;
            duty.record_claim_outcome(outcome.is_err());
            let now = duty.node().now();
            duty.with_keeper(|keeper| keeper.handle_write(now, shard, outcome));
        }
    }
    duty.wake();
}

async fn read(
    platform: &Platform,
    shard: ShardIndex,
) -> Result<Option<(u64, ClaimShard)>, CallFailure> {
    let object = platform.read(&shard_key(shard)).await.map_err(|error| {
        tracing::warn!(event = "claim_read_failed", shard = %shard, %error);
        CallFailure::NoAnswer
    })?;
    let Some(object) = object else {
        return Ok(None);
    };
    match ClaimShard::decode(&object.value) {
        Ok(contents) => Ok(Some((object.version, contents))),
        // No claim of the shard may be granted while its contents are unknown; an operator has to
        // repair the shard.
        Err(error) => {
            tracing::error!(event = "claim_shard_unreadable", shard = %shard, %error);
            Err(CallFailure::NoAnswer)
        }
    }
}

async fn write(
    platform: &Platform,
    shard: ShardIndex,
    expected: Option<u64>,
    value: Vec<u8>,
) -> Result<u64, CallFailure> {
    let precondition = expected.map_or(Precondition::Absent, Precondition::Version);
    match platform.write(&shard_key(shard), Bytes::from(value), precondition).await {
        Ok(version) => Ok(version),
        Err(WriteError::Conflict) => Err(CallFailure::Conflict),
        Err(error) => {
            tracing::warn!(event = "claim_write_failed", shard = %shard, %error);
            Err(CallFailure::NoAnswer)
        }
    }
}
