//! The model of one run: events, processes and the result.

mod back_end;
mod caller;
mod checks;
mod fault_injection;
mod gateway;
mod keeper;

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

/// Virtual time at which a run ends.
const END: Timestamp = Timestamp::from_millis(12_000);
/// Number and timing of other callers' claims in the same shard.
const OTHER_CLAIMS: usize = 12;
const OTHER_CLAIM_MILLIS: u64 = 4;
const OTHER_CLAIM_SPACING: Duration = Duration::from_millis(9);
/// Wall-clock time of every run, in seconds since the Unix epoch.
const UNIX_TIME: u64 = 1_000_000;

/// Result that the caller received for one sending of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerResult {
    /// The gateway reported an outcome.
    Outcome(Outcome),
    /// The connection broke without an answer.
    Broken,
}

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Violation {
    /// An operation that may run at most once ran more often, over all sendings.
    #[display("the operation ran {times} times")]
    OperationRan {
        /// Number of runs.
        times: u32,
    },
    /// One sending of a request that is not repeatable ran more than once.
    #[display("sending {sending} ran {times} times")]
    SendingRan {
        /// Index of the sending.
        sending: usize,
        /// Number of runs.
        times: u32,
    },
    /// A request that was reported as not run has run.
    #[display("sending {sending} was reported as not run but ran")]
    ReportedNotRunButRan {
        /// Index of the sending.
        sending: usize,
    },
    /// A request was answered but never ran.
    #[display("sending {sending} was answered but never ran")]
    AnsweredButNeverRan {
        /// Index of the sending.
        sending: usize,
    },
    /// A caller of a live gateway received no result before the end of the run.
    #[display("sending {sending} received no result")]
    NoResult {
        /// Index of the sending.
        sending: usize,
    },
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunResult {
    /// Violations found; empty if all invariants hold.
    pub violations: Vec<Violation>,
    /// Whether every planned fault was injected.
    pub reached: bool,
    /// Result received by the caller for each sending; `None` if there was none.
    pub reported: Vec<Option<CallerResult>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    CallerSends { sending: usize },
    CallerGivesUp { sending: usize },
    Gateway { sending: usize, what: GatewayEvent },
    ClaimTimer { gateway: usize },
    KeeperTimer { keeper: usize },
    OtherClaim { number: usize },
    BackendGetsPart { sending: usize, incarnation: u32 },
    BackendGetsWhole { sending: usize, incarnation: u32 },
    BackendEnds { sending: usize, incarnation: u32 },
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

/// Queued events, including those whose contents are not `Copy`.
enum QueuedEvent {
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
    reported: Option<CallerResult>,
    finished: bool,
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
    events: EventQueue<QueuedEvent>,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    keepers: Vec<Keeper>,
    platform: Platform,
    backend: Backend,
    sendings: Vec<Sending>,
    injected: Vec<bool>,
    key: ClaimKey,
}

/// Runs a plan and checks the invariants.
pub fn run_once(plan: &Plan) -> RunResult {
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
            injected: vec![false; plan.faults.len()],
            key: ClaimKey::new(
                &TenantName::from("desk"),
                &ServiceName::from("bookings"),
                "one boat",
            ),
        }
    }

    fn run(mut self) -> RunResult {
        self.push(Duration::ZERO, Event::CallerSends { sending: 0 });
        for number in 0..OTHER_CLAIMS {
            let after = self.jittered(OTHER_CLAIM_MILLIS) + OTHER_CLAIM_SPACING * number as u32;
            self.push(after, Event::OtherClaim { number });
        }
        while let Some((at, event)) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.check()
    }

    /// Returns a random delay between 0.5 and 1.5 times `millis`.
    fn jittered(&mut self, millis: u64) -> Duration {
        Duration::from_micros(self.random.random_range(500..1_500) * millis)
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.events.push(self.now + after, QueuedEvent::Plain(event));
    }

    fn push_gateway(&mut self, millis: u64, sending: usize, what: GatewayEvent) {
        let after = self.jittered(millis);
        self.push(after, Event::Gateway { sending, what });
    }

    fn handle(&mut self, event: QueuedEvent) {
        match event {
            QueuedEvent::Plain(event) => self.handle_plain(event),
            QueuedEvent::Wish { keeper, from, wish } => {
                if let Some(later) = self.keeper_wake_time(keeper) {
                    self.events.push(later, QueuedEvent::Wish { keeper, from, wish });
                } else if self.keepers[keeper].alive {
                    let gateway = process("gateway", from);
                    self.keepers[keeper].keeper.handle_request(self.now, &gateway, wish);
                    self.poll_keeper(keeper);
                }
            }
            QueuedEvent::Answer { gateway, answer } => {
                if let Some(later) = self.gateway_wake_time(gateway) {
                    self.events.push(later, QueuedEvent::Answer { gateway, answer });
                } else if self.gateways[gateway].alive {
                    self.take_answer(gateway, answer);
                }
            }
            QueuedEvent::Call { keeper, shard, outcome } => {
                if let Some(later) = self.keeper_wake_time(keeper) {
                    self.events.push(later, QueuedEvent::Call { keeper, shard, outcome });
                } else if self.keepers[keeper].alive {
                    self.take_call(keeper, shard, outcome);
                }
            }
            QueuedEvent::LateWrite(write) => {
                // The platform may reject the write; the keeper has already timed out.
                let _ = self.platform.apply(&write);
            }
        }
    }

    fn handle_plain(&mut self, event: Event) {
        match event {
            Event::CallerSends { sending } => self.caller_sends(sending),
            Event::CallerGivesUp { sending } => self.caller_gives_up(sending),
            Event::Gateway { sending, what } => {
                let gateway = self.sendings[sending].gateway;
                if let Some(later) = self.gateway_wake_time(gateway) {
                    self.events.push(later, QueuedEvent::Plain(event));
                } else if self.gateways[gateway].alive && !self.sendings[sending].finished {
                    self.gateway_event(sending, what);
                }
            }
            Event::ClaimTimer { gateway } => {
                if let Some(later) = self.gateway_wake_time(gateway) {
                    self.events.push(later, QueuedEvent::Plain(event));
                } else if self.gateways[gateway].alive {
                    self.gateways[gateway].timer = Timestamp::NEVER;
                    self.poll_claims(gateway);
                }
            }
            Event::KeeperTimer { keeper } => {
                if let Some(later) = self.keeper_wake_time(keeper) {
                    self.events.push(later, QueuedEvent::Plain(event));
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

    fn gateway_wake_time(&self, gateway: usize) -> Option<Timestamp> {
        let until = self.gateways[gateway].frozen_until;
        (self.now < until).then_some(until)
    }

    fn keeper_wake_time(&self, keeper: usize) -> Option<Timestamp> {
        let until = self.keepers[keeper].frozen_until;
        (self.now < until).then_some(until)
    }
}
