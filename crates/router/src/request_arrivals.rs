//! When the requests of a connection began to arrive: a caller's deadline counts from there, however
//! late the router reads the rest of a head, the next request of a connection, or the connection
//! itself.

use crate::message_framing::{MessageFraming, MessageProgress};
use crate::receive_time::{ReadDelay, ReceiveTimes};
use crate::runtime::Runtime;
use mastbay_types::Timestamp;
use smol::io::AsyncRead;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Length of the age that a forwarding router sends before each request, in bytes.
pub const AGE_LENGTH: usize = 4;

/// Encodes the age of a request: milliseconds, big endian.
pub fn encode_age(age: Duration) -> [u8; AGE_LENGTH] {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX).to_be_bytes()
}

/// How the ages of the requests of a connection are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgeSource {
    /// From when their bytes are read.
    Reading,
    /// From the ages that a forwarding router sends before each of them.
    ForwardingRouter,
}

/// Returns how long bytes that are read now may have waited in a socket.
pub type ReadDelays = Rc<dyn Fn() -> ReadDelay>;

/// Dates the first bytes of a connection, which may have waited since it was accepted.
#[derive(Debug)]
pub struct FirstRead {
    /// The earliest time at which the connection may have come; `None` once a read found nothing.
    connected: Option<Timestamp>,
}

impl FirstRead {
    /// Creates the state of a connection from which nothing was read. It came at `connected` or
    /// later.
    pub fn new(connected: Timestamp) -> Self {
        Self { connected: Some(connected) }
    }

    /// Returns whether bytes that are read first may have waited since the connection came.
    pub fn may_have_waited(&self, now: Timestamp) -> bool {
        self.connected.is_some_and(|connected| connected < now)
    }

    /// Records that a read found nothing.
    pub fn on_pending(&mut self) {
        self.connected = None;
    }

    /// Returns the earliest time at which bytes read now may have arrived.
    pub fn date(&mut self, now: Timestamp, delay: Duration) -> Timestamp {
        self.connected.take().unwrap_or_else(|| now.saturating_sub(delay))
    }
}

/// Follows the framing of the requests of one connection and records when each began.
#[derive(Debug)]
pub struct RequestArrivals {
    source: AgeSource,
    /// The request under way.
    framing: MessageFraming,
    has_begun: bool,
    /// Bytes of an age that is incomplete.
    age: Vec<u8>,
    /// The age of the request under way.
    told_age: Duration,
    /// When the requests began whose heads were not taken yet.
    begun: VecDeque<Timestamp>,
}

impl RequestArrivals {
    /// Creates the state of a connection before its first byte.
    pub fn new(source: AgeSource) -> Self {
        Self {
            source,
            framing: MessageFraming::request(),
            has_begun: false,
            age: Vec::new(),
            told_age: Duration::ZERO,
            begun: VecDeque::new(),
        }
    }

    /// Processes bytes that arrived at `arrived`. Moves those that belong to requests to the front of
    /// `bytes` and returns their number; the others are ages.
    pub fn on_read(&mut self, arrived: Timestamp, bytes: &mut [u8]) -> usize {
        let (mut read, mut kept) = (0, 0);
        while read < bytes.len() {
            read += self.read_age(&bytes[read..]);
            if self.expects_age() {
                break;
            }
            let length = self.framing.advance(&bytes[read..]);
            self.on_request_bytes(arrived, &bytes[read..read + length]);
            if read != kept {
                bytes.copy_within(read..read + length, kept);
            }
            read += length;
            kept += length;
        }
        kept
    }

    /// Returns when the next request began whose head is complete; `None` if its framing is unknown.
    pub fn take_next(&mut self) -> Option<Timestamp> {
        self.begun.pop_front()
    }

    fn expects_age(&self) -> bool {
        self.source == AgeSource::ForwardingRouter
            && self.framing.progress() == MessageProgress::NotBegun
            && self.age.len() < AGE_LENGTH
    }

