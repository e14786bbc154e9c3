//! Runs a request from accept to answer, by the steps that its [`Exchange`] decides.

use crate::admission::Admission;
use crate::answer::{error_answer, head_of_answer, whole_answer};
use crate::attempt::{Brought, OpenStream, WholeAnswer, attempt, time_left};
use crate::claims;
use crate::duty::GatewayDuty;
use crate::event_stream::usage_of;
use crate::journal::Happening;
use crate::relay::{ChunkSender, Relay};
use crate::request::{AcceptedRequest, RequestName, TRACEPARENT};
use crate::ticket::Ticket;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use mastbay_attempts::{Exchange, Failure, NotRunReason, Outcome, RequestPolicy, Stage, Step};
use mastbay_configuration::ServiceKind;
use mastbay_grants::Assignment;
use mastbay_telemetry::{HopSpan, TraceContext};
use mastbay_types::{Cost, RequestId};
use mastbay_web::{Body, ReadBodyError, read_limited, streamed, within};
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

/// Chunks of a stream that wait for a slow caller before the back end is made to wait.
const CHUNKS_BUFFERED: usize = 16;

/// Serves one HTTP request of a caller.
pub async fn serve(duty: Arc<GatewayDuty>, request: Request<Incoming>) -> Response<Body> {
    let name = name_request(&duty, request.headers());
    let Some(admission) = duty.admission() else {
        return refuse(&duty, &name, NotRunReason::NotConfigured);
    };
    let accepted = match accept(&duty, &admission, name, request).await {
        Ok(accepted) => accepted,
        Err(reason) => return refuse(&duty, &name, reason),
    };
    duty.begin_account(&accepted);
    let (reply, answer) = smol::channel::bounded(1);
    let (guard, caller) = smol::channel::bounded::<Infallible>(1);
    smol::spawn(Run::new(duty, accepted, reply, caller).finish()).detach();
    let answer = answer.recv().await;
    // Held until here: if the caller goes away, this future and the guard with it are dropped.
    drop(guard);
    answer.unwrap_or_else(|_| {
        let outcome = Outcome::Unknown(mastbay_attempts::UnknownReason::BackendFailed);
        error_answer(&name, outcome)
    })
}

fn name_request(duty: &GatewayDuty, headers: &HeaderMap) -> RequestName {
    let mut random = duty.node().random();
    let given = headers.get(TRACEPARENT).and_then(|value| value.to_str().ok()?.parse().ok());
    let trace = given.unwrap_or_else(|| TraceContext::new_root(&mut random));
    RequestName { id: RequestId::generate(&mut random), trace }
}

fn refuse(duty: &GatewayDuty, name: &RequestName, reason: NotRunReason) -> Response<Body> {
    let outcome = Outcome::NotRun(reason);
    duty.count_outcome("", "", outcome);
    tracing::info!(event = "request_refused", request = %name.id, code = reason.code());
    error_answer(name, outcome)
}

async fn accept(
    duty: &GatewayDuty,
    admission: &Admission,
    name: RequestName,
    request: Request<Incoming>,
) -> Result<AcceptedRequest, NotRunReason> {
    let (head, body) = request.into_parts();
    let caller = admission.recognise(head)?;
    let body =
        read_limited(body, duty.settings().body_limit).await.map_err(|error| match error {
            ReadBodyError::TooLarge { .. } => NotRunReason::BodyTooLarge,
            ReadBodyError::Broken => NotRunReason::BadRequest,
        })?;
    admission.accept(name, caller, body, duty.node().now())
}

/// One request under way.
struct Run {
    duty: Arc<GatewayDuty>,
    request: AcceptedRequest,
    exchange: Exchange,
    ticket: Option<Ticket>,
    assignment: Option<Assignment>,
    reply: Sender<Response<Body>>,
    caller: Receiver<Infallible>,
    span: HopSpan,
    answer: Option<WholeAnswer>,
    status: StatusCode,
    /// The caller's end of a stream that has begun.
    stream: Option<ChunkSender>,
}

