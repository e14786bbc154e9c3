//! Relays an event stream to its caller. Only complete events are relayed, so that a broken stream
//! can be resumed from another back end if its route allows that.

use crate::body_budget::{BodyReservation, MAX_UNRESERVED_ANSWER, NO_MEMORY};
use crate::broken_connections::{self, BackEndFate};
use crate::call::Call;
use crate::event_splitter::{EventSplitter, events_of, has_data};
use crate::events;
use crate::outcome::{Outcome, OutcomeKind};
use crate::own_answers::record_end;
use crate::pool::BackEndConnection;
use crate::quarantine;
use crate::retries::RequestRetries;
use crate::router::Router;
use crate::send::{RequestSender, SendOutcome};
use crate::stream_origins;
use crate::stream_source::{StreamBackEnd, StreamSource};
use crate::takeover::{self, Takeover};
use crate::ticket::Ticket;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{StatusCode, http};
use mastbay_routing::{Attempt, BackEndId, Fault, Placement, QuarantineStatus};
use mastbay_types::Timestamp;
use mastbay_web::{BodyError, MeteredBody};
use smol::stream::{Stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Copies of a large event in memory: in the read buffer, in the splitter, as a complete event, and
/// in hyper's write buffer.
const EVENT_COPIES: u64 = 4;
/// Time without data after which a resumable stream is resumed from another back end.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes of events without data, such as comments, between two events that have some.
const MAX_BLANK_BYTES: usize = 64 << 10;
/// Maximum number of times that a stream is resumed.
const MAX_RESUMES: u32 = 2;

/// A stream that is being relayed.
pub struct Relay {
    router: Rc<Router>,
    call: Rc<Call>,
    attempt: Rc<RefCell<Attempt>>,
    retries: Rc<RequestRetries>,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    /// Events with data that were relayed.
    events: u64,
    /// Bytes of events without data since the last one that has some.
    blank_bytes: usize,
    last_relayed: Timestamp,
    resumes: u32,
    tried: Vec<BackEndId>,
    /// Where the stream is resumed, if it left a slow back end.
    takeover: Cell<Option<Takeover>>,
    /// Memory reserved for large events.
    event_reservation: Option<BodyReservation>,
    is_recorded: bool,
}

/// The result of one read from the back end.
enum SourceRead {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    IdleTimeout,
    DeadlineExceeded,
}

impl Relay {
    /// Creates a relay for a stream whose head was received from `source`. The back ends in `tried`
    /// are excluded when the stream is resumed.
    pub fn new(
        router: &Rc<Router>,
        call: &Rc<Call>,
        attempt: &Rc<RefCell<Attempt>>,
        retries: &Rc<RequestRetries>,
        source: StreamSource,
        tried: Vec<BackEndId>,
    ) -> Self {
        Self {
            router: router.clone(),
            call: call.clone(),
            attempt: attempt.clone(),
            retries: retries.clone(),
            source: Some(source),
            splitter: EventSplitter::default(),
            last_event: call.head.last_event,
            events: 0,
            blank_bytes: 0,
            last_relayed: router.now(),
            resumes: 0,
            tried,
            takeover: Cell::default(),
            event_reservation: None,
            is_recorded: false,
        }
    }

    /// Returns the next complete events for the caller, and `None` after the regular end of the
    /// stream.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        loop {
            let failure = match self.read().await {
                SourceRead::Bytes(bytes) => match self.process(&bytes) {
                    Ok(Some(events)) => return Some(Ok(Frame::data(events))),
                    Ok(None) => continue,
                    Err(reason) => reason,
                },
                SourceRead::End if self.splitter.is_inside_event() => {
                    self.record_broken_connection();
                    "ended_inside_event"
                }
                SourceRead::End => match self.back_end_fate().await {
                    BackEndFate::Ended => "back_end_ended",
                    // A stream without any event whose end is not marked.
                    BackEndFate::Leaving if self.events == 0 => "back_end_left",
                    fate => {
                        self.finish(fate);
                        return None;
                    }
                },
                SourceRead::IdleTimeout if !self.reserve_takeover() => continue,
                SourceRead::IdleTimeout => "silent",
                SourceRead::Broken(reason) => {
                    self.record_broken_connection();
                    reason
                }
                SourceRead::DeadlineExceeded => return self.abort("out_of_time"),
            };
            if failure == NO_MEMORY || !self.resume(failure).await {
                return self.abort(failure);
            }
        }
    }

    async fn read(&mut self) -> SourceRead {
        let left = self.call.time_left(self.router.now());
        if left.is_zero() {
            return SourceRead::DeadlineExceeded;
        }
        let Some(source) = &mut self.source else { return SourceRead::Broken("no_source") };
        match self.router.runtime.within(left.min(IDLE_TIMEOUT), source.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if source.times.on_received(self.router.now()) {
                    quarantine::on_sustained(&self.router, &self.call);
                }
                SourceRead::Bytes(frame.into_data().unwrap_or_default())
            }
            Ok(Some(Err(_))) if source.connection.has_excess_bytes() => {
                SourceRead::Broken("excess_bytes")
            }
            Ok(Some(Err(_))) => SourceRead::Broken("broke_off"),
            Ok(None) => SourceRead::End,
            Err(_) if left <= IDLE_TIMEOUT => SourceRead::DeadlineExceeded,
            Err(_) => SourceRead::IdleTimeout,
        }
    }

    /// Returns the events that `bytes` complete, without those that the caller already received.
    fn process(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, &'static str> {
        let complete = self.splitter.push(bytes);
        if self.splitter.exceeds_limit() {
            return Err("event_too_large");
        }
        if !self.reserve_memory(complete.as_ref().map_or(0, Bytes::len)) {
            return Err(NO_MEMORY);
        }
        let Some(complete) = complete else { return Ok(None) };
        let is_first = self.events == 0;
        let mut arrived = 0;
        let mut relayed = BytesMut::with_capacity(complete.len());
        for event in events_of(&complete) {
            arrived += 1;
            let number = self.router.dialects.back_ends.event_number(&event);
            if number.is_some() && number <= self.last_event {
                continue;
            }
            self.last_event = number.or(self.last_event);
            self.count(&event, number);
            relayed.extend_from_slice(&event);
        }
        if self.blank_bytes > MAX_BLANK_BYTES {
            return Err("no_events");
        }
        if is_first && self.events > 0 {
            self.on_first_event();
        }
        self.record_pause();
        if let Some(source) = &self.source {
            source.ticket.on_first_event();
            source.ticket.on_events(arrived);
            source.connection.set_read_interval(self.router.batching_interval());
        }
        Ok((!relayed.is_empty()).then(|| relayed.freeze()))
    }

    /// Counts an event that is relayed.
    fn count(&mut self, event: &[u8], number: Option<u64>) {
        if number.is_some() || has_data(event) {
            self.events += 1;
            self.blank_bytes = 0;
        } else {
            self.blank_bytes += event.len();
        }
    }

    fn on_first_event(&self) {
        self.call.record_first_event(self.router.now());
        self.router.metrics.on_first_event(&self.call, self.router.now());
        if let Some(source) = &self.source {
            stream_origins::on_first_event(&self.router, &self.call, &source.back_end);
        }
    }

    /// Reserves memory for `complete` bytes of events and the buffered part of the next one, if
    /// they are large. Returns whether there is enough. The reservation is kept until the stream
    /// ends, since earlier events may still be in the connection's write buffer.
    fn reserve_memory(&mut self, complete: usize) -> bool {
        let held = (complete + self.splitter.buffered_bytes()) as u64;
        let needed = held * EVENT_COPIES;
        let reserved = self.event_reservation.as_ref().map_or(0, BodyReservation::bytes);
        if held <= MAX_UNRESERVED_ANSWER || needed <= reserved {
            return true;
        }
        self.event_reservation = None;
        self.event_reservation = self.router.bodies.try_reserve(Some(needed));
        self.event_reservation.is_some()
    }

    /// Returns what became of the back end when the stream ended: it is alive if it has marked the
    /// end.
    async fn back_end_fate(&self) -> BackEndFate {
        let Some(source) = self.source.as_ref().filter(|source| !source.is_delimited) else {
            return BackEndFate::Alive;
        };
        let StreamBackEnd { id, address, .. } = &source.back_end;
        events::unmarked_end(&self.call, id, self.events);
        let progress = source.times.progress();
        broken_connections::fate_after_answer(&self.router, &self.call, id, *address, progress)
            .await
    }

    fn record_broken_connection(&self) {
        if let Some(source) = &self.source {
            let progress = source.times.progress();
            broken_connections::record(&self.router, &self.call, &source.back_end.id, progress);
        }
    }

    fn record_pause(&mut self) {
        let now = self.router.now();
        let pause = now.since(self.last_relayed);
        if self.events > 0 {
            let mut trace = self.call.trace.borrow_mut();
            trace.longest_pause = trace.longest_pause.max(pause);
        }
        self.last_relayed = now;
    }

    fn finish(&mut self, fate: BackEndFate) {
        if let Some(source) = self.source.take() {
            source.ticket.on_first_event();
            source.ticket.succeed();
            if fate == BackEndFate::Alive {
                quarantine::on_served(&self.router, &self.call);
            }
            self.router.pool.release(&source.back_end.id, source.connection);
            self.router.update_idle_connection(&source.back_end.id);
            self.record_outcome(OutcomeKind::Streamed, None, Some(&source.back_end.id));
        }
    }

    fn abort(&mut self, reason: &'static str) -> Option<Result<Frame<Bytes>, BodyError>> {
        let source = self.source.take();
        let back_end = source.as_ref().map(|source| source.back_end.id.clone());
        if let Some(source) = source {
            source.ticket.fail(Fault::Broken);
        }
        self.router.metrics.on_broken_stream(reason);
        self.record_outcome(OutcomeKind::BrokenOff, Some(reason), back_end.as_ref());
        Some(Err(BodyError))
    }

    fn may_resume(&self) -> bool {
        self.call.entry.route.resumable
            && self.resumes < MAX_RESUMES
            && (self.events == 0 || self.call.origin.get().is_some())
            && self.attempt.borrow().may_send_if_lost()
    }

    /// Reserves a slot at another back end that may resume the stream. Returns whether there is one.
    fn reserve_takeover(&mut self) -> bool {
        if !self.may_resume() {
            return false;
        }
        let current = self.source.iter().map(|source| &source.back_end.id);
        let tried = self.tried.iter().chain(current).cloned().collect();
        let takeover = Takeover::reserve(&self.router, &self.call, &self.retries, tried, true);
        self.takeover.set(takeover);
        self.takeover.get_mut().is_some()
    }

    /// Resumes the stream from another back end. Returns whether that succeeded.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let may_resume = self.may_resume() && self.retries.is_available();
        self.attempt.borrow_mut().on_lost();
        let source = self.source.take();
        let from = source.as_ref().map(|source| source.back_end.clone());
        if let Some(source) = source {
            source.ticket.fail(Fault::Broken);
            self.tried.push(source.back_end.id);
        }
        self.splitter.clear();
        if !may_resume {
            return false;
        }
        let left = self.call.time_left(self.router.now());
        let status = quarantine::status(&self.router, &self.call);
        match self.router.runtime.within(left, status).await {
            Ok(QuarantineStatus::Clear | QuarantineStatus::Suspect) => {}
            Ok(QuarantineStatus::Quarantined { .. }) | Err(_) => return false,
        }
        self.resumes += 1;
        let left = self.call.time_left(self.router.now());
        let source = self.router.runtime.within(left, self.next_source()).await.unwrap_or_default();
        let to = source.as_ref().map(|source| &source.back_end);
        events::stream_resumed(&self.call, reason, self.last_event, from.as_ref(), to);
        self.source = source;
        self.source.is_some()
    }

    async fn obtain_next(&self) -> Option<Takeover> {
        let mut demand = takeover::demand_without(&self.router, &self.call, self.tried.clone());
        demand.arrived = self.router.now();
        let (ticket, placement) = Ticket::obtain(&self.router, demand).await.ok()?;
        Some(Takeover { ticket, placement })
    }

    /// Opens the rest of the stream at another back end, and at a further one if that is left for
    /// being slow.
    async fn next_source(&mut self) -> Option<StreamSource> {
        loop {
            let next = match self.takeover.take() {
                Some(takeover) => takeover,
                None => self.obtain_next().await?,
            };
            let Takeover { ticket, placement } = next;
            if !self.retries.hold() {
                return None;
            }
            match self.open_rest(&placement).await {
                Ok((head, body, connection)) => {
                    let back_end = &placement.back_end;
                    let source =
                        StreamSource::new(ticket, back_end, connection, &head.headers, body);
                    return Some(source);
                }
                Err(fault) => ticket.fail(fault),
            }
            self.tried.push(placement.back_end.id);
            if self.takeover.get_mut().is_none() {
                return None;
            }
        }
    }

    /// Requests the rest of the stream from one back end.
    async fn open_rest(
        &self,
        placement: &Placement,
    ) -> Result<(http::response::Parts, MeteredBody, BackEndConnection), Fault> {
        self.call.record_placement(placement, self.router.now());
        self.router.metrics.on_placement(placement.choice);
        let sender = RequestSender {
            router: &self.router,
            call: &self.call,
            attempt: &self.attempt,
            retries: &self.retries,
            tried: &self.tried,
            takeover: &self.takeover,
        };
        match sender.send(placement, self.last_event, false).await {
            SendOutcome::Answered(head, body, connection) if head.status == StatusCode::OK => {
                self.attempt.borrow_mut().on_answer();
                Ok((head, body, *connection))
            }
            SendOutcome::Answered(..) => Err(Fault::Failure),
            SendOutcome::Lost(failure) => {
                self.attempt.borrow_mut().on_lost();
                Err(failure.fault)
            }
            SendOutcome::NotSent(failure) | SendOutcome::NotRun(failure) => Err(failure.fault),
        }
    }

    fn record_outcome(
        &mut self,
        kind: OutcomeKind,
        reason: Option<&'static str>,
        back_end: Option<&BackEndId>,
    ) {
        self.is_recorded = true;
        let mut outcome =
            Outcome::new(kind).with_status(StatusCode::OK.as_u16()).with_events(self.events);
        if let Some(reason) = reason {
            outcome = outcome.with_reason(reason);
        }
        if let Some(id) = back_end {
            outcome = outcome.with_back_end(id);
        }
        record_end(&self.router, &self.call, &outcome);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_recorded {
            let back_end = self.source.as_ref().map(|source| source.back_end.id.clone());
            self.record_outcome(OutcomeKind::CallerGone, None, back_end.as_ref());
        }
    }
}

/// The body of a stream's answer. Dropping it before the end closes the connection to the back end.
pub struct StreamBody {
    frames: Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, BodyError>>>>,
}

impl StreamBody {
    /// Creates a body from a relay's events.
    pub fn new(relay: Relay) -> Self {
        let frames = smol::stream::unfold(Some(relay), |relay| async move {
            let mut relay = relay?;
            let frame = relay.next().await?;
            let rest = frame.is_ok().then_some(relay);
            Some((frame, rest))
        });
        Self { frames: Box::pin(frames) }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.frames.poll_next(context)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
