//! A stream that counts the bytes written to the operating system.

use smol::io::AsyncWrite;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

/// Shared counter of the bytes written to a connection.
#[derive(Debug, Clone, Default)]
pub struct WriteCount(Arc<AtomicU64>);

impl WriteCount {
    /// Returns the number of bytes written so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::SeqCst);
    }
}

/// A stream wrapper that counts the bytes written.
#[derive(Debug)]
pub struct Counted<S> {
    stream: S,
    written: WriteCount,
}

impl<S> Counted<S> {
    /// Wraps `stream` and adds the bytes written to it to `written`.
    pub fn new(stream: S, written: WriteCount) -> Self {
        Self { stream, written }
    }
}

crate::delegate_reads!(Counted);

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.written.add(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers))?;
        self.written.add(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
