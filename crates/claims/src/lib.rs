//! Claims: the record, kept in the platform's object API, that a request with an idempotency key
//! has been taken up, so that its repeat through another gateway does not run it twice.
//!
//! Claims are sharded by key. Each shard is one object, changed only by conditional update: that
//! alone is the safety. Which process writes a shard (the first scheduler in rendezvous order) only
//! avoids conflicts and lets many claims share a write. A write whose answer was lost is settled by
//! reading back: a claim names the request that holds it.

mod client;
mod keeper;
mod record;

pub use client::{ClaimClient, ClaimClientConfig};
pub use keeper::{CallFailure, ClaimKeeper, KeeperConfig, Operation, OperationKind};
pub use record::{
    ClaimAnswer, ClaimKey, ClaimMessage, ClaimRecord, ClaimRequest, ClaimShard, ClaimState, Intent,
    SHARD_COUNT, ShardIndex, ShardReadError, Verdict,
};

#[cfg(test)]
mod tests;
