//! What the caller does: it sends, gives up, and sends again.

use super::super::plan::{Promise, Step};
use super::{Event, GatewayEvent, Model, Sending, Told};
use mastbay_attempts::{Exchange, Outcome, RequestPolicy};
use mastbay_types::RequestId;
use std::time::Duration;

/// Time that a request has.
const DEADLINE: Duration = Duration::from_millis(800);
/// Times that callers wait before they repeat a request at the other gateway, by seed: within and
/// beyond the time for which a keeper believes its memory.
const CALLER_PATIENCE: [Duration; 2] = [Duration::from_millis(350), Duration::from_millis(650)];
/// Times that a caller sends its request.
const CALLER_TRIES: usize = 4;

impl Model<'_> {
    pub(super) fn caller_sends(&mut self, number: usize) {
        let gateway = number % 2;
        let claim =
            matches!(self.plan.promise, Promise::ClaimRequired | Promise::ClaimWhenAvailable);
        let exchange = Exchange::new(RequestPolicy {
            repeatable: self.plan.promise == Promise::Repeatable,
            claim,
            claim_required: self.plan.promise == Promise::ClaimRequired,
            deadline: self.now + DEADLINE,
            max_attempts: 3,
        });
        let id = RequestId::from_number(number as u128 + 1);
        let told = (!self.gateways[gateway].alive).then_some(Told::Broken);
        let over = told.is_some();
        self.sendings.push(Sending { id, gateway, exchange, attempt: 0, told, over });
        if over {
            return self.repeat_later(number);
        }
        let patience = CALLER_PATIENCE[(self.plan.seed % 2) as usize];
        self.push(patience, Event::CallerGivesUp { sending: number });
        self.push(DEADLINE, Event::Gateway { sending: number, what: GatewayEvent::Deadline });
        self.reach(number, Step::Accepted);
        let step = self.sendings[number].exchange.start();
        self.carry_on(number, step);
    }

    pub(super) fn caller_gives_up(&mut self, number: usize) {
        if self.sendings[number].told.is_none() {
            self.repeat_later(number);
        }
    }

    /// A caller repeats only with a key, or what may be repeated.
    pub(super) fn repeat_later(&mut self, number: usize) {
        let repeats = self.plan.promise != Promise::NoKey;
        let latest = number + 1 == self.sendings.len();
        if repeats && latest && self.sendings.len() < CALLER_TRIES {
            let after = self.about(5);
            self.push(after, Event::CallerSends { sending: number + 1 });
        }
    }

    pub(super) fn tell(&mut self, number: usize, told: Told) {
        let sending = &mut self.sendings[number];
        if sending.told.is_some() {
            return;
        }
        sending.told = Some(told);
        // One who was told "unknown" may ask again too: that is what the key is for.
        if told != Told::Outcome(Outcome::Answered) {
            self.repeat_later(number);
        }
    }
}
