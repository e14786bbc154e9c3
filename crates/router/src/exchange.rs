//! A request's way to back ends: placed, sent, sent again where that is allowed, answered.

use crate::dialect::{AnswerKind, OutgoingCall, OwnAnswer};
use crate::events::{self, Outcome, OutcomeKind};
use crate::listener::{LocalBody, full};
use crate::pool::{BackEndConnection, PoolError};
use crate::relay::{Relay, Source, StreamBody};
use crate::router::Router;
use crate::serve::{Call, note_end, own_answer};
use crate::ticket::Ticket;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::{Request, Response, StatusCode, Uri, http};
use mastbay_routing::{
    Attempt, BackEndId, Fault, Placement, Refusal, RefusalReason, RouteKind, Verdict,
};
use mastbay_web::{read_limited, within};
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Largest answer that is not a stream, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Back ends that are tried in vain, without a byte sent or with their word that it did not run.
const MOST_REJECTIONS: u32 = 3;
/// Silence of a back end after which a request that may run again goes to another, in objectives.
const SILENCE_OBJECTIVES: f64 = 2.0;
/// Least such silence.
const LEAST_SILENCE: Duration = Duration::from_millis(600);

/// A request on its way.
pub struct Exchange {
    router: Rc<Router>,
    call: Rc<Call>,
    attempt: Rc<RefCell<Attempt>>,
    tried: Vec<BackEndId>,
    /// Times that a byte of it left for a back end.
    arrivals: u32,
    rejections: u32,
}

/// How one try at one back end ended.
pub enum Try {
    /// With the head of an answer.
    Answered(http::response::Parts, Incoming, BackEndConnection),
    /// Nothing was sent.
    NotSent(Fault),
    /// The back end says that it did not run the request.
    NotRun(Fault),
    /// Sent, outcome unknown.
    Lost(Fault),
}

/// What came of all tries.
pub enum Ended {
    /// A whole answer of a back end.
    Answer(http::response::Parts, Bytes, BackEndId),
    /// A stream has begun.
    Stream(http::response::Parts, Relay),
    /// The router gives up.
    GivenUp(OwnAnswer, &'static str),
}

impl Exchange {
    /// Brings a request to its answer, or to the beginning of its stream.
    pub async fn run(router: &Rc<Router>, call: Rc<Call>) -> Response<LocalBody> {
        let route = &call.entry.route;
        let attempt = Attempt::new(route.is_idempotent(), route.most_attempts);
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
        };
        let unfinished = Unfinished::new(router, &call);
        let ended = match within(call.time_left(now), exchange.drive()).await {
            Ok(ended) => ended,
            Err(_) => out_of_time(&attempt.borrow()),
        };
        unfinished.finished();
        answer(router, &call, ended)
    }

