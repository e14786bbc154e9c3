//! Copies requests from a caller to a peer, one at a time: what comes before the end of an answer is
//! held. So it is known at any time whether a request or an answer is under way.

use super::copy::{EndReason, ForwardedConnection, StopPhases};
use super::exchange_state::{ExchangeState, Phase};
use super::{BUFFER, write_some};
use crate::request_arrivals::{ReadDating, encode_age};
use crate::runtime::Runtime;
use mastbay_types::Timestamp;
use smol::future::{FutureExt, yield_now};
use smol::io::{AsyncRead, AsyncWriteExt};
use smol::net::TcpStream;
use socket2::SockRef;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Time after which an idle connection is closed here. The peer does so half a second later, and
/// callers are told a second: a request that crossed the peer's close could not be known not to have
/// run.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks whether an idle connection must be closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time for a request that the caller sends right after an answer, before it can notice that the
/// connection is closed.
const NEXT_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Bytes of the next request that are read before the end of an answer. Reading notices a caller
/// that leaves.
const MAX_HELD_BYTES: usize = 8 << 10;

/// Why no further bytes of the caller are copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestsEnd {
    /// The caller has closed its connection.
    CallerClosed,
    /// No further request is accepted, and nothing of one was read.
    Closed {
        reason: EndReason,
        /// The last answer has just ended.
        is_after_answer: bool,
    },
    /// A request of which bytes were read is not passed on.
    Refused(EndReason),
}

/// Copies the requests of one connection.
pub(super) struct RequestCopier {
    pub(super) runtime: Runtime,
    pub(super) caller: TcpStream,
    pub(super) peer: TcpStream,
    pub(super) dating: ReadDating,
    pub(super) state: ExchangeState,
    pub(super) forwarded: Rc<dyn ForwardedConnection>,
    pub(super) stop: StopPhases,
}

/// The result of a step.
enum Step {
    /// Bytes that the peer has not accepted yet.
    Write(Vec<u8>),
    End(RequestsEnd),
}

impl RequestCopier {
    /// Copies requests until there is a reason to accept no more. If the peer fails, waits for what
    /// it may have answered.
    pub(super) async fn run(mut self) -> RequestsEnd {
        loop {
            match self.next_step().await {
                Step::End(end) => return end,
                Step::Write(unwritten) => {
                    if self.peer.write_all(&unwritten).await.is_err() {
                        self.state.on_undelivered();
                        return std::future::pending().await;
                    }
                }
            }
            // A caller that sends without pause must not keep the thread.
            yield_now().await;
        }
    }

    async fn next_step(&mut self) -> Step {
        if !self.is_waiting_for_request() {
            // The end of an answer ends the step.
            return poll_fn(|context| match self.is_waiting_for_request() {
                true => Poll::Ready(Step::NOTHING),
                false => self.poll_step(context),
            })
            .await;
        }
        if let Some(reason) = self.reason_to_close() {
            return self.refuse_next(reason).await;
        }
        let must_close = until_must_close(
            self.runtime,
            self.state.clone(),
            self.forwarded.clone(),
            self.stop.clone(),
        );
        let must_close = async {
            let reason = must_close.await;
            Step::End(RequestsEnd::Closed { reason, is_after_answer: false })
        };
        poll_fn(|context| self.poll_step(context)).or(must_close).await
    }

    fn is_waiting_for_request(&self) -> bool {
        self.state.phase() == Phase::Idle && self.state.held() == 0
    }

    fn reason_to_close(&self) -> Option<EndReason> {
        reason_to_close(self.runtime, &self.state, &*self.forwarded, &self.stop)
    }

    fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        self.state.set_waker(context.waker());
        let phase = self.state.phase();
        let is_stopping = self.stop.accepts_none.is_triggered();
        match phase {
            Phase::Idle => {
                let reason = self.reason_to_close();
                match (reason, self.state.held()) {
                    (None, 0) => self.poll_copy(context),
                    (None, _) => {
                        let held = self.state.take_held();
                        Poll::Ready(self.copy_bytes(context, held.arrived, &held.bytes))
                    }
                    (Some(reason), 0) => {
                        let end = RequestsEnd::Closed { reason, is_after_answer: false };
                        Poll::Ready(Step::End(end))
                    }
                    (Some(reason), _) => {
                        let held = self.state.take_held();
                        Poll::Ready(self.refuse(reason, held.arrived, &held.bytes))
                    }
                }
            }
            Phase::Closing => Poll::Ready(Self::closed_after_answer(EndReason::LastAnswer)),
            Phase::Discarding if is_stopping => {
                Poll::Ready(Self::closed_after_answer(EndReason::Stopping))
            }
            Phase::Receiving | Phase::Unframed | Phase::Discarding => self.poll_copy(context),
            Phase::Answering if self.state.has_incomplete_request() && !is_stopping => {
                self.poll_copy(context)
            }
            Phase::Awaiting | Phase::Answering => self.poll_hold(context),
        }
    }

    fn closed_after_answer(reason: EndReason) -> Step {
        Step::End(RequestsEnd::Closed { reason, is_after_answer: true })
    }

    /// Waits for bytes and copies them, unless the caller has closed by then: an overloaded router
    /// would otherwise forward requests of callers that left long ago.
    fn poll_copy(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        BUFFER.with_borrow_mut(|buffer| {
            let length = ready!(self.poll_read(context, buffer));
            let Some(length) = length else { return Poll::Ready(Step::CALLER_CLOSED) };
            let arrived = self.date_read();
            Poll::Ready(self.copy_bytes(context, arrived, &buffer[..length]))
        })
    }

    fn poll_read(&mut self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<Option<usize>> {
        self.dating.before_read(self.runtime);
        let read = poll_read_available(&mut self.caller, context, buffer);
        if read.is_pending() {
            self.dating.on_pending();
        }
        read
    }

    /// Returns when the bytes that were just read arrived.
    fn date_read(&mut self) -> Timestamp {
        self.dating.date(self.runtime.now())
    }

    /// Copies bytes that arrived at `arrived`.
    fn copy_bytes(&mut self, context: &mut Context<'_>, arrived: Timestamp, bytes: &[u8]) -> Step {
        let begins = self.state.phase() == Phase::Idle;
        if begins && has_closed(&self.peer) {
            return self.refuse(EndReason::Disconnected, arrived, bytes);
        }
        // A request that began before is not complete, so it has not run and will not.
        if self.stop.accepts_none.is_triggered() {
            return self.refuse(EndReason::Stopping, arrived, bytes);
        }
        let is_incomplete = matches!(self.state.phase(), Phase::Idle | Phase::Receiving);
        if is_incomplete && !self.forwarded.is_current() {
            return self.refuse(EndReason::ConfigurationChanged, arrived, bytes);
        }
        let now = self.runtime.now();
        let length = self.state.on_request(now, arrived, bytes);
        let bytes = &bytes[..length];
        if begins {
            return self.write(context, &[&encode_age(now.since(arrived)), bytes].concat());
        }
        self.write(context, bytes)
    }

    /// Writes bytes to the peer and returns the rest as the next step.
    fn write(&mut self, context: &mut Context<'_>, bytes: &[u8]) -> Step {
        // The rest fails, too, if the connection has failed.
        let unwritten = write_some(&mut self.peer, context, bytes);
        Step::Write(unwritten.unwrap_or_else(|_| bytes.to_vec()))
    }

    fn refuse(&self, reason: EndReason, arrived: Timestamp, bytes: &[u8]) -> Step {
        self.state.on_request(self.runtime.now(), arrived, bytes);
        // Kept in the state, since the end of the answers may be noticed before this one.
        self.state.on_undelivered();
        Step::End(RequestsEnd::Refused(reason))
    }

    /// Refuses the next request if it comes soon, and otherwise closes the connection. No answer has
    /// announced that it closes, so the caller may just have sent a request, and can't repeat one
    /// that is read and dropped.
    async fn refuse_next(&mut self, reason: EndReason) -> Step {
        let runtime = self.runtime;
        let request = poll_fn(|context| {
            BUFFER.with_borrow_mut(|buffer| {
                let length = ready!(self.poll_read(context, buffer));
                let Some(length) = length else { return Poll::Ready(Step::CALLER_CLOSED) };
                let arrived = self.date_read();
                Poll::Ready(self.refuse(reason, arrived, &buffer[..length]))
            })
        });
        let none = async {
            runtime.sleep(NEXT_REQUEST_TIME).await;
            Step::End(RequestsEnd::Closed { reason, is_after_answer: false })
        };
        request.or(none).await
    }

    /// Waits for bytes and holds them.
    fn poll_hold(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let most = MAX_HELD_BYTES.saturating_sub(self.state.held());
        if most == 0 {
            return Poll::Pending;
        }
        BUFFER.with_borrow_mut(|buffer| {
            let length = ready!(self.poll_read(context, &mut buffer[..most]));
            let Some(length) = length else { return Poll::Ready(Step::CALLER_CLOSED) };
            let arrived = self.date_read();
            self.state.hold(arrived, &buffer[..length]);
            Poll::Ready(Step::NOTHING)
        })
    }
}

