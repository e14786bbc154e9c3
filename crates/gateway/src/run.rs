//! Runs a request from admission to its answer, in the steps that its [`Exchange`] decides.

use crate::admission::Admission;
use crate::answer::{buffered_answer, build_answer, error_answer};
use crate::attempt::{BackendAnswer, BufferedAnswer, OpenStream, attempt, time_left};
use crate::claims;
use crate::duty::GatewayDuty;
use crate::event_stream::reported_usage;
use crate::journal::RequestEvent;
use crate::relay::{ChunkSender, Relay};
use crate::reply::{Reply, reply_channel};
use crate::request::{AcceptedRequest, RequestIdentity, TRACEPARENT};
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
use smol::channel::Receiver;
use smol::future::FutureExt;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

/// Maximum number of chunks buffered for a slow caller before back-pressure reaches the back end.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Serves one HTTP request of a caller.
pub async fn serve(duty: Arc<GatewayDuty>, request: Request<Incoming>) -> Response<Body> {
    let identity = identify_request(&duty, request.headers());
    let Some(admission) = duty.admission() else {
        return refuse(&duty, &identity, NotRunReason::NotConfigured);
    };
    let accepted = match accept(&duty, &admission, identity, request).await {
        Ok(accepted) => accepted,
        Err(reason) => return refuse(&duty, &identity, reason),
    };
    duty.begin_journal_entry(&accepted);
    let (reply, answer) = reply_channel();
    let (guard, caller) = smol::channel::bounded::<Infallible>(1);
    smol::spawn(RequestTask::new(duty, accepted, reply, caller).run()).detach();
    let answer = answer.receive().await;
    // If the caller disconnects, this future is dropped with the guard, which closes the channel.
    drop(guard);
    answer.unwrap_or_else(|| {
        let outcome = Outcome::Unknown(mastbay_attempts::UnknownReason::BackendFailed);
        error_answer(&identity, outcome)
    })
}

fn identify_request(duty: &GatewayDuty, headers: &HeaderMap) -> RequestIdentity {
    let mut random = duty.node().random();
    let given = headers.get(TRACEPARENT).and_then(|value| value.to_str().ok()?.parse().ok());
    let trace = given.unwrap_or_else(|| TraceContext::new_root(&mut random));
    RequestIdentity { id: RequestId::generate(&mut random), trace }
}

fn refuse(duty: &GatewayDuty, identity: &RequestIdentity, reason: NotRunReason) -> Response<Body> {
    let outcome = Outcome::NotRun(reason);
    duty.count_outcome("", "", outcome);
    tracing::info!(event = "request_refused", request = %identity.id, code = reason.code());
    error_answer(identity, outcome)
}

async fn accept(
    duty: &GatewayDuty,
    admission: &Admission,
    identity: RequestIdentity,
    request: Request<Incoming>,
) -> Result<AcceptedRequest, NotRunReason> {
    let (head, body) = request.into_parts();
    let caller = admission.authenticate(head)?;
    let body =
        read_limited(body, duty.settings().body_limit).await.map_err(|error| match error {
            ReadBodyError::TooLarge { .. } => NotRunReason::BodyTooLarge,
            ReadBodyError::Broken => NotRunReason::BadRequest,
        })?;
    admission.accept(identity, caller, body, duty.node().now())
}

/// The task that runs one accepted request.
struct RequestTask {
    duty: Arc<GatewayDuty>,
    request: AcceptedRequest,
    exchange: Exchange,
    ticket: Option<Ticket>,
    assignment: Option<Assignment>,
    /// `None` once the response was sent.
    reply: Option<Reply>,
    caller: Receiver<Infallible>,
    span: HopSpan,
    answer: Option<BufferedAnswer>,
    status: StatusCode,
    /// Sender of the streamed body, once the head has been sent to the caller.
    stream: Option<ChunkSender>,
}

impl RequestTask {
    fn new(
        duty: Arc<GatewayDuty>,
        request: AcceptedRequest,
        reply: Reply,
        caller: Receiver<Infallible>,
    ) -> Self {
        let policy = RequestPolicy {
            repeatable: request.service.repeatable,
            claim: request.claim.is_some(),
            claim_required: request.service.claims == mastbay_configuration::ClaimPolicy::Required,
            deadline: request.deadline,
            max_attempts: duty.settings().max_attempts,
        };
        let span = HopSpan::start("gateway", request.identity.trace, &mut duty.node().random());
        Self {
            duty,
            request,
            exchange: Exchange::new(policy),
            ticket: None,
            assignment: None,
            reply: Some(reply),
            caller,
            span,
            answer: None,
            status: StatusCode::OK,
            stream: None,
        }
    }

