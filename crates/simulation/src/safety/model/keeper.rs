//! Event handling of the claim keepers, and competing claims of other callers.

use super::super::plan::{Mutation, Step};
use super::super::platform::{Outcome as CallOutcome, PlatformReply};
use super::{Event, Model, QueuedEvent, UNIX_TIME, process};
use mastbay_claims::{
    CallFailure, ClaimKey, ClaimRequest, ClaimShard, Intent, Operation, OperationKind, ShardIndex,
};
use mastbay_types::{RequestId, ServiceName, TenantName};
use std::time::Duration;

/// First request number of other callers.
const OTHER_REQUESTS: u128 = 1_000;

impl Model<'_> {
    pub(super) fn poll_keeper(&mut self, keeper: usize) {
        while let Some(operation) = self.keepers[keeper].keeper.poll(self.now, UNIX_TIME) {
            self.call(keeper, operation);
        }
        self.send_answers(keeper);
        let next = self.keepers[keeper].keeper.next_timeout(self.now);
        if next < self.keepers[keeper].timer {
            let at = next.max(self.now + Duration::from_millis(1));
            self.keepers[keeper].timer = at;
            self.events.push(at, QueuedEvent::Plain(Event::KeeperTimer { keeper }));
        }
    }

    pub(super) fn call(&mut self, keeper: usize, operation: Operation) {
        let shard = operation.shard;
        let takes = matches!(operation.kind, OperationKind::Write { .. });
        let (reply, late) = self.platform.write(self.now, shard, operation.kind);
        let PlatformReply { at, outcome } = reply;
        let outcome = match outcome {
            CallOutcome::Write(Err(CallFailure::NoAnswer))
                if self.mutated(Mutation::NoReadBack) =>
            {
                CallOutcome::Write(Ok(u64::MAX))
            }
            other => other,
        };
        self.events.push(at, QueuedEvent::Call { keeper, shard, outcome });
        if let Some((at, write)) = late {
            self.events.push(at, QueuedEvent::LateWrite(write));
        }
        if keeper == self.holder() && !self.sendings.is_empty() {
            self.on_step(0, if takes { Step::ClaimWritten } else { Step::ClaimRead });
        }
    }

    pub(super) fn take_call(&mut self, keeper: usize, shard: ShardIndex, outcome: CallOutcome) {
        let state = &mut self.keepers[keeper].keeper;
        match outcome {
            CallOutcome::Read(found) => {
                let found: Result<Option<(u64, ClaimShard)>, CallFailure> = found;
                state.handle_read(self.now, shard, found);
            }
            CallOutcome::Write(written) => state.handle_write(self.now, shard, written),
        }
        self.poll_keeper(keeper);
    }

    pub(super) fn send_answers(&mut self, keeper: usize) {
        for (to, answer) in self.keepers[keeper].keeper.take_answers() {
            let gateway = usize::from(to == process("gateway", 1));
            let at = self.now + self.jittered(1);
            self.events.push(at, QueuedEvent::Answer { gateway, answer });
        }
    }

    /// Sends another caller's claim in the same shard to the second keeper, as a gateway with a
    /// different view of the fleet does, so that two keepers write one shard.
    pub(super) fn other_claim(&mut self, number: usize) {
        let (tenant, service) = (TenantName::from("desk"), ServiceName::from("bookings"));
        let same_shard = |key: &ClaimKey| key.shard() == self.key.shard();
        let mut keys = (0..).map(|text| ClaimKey::new(&tenant, &service, &format!("other {text}")));
        let Some(key) = keys.by_ref().filter(same_shard).nth(number) else { return };
        let request = RequestId::from_number(OTHER_REQUESTS + number as u128);
        let wish = ClaimRequest { key, request, intent: Intent::Take };
        let keeper = 1 - self.holder();
        self.events.push(self.now, QueuedEvent::Wish { keeper, from: 1, wish });
    }
}
