//! Relays an event stream to its caller. Only complete events are relayed, so that a broken stream
//! can be continued from another back end if its route allows that.

use crate::answer_end::AnswerEnd;
use crate::body_budget::{BodyReservation, NO_MEMORY};
use crate::broken_connections::{self, BackEndFate};
use crate::call::Call;
use crate::continuation::{Continuation, Handover, WithoutRetry};
use crate::event_splitter::{EventSplitter, events_of, has_data};
use crate::events;
use crate::outcome::{Outcome, OutcomeKind};
use crate::quarantine;
use crate::router::Router;
use crate::stream_origins;
use crate::stream_source::{NextFrame, StreamBackEnd, StreamSource};
use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use mastbay_routing::BackEndId;
use mastbay_types::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// Copies of a large event in memory: in the read buffer, in the splitter, as a complete event, and
/// in hyper's write buffer.
const EVENT_COPIES: u64 = 4;
/// Bytes of events that need no reservation before the answer begins. They count as part of the
/// connection.
const MAX_UNRESERVED_BYTES: u64 = 4 << 10;
/// Size of an event, in bytes, from which it always needs a reservation. The answer begins without
/// an incomplete one of this size.
const LARGE_EVENT: u64 = 16 << 10;
/// Time without data after which another back end is asked to continue a stream.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes of events without data, such as comments, between two events that have some.
const MAX_BLANK_BYTES: usize = 64 << 10;

/// Why a stream is not relayed any further, as a reason for the log.
pub type StreamFailure = &'static str;
/// The failure of a stream whose deadline has passed.
pub const OUT_OF_TIME: StreamFailure = "out_of_time";
/// The failure of a stream whose back end sent nothing for a while, and was left for another one.
const SILENT: StreamFailure = "silent";

/// A stream that is being relayed.
pub struct Relay {
    router: Rc<Router>,
    call: Rc<Call>,
    source: Option<StreamSource>,
    continuation: Continuation,
    splitter: EventSplitter,
    last_event: Option<u64>,
    /// Events with data that were relayed.
    events: u64,
    /// Bytes of events without data since the last one that has some.
    blank_bytes: usize,
    /// Whether the current back end has sent an event with data.
    has_data_of_source: bool,
    /// Events without data that came before that.
    withheld: BytesMut,
    last_relayed: Timestamp,
    /// Memory reserved for large events.
    event_reservation: Option<BodyReservation>,
    /// Whether the answer to the caller has begun, so that its end is recorded here.
    has_begun: bool,
    /// Whether the outcome is known.
    is_over: bool,
    /// Records the end of the request.
    end: Rc<AnswerEnd>,
}

/// The result of one read from the back end.
enum SourceRead {
    Bytes(Bytes),
    End,
    Broken(StreamFailure),
    IdleTimeout,
    DeadlineExceeded,
}

impl Relay {
    /// Creates a relay for a stream whose head was received from `source`.
    pub fn new(
        router: &Rc<Router>,
        call: &Rc<Call>,
        source: StreamSource,
        continuation: Continuation,
    ) -> Self {
        Self {
            router: router.clone(),
            call: call.clone(),
            source: Some(source),
            continuation,
            splitter: EventSplitter::default(),
            last_event: call.head.last_event,
            events: 0,
            blank_bytes: 0,
            has_data_of_source: false,
            withheld: BytesMut::new(),
            last_relayed: router.now(),
            event_reservation: None,
            has_begun: false,
            is_over: false,
            end: AnswerEnd::relayed(router, call),
        }
    }

    /// Waits for the first event with data, much of one, or the regular end of a stream without any.
    /// Returns the events received. From then on, the relay records how the request ends.
    ///
    /// # Errors
    /// If there is none. Nothing was sent to the caller yet, so the request can still be answered.
    pub async fn begin(&mut self) -> Result<Vec<Bytes>, StreamFailure> {
        let mut received = Vec::new();
        while self.events == 0 && !self.is_over && !self.is_inside_large_event() {
            match self.next().await {
                Some(Ok(events)) if events.is_empty() => {}
                Some(Ok(events)) => received.push(events),
                Some(Err(failure)) => {
                    self.close_source();
                    return Err(failure);
                }
                None => break,
            }
        }
        self.has_begun = true;
        Ok(received)
    }

    /// Returns what records the end of the request.
    pub fn end(&self) -> Rc<AnswerEnd> {
        self.end.clone()
    }

    /// Returns the next complete events for the caller, and `None` after the end of the stream.
    /// Records a failure as the end of the request.
    pub async fn next_or_abort(&mut self) -> Option<Result<Bytes, StreamFailure>> {
        if self.is_over {
            return None;
        }
        let next = self.next().await;
        if let Some(Err(failure)) = next {
            let back_end = self.close_source();
            self.router.metrics.on_broken_stream(failure);
            self.record_outcome(OutcomeKind::BrokenOff, Some(failure), back_end.as_ref());
        }
        next
    }

