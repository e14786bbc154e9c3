//! A stream wrapper that limits how often the stream is read.
//!
//! Reading each event on arrival costs a wake-up and several system calls per event. Under load,
//! events are read at intervals, so that those which arrived in between are relayed together.

use crate::runtime::{Runtime, Sleep};
use smol::io::AsyncRead;
use std::cell::Cell;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// A shared handle that sets the interval between two reads of a stream while it is in use. Without
/// an interval, bytes are read as they arrive.
#[derive(Debug, Clone, Default)]
pub struct ReadInterval(Rc<Cell<Option<Duration>>>);

impl ReadInterval {
    /// Sets the interval, which applies after the next read.
    pub fn set(&self, interval: Option<Duration>) {
        self.0.set(interval);
    }
}

/// A stream whose reads are separated by a [`ReadInterval`]. Writes are not delayed.
#[derive(Debug)]
pub struct ThrottledReader<S> {
    stream: S,
    runtime: Runtime,
    interval: ReadInterval,
    delay: Option<Sleep>,
}

impl<S> ThrottledReader<S> {
    /// Wraps `stream`.
    pub fn new(stream: S, runtime: Runtime, interval: ReadInterval) -> Self {
        Self { stream, runtime, interval, delay: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ThrottledReader<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        if let Some(delay) = &mut self.delay {
            ready!(Pin::new(delay).poll(context));
            self.delay = None;
        }
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        self.delay = self.interval.0.get().map(|interval| self.runtime.sleep(interval));
        Poll::Ready(read)
    }
}

mastbay_web::delegate_writes!(ThrottledReader);