impl Step {
    const NOTHING: Self = Self::Write(Vec::new());
    const CALLER_CLOSED: Self = Self::End(RequestsEnd::CallerClosed);
}

/// Returns why no further request is accepted on an idle connection; `None` if one is.
fn reason_to_close(
    runtime: Runtime,
    state: &ExchangeState,
    forwarded: &dyn ForwardedConnection,
    stop: &StopPhases,
) -> Option<EndReason> {
    if state.phase() != Phase::Idle {
        None
    } else if stop.accepts_none.is_triggered() {
        Some(EndReason::Stopping)
    } else if !forwarded.is_current() {
        Some(EndReason::ConfigurationChanged)
    } else if runtime.now().since(state.idle_since()) >= IDLE_TIMEOUT {
        Some(EndReason::Idle)
    } else {
        None
    }
}

/// Returns once an idle connection must be closed.
async fn until_must_close(
    runtime: Runtime,
    state: ExchangeState,
    forwarded: Rc<dyn ForwardedConnection>,
    stop: StopPhases,
) -> EndReason {
    loop {
        if let Some(reason) = reason_to_close(runtime, &state, &*forwarded, &stop) {
            return reason;
        }
        let left = (state.idle_since() + IDLE_TIMEOUT).since(runtime.now());
        // Nothing is left while the peer sends something that no request asked for.
        let left = if left.is_zero() { IDLE_CHECK_INTERVAL } else { left };
        let check = runtime.sleep(left.min(IDLE_CHECK_INTERVAL));
        // Waiting for a signal that was triggered returns at once, and would keep the thread.
        if stop.accepts_none.is_triggered() {
            check.await;
        } else {
            stop.accepts_none.wait().or(check).await;
        }
    }
}

/// Reads what has come, at most a buffer. Returns `None` if the caller has closed its connection.
fn poll_read_available(
    caller: &mut TcpStream,
    context: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<Option<usize>> {
    let mut length = 0;
    while length < buffer.len() {
        match Pin::new(&mut *caller).poll_read(context, &mut buffer[length..]) {
            Poll::Ready(Ok(more @ 1..)) => length += more,
            Poll::Ready(Ok(_) | Err(_)) => return Poll::Ready(None),
            Poll::Pending if length == 0 => return Poll::Pending,
            Poll::Pending => break,
        }
    }
    Poll::Ready(Some(length))
}

/// Returns whether the other side has closed an idle connection.
fn has_closed(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
