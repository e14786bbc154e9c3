//! One try at one back end: connection, request, head of the answer.

use crate::back_end_notices;
use crate::broken_connections;
use crate::call::Call;
use crate::dialect::{AnswerKind, OutgoingCall};
use crate::headers::keep_end_to_end;
use crate::pool::{BackEndConnection, ExchangeError, PoolError};
use crate::router::Router;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, Uri, http};
use mastbay_routing::{Attempt, BackEnd, ConnectionBounds, Fault, Placement};
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Silence of a back end after which a request that may run again goes to another, in objectives.
const SILENCE_OBJECTIVES: f64 = 2.0;
/// Least such silence.
const LEAST_SILENCE: Duration = Duration::from_millis(600);

/// How one try at one back end ended.
pub enum Try {
    /// With the head of an answer.
    Answered(http::response::Parts, Incoming, Box<BackEndConnection>),
    /// Nothing was sent.
    NotSent(Fault),
    /// The back end says that it did not run the request.
    NotRun(Fault),
    /// Sent, outcome unknown.
    Lost(Fault),
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
        let taken = self.router.pool.take(back_end, self.connection_bounds(back_end)).await;
        let mut connection = match taken {
            Ok(connection) => connection,
            Err(PoolError::Exhausted) => return Try::NotSent(Fault::Full),
            Err(_) => return Try::NotSent(Fault::Unreachable),
        };
        let now = self.router.now();
        if let Some(fault) = self.router.dispatcher.borrow().fault_before_send(now, &back_end.id) {
            return Try::NotSent(fault);
        }
        let Some(request) = self.request(placement, last_event) else {
            return Try::NotSent(Fault::Broken);
        };
        self.attempt.borrow_mut().on_send();
        let answered = self.wait_for_head(&mut connection, request, placement).await;
        match answered {
            Some(Ok(answer)) => self.read_head(answer, connection, back_end),
            Some(Err(error)) if !error.written && may_be_unsent => {
                self.attempt.borrow_mut().on_nothing_written();
                Try::NotSent(Fault::Full)
            }
            Some(Err(_)) => {
                broken_connections::note(self.router, self.call, &back_end.id);
                Try::Lost(Fault::Broken)
            }
            None => Try::Lost(Fault::Broken),
        }
    }

    /// The head of the answer; nothing if the back end is silent and another may be tried.
    async fn wait_for_head(
        &self,
        connection: &mut BackEndConnection,
        request: Request<Full<Bytes>>,
        placement: &Placement,
    ) -> Option<Result<Response<Incoming>, ExchangeError>> {
        let mut exchange = pin!(connection.exchange(request));
        let silence =
            self.call.entry.route.objective.mul_f64(SILENCE_OBJECTIVES).max(LEAST_SILENCE);
        if let Ok(answered) =
            self.router.runtime.within(silence + placement.predicted, exchange.as_mut()).await
        {
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
        as_lost.may_send() && self.router.has_retries(&self.call.service)
    }

    fn read_head(
        &self,
        answer: Response<Incoming>,
        mut connection: BackEndConnection,
        back_end: &BackEnd,
    ) -> Try {
        let (head, body) = answer.into_parts();
        connection.note_headers(&head.headers);
        back_end_notices::take(self.router, self.call, &back_end.id, &head);
        match self.router.dialects.back_ends.classify(&self.call.head.request_id, &head) {
            AnswerKind::Answer => Try::Answered(head, body, Box::new(connection)),
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
            back_end: &placement.back_end.id.name,
            time_left: call.time_left(self.router.now()),
            tenant: call.tenant.as_deref(),
            last_event,
        };
        let mut headers = self.router.dialects.back_ends.outgoing(&call.headers, &outgoing);
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

    /// The bounds on this router's connections to a back end of the service.
    fn connection_bounds(&self, back_end: &BackEnd) -> ConnectionBounds {
        let table = self.router.table();
        let service = table.as_ref().and_then(|table| table.service(&self.call.service));
        let most = service.map_or(DEFAULT_MOST_CONNECTIONS, |service| service.max_connections);
        let routers = self.router.dispatcher.borrow().routers();
        ConnectionBounds::new(most, back_end.slots, routers)
    }
}

/// Connections to one back end where its service tells no bound.
const DEFAULT_MOST_CONNECTIONS: u32 = 256;
