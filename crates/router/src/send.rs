//! Sends a request to one back end and waits for the head of the answer.

use crate::back_end_notices;
use crate::broken_connections;
use crate::call::Call;
use crate::chunked_body::ChunkedBody;
use crate::dialect::{AnswerKind, OutgoingCall};
use crate::headers::remove_hop_by_hop;
use crate::pool::{BackEndConnection, ExchangeError, PoolError};
use crate::retries::RequestRetries;
use crate::router::Router;
use crate::run_progress::RunProgress;
use crate::silence;
use crate::takeover::Takeover;
use crate::try_failure::{FailureCause, TryCircumstances, TryFailure};
use hyper::header::HOST;
use hyper::{Request, Response, Uri, http};
use mastbay_routing::{Attempt, BackEnd, BackEndId, ConnectionBounds, Fault, Placement};
use mastbay_types::Timestamp;
use mastbay_web::MeteredBody;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Time without an answer after which a request that may be retried goes to another back end, as a
/// multiple of the route's objective. The predicted time to the first event is added.
const SILENCE_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// Lower bound of that time, without the predicted time.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between checks whether another back end can take over a request whose back end is
/// silent.
const ALTERNATIVE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The outcome of sending a request to one back end.
pub enum SendOutcome {
    /// The head of an answer, its body and the connection.
    Answered(http::response::Parts, MeteredBody, Box<BackEndConnection>),
    /// Nothing was sent.
    NotSent(TryFailure),
    /// The back end answered that it did not run the request.
    NotRun(TryFailure),
    /// The request was sent and its outcome is unknown.
    Lost(TryFailure),
}

impl SendOutcome {
    fn not_sent(fault: Fault, cause: FailureCause) -> Self {
        Self::NotSent(TryFailure::new(fault, cause))
    }

    fn not_run(fault: Fault, cause: FailureCause) -> Self {
        Self::NotRun(TryFailure::new(fault, cause))
    }

    /// The connection or the answer was unusable after the request was sent.
    fn lost(cause: FailureCause) -> Self {
        Self::Lost(TryFailure::new(Fault::Broken, cause))
    }
}

/// Sends a request to one back end.
pub struct RequestSender<'a> {
    /// The router.
    pub router: &'a Rc<Router>,
    /// The request.
    pub call: &'a Call,
    /// The state of the request's attempts, updated while sending.
    pub attempt: &'a RefCell<Attempt>,
    /// The retries of the request. One that is held is used up when the request is sent.
    pub retries: &'a Rc<RequestRetries>,
    /// Back ends that must not receive the request again.
    pub tried: &'a [BackEndId],
    /// Set when a slow back end is left for another one.
    pub takeover: &'a Cell<Option<Takeover>>,
}