    /// Returns the next complete events for the caller, and `None` after the regular end of the
    /// stream.
    async fn next(&mut self) -> Option<Result<Bytes, StreamFailure>> {
        let mut read = self.read().await;
        loop {
            let failure = match read {
                SourceRead::Bytes(bytes) => match self.process(&bytes) {
                    Ok(Some(events)) => return Some(Ok(events)),
                    Ok(None) if !self.has_begun && self.is_inside_large_event() => {
                        return Some(Ok(Bytes::new()));
                    }
                    Ok(None) => None,
                    Err(failure) => Some(failure),
                },
                SourceRead::End if self.splitter.is_inside_event() => {
                    self.record_broken_connection();
                    Some("ended_inside_event")
                }
                SourceRead::End => match self.back_end_fate().await {
                    BackEndFate::Ended => Some("back_end_ended"),
                    // A stream without any event whose end is not marked.
                    BackEndFate::Leaving if self.events == 0 => Some("back_end_left"),
                    fate => {
                        self.finish(fate);
                        let rest = std::mem::take(&mut self.withheld);
                        return (!rest.is_empty()).then(|| Ok(rest.freeze()));
                    }
                },
                SourceRead::IdleTimeout => {
                    // Boxed, since nearly no stream needs this large future.
                    if let Some(recovered) = Box::pin(self.replace_silent()).await {
                        read = recovered;
                        continue;
                    }
                    None
                }
                SourceRead::Broken(failure) => {
                    self.record_broken_connection();
                    Some(failure)
                }
                SourceRead::DeadlineExceeded => return Some(Err(OUT_OF_TIME)),
            };
            if let Some(failure) = failure
                && (failure == NO_MEMORY || !Box::pin(self.replace_broken(failure)).await)
            {
                return Some(Err(failure));
            }
            read = self.read().await;
        }
    }

    async fn read(&mut self) -> SourceRead {
        let left = self.call.time_left(self.router.now());
        if left.is_zero() {
            return SourceRead::DeadlineExceeded;
        }
        let Some(source) = &mut self.source else { return SourceRead::Broken("no_source") };
        match self.router.runtime.within(left.min(IDLE_TIMEOUT), source.next_frame()).await {
            Ok(frame) => self.received(frame),
            Err(_) if left <= IDLE_TIMEOUT => SourceRead::DeadlineExceeded,
            Err(_) => SourceRead::IdleTimeout,
        }
    }

    /// Evaluates what the current back end sent.
    fn received(&mut self, frame: NextFrame) -> SourceRead {
        let Some(source) = &mut self.source else { return SourceRead::Broken("no_source") };
        match frame {
            Some(Ok(frame)) => {
                if source.times.on_received(self.router.now()) {
                    quarantine::on_sustained(&self.router, &self.call);
                }
                SourceRead::Bytes(frame.into_data().unwrap_or_default())
            }
            Some(Err(_)) if source.connection.has_excess_bytes() => {
                SourceRead::Broken("excess_bytes")
            }
            Some(Err(_)) => SourceRead::Broken("broke_off"),
            None => SourceRead::End,
        }
    }

