//! One try: the request, its trouble, and the verdict.

mod back_end;
mod caller;
mod gateway;
mod judge;
mod keeper;
mod trouble;

use super::backend::Backend;
use super::plan::{Mutation, Plan};
use super::platform::{Outcome as CallOutcome, PendingWrite, Platform};
use crate::event_queue::EventQueue;
use derive_more::Display;
use mastbay_attempts::{Exchange, Outcome, RetryBudget};
use mastbay_claims::{
    ClaimAnswer, ClaimClient, ClaimClientConfig, ClaimKeeper, ClaimKey, ClaimRequest, KeeperConfig,
    ShardIndex,
};
use mastbay_types::{ProcessId, RequestId, ServiceName, TenantName, Timestamp};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::time::Duration;

/// End of a try.
const END: Timestamp = Timestamp::from_millis(12_000);
/// Claims of other callers in the same shard, and their distance.
const OTHER_CLAIMS: usize = 12;
const OTHER_CLAIM_MILLIS: u64 = 4;
const OTHER_CLAIM_SPACING: Duration = Duration::from_millis(9);
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

/// A promise that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Violation {
    /// An operation that may run once ran more often, over all sendings.
    #[display("the operation ran {times} times")]
    OperationRan {
        /// How often.
        times: u32,
    },
    /// One sending of what may not be repeated ran more than once.
    #[display("sending {sending} ran {times} times")]
    SendingRan {
        /// Which.
        sending: usize,
        /// How often.
        times: u32,
    },
    /// A caller was told that its request did not run.
    #[display("sending {sending} was told not-run and ran")]
    ToldNotRunAndRan {
        /// Which sending.
        sending: usize,
    },
    /// A caller got an answer to what never ran.
    #[display("sending {sending} was answered and never ran")]
    AnsweredAndNeverRan {
        /// Which sending.
        sending: usize,
    },
    /// A caller of a living gateway heard nothing to the end.
    #[display("sending {sending} was never told anything")]
    NeverTold {
        /// Which sending.
        sending: usize,
    },
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// What is wrong; empty if every promise was kept.
    pub violations: Vec<Violation>,
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
                timeout: Duration::from_millis(500),
                background_timeout: Duration::from_secs(6),
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
                timeout: Duration::from_millis(400),
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
                    self.keepers[keeper].keeper.handle_request(self.now, &gateway, wish);
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
}
