//! A body in memory that is written in chunks.

use hyper::body::{Body, Bytes, Frame, SizeHint};
use mastbay_web::BodyError;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Size of the chunks of a body, in bytes. hyper copies each chunk into its write buffer, so large
/// chunks would double the memory of a body.
const CHUNK_SIZE: usize = 32 << 10;

/// A body in memory, written in chunks.
#[derive(Debug)]
pub struct ChunkedBody<T = ()> {
    remaining: Bytes,
    _guard: T,
}

impl ChunkedBody {
    /// Creates a body from `bytes`.
    pub fn new(bytes: Bytes) -> Self {
        Self::with_guard((), bytes)
    }
}

impl<T> ChunkedBody<T> {
    /// Creates a body from `bytes` that holds `guard` until the body is dropped.
    pub fn with_guard(guard: T, bytes: Bytes) -> Self {
        Self { remaining: bytes, _guard: guard }
    }
}

impl<T: Unpin> Body for ChunkedBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.remaining.len().min(CHUNK_SIZE);
        let chunk = self.remaining.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
