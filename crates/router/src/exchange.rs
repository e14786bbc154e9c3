//! The exchange of a request with back ends: placement, sending, retries and the answer to the
//! caller.

use crate::answer_end::AnswerEnd;
use crate::broken_connections::{self, BackEndFate};
use crate::buffered_answer::{BufferedAnswer, BufferedAnswerError, read_answer};
use crate::call::Call;
use crate::continuation::Continuation;
use crate::dialect::OwnAnswer;
use crate::events::{self, StopDecision, StopStage};
use crate::headers::{is_delimited, remove_hop_by_hop};
use crate::local_body::LocalBody;
use crate::outcome::{Outcome, OutcomeKind};
use crate::own_answers::{own_answer, record_end};
use crate::pool::BackEndConnection;
use crate::quarantine;
use crate::relay::{OUT_OF_TIME, Relay};
use crate::retries::RequestRetries;
use crate::router::Router;
use crate::run_progress::RunProgress;
use crate::send::{RequestSender, SendOutcome, circumstances};
use crate::shutdown::STOP_RETRY_AFTER;
use crate::stream_body::StreamBody;
use crate::stream_source::StreamSource;
use crate::takeover::Takeover;
use crate::ticket::Ticket;
use hyper::{Response, StatusCode, http};
use mastbay_routing::{
    Attempt, BackEnd, BackEndId, Demand, ExecutionStatus, Fault, Placement, QuarantineStatus,
    Refusal, RouteKind,
};
use mastbay_types::Timestamp;
use mastbay_web::MeteredBody;
use smol::future::FutureExt;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of attempts that send nothing or that the back end rejects without running the
/// request.
const MAX_REJECTIONS: u32 = 3;

/// The state of a request over all its attempts.
pub struct Exchange {
    router: Rc<Router>,
    call: Rc<Call>,
    attempt: Rc<RefCell<Attempt>>,
    tried: Vec<BackEndId>,
    /// Attempts that may have sent some of the request.
    deliveries: u32,
    rejections: u32,
    retries: Rc<RequestRetries>,
    /// The request is quarantined, and this is its one probe.
    is_probe: bool,
    /// Where the request goes next, if it left a slow back end.
    takeover: Cell<Option<Takeover>>,
}

/// The result of all attempts.
pub enum ExchangeResult {
    /// A complete answer from a back end.
    Answer(http::response::Parts, BufferedAnswer, BackEndId),
    /// The head of a stream and its body, which has begun.
    Stream(http::response::Parts, Box<StreamBody>),
    /// No answer was obtained. Holds the router's own answer and the logged reason.
    GivenUp(OwnAnswer, &'static str),
}

impl Exchange {
    /// Runs the exchange until there is a complete answer or the first event of a stream, or until
    /// the deadline.
    pub async fn run(router: &Rc<Router>, call: Rc<Call>) -> Response<LocalBody> {
        if !router.accepts(&call) {
            let result = rejected_for_stop(router, &call, StopStage::Received);
            return answer(router, &call, result);
        }
        let route = &call.entry.route;
        let attempt = Attempt::new(route.is_idempotent(), route.max_attempts);
        let attempt = Rc::new(RefCell::new(attempt));
        let now = router.now();
        router.log_during_stop(&call, StopDecision::Accepted, StopStage::Received);
        router.dispatcher.borrow_mut().on_request(now, &call.demand());
        let exchange = Self {
            router: router.clone(),
            call: call.clone(),
            attempt: attempt.clone(),
            tried: Vec::new(),
            deliveries: 0,
            rejections: 0,
            retries: RequestRetries::new(router, &call),
            is_probe: false,
            takeover: Cell::default(),
        };
        let caller_gone = CallerGoneGuard::new(router, &call);
        // Boxed, so that the connection doesn't hold its memory while a stream is relayed.
        let driving = Box::pin(exchange.drive());
        let driven = async {
            let driven = router.runtime.within(call.time_left(now), driving).await;
            driven.unwrap_or_else(|_| out_of_time(&attempt.borrow()))
        };
        let stopped = async {
            router.stop_limit.wait().await;
            given_up(&attempt.borrow(), Some(STOP_RETRY_AFTER), "stop_limit")
        };
        let result = driven.or(stopped).await;
        caller_gone.disarm();
        answer(router, &call, result)
    }