impl Run {
    fn new(
        duty: Arc<GatewayDuty>,
        request: AcceptedRequest,
        reply: Sender<Response<Body>>,
        caller: Receiver<Infallible>,
    ) -> Self {
        let policy = RequestPolicy {
            repeatable: request.service.repeatable,
            claim: request.claim.is_some(),
            claim_required: request.service.claims == mastbay_configuration::ClaimPolicy::Required,
            deadline: request.deadline,
            max_attempts: duty.settings().most_tries,
        };
        let span = HopSpan::start("gateway", request.name.trace, &mut duty.node().random());
        Self {
            duty,
            request,
            exchange: Exchange::new(policy),
            ticket: None,
            assignment: None,
            reply,
            caller,
            span,
            answer: None,
            status: StatusCode::OK,
            stream: None,
        }
    }

    async fn finish(mut self) {
        let mut step = self.exchange.start();
        let outcome = loop {
            step = match step {
                Step::TakeClaim => {
                    self.note(Happening::Claiming);
                    claims::take(&self.duty, &self.request, &mut self.exchange).await
                }
                Step::Queue => self.wait_for_grant().await,
                Step::Connect => self.try_once().await,
                Step::Finish(outcome) => break outcome,
            };
        };
        self.conclude(outcome).await;
    }

    fn note(&self, happening: Happening) {
        self.duty.note(self.request.name.id, happening);
    }

    fn failed(&mut self, failure: Failure) -> Step {
        self.note(Happening::Failed(failure));
        let now = self.duty.node().now();
        let exchange = &mut self.exchange;
        self.duty
            .with_budget(&self.request.cell.service, |budget| exchange.failed(now, failure, budget))
    }

    async fn wait_for_grant(&mut self) -> Step {
        self.note(Happening::Queued);
        let began = Instant::now();
        let granted = match self.queue() {
            Ok(()) => self.granted().await,
            Err(reason) => return Step::Finish(Outcome::NotRun(reason)),
        };
        self.duty.metrics().waits.observe(began.elapsed().as_secs_f64());
        match granted {
            Ok(assignment) => {
                self.note(Happening::Granted(assignment.backend.clone()));
                self.assignment = Some(assignment);
                self.exchange.granted()
            }
            Err(failure) => self.failed(failure),
        }
    }

    /// Takes or returns to a place in the queue. A full queue is told at once.
    fn queue(&mut self) -> Result<(), NotRunReason> {
        match &mut self.ticket {
            Some(ticket) => ticket.requeue(),
            none => *none = Some(Ticket::queue(&self.duty, &self.request)?),
        }
        Ok(())
    }

    async fn granted(&self) -> Result<Assignment, Failure> {
        let Some(ticket) = &self.ticket else {
            return Err(Failure::Stopping);
        };
        let granted = async { ticket.granted().await.map_err(|_| Failure::Stopping) };
        let gone = async {
            self.caller_gone().await;
            Err(Failure::CallerGone)
        };
        let limit = time_left(&self.duty, self.request.deadline);
        within(limit, granted.or(gone)).await.unwrap_or(Err(Failure::Deadline))
    }

    async fn caller_gone(&self) {
        // Nothing is ever sent: the channel only closes.
        let _ = self.caller.recv().await;
    }

    async fn try_once(&mut self) -> Step {
        let Some(assignment) = self.assignment.take() else {
            return self.failed(Failure::Connect);
        };
        // Taken out of the configuration since it was granted.
        let Some(backend) = self.duty.backend(&assignment.backend) else {
            return self.failed(Failure::Connect);
        };
        self.note(Happening::Sending);
        let began = Instant::now();
        let span = HopSpan::start("backend", self.span.context(), &mut self.duty.node().random());
        let trace = span.context();
        let brought = self.attempt_unless_caller_gone(backend.address, trace).await;
        let result = match brought {
            Ok(Brought::Whole(answer)) => {
                self.take_whole(answer, began);
                Ok(())
            }
            Ok(Brought::Stream(stream)) => self.relay(stream).await,
            Err(failure) => Err(failure),
        };
        let id = self.request.name.id.to_string();
        span.finish(&id, &result.map_or_else(|failure| failure.to_string(), |()| "ok".to_owned()));
        match result {
            Ok(()) => self.exchange.answered(),
            Err(failure) => self.after_failed_try(failure, &assignment, began),
        }
    }

