//! Continues a stream at another back end.

use crate::call::Call;
use crate::events;
use crate::quarantine;
use crate::retries::RequestRetries;
use crate::router::Router;
use crate::send::{RequestSender, SendOutcome, circumstances};
use crate::stream_source::StreamSource;
use crate::takeover::{self, Takeover};
use crate::ticket::Ticket;
use crate::try_failure::{FailureCause, TryFailure};
use hyper::StatusCode;
use mastbay_routing::{Attempt, BackEndId, Fault, Placement, QuarantineStatus};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Maximum number of times that a stream is continued.
const MAX_CONTINUATIONS: u32 = 2;
/// The other back ends that may continue a stream.
pub struct Continuation {
    router: Rc<Router>,
    call: Rc<Call>,
    attempt: Rc<RefCell<Attempt>>,
    retries: Rc<RequestRetries>,
    tried: Vec<BackEndId>,
    /// A slot at the back end that is asked next.
    takeover: Cell<Option<Takeover>>,
    /// Times that the stream was continued.
    count: u32,
}

impl Continuation {
    /// Creates the state of a stream that was not continued yet. The back ends in `tried` are
    /// excluded.
    pub fn new(
        router: &Rc<Router>,
        call: &Rc<Call>,
        attempt: &Rc<RefCell<Attempt>>,
        retries: &Rc<RequestRetries>,
        tried: Vec<BackEndId>,
    ) -> Self {
        Self {
            router: router.clone(),
            call: call.clone(),
            attempt: attempt.clone(),
            retries: retries.clone(),
            tried,
            takeover: Cell::default(),
            count: 0,
        }
    }

    /// Returns whether the stream may be continued at all, if its back end is lost. `has_events`
    /// tells whether the caller has received any.
    pub fn is_allowed(&self, has_events: bool) -> bool {
        self.call.entry.route.resumable
            && self.count < MAX_CONTINUATIONS
            && (!has_events || self.call.origin.get().is_some())
            && self.attempt.borrow().may_send_if_lost()
    }

    /// Reserves a slot at another back end than `current`. Returns whether there is one.
    pub fn reserve(&mut self, current: &BackEndId) -> bool {
        let tried = self.tried.iter().chain([current]).cloned().collect();
        let takeover = Takeover::reserve(&self.router, &self.call, &self.retries, tried, true);
        self.takeover.set(takeover);
        self.takeover.get_mut().is_some()
    }

    /// Closes the connection to a back end and excludes it.
    pub fn leave(&mut self, source: StreamSource) {
        self.exclude(source.close());
    }

    /// Excludes a back end that was left. It may have run the request.
    fn exclude(&mut self, back_end: BackEndId) {
        self.attempt.borrow_mut().on_lost();
        self.tried.push(back_end);
    }

    /// Continues a stream whose back end was left, after the event with number `last_event`.
    pub async fn after_break(&mut self, last_event: Option<u64>) -> Option<StreamSource> {
        match quarantine::status(&self.router, &self.call).await {
            QuarantineStatus::Clear | QuarantineStatus::Suspect => {}
            QuarantineStatus::Quarantined { .. } => return None,
        }
        while self.attempt.borrow().may_send() && self.retries.is_available() {
            let next = match self.takeover.take() {
                Some(takeover) => takeover,
                None => self.obtain().await?,
            };
            if let Some(source) = self.ask(next, last_event).await {
                return Some(source);
            }
        }
        None
    }

    /// Asks a back end to continue the stream. It is not asked again.
    async fn ask(&mut self, next: Takeover, last_event: Option<u64>) -> Option<StreamSource> {
        let Takeover { ticket, placement } = next;
        if !self.retries.hold() {
            return None;
        }
        let began = self.router.now();
        self.tried.push(placement.back_end.id.clone());
        self.call.record_placement(&placement, began);
        self.router.metrics.on_placement(placement.choice);
        let (failure, reason) = match self.send(&placement, last_event).await {
            SendOutcome::Answered(head, body, connection) if head.status == StatusCode::OK => {
                self.attempt.borrow_mut().on_answer();
                self.count += 1;
                let back_end = &placement.back_end;
                return Some(StreamSource::new(ticket, back_end, *connection, &head.headers, body));
            }
            SendOutcome::Answered(..) => {
                self.attempt.borrow_mut().on_answer();
                (TryFailure::new(Fault::Failure, FailureCause::ErrorAnswer), "failed")
            }
            SendOutcome::NotSent(failure) => (failure, "not_sent"),
            SendOutcome::NotRun(failure) => {
                self.attempt.borrow_mut().on_not_run();
                (failure, "not_run")
            }
            SendOutcome::Lost(failure) => {
                self.attempt.borrow_mut().on_lost();
                (failure, "lost")
            }
        };
        let circumstances = circumstances(&self.router, &self.call, &placement, began);
        events::try_failed(&self.call, &placement, failure, reason, circumstances);
        ticket.fail(failure.fault);
        None
    }

    async fn send(&self, placement: &Placement, last_event: Option<u64>) -> SendOutcome {
        let sender = RequestSender {
            router: &self.router,
            call: &self.call,
            attempt: &self.attempt,
            retries: &self.retries,
            tried: &self.tried,
            takeover: &self.takeover,
        };
        sender.send(placement, last_event, false).await
    }

    async fn obtain(&self) -> Option<Takeover> {
        let mut demand = takeover::demand_without(&self.router, &self.call, self.tried.clone());
        demand.arrived = self.router.now();
        let (ticket, placement) = Ticket::obtain(&self.router, demand).await.ok()?;
        Some(Takeover { ticket, placement })
    }
}
