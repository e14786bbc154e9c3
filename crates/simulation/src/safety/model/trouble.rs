//! How trouble begins.

use super::super::plan::{Step, Trouble};
use super::{Model, Told, process};
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
    /// Begins the trouble planned for a step of the first sending.
    pub(super) fn reach(&mut self, number: usize, step: Step) {
        if number != 0 {
            return;
        }
        for index in 0..self.plan.faults.len() {
            let planned = self.plan.faults[index];
            if planned.step == step && !std::mem::replace(&mut self.begun[index], true) {
                self.begin(planned.trouble);
            }
        }
    }

    pub(super) fn begin(&mut self, trouble: Trouble) {
        let now = self.now;
        let holder = self.holder();
        match trouble {
            Trouble::GatewayKilled => self.kill_gateway(0),
            Trouble::GatewayFrozenShort => self.gateways[0].frozen_until = now + SHORT,
            Trouble::GatewayFrozenLong => self.gateways[0].frozen_until = now + LONG,
            Trouble::BackendKilled => {
                self.backend.life += 1;
                self.backend.down_until = now + RESTART;
                self.break_running();
            }
            Trouble::BackendFrozen => self.backend.frozen_until = now + LONG,
            Trouble::BackendCut => self.backend.cut_until = now + LONG,
            Trouble::AnswersCut => self.backend.answers_cut_until = now + LONG,
            Trouble::KeeperKilled => self.keepers[holder].alive = false,
            Trouble::KeeperFrozen => self.keepers[holder].frozen_until = now + LONG,
            Trouble::PlatformDown => self.platform.down_until = now + LONG,
            Trouble::PlatformSlow => self.platform.slow_until = now + LONG,
            Trouble::AnswersLost => self.platform.answers_to_lose = 2,
        }
    }

    /// The keeper that a gateway asks first for the claim.
    pub(super) fn holder(&self) -> usize {
        let names: Vec<ProcessId> = (0..2).map(|index| process("keeper", index)).collect();
        let key = format!("claims/{}", self.key.shard());
        usize::from(mastbay_types::by_rendezvous(&key, &names)[0] == &names[1])
    }

    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].alive = false;
        for number in 0..self.sendings.len() {
            if self.sendings[number].gateway == gateway && !self.sendings[number].over {
                self.sendings[number].over = true;
                self.tell(number, Told::Broken);
            }
        }
    }

    pub(super) fn break_running(&mut self) {
        for number in 0..self.sendings.len() {
            let stage = self.sendings[number].exchange.stage();
            if matches!(stage, Stage::Sent | Stage::Answering) && !self.sendings[number].over {
                self.break_connection(number);
            }
        }
    }
}
