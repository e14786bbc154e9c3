//! Copies a connection between a caller and a peer until either side closes, an answer is overdue,
//! no further request is accepted, or this router ends.

use super::PeerConnection;
use super::answers::{BrokenSide, copy_answers};
use super::exchange_state::{ExchangeState, Phase};
use super::requests::{RequestCopier, RequestsEnd};
use crate::dialect::OwnAnswer;
use crate::lingering_close::close_after_answer;
use crate::listener::StopSignal;
use crate::receive_time::ReadDelay;
use crate::request_arrivals::ReadDating;
use crate::runtime::Runtime;
use derive_more::Display;
use mastbay_types::Timestamp;
use smol::future::FutureExt;
use smol::net::TcpStream;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for an overdue answer. Most connections end before the first check.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// What the forwarding router knows about the requests of a forwarded connection.
pub trait ForwardedConnection {
    /// Returns whether the configuration that the peer serves them by is still in force here.
    fn is_current(&self) -> bool;

    /// Returns the time within which the answer to a request must begin; `start` is the first bytes
    /// of the request.
    fn answer_timeout(&self, start: &[u8]) -> Duration;

    /// Returns how long bytes that are read now may have waited for this router.
    fn read_delay(&self) -> ReadDelay;

    /// Records that the connection ended before its peer or its caller asked for it.
    fn on_interruption(&self, _interruption: &Interruption<'_>) {}
}

/// The connection of a caller before anything was read from it.
#[derive(Debug)]
pub struct AcceptedCaller {
    /// The connection.
    pub stream: TcpStream,
    /// The earliest time at which it may have come.
    pub connected: Timestamp,
}

/// The phases of a stop of the forwarding router.
#[derive(Debug, Clone, Default)]
pub struct StopPhases {
    /// Triggered when the router accepts no further requests.
    pub accepts_none: StopSignal,
    /// Triggered shortly before the router ends.
    pub limit: StopSignal,
}

/// The outcome of copying a connection.
#[derive(Debug)]
pub enum CopyOutcome {
    /// No request was under way, or its answer had begun.
    Ended,
    /// The caller waits for an answer of which the peer sent no byte.
    Unanswered {
        /// The connection of the caller.
        caller: TcpStream,
        /// The reason why there was no answer.
        reason: EndReason,
        /// The answer for the caller.
        answer: OwnAnswer,
        /// The first bytes of the request.
        request_start: Vec<u8>,
    },
}

/// The reason why copying a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum EndReason {
    /// The peer closed its connection, or it failed.
    #[display("gone")]
    Disconnected,
    /// The caller closed its connection, or it failed.
    #[display("caller_left")]
    CallerLeft,
    /// The peer sent nothing for as long as the request may take.
    #[display("silent")]
    TimedOut,
    /// This router has stopped accepting requests.
    #[display("stopping")]
    Stopping,
    /// This router ends.
    #[display("stop_limit")]
    StopLimit,
    /// Another configuration is in force in this router.
    #[display("configuration")]
    ConfigurationChanged,
    /// No request has come for a while.
    #[display("idle")]
    Idle,
    /// The last answer closes the connection.
    #[display("last_answer")]
    LastAnswer,
}

/// How far a connection had come when copying it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Stage {
    /// No request was under way.
    #[display("idle")]
    Idle,
    /// Bytes of a request had come, which the peer has not received whole.
    #[display("not_passed_on")]
    NotPassedOn,
    /// The peer had received a request and sent nothing of an answer.
    #[display("unanswered")]
    Unanswered,
    /// The answer had begun and not ended.
    #[display("within_answer")]
    WithinAnswer,
}

/// An end of a forwarded connection that its caller and its peer did not ask for.
#[derive(Debug, Clone, Copy)]
pub struct Interruption<'a> {
    /// The reason.
    pub reason: EndReason,
    /// How far the connection had come.
    pub stage: Stage,
    /// The first bytes of the request; of the last one if none was under way.
    pub request_start: &'a [u8],
    /// Time since the request began to arrive.
    pub waited: Duration,
    /// Time since the first bytes of the answer, if it had begun.
    pub answering: Option<Duration>,
}

impl EndReason {
    /// Returns the answer for a caller whose request the peer has received and not answered. It may
    /// have run.
    fn answer(self) -> OwnAnswer {
        if self == Self::TimedOut { OwnAnswer::OutOfTime } else { OwnAnswer::UnknownOutcome }
    }

    /// Returns the answer for a caller whose request the peer has not received whole.
    fn answer_if_not_passed_on(self) -> OwnAnswer {
        match self {
            Self::TimedOut => OwnAnswer::OutOfTime,
            _ => OwnAnswer::NotRun { retry_after: None },
        }
    }
}

/// How copying ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CopyEnd {
    reason: EndReason,
    /// Bytes of the last answer may still be on their way to the caller.
    is_after_answer: bool,
}

impl CopyEnd {
    fn new(reason: EndReason) -> Self {
        Self { reason, is_after_answer: false }
    }
}

impl From<RequestsEnd> for CopyEnd {
    fn from(end: RequestsEnd) -> Self {
        match end {
            RequestsEnd::CallerClosed => Self::new(EndReason::CallerLeft),
            RequestsEnd::Closed { reason, is_after_answer } => {
                Self { is_after_answer, ..Self::new(reason) }
            }
            RequestsEnd::Refused(reason) => Self::new(reason),
        }
    }
}