impl RequestSender<'_> {
    /// Returns a connection on which the request may be sent now.
    ///
    /// # Errors
    /// Why nothing can be sent, as the outcome of the attempt.
    pub async fn connect_to(
        &self,
        placement: &Placement,
    ) -> Result<BackEndConnection, SendOutcome> {
        let back_end = &placement.back_end;
        let connected = self.connect(placement).await;
        self.router.update_idle_connection(&back_end.id);
        let connection = connected.map_err(SendOutcome::NotSent)?;
        match self.fault_before_send(back_end) {
            Some(fault) => Err(SendOutcome::not_sent(fault, FailureCause::Excluded)),
            None => Ok(connection),
        }
    }

    /// Sends the request on a connection of [`Self::connect_to`] and waits for the head of the
    /// answer. `last_event` is the number of the last event that the caller received. If the
    /// connection fails before any byte was written, the outcome is [`SendOutcome::NotSent`] with
    /// `detect_unwritten`, and [`SendOutcome::Lost`] otherwise.
    pub async fn send_on(
        &self,
        mut connection: BackEndConnection,
        placement: &Placement,
        last_event: Option<u64>,
        detect_unwritten: bool,
    ) -> SendOutcome {
        let back_end = &placement.back_end;
        let Some(request) = self.request(placement, last_event) else {
            return SendOutcome::not_sent(Fault::Broken, FailureCause::Unsendable);
        };
        self.attempt.borrow_mut().on_send();
        let pending = self.retries.begin_send(&back_end.id);
        self.router.metrics.on_send(placement);
        let answered = self.wait_for_head(&mut connection, request, placement).await;
        match answered {
            Some(Ok(answer)) => {
                pending.on_arrived();
                self.read_head(answer, connection, back_end)
            }
            Some(Err(error)) if !error.written && detect_unwritten => {
                pending.on_unsent();
                self.attempt.borrow_mut().on_nothing_written();
                SendOutcome::not_sent(Fault::Full, FailureCause::ClosedBeforeSend)
            }
            Some(Err(error)) => {
                pending.on_arrived();
                let progress = RunProgress::Waiting;
                broken_connections::record(self.router, self.call, &back_end.id, progress);
                SendOutcome::lost(if error.is_excessive {
                    FailureCause::ExcessBytes
                } else {
                    FailureCause::BrokeAfterSend
                })
            }
            None => SendOutcome::lost(FailureCause::Silent),
        }
    }

    /// Returns the fault to report instead of sending, if the back end has stopped accepting
    /// requests, asked for a backoff or changed its version since the placement.
    fn fault_before_send(&self, back_end: &BackEnd) -> Option<Fault> {
        let dispatcher = self.router.dispatcher.borrow();
        let excluded = dispatcher.fault_before_send(self.router.now(), &back_end.id);
        let has_changed = dispatcher.has_other_version(&back_end.id, &back_end.version);
        excluded.or(has_changed.then_some(Fault::Replaced))
    }

    /// Returns a connection to the back end. If connecting times out although the back end answers
    /// others, its accept queue is full: connects again, unless another back end can take over the
    /// request.
    async fn connect(&self, placement: &Placement) -> Result<BackEndConnection, TryFailure> {
        let back_end = &placement.back_end;
        loop {
            let began = self.router.now();
            let bounds = self.connection_bounds(back_end);
            let error = match self.router.pool.acquire(back_end, bounds).await {
                Ok(connection) => return Ok(connection),
                Err(error) => error,
            };
            let is_alive = self.router.dispatcher.borrow().has_responded_since(&back_end.id, began);
            if !is_alive || !matches!(error, PoolError::TimedOut) {
                return Err(error.into());
            }
            if self.reserve_takeover(placement, false) {
                return Err(TryFailure::new(Fault::Full, FailureCause::ConnectTimeout));
            }
        }
    }

    /// Waits for the head of the answer. Returns `None` if there is none within the silence timeout
    /// and another back end takes over the request. Without one, the silent back end is the one most
    /// likely to answer.
    async fn wait_for_head(
        &self,
        connection: &mut BackEndConnection,
        request: Request<ChunkedBody>,
        placement: &Placement,
    ) -> Option<Result<Response<MeteredBody>, ExchangeError>> {
        let mut exchange = pin!(connection.exchange(request));
        let objective = self.call.entry.route.objective;
        let silence_timeout =
            objective.mul_f64(SILENCE_TIMEOUT_OBJECTIVES).max(MIN_SILENCE_TIMEOUT);
        let mut patience = silence_timeout + placement.predicted;
        let sent = self.router.now();
        loop {
            if let Ok(answered) = self.router.runtime.within(patience, exchange.as_mut()).await {
                return Some(answered);
            }
            silence::on_unanswered(self.router, &placement.back_end.id, sent);
            if self.attempt.borrow().may_send_if_lost() && self.reserve_takeover(placement, true) {
                return None;
            }
            patience = ALTERNATIVE_CHECK_INTERVAL;
        }
    }

    /// Reserves a slot at another back end than that of `placement`. Returns whether there is one.
    fn reserve_takeover(&self, placement: &Placement, needs_retry: bool) -> bool {
        let tried = self.tried.iter().chain([&placement.back_end.id]).cloned().collect();
        let takeover = Takeover::reserve(self.router, self.call, self.retries, tried, needs_retry);
        let is_reserved = takeover.is_some();
        self.takeover.set(takeover);
        is_reserved
    }

    fn read_head(
        &self,
        answer: Response<MeteredBody>,
        mut connection: BackEndConnection,
        back_end: &BackEnd,
    ) -> SendOutcome {
        let (head, body) = answer.into_parts();
        connection.apply_keep_alive(&head.headers);
        silence::on_answer_head(self.router, &back_end.id);
        back_end_notices::apply(self.router, self.call, &back_end.id, &head);
        match self.router.dialects.back_ends.classify(&self.call.head.request_id, &head) {
            AnswerKind::Answer => SendOutcome::Answered(head, body, Box::new(connection)),
            AnswerKind::NotRunFull => SendOutcome::not_run(Fault::Full, FailureCause::Rejected),
            AnswerKind::NotRunReplaced => {
                SendOutcome::not_run(Fault::Replaced, FailureCause::Replaced)
            }
            AnswerKind::Foreign => SendOutcome::lost(FailureCause::ForeignAnswer),
        }
    }

    fn request(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
    ) -> Option<Request<ChunkedBody>> {
        let call = self.call;
        let outgoing = OutgoingCall {
            back_end: &placement.back_end.id.name,
            time_left: call.time_left(self.router.now()),
            tenant: call.tenant.as_deref(),
            last_event,
            prefix_source: placement.prefix_source,
        };
        let mut headers = self.router.dialects.back_ends.outgoing(&call.headers, &outgoing);
        remove_hop_by_hop(&mut headers);
        if let Some(host) = call.headers.get(HOST) {
            headers.insert(HOST, host.clone());
        }
        let path = call.uri.path_and_query()?.as_str();
        let mut request = Request::new(ChunkedBody::new(call.body.bytes.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = path.parse::<Uri>().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Returns the limits of this router's connections to a back end.
    fn connection_bounds(&self, back_end: &BackEnd) -> ConnectionBounds {
        let table = self.router.table();
        let service = table.as_ref().and_then(|table| table.service(&self.call.service));
        let max = service.map_or(DEFAULT_MAX_CONNECTIONS, |service| service.max_connections);
        let routers = self.router.dispatcher.borrow().routers();
        ConnectionBounds::new(max, back_end.slots, routers)
    }
}

/// Returns the circumstances of an attempt that began at `began` and failed.
pub fn circumstances(
    router: &Router,
    call: &Call,
    placement: &Placement,
    began: Timestamp,
) -> TryCircumstances {
    let dispatcher = router.dispatcher.borrow();
    TryCircumstances {
        send: call.trace.borrow().sends,
        took: router.now().since(began),
        has_responded: dispatcher.has_responded_since(&placement.back_end.id, began),
    }
}

/// Connections of the whole fleet to one back end while its service is not in the configuration.
const DEFAULT_MAX_CONNECTIONS: u32 = 256;
