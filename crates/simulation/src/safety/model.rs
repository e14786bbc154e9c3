//! One try: the request, its trouble, and the verdict.

use super::backend::Backend;
use super::plan::{Mutation, Plan, Promise, Step, Trouble};
use super::platform::{Heard, Outcome as CallOutcome, PendingWrite, Platform};
use crate::event_queue::EventQueue;
use mastbay_attempts::{
    Exchange, Failure, NotRunReason, Outcome, RetryBudget, Stage, Step as NextStep, Terms,
};
use mastbay_claims::{
    CallFailure, ClaimAnswer, ClaimClient, ClaimClientConfig, ClaimKeeper, ClaimKey, ClaimRequest,
    ClaimShard, ClaimState, Intent, KeeperConfig, Operation, OperationKind, ShardIndex,
    Verdict as ClaimVerdict,
};
use mastbay_types::{ProcessId, RequestId, ServiceName, TenantName, Timestamp};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::time::Duration;

/// Time that a request has.
const DEADLINE: Duration = Duration::from_millis(800);
/// Times that callers wait before they repeat a request at the other gateway, by seed: within and
/// beyond the time for which a keeper believes its memory.
const CALLER_PATIENCE: [Duration; 2] = [Duration::from_millis(350), Duration::from_millis(650)];
/// Times that a caller sends its request.
const CALLER_TRIES: usize = 4;
/// Length of outages and long freezes: beyond the deadline.
const LONG: Duration = Duration::from_millis(1_500);
/// Length of short freezes.
const SHORT: Duration = Duration::from_millis(200);
/// Time until a killed back end is up again.
const RESTART: Duration = Duration::from_millis(120);
/// End of a try.
const END: Timestamp = Timestamp::from_millis(12_000);
/// Claims of other callers in the same shard, their distance, and where their numbers begin.
const OTHER_CLAIMS: usize = 12;
const OTHER_CLAIM_MILLIS: u64 = 4;
const OTHER_CLAIM_SPACING: Duration = Duration::from_millis(9);
const OTHER_REQUESTS: u128 = 1_000;
/// Wall-clock time of every try, in seconds.
const UNIX_TIME: u64 = 1_000_000;

/// What a caller was told of one sending of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The outcome.
    Outcome(Outcome),
    /// Nothing: the connection broke.
    Broken,
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// What is wrong; empty if every promise was kept.
    pub violations: Vec<String>,
    /// Whether the trouble began: its step was reached.
    pub reached: bool,
    /// What the caller was told, by sending.
    pub told: Vec<Option<Told>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    CallerSends { sending: usize },
    CallerGivesUp { sending: usize },
    Gateway { sending: usize, what: GatewayEvent },
    ClaimTimer { gateway: usize },
    KeeperTimer { keeper: usize },
    OtherClaim { number: usize },
    BackendGetsPart { sending: usize, life: u32 },
    BackendGetsWhole { sending: usize, life: u32 },
    BackendEnds { sending: usize, life: u32 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GatewayEvent {
    Granted,
    Connected,
    ConnectFailed,
    SentWhole { attempt: u32 },
    Broken { attempt: u32 },
    AnswerBegun { attempt: u32 },
    AnswerWhole { attempt: u32 },
    Deadline,
}

/// Events with contents that are not copied.
enum Carried {
    Plain(Event),
    Wish { keeper: usize, from: usize, wish: ClaimRequest },
    Answer { gateway: usize, answer: ClaimAnswer },
    Call { keeper: usize, shard: ShardIndex, outcome: CallOutcome },
    LateWrite(PendingWrite),
}

/// One sending of the caller's request.
struct Sending {
    id: RequestId,
    gateway: usize,
    exchange: Exchange,
    attempt: u32,
    told: Option<Told>,
    over: bool,
}

struct Gateway {
    alive: bool,
    frozen_until: Timestamp,
    claims: ClaimClient,
    timer: Timestamp,
    budget: RetryBudget,
}

struct Keeper {
    alive: bool,
    frozen_until: Timestamp,
    timer: Timestamp,
    keeper: ClaimKeeper,
}

struct Model<'a> {
    plan: &'a Plan,
    now: Timestamp,
    events: EventQueue<Carried>,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    keepers: Vec<Keeper>,
    platform: Platform,
    backend: Backend,
    sendings: Vec<Sending>,
    begun: Vec<bool>,
    key: ClaimKey,
}

