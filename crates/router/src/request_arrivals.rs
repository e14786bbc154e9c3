//! When the requests of a connection began to arrive: a caller's deadline counts from there, however
//! late the router reads the rest of a head, the next request of a connection, or the connection
//! itself.

use crate::message_framing::{MessageFraming, MessageProgress};
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

/// Returns how long bytes that are read now may have waited in a socket, since the event loop was
/// late.
pub type ReadDelay = Rc<dyn Fn() -> Duration>;

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

/// A stream that records when requests begin to arrive.
pub struct ArrivalStream<S> {
    stream: S,
    runtime: Runtime,
    delay: ReadDelay,
    first_read: FirstRead,
    arrivals: SharedArrivals,
}

impl<S> ArrivalStream<S> {
    /// Wraps the stream of a connection that came at `connected` or later.
    pub fn new(
        stream: S,
        runtime: Runtime,
        connected: Timestamp,
        delay: ReadDelay,
        arrivals: SharedArrivals,
    ) -> Self {
        Self { stream, runtime, delay, first_read: FirstRead::new(connected), arrivals }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ArrivalStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        loop {
            let read = Pin::new(&mut self.stream).poll_read(context, buffer);
            if read.is_pending() {
                self.first_read.on_pending();
            }
            let length = ready!(read)?;
            let (now, delay) = (self.runtime.now(), (self.delay)());
            let arrived = self.first_read.date(now, delay);
            let kept = self.arrivals.borrow_mut().on_read(arrived, &mut buffer[..length]);
            // Reading nothing would mean the end of the stream.
            if kept > 0 || length == 0 {
                return Poll::Ready(Ok(kept));
            }
        }
    }
}

mastbay_web::delegate_writes!(ArrivalStream);
