//! A stream on its way to its caller: whole events only, taken up at another back end if that is allowed.

use crate::body_budget::{BodyReservation, NO_MEMORY, SMALL_ANSWER};
use crate::broken_connections;
use crate::call::Call;
use crate::headers::is_delimited;
use crate::outcome::{Outcome, OutcomeKind};
use crate::own_answers::note_end;
use crate::pool::BackEndConnection;
use crate::quarantine;
use crate::router::Router;
use crate::send::{Sender, Try};
use crate::ticket::Ticket;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use mastbay_routing::{Attempt, BackEndId, Fault, QuarantineStatus};
use mastbay_types::Timestamp;
use mastbay_web::BodyError;
use smol::stream::{Stream, StreamExt};
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Largest event, in bytes.
const LARGEST_EVENT: usize = 1 << 20;
/// Times that a large event is in memory: as it comes in, with room for its rest, whole, and as it goes out. With 300 callers that did
/// not read events of 64 KB the process grew by 267 KB for each.
const COPIES_OF_EVENT: u64 = 4;
/// Silence after which a stream that may be resumed is taken up elsewhere.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Times that one stream is taken up elsewhere.
const MOST_RESUMES: u32 = 2;

/// Cuts a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Takes bytes and gives the events that they complete.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = end_of_last_event(&self.partial)?;
        Some(self.partial.split_to(end).freeze())
    }

    /// Bytes held.
    fn held(&self) -> usize {
        self.partial.len()
    }

    /// Whether the beginning of an event is held whose end has not come.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    fn is_overfull(&self) -> bool {
        self.partial.len() > LARGEST_EVENT
    }

    fn reset(&mut self) {
        self.partial.clear();
    }
}

/// One event after the other of a run of whole events.
pub fn events_of(bytes: &Bytes) -> impl Iterator<Item = Bytes> {
    let mut rest = bytes.clone();
    std::iter::from_fn(move || {
        let end = end_of_first_event(&rest)?;
        Some(rest.split_to(end))
    })
}

fn end_of_first_event(bytes: &[u8]) -> Option<usize> {
    let feeds = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    feeds.into_iter().chain(returns).min()
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let feeds = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    feeds.into_iter().chain(returns).max()
}

/// A stream under way.
pub struct Relay {
    router: Rc<Router>,
    call: Rc<Call>,
    attempt: Rc<RefCell<Attempt>>,
    source: Option<Source>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    events: u64,
    last_passed_on: Timestamp,
    resumes: u32,
    tried: Vec<BackEndId>,
    /// Memory taken for a large event.
    large_event: Option<BodyReservation>,
    noted: bool,
}

/// The back end that a stream comes from.
pub struct Source {
    /// The room taken there.
    pub ticket: Ticket,
    /// The back end.
    pub back_end: BackEndId,
    /// The connection to it.
    pub connection: BackEndConnection,
    /// The rest of its answer.
    pub body: Incoming,
    /// Whether its answer tells its own end.
    pub is_delimited: bool,
}

/// What came next from the back end.
enum Next {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    Silent,
    OutOfTime,
}

impl Relay {
    /// A stream whose head has come from `source`, after the back ends in `tried` were given up.
    pub fn new(
        router: &Rc<Router>,
        call: &Rc<Call>,
        attempt: &Rc<RefCell<Attempt>>,
        source: Source,
        tried: Vec<BackEndId>,
    ) -> Self {
        Self {
            router: router.clone(),
            call: call.clone(),
            attempt: attempt.clone(),
            source: Some(source),
            splitter: EventSplitter::default(),
            last_event: call.head.last_event,
            events: 0,
            last_passed_on: router.now(),
            resumes: 0,
            tried,
            large_event: None,
            noted: false,
        }
    }