/// Runs one try.
pub fn run_once(plan: &Plan) -> Verdict {
    Model::new(plan).run()
}

fn process(kind: &str, index: usize) -> ProcessId {
    ProcessId::from(&*format!("{kind}-{index}"))
}

impl<'a> Model<'a> {
    fn new(plan: &'a Plan) -> Self {
        let keeper_names: Vec<ProcessId> = (0..2).map(|index| process("keeper", index)).collect();
        let gateway = || {
            let config = ClaimClientConfig {
                answer_timeout: Duration::from_millis(150),
                patience: Duration::from_millis(500),
                note_patience: Duration::from_secs(6),
            };
            let mut claims = ClaimClient::new(config);
            claims.set_keepers(keeper_names.clone());
            Gateway {
                alive: true,
                frozen_until: Timestamp::ZERO,
                claims,
                timer: Timestamp::NEVER,
                budget: RetryBudget::default(),
            }
        };
        let keeper = || {
            let config = KeeperConfig {
                spacing: Duration::from_millis(2),
                patience: Duration::from_millis(400),
                ..KeeperConfig::default()
            };
            let keeper = ClaimKeeper::new(config);
            let (frozen_until, timer) = (Timestamp::ZERO, Timestamp::NEVER);
            Keeper { alive: true, frozen_until, timer, keeper }
        };
        let unconditional = plan.mutation == Some(Mutation::UnconditionalWrite);
        Self {
            plan,
            now: Timestamp::ZERO,
            events: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            gateways: vec![gateway(), gateway()],
            keepers: vec![keeper(), keeper()],
            platform: Platform::new(unconditional),
            backend: Backend::default(),
            sendings: Vec::new(),
            begun: vec![false; plan.faults.len()],
            key: ClaimKey::new(
                &TenantName::from("desk"),
                &ServiceName::from("bookings"),
                "one boat",
            ),
        }
    }

    fn run(mut self) -> Verdict {
        self.push(Duration::ZERO, Event::CallerSends { sending: 0 });
        for number in 0..OTHER_CLAIMS {
            let after = self.about(OTHER_CLAIM_MILLIS) + OTHER_CLAIM_SPACING * number as u32;
            self.push(after, Event::OtherClaim { number });
        }
        while let Some((at, event)) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.judge()
    }

    /// Some delay around `millis`.
    fn about(&mut self, millis: u64) -> Duration {
        Duration::from_micros(self.random.random_range(500..1_500) * millis)
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.events.push(self.now + after, Carried::Plain(event));
    }

    fn push_gateway(&mut self, millis: u64, sending: usize, what: GatewayEvent) {
        let after = self.about(millis);
        self.push(after, Event::Gateway { sending, what });
    }

    fn handle(&mut self, event: Carried) {
        match event {
            Carried::Plain(event) => self.handle_plain(event),
            Carried::Wish { keeper, from, wish } => {
                if let Some(later) = self.keeper_pause(keeper) {
                    self.events.push(later, Carried::Wish { keeper, from, wish });
                } else if self.keepers[keeper].alive {
                    let gateway = process("gateway", from);
                    self.keepers[keeper].keeper.handle_wish(self.now, &gateway, wish);
                    self.poll_keeper(keeper);
                }
            }
            Carried::Answer { gateway, answer } => {
                if let Some(later) = self.gateway_pause(gateway) {
                    self.events.push(later, Carried::Answer { gateway, answer });
                } else if self.gateways[gateway].alive {
                    self.take_answer(gateway, answer);
                }
            }
            Carried::Call { keeper, shard, outcome } => {
                if let Some(later) = self.keeper_pause(keeper) {
                    self.events.push(later, Carried::Call { keeper, shard, outcome });
                } else if self.keepers[keeper].alive {
                    self.take_call(keeper, shard, outcome);
                }
            }
            Carried::LateWrite(write) => {
                // Whether it still may is the platform's to say; nobody hears of it.
                let _ = self.platform.take_effect(&write);
            }
        }
    }

