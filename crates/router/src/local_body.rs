//! Bodies of answers to callers.

use crate::chunked_body::ChunkedBody;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use mastbay_web::BodyError;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Learns how much of an answer was written to its connection. It is dropped without
/// [`Self::on_written`] if the connection ends before.
pub trait AnswerObserver {
    /// Records that `bytes` more were written.
    fn on_bytes(&self, bytes: usize);

    /// Records that the last byte was written.
    fn on_written(&self);
}

/// The body of an answer. It is not `Send`: all connections are served on one thread.
pub struct LocalBody {
    body: Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>,
    observer: Option<Rc<dyn AnswerObserver>>,
}

impl LocalBody {
    /// Creates a body that nothing observes.
    pub fn new(body: impl Body<Data = Bytes, Error = BodyError> + 'static) -> Self {
        Self { body: Box::pin(body), observer: None }
    }

    /// Lets `observer` learn how much of the answer is written.
    pub fn with_observer(self, observer: Rc<dyn AnswerObserver>) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// Takes the observer, which the connection calls from then on.
    pub fn take_observer(&mut self) -> Option<Rc<dyn AnswerObserver>> {
        self.observer.take()
    }
}

impl Body for LocalBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Creates a body from `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> LocalBody {
    full_with_guard((), bytes)
}

/// Creates a body from `bytes` that holds `guard` until the body is dropped.
pub fn full_with_guard<T: Unpin + 'static>(guard: T, bytes: impl Into<Bytes>) -> LocalBody {
    LocalBody::new(ChunkedBody::with_guard(guard, bytes.into()))
}
