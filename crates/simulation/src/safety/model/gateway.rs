//! Event handling of the gateways, which perform the steps that an exchange decides.

use super::super::plan::{Mutation, Step};
use super::{CallerResult, Event, GatewayEvent, Model, QueuedEvent, process};
use mastbay_attempts::{Failure, NotRunReason, Outcome, Stage, Step as NextStep};
use mastbay_claims::{ClaimAnswer, ClaimOutcome, ClaimRequest, ClaimState, Intent};
use std::time::Duration;

impl Model<'_> {
    pub(super) fn perform_step(&mut self, number: usize, step: NextStep) {
        match step {
            NextStep::TakeClaim => {
                self.on_step(number, Step::Claiming);
                let gateway = self.sendings[number].gateway;
                let wish = self.wish(number, Intent::Take);
                self.gateways[gateway].claims.submit(self.now, wish);
                self.poll_claims(gateway);
            }
            NextStep::Queue => {
                self.on_step(number, Step::Queued);
                self.push_gateway(10, number, GatewayEvent::Granted);
            }
            NextStep::Connect => {
                self.on_step(number, Step::Connecting);
                self.sendings[number].attempt += 1;
                let up = self.backend.is_up(self.now);
                let what = if up { GatewayEvent::Connected } else { GatewayEvent::ConnectFailed };
                self.push_gateway(2, number, what);
            }
            NextStep::Finish(outcome) => self.finish(number, outcome),
        }
    }

    pub(super) fn wish(&self, number: usize, intent: Intent) -> ClaimRequest {
        ClaimRequest { key: self.key.clone(), request: self.sendings[number].id, intent }
    }

    pub(super) fn finish(&mut self, number: usize, outcome: Outcome) {
        let gateway = self.sendings[number].gateway;
        self.sendings[number].finished = true;
        let intent = match outcome {
            Outcome::Answered => Some(Intent::Complete { status: 200 }),
            Outcome::NotRun(_) => Some(Intent::Release),
            Outcome::Unknown(_) if self.mutated(Mutation::ReleaseOnUnknown) => {
                Some(Intent::Release)
            }
            Outcome::Unknown(_) => None,
        };
        if let (true, Some(intent)) = (self.sendings[number].exchange.claimed(), intent) {
            let wish = self.wish(number, intent);
            self.gateways[gateway].claims.submit(self.now, wish);
            self.poll_claims(gateway);
        }
        let reported = match outcome {
            Outcome::Unknown(_) if self.mutated(Mutation::TellUnknownAsNotRun) => {
                Outcome::NotRun(NotRunReason::NoBackend)
            }
            other => other,
        };
        self.report(number, CallerResult::Outcome(reported));
    }

    pub(super) fn mutated(&self, mutation: Mutation) -> bool {
        self.plan.mutation == Some(mutation)
    }

    pub(super) fn gateway_event(&mut self, number: usize, what: GatewayEvent) {
        let current = self.sendings[number].attempt;
        match what {
            GatewayEvent::Granted if self.sendings[number].exchange.stage() == Stage::Queued => {
                let step = self.sendings[number].exchange.granted();
                self.perform_step(number, step);
            }
            GatewayEvent::Connected => self.send(number),
            GatewayEvent::ConnectFailed => self.failed(number, Failure::Connect),
            GatewayEvent::SentWhole { attempt } if attempt == current => {
                self.on_step(number, Step::SentWhole);
                if self.reaches_backend(number) {
                    let (incarnation, after) = (self.backend.incarnation, self.jittered(1));
                    self.push(after, Event::BackendGetsWhole { sending: number, incarnation });
                }
            }
            GatewayEvent::Broken { attempt } if attempt == current => {
                if self.mutated(Mutation::RetryAfterSent) {
                    self.sendings[number].exchange.nothing_written();
                }
                self.failed(number, Failure::Broken);
            }
            GatewayEvent::AnswerBegun { attempt } if attempt == current => {
                self.on_step(number, Step::AnswerBegun);
                self.push_gateway(2, number, GatewayEvent::AnswerWhole { attempt });
            }
            GatewayEvent::AnswerWhole { attempt } if attempt == current => {
                if !self.reaches_gateway(number) || !self.backend.is_up(self.now) {
                    return;
                }
                self.on_step(number, Step::AnswerWhole);
                let (gateway, alive) = {
                    let gateway = self.sendings[number].gateway;
                    (gateway, self.gateways[gateway].alive)
                };
                if alive && self.gateway_wake_time(gateway).is_none() {
                    let step = self.sendings[number].exchange.answered();
                    self.perform_step(number, step);
                } else {
                    let what = GatewayEvent::AnswerWhole { attempt };
                    self.push_gateway(1, number, what);
                }
            }
            GatewayEvent::Deadline => self.failed(number, Failure::Deadline),
            _ => {}
        }
    }

    pub(super) fn failed(&mut self, number: usize, failure: Failure) {
        let gateway = self.sendings[number].gateway;
        let budget = &mut self.gateways[gateway].budget;
        let step = self.sendings[number].exchange.failed(self.now, failure, budget);
        self.perform_step(number, step);
    }

    pub(super) fn send(&mut self, number: usize) {
        let may = self.sendings[number].exchange.may_send(self.now);
        if !may && !self.mutated(Mutation::SendAfterDeadline) {
            return self.failed(number, Failure::Deadline);
        }
        let attempt = self.sendings[number].attempt;
        if self.reaches_backend(number) {
            let (incarnation, after) = (self.backend.incarnation, self.jittered(1));
            self.push(after, Event::BackendGetsPart { sending: number, incarnation });
        }
        self.on_step(number, Step::SentPart);
        self.push_gateway(1, number, GatewayEvent::SentWhole { attempt });
        if !may {
            let (incarnation, after) = (self.backend.incarnation, self.jittered(3));
            self.push(after, Event::BackendGetsWhole { sending: number, incarnation });
            self.failed(number, Failure::Deadline);
        }
    }

    /// Returns whether messages reach the back end. Only the first gateway is ever partitioned.
    pub(super) fn reaches_backend(&self, number: usize) -> bool {
        self.sendings[number].gateway != 0 || self.now >= self.backend.cut_until
    }

    pub(super) fn reaches_gateway(&self, number: usize) -> bool {
        let cut_until = self.backend.cut_until.max(self.backend.answers_cut_until);
        self.sendings[number].gateway != 0 || self.now >= cut_until
    }

    pub(super) fn poll_claims(&mut self, gateway: usize) {
        let (wishes, given_up) = self.gateways[gateway].claims.poll(self.now);
        for (to, wish) in wishes {
            let keeper = usize::from(to == process("keeper", 1));
            let at = self.now + self.jittered(1);
            self.events.push(at, QueuedEvent::Wish { keeper, from: gateway, wish });
        }
        for answer in given_up {
            self.settle(gateway, answer);
        }
        let next = self.gateways[gateway].claims.next_timeout();
        if next < self.gateways[gateway].timer {
            let at = next.max(self.now + Duration::from_millis(1));
            self.gateways[gateway].timer = at;
            self.events.push(at, QueuedEvent::Plain(Event::ClaimTimer { gateway }));
        }
    }

    pub(super) fn take_answer(&mut self, gateway: usize, answer: ClaimAnswer) {
        if let Some(answer) = self.gateways[gateway].claims.handle_answer(answer) {
            self.settle(gateway, answer);
        }
    }

    pub(super) fn settle(&mut self, gateway: usize, answer: ClaimAnswer) {
        if answer.request.intent != Intent::Take {
            return;
        }
        let found = self.sendings.iter().position(|sending| sending.id == answer.request.request);
        let Some(number) = found else { return };
        let sending = &mut self.sendings[number];
        if sending.finished
            || sending.gateway != gateway
            || sending.exchange.stage() != Stage::Claiming
        {
            return;
        }
        let run_anyway = self.plan.mutation == Some(Mutation::RunWithoutClaim);
        let step = match answer.outcome {
            ClaimOutcome::Kept => sending.exchange.claim_kept(),
            ClaimOutcome::Unavailable if run_anyway => sending.exchange.claim_kept(),
            ClaimOutcome::Unavailable => sending.exchange.claim_unavailable(),
            ClaimOutcome::Taken { state, .. } => {
                sending.exchange.claim_taken(matches!(state, ClaimState::Completed { .. }))
            }
        };
        self.perform_step(number, step);
    }
}
