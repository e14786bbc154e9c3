//! Wakes a connection after a write that was pending before.
//!
//! The HTTP library may write several times in one turn. If a write is pending, it may write again in
//! the same turn and then wait to be woken for the first one. A socket forgets its waker when a later
//! write succeeds, so that nothing would wake the connection any more.

use smol::io::AsyncWrite;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream that wakes its task when a write succeeds after one was pending.
#[derive(Debug)]
pub struct WakingWriter<S> {
    stream: S,
    /// Whether the last write was pending.
    is_pending: bool,
}

impl<S> WakingWriter<S> {
    /// Wraps `stream`.
    pub fn new(stream: S) -> Self {
        Self { stream, is_pending: false }
    }

    /// Wakes the task if `written` completes a write after a pending one.
    fn wake_if_completed(&mut self, context: &Context<'_>, written: &Poll<Result<usize>>) {
        let was_pending = std::mem::replace(&mut self.is_pending, written.is_pending());
        if was_pending && written.is_ready() {
            context.waker().wake_by_ref();
        }
    }
}

crate::delegate_reads!(WakingWriter);

impl<S: AsyncWrite + Unpin> AsyncWrite for WakingWriter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.wake_if_completed(context, &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.wake_if_completed(context, &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
