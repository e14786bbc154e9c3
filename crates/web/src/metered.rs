//! Bounds what the other side of a connection can make this side read.
//!
//! An HTTP parser reads on for as long as bytes come, also while they complete nothing: informational
//! answers, the digits of a chunk's size, trailers. Without a bound, one connection keeps its thread,
//! and the parser, for as long as its other side likes.

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use smol::io::AsyncRead;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

/// Bytes that a connection reads before it lets other tasks run.
const MAX_TURN_BYTES: usize = 32 << 10;

/// The error of a connection that read more than its meter allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{bytes} bytes completed neither a head nor a piece of a body")]
pub struct ExcessBytes {
    /// The bytes read since the last head or piece of a body.
    pub bytes: u64,
}

/// Counts the bytes that a connection has read since they last completed something. Clones share the
/// count.
#[derive(Debug, Clone)]
pub struct ReadMeter {
    without_progress: Arc<AtomicU64>,
    limit: u64,
}

impl ReadMeter {
    /// Creates a meter. Reading fails once more than `limit` bytes have completed nothing.
    pub fn new(limit: u64) -> Self {
        Self { without_progress: Arc::default(), limit }
    }

    /// Creates a meter that only makes a connection let other tasks run.
    pub fn unlimited() -> Self {
        Self::new(u64::MAX)
    }

    /// Records that a head or a piece of a body was received.
    pub fn on_progress(&self) {
        self.without_progress.store(0, Ordering::Relaxed);
    }

    /// Returns the error if the limit is exceeded.
    pub fn excess(&self) -> Option<ExcessBytes> {
        let bytes = self.without_progress.load(Ordering::Relaxed);
        (bytes > self.limit).then_some(ExcessBytes { bytes })
    }

    fn on_read(&self, bytes: usize) {
        self.without_progress.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A stream whose reads are counted by a [`ReadMeter`] and that regularly lets other tasks run.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: ReadMeter,
    /// Bytes read since other tasks last could run.
    turn: usize,
}

impl<S> MeteredStream<S> {
    /// Wraps `stream`.
    pub fn new(stream: S, meter: ReadMeter) -> Self {
        Self { stream, meter, turn: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        if let Some(excess) = self.meter.excess() {
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, excess)));
        }
        if self.turn >= MAX_TURN_BYTES {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match &read {
            Poll::Ready(Ok(bytes)) => {
                self.turn += bytes;
                self.meter.on_read(*bytes);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.turn = 0,
        }
        read
    }
}

crate::delegate_writes!(MeteredStream);

/// A body that is received on a connection with a [`ReadMeter`].
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: ReadMeter,
}

impl MeteredBody {
    /// Wraps a body whose head was just received.
    pub fn new(body: Incoming, meter: ReadMeter) -> Self {
        meter.on_progress();
        Self { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(_)) = &frame {
            self.meter.on_progress();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
