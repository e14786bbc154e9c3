//! Ends connections whose callers do not read what they asked for.
//!
//! What a caller does not read is held here and at its back end: a place, memory and a connection. A caller that reads slowly keeps all
//! of these as long as some of its bytes leave; one that reads nothing for some seconds gives them up.

use crate::runtime::{Runtime, Sleep};
use smol::io::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Time for which no byte of an answer leaves until its connection ends: longer than a network heals from a lost packet, and shorter
/// than callers wait for a stream.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Wraps a connection of a caller.
pub struct UnreadGuard<S> {
    stream: S,
    runtime: Runtime,
    blocked: Option<Sleep>,
    on_unread: Rc<dyn Fn()>,
}

impl<S> UnreadGuard<S> {
    /// Ends writes to `stream` that wait for too long, and calls `on_unread` then.
    pub fn new(stream: S, runtime: Runtime, on_unread: Rc<dyn Fn()>) -> Self {
        Self { stream, runtime, blocked: None, on_unread }
    }

    /// What becomes of a write that its stream polled.
    fn bound(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let runtime = self.runtime;
        let blocked = self.blocked.get_or_insert_with(|| runtime.sleep(WRITE_TIMEOUT));
        if Pin::new(blocked).poll(context).is_pending() {
            return Poll::Pending;
        }
        self.blocked = None;
        (self.on_unread)();
        Poll::Ready(Err(Error::from(ErrorKind::TimedOut)))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for UnreadGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for UnreadGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.bound(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.bound(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // A socket has nothing to flush: that it is done says nothing about the caller.
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