    /// A request that may be repeated, or that nobody waits for before it was sent, is dropped with
    /// its caller. One that may not be repeated runs to its end, so that its claim tells how it
    /// ended.
    async fn attempt_unless_caller_gone(
        &mut self,
        address: std::net::SocketAddr,
        trace: TraceContext,
    ) -> Result<Brought, Failure> {
        let Self { duty, request, exchange, caller, .. } = self;
        let trying = attempt(duty, request, exchange, address, trace);
        if !request.service.repeatable {
            return trying.await;
        }
        let gone = async {
            // Nothing is ever sent: the channel only closes.
            let _ = caller.recv().await;
            Err(Failure::CallerGone)
        };
        trying.or(gone).await
    }

    fn after_failed_try(
        &mut self,
        failure: Failure,
        assignment: &Assignment,
        began: Instant,
    ) -> Step {
        if failure == Failure::Connect {
            self.duty.note_unreachable(&self.request.cell, &assignment.backend);
        }
        let sent = self.exchange.stage() >= Stage::Sent;
        let step = self.failed(failure);
        if matches!(step, Step::Finish(_)) && self.stream.is_none() && sent {
            let cost = self.time_cost(began);
            if let Some(ticket) = &mut self.ticket {
                ticket.finish(cost, false);
            }
        }
        step
    }

    /// Cost of a plain service: the time that it took, in milliseconds. A model tells its own.
    fn time_cost(&self, began: Instant) -> Cost {
        match self.request.service.kind {
            ServiceKind::Plain { .. } => {
                Cost(i64::try_from(began.elapsed().as_millis()).unwrap_or(i64::MAX).max(1))
            }
            ServiceKind::Model { .. } => Cost::ZERO,
        }
    }

    fn take_whole(&mut self, answer: WholeAnswer, began: Instant) {
        self.note(Happening::AnswerBegun);
        let cost = usage_of(&answer.body).unwrap_or_else(|| self.time_cost(began));
        self.status = answer.status;
        self.answer = Some(answer);
        if let Some(ticket) = &mut self.ticket {
            ticket.finish(cost, true);
        }
    }

    async fn relay(&mut self, stream: OpenStream) -> Result<(), Failure> {
        self.note(Happening::AnswerBegun);
        self.exchange.answer_begun();
        let (sender, chunks) = smol::channel::bounded(CHUNKS_BUFFERED);
        let headers = stream.headers.clone();
        let response =
            head_of_answer(&self.request.name, StatusCode::OK, headers, streamed(chunks));
        // A caller that is gone shows when its first chunk cannot be sent.
        let _ = self.reply.send(response).await;
        self.stream = Some(sender.clone());
        let Some(ticket) = &mut self.ticket else {
            return Err(Failure::Stopping);
        };
        let relay = Relay::new(&self.duty, &self.request, ticket, sender, &stream);
        let (service, result) = relay.carry(stream).await;
        ticket.finish(service, result.is_ok());
        result
    }

    async fn conclude(mut self, outcome: Outcome) {
        // The place is given back before the caller hears, so that its next request finds it free.
        drop(self.ticket.take());
        self.note(Happening::Over(outcome));
        let (service, tenant) = (&self.request.cell.service, &self.request.tenant);
        self.duty.count_outcome(service.as_str(), tenant.as_str(), outcome);
        if self.exchange.claimed() {
            claims::settle(&self.duty, &self.request, outcome, self.status.as_u16());
        }
        let name = self.request.name;
        tracing::info!(
            event = "request",
            request = %name.id,
            tenant = %tenant,
            service = %service,
            outcome = %outcome,
            code = outcome.code(),
        );
        match (self.answer.take(), &self.stream) {
            (Some(answer), _) => {
                let WholeAnswer { status, headers, body } = answer;
                let _ = self.reply.send(whole_answer(&name, status, headers, body)).await;
            }
            (None, Some(_)) if outcome == Outcome::Answered => {}
            (None, Some(caller)) => Relay::break_off(caller, &self.request, outcome).await,
            (None, None) => {
                let _ = self.reply.send(error_answer(&name, outcome)).await;
            }
        }
        self.span.finish(&name.id.to_string(), outcome.code());
    }
}
