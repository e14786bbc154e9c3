//! The state of the request and the answer that a forwarded connection carries.

use crate::message_framing::{MessageFraming, MessageProgress, RequestKind};
use mastbay_types::Timestamp;
use std::cell::RefCell;
use std::rc::Rc;
use std::task::Waker;

/// Bytes kept from the start of a request, enough for the head of most.
const MAX_REQUEST_START: usize = 4 << 10;

/// How far a forwarded connection has come with its current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has come since the last answer.
    Idle,
    /// Part of a request has come, and nothing of its answer.
    Receiving,
    /// Bytes have come whose framing is unknown, and nothing of an answer.
    Unframed,
    /// A whole request has come, and nothing of its answer.
    Awaiting,
    /// The answer has begun and not ended.
    Answering,
    /// The answer has ended before the request.
    Discarding,
    /// The answer has ended, and it closes the connection.
    Closing,
}

/// The state shared by the tasks that copy requests and answers.
#[derive(Debug, Clone)]
pub(super) struct ExchangeState(Rc<RefCell<Exchange>>);

/// Bytes of a request that is not copied yet.
#[derive(Debug, Default)]
pub(super) struct HeldBytes {
    pub(super) bytes: Vec<u8>,
    /// When the first of them arrived.
    pub(super) arrived: Timestamp,
}

impl HeldBytes {
    fn extend(&mut self, arrived: Timestamp, bytes: &[u8]) {
        if self.bytes.is_empty() {
            self.arrived = arrived;
        }
        self.bytes.extend_from_slice(bytes);
    }
}

#[derive(Debug)]
struct Exchange {
    request: MessageFraming,
    answer: MessageFraming,
    /// The answer that has ended was written to the caller.
    is_answer_written: bool,
    /// Part of the request could not be written to the peer.
    is_undelivered: bool,
    /// The first bytes of the request.
    request_start: Vec<u8>,
    /// Bytes of the next request, which came before the end of the answer.
    held: HeldBytes,
    /// When the request began to arrive.
    requested_at: Timestamp,
    /// When the first bytes of the answer came.
    answered_at: Option<Timestamp>,
    /// The end of the last answer, or the beginning of the connection.
    idle_since: Timestamp,
    /// Wakes the task that copies requests.
    waker: Option<Waker>,
}

impl ExchangeState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self(Rc::new(RefCell::new(Exchange {
            request: MessageFraming::request(),
            answer: MessageFraming::answer_to(RequestKind::default()),
            is_answer_written: false,
            is_undelivered: false,
            request_start: Vec::new(),
            held: HeldBytes::default(),
            requested_at: now,
            answered_at: None,
            idle_since: now,
            waker: None,
        })))
    }

    pub(super) fn phase(&self) -> Phase {
        self.0.borrow().phase()
    }

    /// Returns when a request began to arrive whose answer has not begun.
    pub(super) fn awaited_since(&self) -> Option<Timestamp> {
        let is_awaited =
            matches!(self.phase(), Phase::Receiving | Phase::Unframed | Phase::Awaiting);
        is_awaited.then(|| self.requested_at())
    }

    /// Returns when the current request began to arrive.
    pub(super) fn requested_at(&self) -> Timestamp {
        self.0.borrow().requested_at
    }

    /// Returns when the first bytes of the current answer came.
    pub(super) fn answered_at(&self) -> Option<Timestamp> {
        self.0.borrow().answered_at
    }

    /// Returns the end of the last answer, or the beginning of the connection.
    pub(super) fn idle_since(&self) -> Timestamp {
        self.0.borrow().idle_since
    }

    /// Calls `read` with the first bytes of the current request.
    pub(super) fn with_request_start<T>(&self, read: impl FnOnce(&[u8]) -> T) -> T {
        read(&self.0.borrow().request_start)
    }

    /// Returns whether a request has begun whose end has not come.
    pub(super) fn has_incomplete_request(&self) -> bool {
        self.0.borrow().has_incomplete_request()
    }

    /// Returns whether the answer under way lasts until the peer closes its connection.
    pub(super) fn lasts_until_close(&self) -> bool {
        self.0.borrow().answer.progress() == MessageProgress::UntilClose
    }

    /// Reads bytes that arrived from the caller at `arrived`. Those after the end of the request are
    /// held. Returns how many belong to the request.
    pub(super) fn on_request(&self, now: Timestamp, arrived: Timestamp, bytes: &[u8]) -> usize {
        self.0.borrow_mut().on_request(now, arrived, bytes)
    }

    /// Records that part of the request could not be written to the peer.
    pub(super) fn on_undelivered(&self) {
        self.0.borrow_mut().is_undelivered = true;
    }

    /// Reads bytes from the peer.
    pub(super) fn on_answer(&self, now: Timestamp, bytes: &[u8]) {
        self.0.borrow_mut().on_answer(now, bytes);
    }

    /// Records that all bytes from the peer were written to the caller. Returns whether they end an
    /// answer.
    pub(super) fn on_answer_written(&self, now: Timestamp) -> bool {
        let mut exchange = self.0.borrow_mut();
        let has_ended = exchange.answer.progress() == MessageProgress::Ended;
        if has_ended {
            exchange.on_answer_ended(now);
            let waker = exchange.waker.take();
            drop(exchange);
            waker.inspect(Waker::wake_by_ref);
        }
        has_ended
    }

    /// Holds bytes of the next request, which arrived at `arrived`.
    pub(super) fn hold(&self, arrived: Timestamp, bytes: &[u8]) {
        self.0.borrow_mut().held.extend(arrived, bytes);
    }

    /// Returns the number of bytes held.
    pub(super) fn held(&self) -> usize {
        self.0.borrow().held.bytes.len()
    }

    /// Takes the bytes held.
    pub(super) fn take_held(&self) -> HeldBytes {
        std::mem::take(&mut self.0.borrow_mut().held)
    }

    /// Sets the task that is woken at the end of an answer.
    pub(super) fn set_waker(&self, waker: &Waker) {
        let stored = &mut self.0.borrow_mut().waker;
        if !stored.as_ref().is_some_and(|stored| stored.will_wake(waker)) {
            *stored = Some(waker.clone());
        }
    }
}