impl PeerConnection {
    /// Copies both ways until the connection ends. After the first reads of each answer, answers are
    /// copied at `interval`.
    pub async fn copy(
        self,
        runtime: Runtime,
        caller: AcceptedCaller,
        interval: Duration,
        forwarded: Rc<dyn ForwardedConnection>,
        stop: StopPhases,
    ) -> CopyOutcome {
        let AcceptedCaller { stream: caller, connected } = caller;
        // The connection works without TCP_NODELAY, too.
        let _ = caller.set_nodelay(true);
        let state = ExchangeState::new(runtime.now());
        let delayed = forwarded.clone();
        let read_delays = Rc::new(move || delayed.read_delay());
        let dating = ReadDating::new(connected, read_delays, Box::new(caller.clone()));
        let copier = RequestCopier {
            runtime,
            caller: caller.clone(),
            peer: self.0.clone(),
            dating,
            state: state.clone(),
            forwarded: forwarded.clone(),
            stop: stop.clone(),
        };
        // A separate task: polled together, each chunk of an answer would cost a futile read of the
        // caller's side.
        let requests = runtime.spawn(copier.run());
        let connection = CopiedConnection { runtime, state, forwarded };
        let answers = async {
            let (peer, caller) = (self.0.clone(), caller.clone());
            match copy_answers(runtime, peer, caller, interval, &connection.state).await {
                Ok(()) if connection.state.lasts_until_close() => {
                    CopyEnd::new(EndReason::LastAnswer)
                }
                Ok(()) | Err(BrokenSide::Peer) => CopyEnd::new(EndReason::Disconnected),
                Err(BrokenSide::Caller) => CopyEnd::new(EndReason::CallerLeft),
            }
        };
        let requests = async { CopyEnd::from(requests.await) };
        let overdue = connection.until_overdue();
        let stopped = connection.until_stopped(&stop.limit);
        let end = answers.or(requests).or(overdue).or(stopped).await;
        // The peer's work for a request that is not answered must end. The connection may be closed
        // already.
        let _ = self.0.shutdown(Shutdown::Both);
        connection.end(end, caller).await
    }
}

/// A connection that is copied.
struct CopiedConnection {
    runtime: Runtime,
    state: ExchangeState,
    forwarded: Rc<dyn ForwardedConnection>,
}

impl CopiedConnection {
    /// Returns once an answer has not begun within its timeout.
    async fn until_overdue(&self) -> CopyEnd {
        loop {
            self.runtime.sleep(OVERDUE_CHECK_INTERVAL).await;
            while let Some(since) = self.state.awaited_since() {
                let timeout =
                    self.state.with_request_start(|start| self.forwarded.answer_timeout(start));
                let (due, now) = (since + timeout, self.runtime.now());
                if now >= due {
                    return CopyEnd::new(EndReason::TimedOut);
                }
                self.runtime.sleep(OVERDUE_CHECK_INTERVAL.min(due.since(now))).await;
            }
        }
    }

    /// Returns at the limit of a stop if no answer is under way. One that is goes on for as long as
    /// this router runs.
    async fn until_stopped(&self, limit: &StopSignal) -> CopyEnd {
        limit.wait().await;
        if self.state.phase() == Phase::Answering {
            self.record(EndReason::StopLimit, Stage::WithinAnswer);
            std::future::pending::<()>().await;
        }
        CopyEnd::new(EndReason::StopLimit)
    }

    async fn end(&self, end: CopyEnd, caller: TcpStream) -> CopyOutcome {
        let stage = self.stage();
        if end.reason != EndReason::LastAnswer {
            self.record(end.reason, stage);
        }
        let answer = match stage {
            Stage::NotPassedOn => end.reason.answer_if_not_passed_on(),
            Stage::Unanswered => end.reason.answer(),
            Stage::Idle | Stage::WithinAnswer => {
                if end.is_after_answer {
                    close_after_answer(self.runtime, caller).await;
                }
                return CopyOutcome::Ended;
            }
        };
        if end.reason == EndReason::CallerLeft {
            return CopyOutcome::Ended;
        }
        // The caller gets an answer from this router; a connection that just closes would look like
        // a failure of this router.
        let request_start = self.state.with_request_start(<[u8]>::to_vec);
        CopyOutcome::Unanswered { caller, reason: end.reason, answer, request_start }
    }

    fn stage(&self) -> Stage {
        match self.state.phase() {
            Phase::Receiving => Stage::NotPassedOn,
            Phase::Unframed | Phase::Awaiting => Stage::Unanswered,
            Phase::Answering => Stage::WithinAnswer,
            Phase::Idle | Phase::Discarding | Phase::Closing => Stage::Idle,
        }
    }

    fn record(&self, reason: EndReason, stage: Stage) {
        let now = self.runtime.now();
        let answered_at = self.state.answered_at();
        self.state.with_request_start(|request_start| {
            self.forwarded.on_interruption(&Interruption {
                reason,
                stage,
                request_start,
                waited: now.since(self.state.requested_at()),
                answering: answered_at.map(|at| now.since(at)),
            });
        });
    }
}
