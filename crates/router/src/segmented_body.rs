//! A body in memory that consists of several segments.

use hyper::body::{Body, Bytes, Frame, SizeHint};
use mastbay_web::BodyError;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that is written segment by segment, and holds a guard until it is dropped.
#[derive(Debug)]
pub struct SegmentedBody<T> {
    segments: VecDeque<Bytes>,
    remaining: u64,
    _guard: T,
}

impl<T> SegmentedBody<T> {
    /// Creates a body from segments, none of which is empty.
    pub fn new(segments: VecDeque<Bytes>, guard: T) -> Self {
        let remaining = segments.iter().map(|segment| segment.len() as u64).sum();
        Self { segments, remaining, _guard: guard }
    }
}

impl<T: Unpin> Body for SegmentedBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let segment = self.segments.pop_front();
        self.remaining -= segment.as_ref().map_or(0, |segment| segment.len() as u64);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}
