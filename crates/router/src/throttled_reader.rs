//! A stream that is read at intervals while the router is pressed.
//!
//! Reading each event as it arrives costs a wake-up and several system calls an event. Read at intervals,
//! all that has arrived meanwhile is passed on together, which costs as much as a single event.

use crate::runtime::{Runtime, Sleep};
use smol::io::{AsyncRead, AsyncWrite};
use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// The interval between two reads of a stream, set while it is read; without one, bytes are read as they
/// come.
#[derive(Debug, Clone, Default)]
pub struct ReadPace(Rc<Cell<Option<Duration>>>);

impl ReadPace {
    /// Sets the interval from the next read on.
    pub fn set(&self, interval: Option<Duration>) {
        self.0.set(interval);
    }
}

/// Wraps a stream and reads it at a pace.
#[derive(Debug)]
pub struct Paced<S> {
    stream: S,
    runtime: Runtime,
    pace: ReadPace,
    pause: Option<Sleep>,
}

impl<S> Paced<S> {
    /// Reads `stream` at `pace`.
    pub fn new(stream: S, runtime: Runtime, pace: ReadPace) -> Self {
        Self { stream, runtime, pace, pause: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Paced<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        if let Some(pause) = &mut self.pause {
            ready!(Pin::new(pause).poll(context));
            self.pause = None;
        }
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        self.pause = self.pace.0.get().map(|interval| self.runtime.sleep(interval));
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Paced<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
