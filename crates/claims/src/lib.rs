//! Claims on idempotency keys: records in the platform's object API that keep a request from
//! running twice if it is repeated through another gateway.
//!
//! Claims are sharded by key. Each shard is one object that is only changed by conditional writes,
//! which alone ensure safety. Routing a shard's claims to one process (the first scheduler in
//! rendezvous order) avoids conflicts and batches writes. After a write whose answer was lost, the
//! shard is read again; a claim names the request that holds it.

mod client;
mod keeper;
mod record;

pub use client::{ClaimClient, ClaimClientConfig};
pub use keeper::{CallFailure, ClaimKeeper, KeeperConfig, Operation, OperationKind};
pub use record::{
    ClaimAnswer, ClaimKey, ClaimMessage, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimShard,
    ClaimState, Intent, SHARD_COUNT, ShardIndex, ShardReadError,
};

#[cfg(test)]
mod tests;
