//! Event handling of the caller: sends, timeouts and retries.

use super::super::plan::{Promise, Step};
use super::{CallerResult, Event, GatewayEvent, Model, Sending};
use mastbay_attempts::{Exchange, Outcome, RequestPolicy};
use mastbay_types::RequestId;
use std::time::Duration;

/// Deadline of a request, from the time it is sent.
const DEADLINE: Duration = Duration::from_millis(800);
/// Times after which callers retry at the other gateway, selected by the seed: shorter and longer
/// than `KeeperConfig::memory`, for which keepers trust a remembered claim.
const CALLER_TIMEOUTS: [Duration; 2] = [Duration::from_millis(350), Duration::from_millis(650)];
/// Maximum number of times that a caller sends its request.
const MAX_SENDINGS: usize = 4;

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
        let reported = (!self.gateways[gateway].alive).then_some(CallerResult::Broken);
        let finished = reported.is_some();
        self.sendings.push(Sending { id, gateway, exchange, attempt: 0, reported, finished });
        if finished {
            return self.repeat_later(number);
        }
        let timeout = CALLER_TIMEOUTS[(self.plan.seed % 2) as usize];
        self.push(timeout, Event::CallerGivesUp { sending: number });
        self.push(DEADLINE, Event::Gateway { sending: number, what: GatewayEvent::Deadline });
        self.on_step(number, Step::Accepted);
        let step = self.sendings[number].exchange.start();
        self.perform_step(number, step);
    }

    pub(super) fn caller_gives_up(&mut self, number: usize) {
        if self.sendings[number].reported.is_none() {
            self.repeat_later(number);
        }
    }

    /// Schedules a retry, unless the request is not repeatable and has no key.
    pub(super) fn repeat_later(&mut self, number: usize) {
        let repeats = self.plan.promise != Promise::NoKey;
        let latest = number + 1 == self.sendings.len();
        if repeats && latest && self.sendings.len() < MAX_SENDINGS {
            let after = self.jittered(5);
            self.push(after, Event::CallerSends { sending: number + 1 });
        }
    }

    pub(super) fn report(&mut self, number: usize, reported: CallerResult) {
        let sending = &mut self.sendings[number];
        if sending.reported.is_some() {
            return;
        }
        sending.reported = Some(reported);
        // The idempotency key allows a retry after an unknown outcome as well.
        if reported != CallerResult::Outcome(Outcome::Answered) {
            self.repeat_later(number);
        }
    }
}