impl Exchange {
    fn phase(&self) -> Phase {
        match self.answer.progress() {
            MessageProgress::NotBegun => self.phase_before_answer(),
            MessageProgress::Ended if self.is_answer_written => self.phase_after_answer(),
            MessageProgress::Ended | MessageProgress::UnderWay | MessageProgress::UntilClose => {
                Phase::Answering
            }
        }
    }

    fn phase_before_answer(&self) -> Phase {
        match self.request.progress() {
            MessageProgress::NotBegun => Phase::Idle,
            // The peer can't run a request that it has not received whole.
            MessageProgress::UnderWay | MessageProgress::Ended if self.is_undelivered => {
                Phase::Receiving
            }
            MessageProgress::UnderWay => Phase::Receiving,
            MessageProgress::UntilClose => Phase::Unframed,
            MessageProgress::Ended => Phase::Awaiting,
        }
    }

    fn phase_after_answer(&self) -> Phase {
        if self.answer.closes_connection() { Phase::Closing } else { Phase::Discarding }
    }

    fn on_request(&mut self, now: Timestamp, arrived: Timestamp, bytes: &[u8]) -> usize {
        if self.request.progress() == MessageProgress::NotBegun {
            self.requested_at = arrived;
            self.request_start.clear();
        }
        let length = self.request.advance(bytes);
        let kept = length.min(MAX_REQUEST_START.saturating_sub(self.request_start.len()));
        self.request_start.extend_from_slice(&bytes[..kept]);
        self.held.extend(arrived, &bytes[length..]);
        if self.is_answer_written && self.request.progress() == MessageProgress::Ended {
            self.await_next(now);
        }
        length
    }

    fn on_answer(&mut self, now: Timestamp, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.answer.progress() == MessageProgress::NotBegun {
            self.answer = MessageFraming::answer_to(self.request.request_kind());
        }
        self.answer.advance(bytes);
        // Interim answers don't begin the answer.
        if self.answered_at.is_none() && self.answer.progress() != MessageProgress::NotBegun {
            self.answered_at = Some(now);
        }
    }

    fn on_answer_ended(&mut self, now: Timestamp) {
        self.is_answer_written = true;
        if !self.answer.closes_connection() && !self.has_incomplete_request() {
            self.await_next(now);
        }
    }

    fn has_incomplete_request(&self) -> bool {
        let progress = self.request.progress();
        matches!(progress, MessageProgress::UnderWay | MessageProgress::UntilClose)
    }

    /// Forgets the request and the answer, both of which have ended.
    fn await_next(&mut self, now: Timestamp) {
        self.request = MessageFraming::request();
        self.answer = MessageFraming::answer_to(RequestKind::default());
        self.is_answer_written = false;
        self.answered_at = None;
        self.idle_since = now;
    }
}