    /// Reads an age if one is expected. Returns the number of its bytes.
    fn read_age(&mut self, bytes: &[u8]) -> usize {
        if !self.expects_age() {
            return 0;
        }
        let length = bytes.len().min(AGE_LENGTH - self.age.len());
        self.age.extend_from_slice(&bytes[..length]);
        if let Ok(age) = <[u8; AGE_LENGTH]>::try_from(&self.age[..]) {
            self.told_age = Duration::from_millis(u32::from_be_bytes(age).into());
        }
        length
    }

    fn on_request_bytes(&mut self, arrived: Timestamp, bytes: &[u8]) {
        // Empty lines before a request don't begin it.
        let begins = |byte: &u8| !matches!(byte, b'\r' | b'\n');
        if !self.has_begun && bytes.iter().any(begins) {
            self.has_begun = true;
            self.begun.push_back(arrived.saturating_sub(self.told_age));
        }
        if self.framing.progress() == MessageProgress::Ended {
            self.framing = MessageFraming::request();
            self.has_begun = false;
            self.age.clear();
        }
    }
}

/// The record of the requests of a connection, shared by its stream and the service that handles
/// them.
pub type SharedArrivals = Rc<RefCell<RequestArrivals>>;

/// Dates what is read from a connection.
pub struct ReadDating {
    first_read: FirstRead,
    delays: ReadDelays,
    receive_times: Box<dyn ReceiveTimes>,
    /// How long before the last read its bytes were received, if they may have waited and it is
    /// known.
    recorded: Option<Duration>,
}

impl ReadDating {
    /// Creates the state of a connection that came at `connected` or later.
    pub fn new(
        connected: Timestamp,
        delays: ReadDelays,
        receive_times: Box<dyn ReceiveTimes>,
    ) -> Self {
        Self { first_read: FirstRead::new(connected), delays, receive_times, recorded: None }
    }

    /// Prepares for a read: once the bytes are read, the system does not tell any more when they were
    /// received.
    pub fn before_read(&mut self, runtime: Runtime) {
        let may_have_waited =
            !(self.delays)().longest.is_zero() || self.first_read.may_have_waited(runtime.now());
        let received_at = may_have_waited.then(|| self.receive_times.received_at()).flatten();
        self.recorded = received_at.map(|at| runtime.wall_clock().saturating_sub(at));
    }

    /// Records that a read found nothing.
    pub fn on_pending(&mut self) {
        self.first_read.on_pending();
    }

    /// Returns when the bytes arrived that were read now.
    pub fn date(&mut self, now: Timestamp) -> Timestamp {
        let delay = (self.delays)();
        let estimated = self.first_read.date(now, delay.estimated);
        delay.date(now, self.recorded.take(), estimated)
    }
}

/// A stream that records when requests begin to arrive.
pub struct ArrivalStream<S> {
    stream: S,
    runtime: Runtime,
    dating: ReadDating,
    arrivals: SharedArrivals,
}

impl<S> ArrivalStream<S> {
    /// Wraps the stream of a connection.
    pub fn new(stream: S, runtime: Runtime, dating: ReadDating, arrivals: SharedArrivals) -> Self {
        Self { stream, runtime, dating, arrivals }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ArrivalStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        loop {
            let runtime = self.runtime;
            self.dating.before_read(runtime);
            let read = Pin::new(&mut self.stream).poll_read(context, buffer);
            if read.is_pending() {
                self.dating.on_pending();
            }
            let length = ready!(read)?;
            let arrived = self.dating.date(runtime.now());
            let kept = self.arrivals.borrow_mut().on_read(arrived, &mut buffer[..length]);
            // Reading nothing would mean the end of the stream.
            if kept > 0 || length == 0 {
                return Poll::Ready(Ok(kept));
            }
        }
    }
}

mastbay_web::delegate_writes!(ArrivalStream);