    async fn run(mut self) {
        let mut step = self.exchange.start();
        let outcome = loop {
            step = match step {
                Step::TakeClaim => {
                    self.record_event(RequestEvent::Claiming);
                    claims::take(&self.duty, &self.request, &mut self.exchange).await
                }
                Step::Queue => self.wait_for_grant().await,
                Step::Connect => self.attempt_once().await,
                Step::Finish(outcome) => break outcome,
            };
        };
        self.conclude(outcome).await;
    }

    fn record_event(&self, event: RequestEvent) {
        self.duty.record_event(self.request.identity.id, event);
    }

    fn on_failure(&mut self, failure: Failure) -> Step {
        self.record_event(RequestEvent::Failed(failure));
        let now = self.duty.node().now();
        let exchange = &mut self.exchange;
        self.duty
            .with_budget(&self.request.cell.service, |budget| exchange.failed(now, failure, budget))
    }

    async fn wait_for_grant(&mut self) -> Step {
        self.record_event(RequestEvent::Queued);
        let started = Instant::now();
        let granted = match self.queue() {
            Ok(()) => self.receive_grant().await,
            Err(reason) => return Step::Finish(Outcome::NotRun(reason)),
        };
        self.duty.metrics().waits.observe(started.elapsed().as_secs_f64());
        match granted {
            Ok(assignment) => {
                self.record_event(RequestEvent::Granted(assignment.backend.clone()));
                self.assignment = Some(assignment);
                self.exchange.granted()
            }
            Err(failure) => self.on_failure(failure),
        }
    }

    /// Queues the request, or queues it again after a failed attempt. Fails at once if the queue is
    /// full.
    fn queue(&mut self) -> Result<(), NotRunReason> {
        match &mut self.ticket {
            Some(ticket) => ticket.requeue(),
            none => *none = Some(Ticket::queue(&self.duty, &self.request)?),
        }
        Ok(())
    }

    async fn receive_grant(&self) -> Result<Assignment, Failure> {
        let Some(ticket) = &self.ticket else {
            return Err(Failure::Stopping);
        };
        let granted = async { ticket.receive_grant().await.map_err(|_| Failure::Stopping) };
        let disconnected = async {
            self.caller_disconnected().await;
            Err(Failure::CallerGone)
        };
        let limit = time_left(&self.duty, self.request.deadline);
        within(limit, granted.or(disconnected)).await.unwrap_or(Err(Failure::Deadline))
    }

    async fn caller_disconnected(&self) {
        // Nothing is ever sent on this channel; it closes when the caller disconnects.
        let _ = self.caller.recv().await;
    }

    async fn attempt_once(&mut self) -> Step {
        let Some(assignment) = self.assignment.take() else {
            return self.on_failure(Failure::Connect);
        };
        // The back end may have been removed from the configuration since the grant.
        let Some(backend) = self.duty.backend(&assignment.backend) else {
            return self.on_failure(Failure::Connect);
        };
        self.record_event(RequestEvent::Sending);
        let started = Instant::now();
        let responses = self.duty.responses(&self.request.cell, &assignment.backend);
        let span = HopSpan::start("backend", self.span.context(), &mut self.duty.node().random());
        let trace = span.context();
        let answer = self.attempt_unless_disconnected(backend.address, trace).await;
        let result = match answer {
            Ok(BackendAnswer::Buffered(answer)) => {
                self.accept_buffered(answer, started);
                Ok(())
            }
            Ok(BackendAnswer::Stream(stream)) => self.relay(stream).await,
            Err(failure) => Err(failure),
        };
        let id = self.request.identity.id.to_string();
        span.finish(&id, &result.map_or_else(|failure| failure.to_string(), |()| "ok".to_owned()));
        match result {
            Ok(()) => self.exchange.answered(),
            Err(failure) => {
                if failure == Failure::Connect {
                    let (cell, backend) = (&self.request.cell, &assignment.backend);
                    self.duty.record_unreachable(cell, backend, responses);
                }
                self.after_failed_attempt(failure, started)
            }
        }
    }