    async fn drive(mut self) -> Ended {
        loop {
            let mut demand = self.call.demand();
            demand.tried = self.tried.clone();
            let obtained = Ticket::obtain(&self.router, demand).await;
            let (ticket, placement) = match obtained {
                Ok(obtained) => obtained,
                Err(refusal) => return self.refused(refusal),
            };
            if self.arrivals > 0 && !self.take_retry() {
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
                return self.take_answer(head, body, connection, ticket, placement).await;
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
        mut connection: BackEndConnection,
        ticket: Ticket,
        placement: &Placement,
    ) -> Option<Ended> {
        connection.note_headers(&head.headers);
        let id = placement.back_end.id.clone();
        if self.call.entry.route.kind == RouteKind::Streaming && head.status == StatusCode::OK {
            let source = Source { ticket, back_end: id, connection, body };
            let tried = std::mem::take(&mut self.tried);
            let relay = Relay::new(&self.router, &self.call, &self.attempt, source, tried);
            return Some(Ended::Stream(head, relay));
        }
        let Ok(body) = read_limited(body, ANSWER_LIMIT).await else {
            self.attempt.borrow_mut().on_lost();
            ticket.fail(Fault::Broken);
            let again = self.attempt.borrow().may_send();
            return if again { None } else { Some(self.give_up("answer_broke_off")) };
        };
        self.router.pool.keep(&id, connection);
        ticket.on_first_event();
        self.call.note_first_event(self.router.now());
        if head.status.is_server_error() {
            ticket.fail(Fault::Failure);
            if self.attempt.borrow().may_send() && self.has_retries() {
                return None;
            }
        } else {
            ticket.succeed();
        }
        Some(Ended::Answer(head, body, id))
    }

    async fn try_once(&self, placement: &Placement) -> Try {
        let sender = Sender { router: &self.router, call: &self.call, attempt: &self.attempt };
        sender.send(placement, self.call.head.last_event, true).await
    }

    fn has_retries(&self) -> bool {
        let now = self.router.now();
        self.router.dispatcher.borrow_mut().retries_left(now, &self.call.service) >= 1.0
    }

    fn take_retry(&self) -> bool {
        let now = self.router.now();
        self.router.dispatcher.borrow_mut().take_retry(now, &self.call.service)
    }

    fn refused(&self, refusal: Refusal) -> Ended {
        self.call.note_refusal(&refusal);
        let reason = match refusal.reason {
            RefusalReason::NoBackEnd => "no_back_end",
            RefusalReason::NoRoom => "no_room",
            RefusalReason::OverShare => "over_share",
            RefusalReason::Stopping => "stopping",
            RefusalReason::QueueFull => "queue_full",
        };
        match self.attempt.borrow().verdict() {
            Verdict::NotRun => {
                let retry_after = Some(refusal.retry_after);
                Ended::GivenUp(OwnAnswer::NotRun { retry_after }, reason)
            }
            Verdict::MayHaveRun => Ended::GivenUp(OwnAnswer::UnknownOutcome, reason),
        }
    }

    fn give_up(&self, reason: &'static str) -> Ended {
        match self.attempt.borrow().verdict() {
            Verdict::NotRun => {
                let retry_after = Some(REJECTED_PAUSE);
                Ended::GivenUp(OwnAnswer::NotRun { retry_after }, reason)
            }
            Verdict::MayHaveRun => Ended::GivenUp(OwnAnswer::UnknownOutcome, reason),
        }
    }
}

/// When a caller may come back whose request back ends did not take.
const REJECTED_PAUSE: Duration = Duration::from_millis(400);

fn out_of_time(attempt: &Attempt) -> Ended {
    match attempt.verdict() {
        Verdict::NotRun => Ended::GivenUp(OwnAnswer::NotRun { retry_after: None }, "out_of_time"),
        Verdict::MayHaveRun => Ended::GivenUp(OwnAnswer::OutOfTime, "out_of_time"),
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
            let mut response = Response::new(full(body));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response
        }
        Ended::Stream(mut head, relay) => {
            keep_end_to_end(&mut head.headers);
            let body: LocalBody = Box::pin(StreamBody::new(relay));
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

/// Removes what concerns one connection only.
pub fn keep_end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, CONTENT_LENGTH] {
        headers.remove(name);
    }
    for name in
        ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "expect"]
    {
        headers.remove(name);
    }
}

/// Sends a request to one back end.
pub struct Sender<'a> {
    /// The router.
    pub router: &'a Rc<Router>,
    /// The request.
    pub call: &'a Call,
    /// Its life so far.
    pub attempt: &'a RefCell<Attempt>,
}