    fn handle_plain(&mut self, event: Event) {
        match event {
            Event::CallerSends { sending } => self.caller_sends(sending),
            Event::CallerGivesUp { sending } => self.caller_gives_up(sending),
            Event::Gateway { sending, what } => {
                let gateway = self.sendings[sending].gateway;
                if let Some(later) = self.gateway_pause(gateway) {
                    self.events.push(later, Carried::Plain(event));
                } else if self.gateways[gateway].alive && !self.sendings[sending].over {
                    self.gateway_event(sending, what);
                }
            }
            Event::ClaimTimer { gateway } => {
                if let Some(later) = self.gateway_pause(gateway) {
                    self.events.push(later, Carried::Plain(event));
                } else if self.gateways[gateway].alive {
                    self.gateways[gateway].timer = Timestamp::NEVER;
                    self.poll_claims(gateway);
                }
            }
            Event::KeeperTimer { keeper } => {
                if let Some(later) = self.keeper_pause(keeper) {
                    self.events.push(later, Carried::Plain(event));
                } else if self.keepers[keeper].alive {
                    self.keepers[keeper].timer = Timestamp::NEVER;
                    self.poll_keeper(keeper);
                }
            }
            Event::OtherClaim { number } => self.other_claim(number),
            Event::BackendGetsPart { .. }
            | Event::BackendGetsWhole { .. }
            | Event::BackendEnds { .. } => self.backend_event(event),
        }
    }

    fn gateway_pause(&self, gateway: usize) -> Option<Timestamp> {
        let until = self.gateways[gateway].frozen_until;
        (self.now < until).then_some(until)
    }

    fn keeper_pause(&self, keeper: usize) -> Option<Timestamp> {
        let until = self.keepers[keeper].frozen_until;
        (self.now < until).then_some(until)
    }

    // The caller.

