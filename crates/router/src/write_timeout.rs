//! A stream wrapper that fails writes which make no progress for too long.
//!
//! An answer that its caller does not read occupies memory here, and a slot and a connection at its
//! back end. Slow readers are served as long as some bytes are written within each timeout.

use crate::runtime::{Runtime, Sleep};
use smol::io::AsyncWrite;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Time without any byte written after which a write fails. It is longer than retransmissions after
/// packet loss take, and shorter than callers wait for a stream.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A stream whose writes fail with [`ErrorKind::TimedOut`] after [`WRITE_TIMEOUT`] without
/// progress.
pub struct WriteTimeoutStream<S> {
    stream: S,
    runtime: Runtime,
    deadline: Option<Sleep>,
    on_timeout: Rc<dyn Fn()>,
}

impl<S> WriteTimeoutStream<S> {
    /// Wraps `stream`. `on_timeout` is called when a write times out.
    pub fn new(stream: S, runtime: Runtime, on_timeout: Rc<dyn Fn()>) -> Self {
        Self { stream, runtime, deadline: None, on_timeout }
    }

    /// Applies the timeout to the result of polling a write.
    fn apply_timeout(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.deadline = None;
            return written;
        }
        let runtime = self.runtime;
        let deadline = self.deadline.get_or_insert_with(|| runtime.sleep(WRITE_TIMEOUT));
        if Pin::new(deadline).poll(context).is_pending() {
            return Poll::Pending;
        }
        self.deadline = None;
        (self.on_timeout)();
        Poll::Ready(Err(Error::from(ErrorKind::TimedOut)))
    }
}

mastbay_web::delegate_reads!(WriteTimeoutStream);

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.apply_timeout(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.apply_timeout(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // Flushing a socket completes at once and shows nothing about the peer's progress.
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