    async fn drive(mut self) -> ExchangeResult {
        loop {
            // After a suspension of the machine, the timeout fires with some delay.
            if self.call.time_left(self.router.now()).is_zero() {
                return out_of_time(&self.attempt.borrow());
            }
            if self.must_reject_for_stop() {
                return rejected_for_stop(&self.router, &self.call, StopStage::Sending);
            }
            let mut demand = self.call.demand();
            demand.tried = self.tried.clone();
            match quarantine::status(&self.router, &self.call).await {
                QuarantineStatus::Quarantined { retry_after, .. } if !self.try_start_probe() => {
                    return self.quarantined(retry_after);
                }
                QuarantineStatus::Quarantined { .. } | QuarantineStatus::Suspect => {
                    demand.suspect = quarantine::main_suspect(&self.router, &self.call);
                }
                QuarantineStatus::Clear => {}
            }
            let next = match self.takeover.take() {
                Some(takeover) => takeover,
                None => match self.obtain(demand).await {
                    Ok(placed) => placed,
                    Err(result) => return result,
                },
            };
            let Takeover { ticket, placement } = next;
            // The request may have been quarantined while it waited in the queue.
            if !self.is_probe
                && let Some(retry_after) = quarantine::retry_after(&self.router, &self.call)
            {
                return self.quarantined(retry_after);
            }
            if self.deliveries > 0 && !self.retries.hold() {
                return self.give_up("retry_budget");
            }
            self.call.record_placement(&placement, self.router.now());
            self.router.metrics.on_placement(&placement);
            let began = self.router.now();
            // Boxed, so that its memory is free again while a stream waits for its first event.
            let Some(sent) = Box::pin(self.send(&placement)).await else {
                return rejected_for_stop(&self.router, &self.call, StopStage::Sending);
            };
            if !matches!(sent, SendOutcome::NotSent(_)) {
                self.deliveries += 1;
            }
            match self.handle_outcome(sent, ticket, &placement, began).await {
                Some(result) => return result,
                None => self.tried.push(placement.back_end.id),
            }
        }
    }

    /// Evaluates an attempt that began at `began`. Returns `None` if the request may be sent to
    /// another back end.
    async fn handle_outcome(
        &mut self,
        sent: SendOutcome,
        ticket: Ticket,
        placement: &Placement,
        began: Timestamp,
    ) -> Option<ExchangeResult> {
        let (failure, reason) = match sent {
            SendOutcome::Answered(head, body, connection) => {
                self.attempt.borrow_mut().on_answer();
                return self.handle_answer(head, body, *connection, ticket, placement).await;
            }
            SendOutcome::NotSent(failure) => {
                self.rejections += 1;
                (failure, "not_sent")
            }
            SendOutcome::NotRun(failure) => {
                self.attempt.borrow_mut().on_not_run();
                self.rejections += 1;
                (failure, "not_run")
            }
            SendOutcome::Lost(failure) => {
                self.attempt.borrow_mut().on_lost();
                (failure, "lost")
            }
        };
        let circumstances = circumstances(&self.router, &self.call, placement, began);
        events::try_failed(&self.call, placement, failure, reason, circumstances);
        self.call.trace.borrow_mut().last_failure = Some(failure.cause);
        ticket.fail(failure.fault);
        drop(ticket);
        let may_retry = self.attempt.borrow().may_send() && self.rejections < MAX_REJECTIONS;
        if may_retry { None } else { Some(self.give_up(reason)) }
    }

    /// Starts relaying a stream, or reads a complete answer. Returns `None` if the request may be
    /// sent to another back end.
    async fn handle_answer(
        &mut self,
        head: http::response::Parts,
        body: MeteredBody,
        connection: BackEndConnection,
        ticket: Ticket,
        placement: &Placement,
    ) -> Option<ExchangeResult> {
        let id = placement.back_end.id.clone();
        if self.call.entry.route.kind == RouteKind::Streaming && head.status == StatusCode::OK {
            let back_end = &placement.back_end;
            let source = StreamSource::new(ticket, back_end, connection, &head.headers, body);
            return Some(self.begin_stream(head, source).await);
        }
        let reading = read_answer(&self.router.bodies, head.status, body);
        let body = match reading.await {
            Ok(body) => body,
            Err(error) => return self.handle_incomplete_answer(error, ticket, &id),
        };
        // An answer whose end is not marked is complete unless its back end terminated.
        let fate = if is_delimited(&head.headers) {
            BackEndFate::Alive
        } else {
            self.fate_after_answer(&placement.back_end).await
        };
        if fate == BackEndFate::Ended {
            return self.handle_incomplete_answer(BufferedAnswerError::Broken, ticket, &id);
        }
        self.router.pool.release(&id, connection);
        if !head.status.is_success() {
            ticket.on_error_answer();
        }
        self.router.update_idle_connection(&id);
        ticket.on_first_event();
        self.call.record_first_event(self.router.now());
        if head.status.is_server_error() {
            ticket.fail(Fault::Failure);
            if self.attempt.borrow().may_send() && self.router.has_retries(&self.call.service) {
                return None;
            }
        } else {
            ticket.succeed();
            if fate == BackEndFate::Alive {
                quarantine::on_served(&self.router, &self.call);
            }
        }
        Some(ExchangeResult::Answer(head, body, id))
    }