    /// Returns the events that `bytes` complete, without those that the caller already received.
    fn process(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamFailure> {
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
        let mut relayed = Vec::new();
        for event in events_of(&complete) {
            arrived += 1;
            let number = self.router.dialects.back_ends.event_number(&event);
            if number.is_some() && number <= self.last_event {
                self.has_data_of_source = true;
                continue;
            }
            self.last_event = number.or(self.last_event);
            self.count(&event, number);
            relayed.push(event);
        }
        if self.blank_bytes > MAX_BLANK_BYTES {
            return Err("no_events");
        }
        if is_first && self.events > 0 {
            self.on_first_event();
        }
        self.record_pause();
        if let Some(source) = &self.source {
            if self.has_data_of_source {
                source.ticket.on_first_event();
            }
            source.ticket.on_events(arrived);
            source.connection.set_read_interval(self.router.batching_interval());
        }
        let is_unchanged = relayed.len() == arrived as usize;
        let relayed = if is_unchanged { complete } else { Bytes::from(relayed.concat()) };
        Ok(self.release(relayed))
    }

    /// Returns the events that are relayed now. Those without data wait for the first one of their
    /// back end with data, and are dropped with the back end if none comes.
    fn release(&mut self, events: Bytes) -> Option<Bytes> {
        if self.blank_bytes > 0 && !self.has_data_of_source {
            self.withheld.extend_from_slice(&events);
            return None;
        }
        if self.withheld.is_empty() {
            return (!events.is_empty()).then_some(events);
        }
        self.withheld.extend_from_slice(&events);
        Some(std::mem::take(&mut self.withheld).freeze())
    }

    /// Forgets what is buffered of a back end that was left.
    fn forget_source(&mut self) {
        self.splitter.clear();
        self.withheld.clear();
        self.blank_bytes = 0;
        self.has_data_of_source = false;
    }

    /// Returns whether so much of an event is buffered that the answer begins without it.
    fn is_inside_large_event(&self) -> bool {
        self.splitter.buffered_bytes() as u64 > LARGE_EVENT
    }

    /// Counts an event that is relayed.
    fn count(&mut self, event: &[u8], number: Option<u64>) {
        if number.is_some() || has_data(event) {
            self.events += 1;
            self.blank_bytes = 0;
            self.has_data_of_source = true;
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

    /// Reserves memory for `complete` bytes of events, the buffered part of the next one, and the
    /// events that are withheld, if they are large. Returns whether there is enough. The reservation
    /// is kept until the stream ends, since earlier events may still be in the connection's write
    /// buffer.
    fn reserve_memory(&mut self, complete: usize) -> bool {
        let held = (complete + self.splitter.buffered_bytes() + self.withheld.len()) as u64;
        let needed = held * EVENT_COPIES;
        let reserved = self.event_reservation.as_ref().map_or(0, BodyReservation::bytes);
        // A stream that has begun can't be answered otherwise any more.
        let unreserved = if self.has_begun { LARGE_EVENT } else { MAX_UNRESERVED_BYTES };
        if held <= unreserved || needed <= reserved {
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
            trace.events = self.events;
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

    /// Closes the connection to the current back end and returns its ID.
    fn close_source(&mut self) -> Option<BackEndId> {
        self.source.take().map(StreamSource::close)
    }

    /// Continues the stream at another back end, since the current one failed. Returns whether that
    /// succeeded.
    async fn replace_broken(&mut self, failure: StreamFailure) -> bool {
        let is_allowed = self.continuation.is_allowed(self.events > 0);
        let from = self.source.as_ref().map(|source| source.back_end.clone());
        if let Some(source) = self.source.take() {
            self.continuation.leave(source);
        }
        self.forget_source();
        if !is_allowed {
            return false;
        }
        let left = self.call.time_left(self.router.now());
        let without_retry = match failure {
            SILENT => WithoutRetry::Wait,
            _ => WithoutRetry::GiveUp,
        };
        let next = self.continuation.after_break(self.last_event, without_retry);
        self.source = self.router.runtime.within(left, next).await.unwrap_or_default();
        self.log_handover(failure, from.as_ref());
        self.source.is_some()
    }

    /// Asks another back end to continue the stream, since the current one is silent. Keeps that one
    /// until the other begins to answer. Returns what it sends if it goes on before.
    async fn replace_silent(&mut self) -> Option<SourceRead> {
        let current = self.source.as_ref().map(|source| source.back_end.clone())?;
        let is_allowed = self.continuation.is_allowed(self.events > 0);
        if !is_allowed || !self.continuation.reserve(&current.id) {
            return None;
        }
        let left = self.call.time_left(self.router.now());
        let router = self.router.clone();
        let read = match router.runtime.within(left, self.ask_for_silent()).await {
            Ok(read) => read,
            Err(_) => Some(SourceRead::DeadlineExceeded),
        };
        self.log_handover(SILENT, Some(&current));
        read
    }

    async fn ask_for_silent(&mut self) -> Option<SourceRead> {
        let silent = self.source.take()?;
        match self.continuation.replace_silent(silent, self.last_event).await {
            Handover::Kept(silent) => self.source = Some(silent),
            Handover::Recovered(silent, frame) => {
                self.source = Some(silent);
                return Some(self.received(frame));
            }
            Handover::Replaced(source) => {
                self.forget_source();
                self.source = Some(source);
            }
            Handover::Lost => return Some(SourceRead::Broken(SILENT)),
        }
        None
    }

    /// Logs that the stream left `from`, or tried to, and where it goes on.
    fn log_handover(&self, reason: &'static str, from: Option<&StreamBackEnd>) {
        let to = self.source.as_ref().map(|source| &source.back_end);
        let to = to.filter(|to| from.is_none_or(|from| from.id != to.id));
        events::stream_resumed(&self.call, reason, self.last_event, from, to);
    }

    fn record_outcome(
        &mut self,
        kind: OutcomeKind,
        reason: Option<&'static str>,
        back_end: Option<&BackEndId>,
    ) {
        self.is_over = true;
        let mut outcome =
            Outcome::new(kind).with_status(StatusCode::OK.as_u16()).with_events(self.events);
        if let Some(reason) = reason {
            outcome = outcome.with_reason(reason);
        }
        if let Some(id) = back_end {
            outcome = outcome.with_back_end(id);
        }
        match kind {
            OutcomeKind::Streamed => self.end.decide(outcome),
            _ => self.end.record(&outcome),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.has_begun && !self.is_over {
            let back_end = self.source.as_ref().map(|source| source.back_end.id.clone());
            self.record_outcome(OutcomeKind::CallerGone, None, back_end.as_ref());
        }
    }
}
