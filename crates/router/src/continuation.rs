//! Continues a stream at another back end.

use crate::broken_connections;
use crate::call::Call;
use crate::events;
use crate::quarantine;
use crate::retries::RequestRetries;
use crate::router::Router;
use crate::send::{RequestSender, SendOutcome, circumstances};
use crate::stream_source::{NextFrame, NoEvent, StreamSource};
use crate::takeover::{self, Takeover};
use crate::ticket::Ticket;
use crate::try_failure::{FailureCause, TryFailure};
use hyper::StatusCode;
use mastbay_routing::{Attempt, BackEndId, Fault, Placement, QuarantineStatus};
use mastbay_types::Timestamp;
use smol::future::FutureExt;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of times that a stream is continued.
const MAX_CONTINUATIONS: u32 = 2;
/// Time for which a silent back end is kept once another one was sent the request. Both may run it
/// meanwhile; a back end that breaks or rejects it does so sooner.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Interval between checks whether the request was sent.
const OVERLAP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks whether the retry budget has a retry again.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What to do with a stream whose back end was left while the retry budget is exhausted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithoutRetry {
    /// Give it up, so that its caller can come back at once.
    GiveUp,
    /// Wait: its back end was left only because it was silent.
    Wait,
}

/// When a request was sent to the back end that is asked to continue a stream; `None` before.
#[derive(Debug, Default)]
struct RequestSent(Cell<Option<Timestamp>>);

impl RequestSent {
    /// Waits until a silent back end can't be kept any longer beside the one that is asked.
    async fn overlap_ended(&self, router: &Router) {
        loop {
            let overlap = self.0.get().map(|sent| router.now().since(sent));
            if overlap.is_some_and(|overlap| overlap >= MAX_OVERLAP) {
                return;
            }
            let left = overlap.map_or(OVERLAP_CHECK_INTERVAL, |overlap| MAX_OVERLAP - overlap);
            router.runtime.sleep(left).await;
        }
    }
}

/// What became of a stream whose back end was silent.
pub enum Handover {
    /// No other back end continues it. It stays with the silent one.
    Kept(StreamSource),
    /// The silent back end went on with this frame before another one answered.
    Recovered(StreamSource, NextFrame),
    /// Another back end continues it. The silent one was left.
    Replaced(StreamSource),
    /// The silent back end was left, and the other one does not continue the stream.
    Lost,
}

/// What came first while another back end was asked.
enum First {
    Asked(Option<Box<StreamSource>>),
    Recovered(NextFrame),
    /// Both may run the request for too long.
    Overlapped,
}

/// The same with the silent back end, which may have been left.
enum Raced {
    Asked(StreamSource, Option<Box<StreamSource>>),
    Recovered(StreamSource, NextFrame),
    Left(BackEndId, Option<StreamSource>),
}

/// The other back ends that may continue a stream.
pub struct Continuation {
    router: Rc<Router>,
    call: Rc<Call>,
    attempt: Rc<RefCell<Attempt>>,
    retries: Rc<RequestRetries>,
    tried: Vec<BackEndId>,
    /// A slot at the back end that is asked next.
    takeover: Cell<Option<Takeover>>,
    request_sent: Rc<RequestSent>,
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
            request_sent: Rc::default(),
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
    pub async fn after_break(
        &mut self,
        last_event: Option<u64>,
        without_retry: WithoutRetry,
    ) -> Option<StreamSource> {
        match quarantine::status(&self.router, &self.call).await {
            QuarantineStatus::Clear | QuarantineStatus::Suspect => {}
            QuarantineStatus::Quarantined { .. } => return None,
        }
        while self.attempt.borrow().may_send() {
            if without_retry == WithoutRetry::Wait {
                self.until_retry_available().await;
            }
            if !self.retries.is_available() {
                return None;
            }
            let next = match self.takeover.take() {
                Some(takeover) => takeover,
                None => self.obtain().await?,
            };
            if let Some(source) = self.ask(next, last_event).await {
                self.request_sent.0.set(None);
                return Some(source);
            }
        }
        None
    }

    /// Asks the back ends at which slots are reserved to continue a stream, since the current one is
    /// silent. Keeps that one until another has sent an event, as long as both may run the request.
    pub async fn replace_silent(
        &mut self,
        mut silent: StreamSource,
        last_event: Option<u64>,
    ) -> Handover {
        let request_sent = self.request_sent.clone();
        let router = self.router.clone();
        let raced = {
            let mut asking = pin!(self.ask_reserved(last_event));
            let asked = async { First::Asked(asking.as_mut().await.map(Box::new)) };
            let recovered = async { First::Recovered(silent.next_frame().await) };
            let overlapped = async {
                request_sent.overlap_ended(&router).await;
                First::Overlapped
            };
            let first = asked.or(recovered).or(overlapped).await;
            match first {
                First::Asked(source) => Raced::Asked(silent, source),
                First::Recovered(frame) => Raced::Recovered(silent, frame),
                First::Overlapped => Raced::Left(silent.close(), asking.await),
            }
        };
        match raced {
            Raced::Asked(silent, Some(source)) => {
                self.leave(silent);
                Handover::Replaced(*source)
            }
            Raced::Asked(silent, None) => Handover::Kept(silent),
            Raced::Recovered(silent, frame) => {
                self.abandon();
                Handover::Recovered(silent, frame)
            }
            Raced::Left(left, source) => {
                self.exclude(left);
                source.map_or(Handover::Lost, Handover::Replaced)
            }
        }
    }

    async fn ask_reserved(&mut self, last_event: Option<u64>) -> Option<StreamSource> {
        while let Some(next) = self.takeover.take() {
            if let Some(mut source) = self.ask(next, last_event).await {
                let overlap_ended = async {
                    self.request_sent.overlap_ended(&self.router).await;
                    Ok(())
                };
                let began = source.wait_for_event(&self.router.bodies).or(overlap_ended).await;
                self.request_sent.0.set(None);
                match began {
                    Ok(()) => return Some(source),
                    Err(NoEvent) => self.leave_without_event(source),
                }
            }
        }
        None
    }

    /// Leaves a back end whose answer broke off before its first event.
    fn leave_without_event(&mut self, source: StreamSource) {
        let (id, progress) = (&source.back_end.id, source.times.progress());
        broken_connections::record(&self.router, &self.call, id, progress);
        events::stream_without_event(&self.call, id);
        self.leave(source);
    }

    /// Records that the back end that was being asked is left: the silent one goes on.
    fn abandon(&mut self) {
        if self.request_sent.0.take().is_some() {
            self.attempt.borrow_mut().on_lost();
        }
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
        self.router.metrics.on_placement(&placement);
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
        self.request_sent.0.set(None);
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
        match sender.connect_to(placement).await {
            Ok(connection) => {
                self.request_sent.0.set(Some(self.router.now()));
                sender.send_on(connection, placement, last_event, false).await
            }
            Err(outcome) => outcome,
        }
    }

    async fn until_retry_available(&self) {
        while !self.retries.is_available() {
            self.router.runtime.sleep(RETRY_CHECK_INTERVAL).await;
        }
    }

    async fn obtain(&self) -> Option<Takeover> {
        let mut demand = takeover::demand_without(&self.router, &self.call, self.tried.clone());
        demand.arrived = self.router.now();
        let (ticket, placement) = Ticket::obtain(&self.router, demand).await.ok()?;
        Some(Takeover { ticket, placement })
    }
}