    /// The next events for the caller; nothing after the stream's proper end.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        loop {
            let broken = match self.read().await {
                Next::Bytes(bytes) => match self.take(&bytes) {
                    Ok(Some(events)) => return Some(Ok(Frame::data(events))),
                    Ok(None) => continue,
                    Err(reason) => reason,
                },
                Next::End if !self.splitter.is_inside_event() => {
                    self.finish();
                    return None;
                }
                Next::End => {
                    self.note_broken();
                    "ended_inside_event"
                }
                Next::Silent if !self.may_resume() => continue,
                Next::Silent => "silent",
                Next::Broken(reason) => {
                    self.note_broken();
                    reason
                }
                Next::OutOfTime => return self.break_off("out_of_time"),
            };
            if broken == NO_MEMORY || !self.resume(broken).await {
                return self.break_off(broken);
            }
        }
    }

    async fn read(&mut self) -> Next {
        let left = self.call.time_left(self.router.now());
        if left.is_zero() {
            return Next::OutOfTime;
        }
        let Some(source) = &mut self.source else { return Next::Broken("no_source") };
        match self.router.runtime.within(left.min(SILENCE), source.body.frame()).await {
            Ok(Some(Ok(frame))) => Next::Bytes(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => Next::Broken("broke_off"),
            Ok(None) => Next::End,
            Err(_) if left <= SILENCE => Next::OutOfTime,
            Err(_) => Next::Silent,
        }
    }

    /// The whole events that bytes complete, without those that the caller already has.
    fn take(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, &'static str> {
        let whole = self.splitter.take(bytes);
        if self.splitter.is_overfull() {
            return Err("event_too_large");
        }
        if !self.has_memory(whole.as_ref().map_or(0, Bytes::len)) {
            return Err(NO_MEMORY);
        }
        let Some(whole) = whole else { return Ok(None) };
        if let Some(source) = &self.source {
            source.ticket.on_first_event();
            source.connection.set_pace(self.router.batching_interval());
        }
        self.note_pause();
        if self.events == 0 {
            self.call.note_first_event(self.router.now());
            self.router.metrics.on_first_event(&self.call, self.router.now());
        }
        let mut arrived = 0;
        let mut passed_on = BytesMut::with_capacity(whole.len());
        for event in events_of(&whole) {
            arrived += 1;
            let number = self.router.dialects.back_ends.event_number(&event);
            if number.is_some() && number <= self.last_event {
                continue;
            }
            self.last_event = number.or(self.last_event);
            self.events += 1;
            passed_on.extend_from_slice(&event);
        }
        if let Some(source) = &self.source {
            source.ticket.on_events(arrived);
        }
        Ok((!passed_on.is_empty()).then(|| passed_on.freeze()))
    }

    /// Whether what is held for the caller fits into the memory for it: `whole` bytes on their way, and the beginning of an event. What
    /// was taken stays taken until the stream ends: earlier events may wait in the connection for their caller.
    fn has_memory(&mut self, whole: usize) -> bool {
        let held = (whole + self.splitter.held()) as u64;
        let needed = held * COPIES_OF_EVENT;
        let taken = self.large_event.as_ref().map_or(0, BodyReservation::bytes);
        if held <= SMALL_ANSWER || needed <= taken {
            return true;
        }
        self.large_event = None;
        self.large_event = self.router.bodies.try_reserve(Some(needed));
        self.large_event.is_some()
    }

    fn note_broken(&self) {
        if let Some(source) = &self.source {
            broken_connections::note(&self.router, &self.call, &source.back_end);
        }
    }

    fn note_pause(&mut self) {
        let now = self.router.now();
        let pause = now.since(self.last_passed_on);
        if self.events > 0 {
            let mut trace = self.call.trace.borrow_mut();
            trace.longest_pause = trace.longest_pause.max(pause);
        }
        self.last_passed_on = now;
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            source.ticket.on_first_event();
            source.ticket.succeed();
            if source.is_delimited {
                quarantine::on_served(&self.router, &self.call);
            }
            self.router.pool.keep(&source.back_end, source.connection);
            self.note(OutcomeKind::Streamed, None, Some(&source.back_end));
        }
    }

    fn break_off(&mut self, reason: &'static str) -> Option<Result<Frame<Bytes>, BodyError>> {
        let source = self.source.take();
        let back_end = source.as_ref().map(|source| source.back_end.clone());
        if let Some(source) = source {
            source.ticket.fail(Fault::Broken);
        }
        self.note(OutcomeKind::BrokenOff, Some(reason), back_end.as_ref());
        Some(Err(BodyError))
    }

    fn may_resume(&self) -> bool {
        let mut as_lost = self.attempt.borrow().clone();
        as_lost.on_lost();
        self.call.entry.route.resumable
            && self.resumes < MOST_RESUMES
            && as_lost.may_send()
            && self.router.has_retries(&self.call.service)
    }

    /// Takes the stream up at another back end.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let may_resume = self.may_resume();
        self.attempt.borrow_mut().on_lost();
        if let Some(source) = self.source.take() {
            source.ticket.fail(Fault::Broken);
            self.tried.push(source.back_end);
        }
        self.splitter.reset();
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
        crate::events::stream_resumed(&self.call, reason, self.last_event, source.is_some());
        self.source = source;
        self.source.is_some()
    }

    async fn next_source(&mut self) -> Option<Source> {
        let mut demand = self.call.demand();
        demand.tried = self.tried.clone();
        demand.arrived = self.router.now();
        if quarantine::is_suspect(&self.router, &self.call) {
            demand.suspect = Some(self.call.fingerprint());
        }
        let (ticket, placement) = Ticket::obtain(&self.router, demand).await.ok()?;
        if !self.router.take_retry(&self.call.service) {
            return None;
        }
        self.call.note_placement(&placement, self.router.now());
        let sender = Sender { router: &self.router, call: &self.call, attempt: &self.attempt };
        match sender.send(&placement, self.last_event, false).await {
            Try::Answered(head, body, connection) if head.status == StatusCode::OK => {
                self.attempt.borrow_mut().on_answer();
                let back_end = placement.back_end.id;
                let is_delimited = is_delimited(&head.headers);
                let connection = *connection;
                Some(Source { ticket, back_end, connection, body, is_delimited })
            }
            Try::Answered(..) => {
                ticket.fail(Fault::Failure);
                None
            }
            Try::NotSent(fault) | Try::NotRun(fault) | Try::Lost(fault) => {
                ticket.fail(fault);
                None
            }
        }
    }

    fn note(&mut self, kind: OutcomeKind, reason: Option<&'static str>, at: Option<&BackEndId>) {
        self.noted = true;
        let mut outcome = Outcome::new(kind).status(StatusCode::OK.as_u16()).events(self.events);
        if let Some(reason) = reason {
            outcome = outcome.because(reason);
        }
        if let Some(id) = at {
            outcome = outcome.at(id);
        }
        note_end(&self.router, &self.call, &outcome);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.noted {
            let at = self.source.as_ref().map(|source| source.back_end.clone());
            self.note(OutcomeKind::CallerGone, None, at.as_ref());
        }
    }
}

/// The body of a stream's answer. Dropped, it closes the connection to the back end.
pub struct StreamBody {
    frames: Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, BodyError>>>>,
}

impl StreamBody {
    /// The body that a relay fills.
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