    /// Relays a stream, if there is a first event of it.
    async fn begin_stream(
        &mut self,
        head: http::response::Parts,
        source: StreamSource,
    ) -> ExchangeResult {
        let tried = std::mem::take(&mut self.tried);
        let continuation =
            Continuation::new(&self.router, &self.call, &self.attempt, &self.retries, tried);
        let mut relay = Relay::new(&self.router, &self.call, source, continuation);
        match relay.begin().await {
            Ok(received) => {
                ExchangeResult::Stream(head, Box::new(StreamBody::new(relay, received)))
            }
            Err(OUT_OF_TIME) => out_of_time(&self.attempt.borrow()),
            Err(failure) => self.give_up(failure),
        }
    }

    async fn fate_after_answer(&self, back_end: &BackEnd) -> BackEndFate {
        let (id, address) = (&back_end.id, back_end.address);
        let progress = RunProgress::Started;
        broken_connections::fate_after_answer(&self.router, &self.call, id, address, progress).await
    }

    /// Evaluates an answer that was not received completely. Returns `None` if the request may be
    /// sent to another back end.
    fn handle_incomplete_answer(
        &self,
        error: BufferedAnswerError,
        ticket: Ticket,
        back_end: &BackEndId,
    ) -> Option<ExchangeResult> {
        self.attempt.borrow_mut().on_lost();
        if error == BufferedAnswerError::Broken {
            broken_connections::record(&self.router, &self.call, back_end, RunProgress::Started);
            ticket.fail(Fault::Broken);
            if self.attempt.borrow().may_send() {
                return None;
            }
        }
        Some(self.give_up(error.reason()))
    }

    /// Waits for a slot at a back end, for as long as the request may still be sent there.
    async fn obtain(&self, demand: Demand) -> Result<Takeover, ExchangeResult> {
        let placed = async {
            let placed = Ticket::obtain(&self.router, demand).await;
            let placed = placed.map(|(ticket, placement)| Takeover { ticket, placement });
            placed.map_err(|refusal| self.refused(refusal))
        };
        let rejected = async {
            self.router.stop.wait().await;
            if !self.must_reject_for_stop() {
                std::future::pending::<()>().await;
            }
            Err(rejected_for_stop(&self.router, &self.call, StopStage::Waiting))
        };
        placed.or(rejected).await
    }

    /// Returns whether the request must not be sent any more, because the router stops before it
    /// ends. One that may have run goes on with all the time that is left.
    fn must_reject_for_stop(&self) -> bool {
        let status = self.attempt.borrow().execution_status();
        status == ExecutionStatus::NotRun && !self.router.accepts(&self.call)
    }

    /// Sends the request. Returns `None` if it must not be sent any more, because the router stops.
    async fn send(&self, placement: &Placement) -> Option<SendOutcome> {
        let sender = RequestSender {
            router: &self.router,
            call: &self.call,
            attempt: &self.attempt,
            retries: &self.retries,
            tried: &self.tried,
            takeover: &self.takeover,
        };
        let connection = match sender.connect_to(placement).await {
            Ok(connection) => connection,
            Err(outcome) => return Some(outcome),
        };
        if self.must_reject_for_stop() {
            self.router.pool.release(&placement.back_end.id, connection);
            return None;
        }
        Some(sender.send_on(connection, placement, self.call.head.last_event, true).await)
    }

    fn refused(&self, refusal: Refusal) -> ExchangeResult {
        self.call.record_refusal(&refusal);
        refusal.details.iter().for_each(|details| self.router.metrics.on_refusal(details));
        self.give_up_with_retry_after(refusal.retry_after, refusal.reason.name())
    }