    /// Runs one attempt. A repeatable request is dropped when its caller disconnects; any other
    /// runs to its end, as its claim needs the outcome.
    async fn attempt_unless_disconnected(
        &mut self,
        address: std::net::SocketAddr,
        trace: TraceContext,
    ) -> Result<BackendAnswer, Failure> {
        let Self { duty, request, exchange, caller, .. } = self;
        let attempt = attempt(duty, request, exchange, address, trace);
        if !request.service.repeatable {
            return attempt.await;
        }
        let disconnected = async {
            // Nothing is ever sent on this channel; it closes when the caller disconnects.
            let _ = caller.recv().await;
            Err(Failure::CallerGone)
        };
        attempt.or(disconnected).await
    }

    fn after_failed_attempt(&mut self, failure: Failure, started: Instant) -> Step {
        let sent = self.exchange.stage() >= Stage::Sent;
        let step = self.on_failure(failure);
        if matches!(step, Step::Finish(_)) && self.stream.is_none() && sent {
            let cost = self.time_cost(started);
            if let Some(ticket) = &mut self.ticket {
                ticket.finish(cost, false);
            }
        }
        step
    }

    /// Returns the cost by elapsed time: milliseconds, at least 1, for a plain service; zero for a
    /// model, which reports its own usage.
    fn time_cost(&self, started: Instant) -> Cost {
        match self.request.service.kind {
            ServiceKind::Plain { .. } => {
                Cost(i64::try_from(started.elapsed().as_millis()).unwrap_or(i64::MAX).max(1))
            }
            ServiceKind::Model { .. } => Cost::ZERO,
        }
    }

    fn accept_buffered(&mut self, answer: BufferedAnswer, started: Instant) {
        self.record_event(RequestEvent::AnswerBegun);
        let cost = reported_usage(&answer.body).unwrap_or_else(|| self.time_cost(started));
        self.status = answer.status;
        self.answer = Some(answer);
        if let Some(ticket) = &mut self.ticket {
            ticket.finish(cost, true);
        }
    }

    async fn relay(&mut self, stream: OpenStream) -> Result<(), Failure> {
        self.record_event(RequestEvent::AnswerBegun);
        self.exchange.answer_begun();
        let (sender, chunks) = smol::channel::bounded(MAX_BUFFERED_CHUNKS);
        let headers = stream.headers.clone();
        let response =
            build_answer(&self.request.identity, StatusCode::OK, headers, streamed(chunks));
        // If the caller has disconnected, sending the first chunk fails.
        self.send_response(response);
        self.stream = Some(sender.clone());
        let Some(ticket) = &mut self.ticket else {
            return Err(Failure::Stopping);
        };
        let relay = Relay::new(&self.duty, &self.request, ticket, sender, &stream);
        let (service, result) = relay.run(stream).await;
        ticket.finish(service, result.is_ok());
        result
    }

    fn send_response(&mut self, response: Response<Body>) {
        if let Some(reply) = self.reply.take() {
            reply.send(response);
        }
    }

    async fn conclude(mut self, outcome: Outcome) {
        // The slot is released before the caller gets its answer, so its next request can use it.
        drop(self.ticket.take());
        self.record_event(RequestEvent::Finished(outcome));
        let (service, tenant) = (&self.request.cell.service, &self.request.tenant);
        self.duty.count_outcome(service.as_str(), tenant.as_str(), outcome);
        if self.exchange.claimed() {
            claims::settle(&self.duty, &self.request, outcome, self.status.as_u16());
        }
        let identity = self.request.identity;
        tracing::info!(
            event = "request",
            request = %identity.id,
            tenant = %tenant,
            service = %service,
            outcome = %outcome,
            code = outcome.code(),
        );
        match (self.answer.take(), &self.stream) {
            (Some(answer), _) => {
                let BufferedAnswer { status, headers, body } = answer;
                self.send_response(buffered_answer(&identity, status, headers, body));
            }
            (None, Some(_)) if outcome == Outcome::Answered => {}
            (None, Some(caller)) => Relay::abort(caller, &self.request, outcome).await,
            (None, None) => {
                self.send_response(error_answer(&identity, outcome));
            }
        }
        self.span.finish(&identity.id.to_string(), outcome.code());
    }
}
