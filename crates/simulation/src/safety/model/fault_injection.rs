//! Injection of planned faults.

use super::super::plan::{FaultKind, Step};
use super::{CallerResult, Model, process};
use mastbay_attempts::Stage;
use mastbay_types::ProcessId;
use std::time::Duration;

/// Length of outages and long freezes: beyond the deadline.
const LONG: Duration = Duration::from_millis(1_500);
/// Length of short freezes.
const SHORT: Duration = Duration::from_millis(200);
/// Time until a killed back end is up again.
const RESTART: Duration = Duration::from_millis(120);

impl Model<'_> {
    /// Injects the faults planned for a step of the first sending; other sendings are ignored.
    pub(super) fn on_step(&mut self, number: usize, step: Step) {
        if number != 0 {
            return;
        }
        for index in 0..self.plan.faults.len() {
            let planned = self.plan.faults[index];
            if planned.step == step && !std::mem::replace(&mut self.injected[index], true) {
                self.inject(planned.fault_kind);
            }
        }
    }

    pub(super) fn inject(&mut self, fault_kind: FaultKind) {
        let now = self.now;
        let holder = self.holder();
        match fault_kind {
            FaultKind::GatewayKilled => self.kill_gateway(0),
            FaultKind::GatewayFrozenShort => self.gateways[0].frozen_until = now + SHORT,
            FaultKind::GatewayFrozenLong => self.gateways[0].frozen_until = now + LONG,
            FaultKind::BackendKilled => {
                self.backend.incarnation += 1;
                self.backend.down_until = now + RESTART;
                self.break_open_connections();
            }
            FaultKind::BackendFrozen => self.backend.frozen_until = now + LONG,
            FaultKind::BackendCut => self.backend.cut_until = now + LONG,
            FaultKind::AnswersCut => self.backend.answers_cut_until = now + LONG,
            FaultKind::KeeperKilled => self.keepers[holder].alive = false,
            FaultKind::KeeperFrozen => self.keepers[holder].frozen_until = now + LONG,
            FaultKind::PlatformDown => self.platform.down_until = now + LONG,
            FaultKind::PlatformSlow => self.platform.slow_until = now + LONG,
            FaultKind::AnswersLost => self.platform.answers_to_lose = 2,
        }
    }

    /// Returns the keeper that gateways ask first for the claim.
    pub(super) fn holder(&self) -> usize {
        let names: Vec<ProcessId> = (0..2).map(|index| process("keeper", index)).collect();
        let key = format!("claims/{}", self.key.shard());
        usize::from(mastbay_types::by_rendezvous(&key, &names)[0] == &names[1])
    }

    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].alive = false;
        for number in 0..self.sendings.len() {
            if self.sendings[number].gateway == gateway && !self.sendings[number].finished {
                self.sendings[number].finished = true;
                self.report(number, CallerResult::Broken);
            }
        }
    }

    pub(super) fn break_open_connections(&mut self) {
        for number in 0..self.sendings.len() {
            let stage = self.sendings[number].exchange.stage();
            if matches!(stage, Stage::Sent | Stage::Answering) && !self.sendings[number].finished {
                self.break_connection(number);
            }
        }
    }
}