    /// Returns whether a quarantined request is sent as a probe. A probe must be its first attempt.
    fn try_start_probe(&mut self) -> bool {
        let is_new = self.deliveries == 0 && self.rejections == 0;
        self.is_probe = is_new && quarantine::take_probe(&self.router, &self.call);
        self.is_probe
    }

    fn quarantined(&self, retry_after: Duration) -> ExchangeResult {
        self.call.trace.borrow_mut().retry_after = Some(retry_after);
        self.router.metrics.on_quarantined_call();
        self.give_up_with_retry_after(retry_after, "quarantined")
    }

    fn give_up(&self, reason: &'static str) -> ExchangeResult {
        let now = self.router.now();
        let dispatcher = self.router.dispatcher.borrow();
        let until = dispatcher.until_available(now, &self.call.demand(), rand::random());
        self.give_up_with_retry_after(until.unwrap_or(REJECTED_RETRY_AFTER), reason)
    }

    /// Gives up with an answer that depends on whether the request may have run. The retry delay is
    /// only returned if it has not.
    fn give_up_with_retry_after(
        &self,
        retry_after: Duration,
        reason: &'static str,
    ) -> ExchangeResult {
        given_up(&self.attempt.borrow(), Some(retry_after), reason)
    }
}

/// Retry delay returned when no back end accepted the request and none is backing off.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Gives up a request that has not run, because the router stops before it ends.
fn rejected_for_stop(router: &Router, call: &Call, stage: StopStage) -> ExchangeResult {
    router.metrics.on_stop_rejection(stage);
    router.log_during_stop(call, StopDecision::Rejected, stage);
    let retry_after = Some(STOP_RETRY_AFTER);
    ExchangeResult::GivenUp(OwnAnswer::NotRun { retry_after }, "stopping")
}

fn out_of_time(attempt: &Attempt) -> ExchangeResult {
    match attempt.execution_status() {
        ExecutionStatus::NotRun => {
            ExchangeResult::GivenUp(OwnAnswer::NotRun { retry_after: None }, "out_of_time")
        }
        ExecutionStatus::MayHaveRun => ExchangeResult::GivenUp(OwnAnswer::OutOfTime, "out_of_time"),
    }
}

/// Gives up with an answer that depends on whether the request may have run. `retry_after` is only
/// returned if it has not.
fn given_up(
    attempt: &Attempt,
    retry_after: Option<Duration>,
    reason: &'static str,
) -> ExchangeResult {
    let answer = match attempt.execution_status() {
        ExecutionStatus::NotRun => OwnAnswer::NotRun { retry_after },
        ExecutionStatus::MayHaveRun => OwnAnswer::UnknownOutcome,
    };
    ExchangeResult::GivenUp(answer, reason)
}

/// Records on drop that the caller disconnected before its answer, unless it was disarmed.
struct CallerGoneGuard<'a> {
    router: &'a Router,
    call: &'a Call,
    disarmed: bool,
}

impl<'a> CallerGoneGuard<'a> {
    fn new(router: &'a Router, call: &'a Call) -> Self {
        Self { router, call, disarmed: false }
    }

    fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for CallerGoneGuard<'_> {
    fn drop(&mut self) {
        if !self.disarmed {
            record_end(self.router, self.call, &Outcome::new(OutcomeKind::CallerGone));
        }
    }
}

fn answer(router: &Rc<Router>, call: &Rc<Call>, result: ExchangeResult) -> Response<LocalBody> {
    match result {
        ExchangeResult::Answer(mut head, body, id) => {
            let status = head.status.as_u16();
            let outcome =
                Outcome::new(OutcomeKind::Answered).with_status(status).with_back_end(&id);
            let end = AnswerEnd::decided(router, call, outcome);
            remove_hop_by_hop(&mut head.headers);
            let body = LocalBody::new(body.into_body());
            let mut response = Response::new(body.with_observer(end));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response
        }
        ExchangeResult::Stream(mut head, body) => {
            remove_hop_by_hop(&mut head.headers);
            let end = body.end();
            let mut response = Response::new(LocalBody::new(*body).with_observer(end));
            *response.headers_mut() = head.headers;
            response
        }
        ExchangeResult::GivenUp(own, reason) => {
            let outcome = Outcome::new(OutcomeKind::GivenUp).with_status(own.status().as_u16());
            let end = AnswerEnd::decided(router, call, outcome.with_reason(reason));
            router.metrics.on_own_answer(own);
            let answer = own_answer(router, Some(&call.head.request_id), own);
            answer.map(|body| body.with_observer(end))
        }
    }
}