impl Sender<'_> {
    /// Sends the request and waits for the head of its answer.
    pub async fn send(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
        may_be_unsent: bool,
    ) -> Try {
        let back_end = &placement.back_end;
        let taken = self.router.pool.take(back_end, self.most_connections()).await;
        let mut connection = match taken {
            Ok(connection) => connection,
            Err(PoolError::Exhausted) => return Try::NotSent(Fault::Full),
            Err(_) => return Try::NotSent(Fault::Unreachable),
        };
        // The back end may have begun to leave while the connection came up.
        if !self.router.dispatcher.borrow().is_usable(&back_end.id) {
            return Try::NotSent(Fault::Replaced);
        }
        let Some(request) = self.request(placement, last_event) else {
            return Try::NotSent(Fault::Broken);
        };
        self.attempt.borrow_mut().on_send();
        let answered = self.wait_for_head(&mut connection, request, placement).await;
        match answered {
            Some(Ok(answer)) => self.read_head(answer, connection),
            Some(Err(error)) if !error.written && may_be_unsent => {
                self.attempt.borrow_mut().on_nothing_written();
                Try::NotSent(Fault::Full)
            }
            Some(Err(_)) | None => Try::Lost(Fault::Broken),
        }
    }

    /// The head of the answer; nothing if the back end is silent and another may be tried.
    async fn wait_for_head(
        &self,
        connection: &mut BackEndConnection,
        request: Request<Full<Bytes>>,
        placement: &Placement,
    ) -> Option<Result<Response<Incoming>, crate::pool::ExchangeError>> {
        let mut exchange = pin!(connection.exchange(request));
        let silence =
            self.call.entry.route.objective.mul_f64(SILENCE_OBJECTIVES).max(LEAST_SILENCE);
        if let Ok(answered) = within(silence + placement.predicted, exchange.as_mut()).await {
            return Some(answered);
        }
        if self.may_give_up_on_silence() {
            return None;
        }
        Some(exchange.await)
    }

    fn may_give_up_on_silence(&self) -> bool {
        let mut as_lost = self.attempt.borrow().clone();
        as_lost.on_lost();
        let now = self.router.now();
        let mut dispatcher = self.router.dispatcher.borrow_mut();
        as_lost.may_send() && dispatcher.retries_left(now, &self.call.service) >= 1.0
    }

    fn read_head(&self, answer: Response<Incoming>, connection: BackEndConnection) -> Try {
        let (head, body) = answer.into_parts();
        match self.router.seams.back_ends.classify(&self.call.head.request_id, &head) {
            AnswerKind::Answer => Try::Answered(head, body, connection),
            AnswerKind::NotRunFull => Try::NotRun(Fault::Full),
            AnswerKind::NotRunReplaced => Try::NotRun(Fault::Replaced),
            AnswerKind::Foreign => Try::Lost(Fault::Broken),
        }
    }

    fn request(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let call = self.call;
        let outgoing = OutgoingCall {
            back_end: &placement.back_end.id.0,
            time_left: call.time_left(self.router.now()),
            tenant: call.tenant.as_deref(),
            last_event,
        };
        let mut headers = self.router.seams.back_ends.outgoing(&call.headers, &outgoing);
        keep_end_to_end(&mut headers);
        if let Some(host) = call.headers.get(HOST) {
            headers.insert(HOST, host.clone());
        }
        let path = call.uri.path_and_query()?.as_str();
        let mut request = Request::new(Full::new(call.body.bytes.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = path.parse::<Uri>().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Connections that this router may have to one back end of the service.
    fn most_connections(&self) -> u32 {
        let table = self.router.table();
        let service = table.as_ref().and_then(|table| table.service(&self.call.service));
        let most = service.map_or(DEFAULT_MOST_CONNECTIONS, |service| service.most_connections);
        let routers = self.router.dispatcher.borrow().routers(self.router.now()).max(LEAST_ROUTERS);
        ((f64::from(most) * CONNECTIONS_PART) as u32 / routers as u32).max(2)
    }
}

/// Connections to one back end where its service tells no bound.
const DEFAULT_MOST_CONNECTIONS: u32 = 256;
/// Part of the connections that routers known to each other use.
const CONNECTIONS_PART: f64 = 0.8;
/// A router that knows fewer others still takes no more than one of this many parts.
const LEAST_ROUTERS: usize = 3;