    fn caller_sends(&mut self, number: usize) {
        let gateway = number % 2;
        let claim =
            matches!(self.plan.promise, Promise::ClaimRequired | Promise::ClaimWhenAvailable);
        let exchange = Exchange::new(Terms {
            repeatable: self.plan.promise == Promise::Repeatable,
            claim,
            claim_required: self.plan.promise == Promise::ClaimRequired,
            deadline: self.now + DEADLINE,
            most_tries: 3,
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

    fn caller_gives_up(&mut self, number: usize) {
        if self.sendings[number].told.is_none() {
            self.repeat_later(number);
        }
    }

    /// A caller repeats only with a key, or what may be repeated.
    fn repeat_later(&mut self, number: usize) {
        let repeats = self.plan.promise != Promise::NoKey;
        let latest = number + 1 == self.sendings.len();
        if repeats && latest && self.sendings.len() < CALLER_TRIES {
            let after = self.about(5);
            self.push(after, Event::CallerSends { sending: number + 1 });
        }
    }

    fn tell(&mut self, number: usize, told: Told) {
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

    // The gateways.

    fn carry_on(&mut self, number: usize, step: NextStep) {
        match step {
            NextStep::TakeClaim => {
                self.reach(number, Step::Claiming);
                let gateway = self.sendings[number].gateway;
                let wish = self.wish(number, Intent::Take);
                self.gateways[gateway].claims.wish(self.now, wish);
                self.poll_claims(gateway);
            }
            NextStep::Queue => {
                self.reach(number, Step::Queued);
                self.push_gateway(10, number, GatewayEvent::Granted);
            }
            NextStep::Connect => {
                self.reach(number, Step::Connecting);
                self.sendings[number].attempt += 1;
                let up = self.backend.is_up(self.now);
                let what = if up { GatewayEvent::Connected } else { GatewayEvent::ConnectFailed };
                self.push_gateway(2, number, what);
            }
            NextStep::Finish(outcome) => self.finish(number, outcome),
        }
    }

    fn wish(&self, number: usize, intent: Intent) -> ClaimRequest {
        ClaimRequest { key: self.key.clone(), request: self.sendings[number].id, intent }
    }

    fn finish(&mut self, number: usize, outcome: Outcome) {
        let gateway = self.sendings[number].gateway;
        self.sendings[number].over = true;
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
            self.gateways[gateway].claims.wish(self.now, wish);
            self.poll_claims(gateway);
        }
        let told = match outcome {
            Outcome::Unknown(_) if self.mutated(Mutation::TellUnknownAsNotRun) => {
                Outcome::NotRun(NotRunReason::NoBackend)
            }
            other => other,
        };
        self.tell(number, Told::Outcome(told));
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.plan.mutation == Some(mutation)
    }

    fn gateway_event(&mut self, number: usize, what: GatewayEvent) {
        let current = self.sendings[number].attempt;
        match what {
            GatewayEvent::Granted if self.sendings[number].exchange.stage() == Stage::Queued => {
                let step = self.sendings[number].exchange.granted();
                self.carry_on(number, step);
            }
            GatewayEvent::Connected => self.send(number),
            GatewayEvent::ConnectFailed => self.failed(number, Failure::Connect),
            GatewayEvent::SentWhole { attempt } if attempt == current => {
                self.reach(number, Step::SentWhole);
                if self.backend_hears(number) {
                    let (life, after) = (self.backend.life, self.about(1));
                    self.push(after, Event::BackendGetsWhole { sending: number, life });
                }
            }
            GatewayEvent::Broken { attempt } if attempt == current => {
                if self.mutated(Mutation::RetryAfterSent) {
                    self.sendings[number].exchange.nothing_written();
                }
                self.failed(number, Failure::Broken);
            }
            GatewayEvent::AnswerBegun { attempt } if attempt == current => {
                self.reach(number, Step::AnswerBegun);
                self.push_gateway(2, number, GatewayEvent::AnswerWhole { attempt });
            }
            GatewayEvent::AnswerWhole { attempt } if attempt == current => {
                if !self.gateway_hears(number) || !self.backend.is_up(self.now) {
                    return;
                }
                self.reach(number, Step::AnswerWhole);
                let (gateway, alive) = {
                    let gateway = self.sendings[number].gateway;
                    (gateway, self.gateways[gateway].alive)
                };
                if alive && self.gateway_pause(gateway).is_none() {
                    let step = self.sendings[number].exchange.answered();
                    self.carry_on(number, step);
                } else {
                    let what = GatewayEvent::AnswerWhole { attempt };
                    self.push_gateway(1, number, what);
                }
            }
            GatewayEvent::Deadline => self.failed(number, Failure::Deadline),
            _ => {}
        }
    }

    fn failed(&mut self, number: usize, failure: Failure) {
        let gateway = self.sendings[number].gateway;
        let budget = &mut self.gateways[gateway].budget;
        let step = self.sendings[number].exchange.failed(self.now, failure, budget);
        self.carry_on(number, step);
    }

    fn send(&mut self, number: usize) {
        let may = self.sendings[number].exchange.may_send(self.now);
        if !may && !self.mutated(Mutation::SendAfterDeadline) {
            return self.failed(number, Failure::Deadline);
        }
        let attempt = self.sendings[number].attempt;
        if self.backend_hears(number) {
            let (life, after) = (self.backend.life, self.about(1));
            self.push(after, Event::BackendGetsPart { sending: number, life });
        }
        self.reach(number, Step::SentPart);
        self.push_gateway(1, number, GatewayEvent::SentWhole { attempt });
        if !may {
            let (life, after) = (self.backend.life, self.about(3));
            self.push(after, Event::BackendGetsWhole { sending: number, life });
            self.failed(number, Failure::Deadline);
        }
    }

    /// Cuts are between the first gateway and the back end.
    fn backend_hears(&self, number: usize) -> bool {
        self.sendings[number].gateway != 0 || self.now >= self.backend.cut_until
    }

    fn gateway_hears(&self, number: usize) -> bool {
        let cut_until = self.backend.cut_until.max(self.backend.answers_cut_until);
        self.sendings[number].gateway != 0 || self.now >= cut_until
    }

    fn poll_claims(&mut self, gateway: usize) {
        let (wishes, given_up) = self.gateways[gateway].claims.poll(self.now);
        for (to, wish) in wishes {
            let keeper = usize::from(to == process("keeper", 1));
            let at = self.now + self.about(1);
            self.events.push(at, Carried::Wish { keeper, from: gateway, wish });
        }
        for answer in given_up {
            self.settle(gateway, answer);
        }
        let next = self.gateways[gateway].claims.next_timeout();
        if next < self.gateways[gateway].timer {
            let at = next.max(self.now + Duration::from_millis(1));
            self.gateways[gateway].timer = at;
            self.events.push(at, Carried::Plain(Event::ClaimTimer { gateway }));
        }
    }

    fn take_answer(&mut self, gateway: usize, answer: ClaimAnswer) {
        if let Some(answer) = self.gateways[gateway].claims.handle_answer(answer) {
            self.settle(gateway, answer);
        }
    }

    fn settle(&mut self, gateway: usize, answer: ClaimAnswer) {
        if answer.wish.intent != Intent::Take {
            return;
        }
        let found = self.sendings.iter().position(|sending| sending.id == answer.wish.request);
        let Some(number) = found else { return };
        let sending = &mut self.sendings[number];
        if sending.over || sending.gateway != gateway || sending.exchange.stage() != Stage::Claiming
        {
            return;
        }
        let run_anyway = self.plan.mutation == Some(Mutation::RunWithoutClaim);
        let step = match answer.verdict {
            ClaimVerdict::Kept => sending.exchange.claim_kept(),
            ClaimVerdict::Unavailable if run_anyway => sending.exchange.claim_kept(),
            ClaimVerdict::Unavailable => sending.exchange.claim_unavailable(),
            ClaimVerdict::Taken { state, .. } => {
                sending.exchange.claim_taken(matches!(state, ClaimState::Completed { .. }))
            }
        };
        self.carry_on(number, step);
    }

    // The keepers.

    fn poll_keeper(&mut self, keeper: usize) {
        while let Some(operation) = self.keepers[keeper].keeper.poll(self.now, UNIX_TIME) {
            self.call(keeper, operation);
        }
        self.send_answers(keeper);
        let next = self.keepers[keeper].keeper.next_timeout(self.now);
        if next < self.keepers[keeper].timer {
            let at = next.max(self.now + Duration::from_millis(1));
            self.keepers[keeper].timer = at;
            self.events.push(at, Carried::Plain(Event::KeeperTimer { keeper }));
        }
    }

    fn call(&mut self, keeper: usize, operation: Operation) {
        let shard = operation.shard;
        let takes = matches!(operation.kind, OperationKind::Write { .. });
        let (heard, late) = self.platform.write(self.now, shard, operation.kind);
        let Heard { at, outcome } = heard;
        let outcome = match outcome {
            CallOutcome::Write(Err(CallFailure::NoAnswer))
                if self.mutated(Mutation::NoReadBack) =>
            {
                CallOutcome::Write(Ok(u64::MAX))
            }
            other => other,
        };
        self.events.push(at, Carried::Call { keeper, shard, outcome });
        if let Some((at, write)) = late {
            self.events.push(at, Carried::LateWrite(write));
        }
        if keeper == self.holder() && !self.sendings.is_empty() {
            self.reach(0, if takes { Step::ClaimWritten } else { Step::ClaimRead });
        }
    }

    fn take_call(&mut self, keeper: usize, shard: ShardIndex, outcome: CallOutcome) {
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

    fn send_answers(&mut self, keeper: usize) {
        for (to, answer) in self.keepers[keeper].keeper.take_answers() {
            let gateway = usize::from(to == process("gateway", 1));
            let at = self.now + self.about(1);
            self.events.push(at, Carried::Answer { gateway, answer });
        }
    }

    /// Another caller's claim in the same shard, brought to the keeper that is not first in order, as
    /// by a gateway with another view of the fleet: two keepers write one shard.
    fn other_claim(&mut self, number: usize) {
        let (tenant, service) = (TenantName::from("desk"), ServiceName::from("bookings"));
        let same_shard = |key: &ClaimKey| key.shard() == self.key.shard();
        let mut keys = (0..).map(|text| ClaimKey::new(&tenant, &service, &format!("other {text}")));
        let Some(key) = keys.by_ref().filter(same_shard).nth(number) else { return };
        let request = RequestId::from_number(OTHER_REQUESTS + number as u128);
        let wish = ClaimRequest { key, request, intent: Intent::Take };
        let keeper = 1 - self.holder();
        self.events.push(self.now, Carried::Wish { keeper, from: 1, wish });
    }

    // The back end.

    fn backend_event(&mut self, event: Event) {
        if self.now < self.backend.frozen_until {
            let until = self.backend.frozen_until;
            self.events.push(until, Carried::Plain(event));
            return;
        }
        let (Event::BackendGetsPart { sending, life }
        | Event::BackendGetsWhole { sending, life }
        | Event::BackendEnds { sending, life }) = event
        else {
            return;
        };
        if life != self.backend.life || !self.backend.is_up(self.now) {
            return self.break_connection(sending);
        }
        match event {
            Event::BackendGetsWhole { .. } => {
                self.backend.begin(self.sendings[sending].id);
                self.reach(sending, Step::Running);
                let after = self.about(20);
                self.push(after, Event::BackendEnds { sending, life });
            }
            Event::BackendEnds { .. } if self.gateway_hears(sending) => {
                let attempt = self.sendings[sending].attempt;
                self.push_gateway(1, sending, GatewayEvent::AnswerBegun { attempt });
            }
            _ => {}
        }
    }

    fn break_connection(&mut self, sending: usize) {
        let attempt = self.sendings[sending].attempt;
        self.push_gateway(1, sending, GatewayEvent::Broken { attempt });
    }

    // Trouble.

    /// Begins the trouble planned for a step of the first sending.
    fn reach(&mut self, number: usize, step: Step) {
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

    fn begin(&mut self, trouble: Trouble) {
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
    fn holder(&self) -> usize {
        let names: Vec<ProcessId> = (0..2).map(|index| process("keeper", index)).collect();
        let key = format!("claims/{}", self.key.shard());
        usize::from(mastbay_types::by_rendezvous(&key, &names)[0] == &names[1])
    }

    fn kill_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].alive = false;
        for number in 0..self.sendings.len() {
            if self.sendings[number].gateway == gateway && !self.sendings[number].over {
                self.sendings[number].over = true;
                self.tell(number, Told::Broken);
            }
        }
    }

    fn break_running(&mut self) {
        for number in 0..self.sendings.len() {
            let stage = self.sendings[number].exchange.stage();
            if matches!(stage, Stage::Sent | Stage::Answering) && !self.sendings[number].over {
                self.break_connection(number);
            }
        }
    }

    // The judge.

    fn judge(self) -> Verdict {
        let mut violations = Vec::new();
        let once = matches!(self.plan.promise, Promise::ClaimRequired | Promise::NoKey);
        let total = self.backend.total_runs();
        if once && total > 1 {
            violations.push(format!("ran {total} times"));
        }
        for (number, sending) in self.sendings.iter().enumerate() {
            let runs = self.backend.runs_of(sending.id);
            match sending.told {
                Some(Told::Outcome(Outcome::NotRun(_))) if runs > 0 => {
                    violations.push(format!("sending {number} was told not-run and ran"));
                }
                Some(Told::Outcome(Outcome::Answered)) if runs == 0 => {
                    violations.push(format!("sending {number} was answered and never ran"));
                }
                None if self.gateways[sending.gateway].alive => {
                    violations.push(format!("sending {number} was never told anything"));
                }
                _ => {}
            }
            if runs > 1 && self.plan.promise != Promise::Repeatable {
                violations.push(format!("sending {number} ran {runs} times"));
            }
        }
        let reached = self.begun.iter().all(|begun| *begun);
        let told = self.sendings.iter().map(|sending| sending.told).collect();
        Verdict { violations, reached, told }
    }
}
