//! A request's way to back ends: placed, sent, sent again where that is allowed, answered.

use crate::broken_connections;
use crate::buffered_answer::{WholeAnswer, WholeAnswerError, read_whole};
use crate::call::Call;
use crate::dialect::OwnAnswer;
use crate::events;
use crate::headers::{is_delimited, keep_end_to_end};
use crate::listener::{LocalBody, full_with_guard};
use crate::outcome::{Outcome, OutcomeKind};
use crate::own_answers::{note_end, own_answer};
use crate::pool::BackEndConnection;
use crate::quarantine;
use crate::relay::{Relay, Source, StreamBody};
use crate::router::Router;
use crate::send::{Sender, Try};
use crate::ticket::Ticket;
use hyper::body::Incoming;
use hyper::{Response, StatusCode, http};
use mastbay_routing::{
    Attempt, BackEndId, ExecutionStatus, Fault, Placement, QuarantineStatus, Refusal, RouteKind,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Back ends that are tried in vain, without a byte sent or with their word that it did not run.
const MOST_REJECTIONS: u32 = 3;
/// A request on its way.
pub struct Exchange {
    router: Rc<Router>,
    call: Rc<Call>,
    attempt: Rc<RefCell<Attempt>>,
    tried: Vec<BackEndId>,
    /// Times that a byte of it left for a back end.
    arrivals: u32,
    rejections: u32,
    /// It is quarantined and let through once.
    is_probe: bool,
}

/// What came of all tries.
pub enum Ended {
    /// A whole answer of a back end.
    Answer(http::response::Parts, WholeAnswer, BackEndId),
    /// A stream has begun.
    Stream(http::response::Parts, Box<Relay>),
    /// The router gives up.
    GivenUp(OwnAnswer, &'static str),
}

impl Exchange {
    /// Brings a request to its answer, or to the beginning of its stream.
    pub async fn run(router: &Rc<Router>, call: Rc<Call>) -> Response<LocalBody> {
        let route = &call.entry.route;
        let attempt = Attempt::new(route.is_idempotent(), route.max_attempts);
        let attempt = Rc::new(RefCell::new(attempt));
        let now = router.now();
        router.dispatcher.borrow_mut().on_request(now, &call.demand());
        let exchange = Self {
            router: router.clone(),
            call: call.clone(),
            attempt: attempt.clone(),
            tried: Vec::new(),
            arrivals: 0,
            rejections: 0,
            is_probe: false,
        };
        let unfinished = Unfinished::new(router, &call);
        let ended = match router.runtime.within(call.time_left(now), exchange.drive()).await {
            Ok(ended) => ended,
            Err(_) => out_of_time(&attempt.borrow()),
        };
        unfinished.finished();
        answer(router, &call, ended)
    }

    async fn drive(mut self) -> Ended {
        loop {
            // After a suspension limits end some moments late.
            if self.call.time_left(self.router.now()).is_zero() {
                return out_of_time(&self.attempt.borrow());
            }
            let mut demand = self.call.demand();
            demand.tried = self.tried.clone();
            match quarantine::status(&self.router, &self.call).await {
                QuarantineStatus::Quarantined { retry_after, .. } if !self.takes_probe() => {
                    return self.quarantined(retry_after);
                }
                QuarantineStatus::Quarantined { .. } | QuarantineStatus::Suspect => {
                    demand.suspect = Some(self.call.fingerprint());
                }
                QuarantineStatus::Clear => {}
            }
            let obtained = Ticket::obtain(&self.router, demand).await;
            let (ticket, placement) = match obtained {
                Ok(obtained) => obtained,
                Err(refusal) => return self.refused(refusal),
            };
            // A request that waited for its place may be quarantined meanwhile.
            if !self.is_probe
                && let Some(retry_after) = quarantine::retry_after(&self.router, &self.call)
            {
                return self.quarantined(retry_after);
            }
            if self.arrivals > 0 && !self.router.take_retry(&self.call.service) {
                return self.give_up("retry_budget");
            }
            self.call.note_placement(&placement, self.router.now());
            let tried = self.try_once(&placement).await;
            if !matches!(tried, Try::NotSent(_)) {
                self.arrivals += 1;
            }
            match self.settle(tried, ticket, &placement).await {
                Some(ended) => return ended,
                None => self.tried.push(placement.back_end.id),
            }
        }
    }

    /// Ends the exchange, or gives nothing if the request goes to a further back end.
    async fn settle(&mut self, tried: Try, ticket: Ticket, placement: &Placement) -> Option<Ended> {
        let (fault, reason) = match tried {
            Try::Answered(head, body, connection) => {
                self.attempt.borrow_mut().on_answer();
                return self.take_answer(head, body, *connection, ticket, placement).await;
            }
            Try::NotSent(fault) => {
                self.rejections += 1;
                (fault, "not_sent")
            }
            Try::NotRun(fault) => {
                self.attempt.borrow_mut().on_not_run();
                self.rejections += 1;
                (fault, "not_run")
            }
            Try::Lost(fault) => {
                self.attempt.borrow_mut().on_lost();
                (fault, "lost")
            }
        };
        events::try_failed(&self.call, placement, fault, reason);
        ticket.fail(fault);
        drop(ticket);
        let goes_on = self.attempt.borrow().may_send() && self.rejections < MOST_REJECTIONS;
        if goes_on { None } else { Some(self.give_up(reason)) }
    }

    async fn take_answer(
        &mut self,
        head: http::response::Parts,
        body: Incoming,
        connection: BackEndConnection,
        ticket: Ticket,
        placement: &Placement,
    ) -> Option<Ended> {
        let id = placement.back_end.id.clone();
        let is_delimited = is_delimited(&head.headers);
        if self.call.entry.route.kind == RouteKind::Streaming && head.status == StatusCode::OK {
            let source = Source { ticket, back_end: id, connection, body, is_delimited };
            let tried = std::mem::take(&mut self.tried);
            let relay = Relay::new(&self.router, &self.call, &self.attempt, source, tried);
            return Some(Ended::Stream(head, Box::new(relay)));
        }
        let body = match read_whole(self.router.runtime, &self.router.bodies, body).await {
            Ok(body) => body,
            Err(error) => return self.without_answer(error, ticket, &id),
        };
        self.router.pool.keep(&id, connection);
        ticket.on_first_event();
        self.call.note_first_event(self.router.now());
        if head.status.is_server_error() {
            ticket.fail(Fault::Failure);
            if self.attempt.borrow().may_send() && self.router.has_retries(&self.call.service) {
                return None;
            }
        } else {
            ticket.succeed();
            if is_delimited {
                quarantine::on_served(&self.router, &self.call);
            }
        }
        Some(Ended::Answer(head, body, id))
    }

    /// Ends the exchange whose answer did not come whole, or gives nothing if the request goes to a further back end.
    fn without_answer(
        &self,
        error: WholeAnswerError,
        ticket: Ticket,
        back_end: &BackEndId,
    ) -> Option<Ended> {
        self.attempt.borrow_mut().on_lost();
        if error == WholeAnswerError::Broken {
            broken_connections::note(&self.router, &self.call, back_end);
            ticket.fail(Fault::Broken);
            if self.attempt.borrow().may_send() {
                return None;
            }
        }
        Some(self.give_up(error.reason()))
    }

    async fn try_once(&self, placement: &Placement) -> Try {
        let sender = Sender { router: &self.router, call: &self.call, attempt: &self.attempt };
        sender.send(placement, self.call.head.last_event, true).await
    }

    fn refused(&self, refusal: Refusal) -> Ended {
        self.call.note_refusal(&refusal);
        self.told(refusal.retry_after, refusal.reason.name())
    }

    /// Whether a quarantined request is let through here: before its first send, and once.
    fn takes_probe(&mut self) -> bool {
        let is_new = self.arrivals == 0 && self.rejections == 0;
        self.is_probe = is_new && quarantine::take_probe(&self.router, &self.call);
        self.is_probe
    }

    fn quarantined(&self, retry_after: Duration) -> Ended {
        self.call.trace.borrow_mut().retry_after = Some(retry_after);
        self.router.metrics.on_quarantined_call();
        self.told(retry_after, "quarantined")
    }

    fn give_up(&self, reason: &'static str) -> Ended {
        let now = self.router.now();
        let dispatcher = self.router.dispatcher.borrow();
        let until = dispatcher.until_backoff_ends(now, &self.call.demand(), rand::random());
        self.told(until.unwrap_or(REJECTED_PAUSE), reason)
    }

    /// What the caller is told of a request that goes to no further back end.
    fn told(&self, retry_after: Duration, reason: &'static str) -> Ended {
        let answer = match self.attempt.borrow().execution_status() {
            ExecutionStatus::NotRun => OwnAnswer::NotRun { retry_after: Some(retry_after) },
            ExecutionStatus::MayHaveRun => OwnAnswer::UnknownOutcome,
        };
        Ended::GivenUp(answer, reason)
    }
}

/// When a caller may come back whose request back ends did not take.
const REJECTED_PAUSE: Duration = Duration::from_millis(400);

fn out_of_time(attempt: &Attempt) -> Ended {
    match attempt.execution_status() {
        ExecutionStatus::NotRun => {
            Ended::GivenUp(OwnAnswer::NotRun { retry_after: None }, "out_of_time")
        }
        ExecutionStatus::MayHaveRun => Ended::GivenUp(OwnAnswer::OutOfTime, "out_of_time"),
    }
}

/// Notes a request whose caller goes away before its answer.
struct Unfinished<'a> {
    router: &'a Router,
    call: &'a Call,
    finished: bool,
}

impl<'a> Unfinished<'a> {
    fn new(router: &'a Router, call: &'a Call) -> Self {
        Self { router, call, finished: false }
    }

    fn finished(mut self) {
        self.finished = true;
    }
}

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        if !self.finished {
            note_end(self.router, self.call, &Outcome::new(OutcomeKind::CallerGone));
        }
    }
}

fn answer(router: &Rc<Router>, call: &Rc<Call>, ended: Ended) -> Response<LocalBody> {
    match ended {
        Ended::Answer(mut head, body, id) => {
            let status = head.status.as_u16();
            note_end(router, call, &Outcome::new(OutcomeKind::Answered).status(status).at(&id));
            keep_end_to_end(&mut head.headers);
            let mut response = Response::new(full_with_guard(body.share, body.bytes));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response
        }
        Ended::Stream(mut head, relay) => {
            keep_end_to_end(&mut head.headers);
            let body: LocalBody = Box::pin(StreamBody::new(*relay));
            let mut response = Response::new(body);
            *response.headers_mut() = head.headers;
            response
        }
        Ended::GivenUp(own, reason) => {
            let outcome = Outcome::new(OutcomeKind::GivenUp).status(own.status().as_u16());
            note_end(router, call, &outcome.because(reason));
            router.metrics.on_own_answer(own);
            own_answer(router, Some(&call.head.request_id), own)
        }
    }
}
