//! Follows the answers of one connection until their last bytes are written to its socket.
//!
//! The HTTP library takes a body faster than its socket does. It flushes a socket only when it has
//! written all that it holds, so a flush ends each answer whose body it has taken whole.

use crate::local_body::{AnswerObserver, LocalBody};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::{Method, Response, StatusCode};
use mastbay_web::BodyError;
use smol::io::AsyncWrite;
use std::cell::{Cell, RefCell};
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// An answer that is not written to its end.
struct OpenAnswer {
    observer: Rc<dyn AnswerObserver>,
    /// Whether the library has taken the whole body.
    is_taken: Rc<Cell<bool>>,
}

/// The answers of one connection that are not written to their ends. Clones share them.
#[derive(Clone, Default)]
pub struct AnswerWrites(Rc<RefCell<Vec<OpenAnswer>>>);

impl AnswerWrites {
    /// Follows an answer to a request with `method`.
    pub fn follow(&self, method: &Method, response: Response<LocalBody>) -> Response<FollowedBody> {
        let has_body = *method != Method::HEAD && may_have_body(response.status());
        response.map(|mut body| {
            let is_taken = Rc::new(Cell::new(!has_body || body.is_end_stream()));
            if let Some(observer) = body.take_observer() {
                let answer = OpenAnswer { observer, is_taken: is_taken.clone() };
                self.0.borrow_mut().push(answer);
            }
            FollowedBody { body, is_taken }
        })
    }

    fn on_bytes(&self, bytes: usize) {
        if let Some(answer) = self.0.borrow().first() {
            answer.observer.on_bytes(bytes);
        }
    }

    fn on_flushed(&self) {
        let mut answers = self.0.borrow_mut();
        for answer in answers.extract_if(.., |answer| answer.is_taken.get()) {
            answer.observer.on_written();
        }
    }
}

/// Returns whether an answer with `status` may have a body.
fn may_have_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// A body that tells when the library has taken it whole.
pub struct FollowedBody {
    body: LocalBody,
    is_taken: Rc<Cell<bool>>,
}

impl Body for FollowedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let is_end = match &frame {
            Some(Ok(_)) => self.body.is_end_stream(),
            Some(Err(_)) => false,
            None => true,
        };
        if is_end {
            self.is_taken.set(true);
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

/// The stream of a connection, which tells what is written.
pub struct FollowedStream<S> {
    stream: S,
    writes: AnswerWrites,
}

impl<S> FollowedStream<S> {
    /// Wraps `stream`.
    pub fn new(stream: S, writes: AnswerWrites) -> Self {
        Self { stream, writes }
    }
}

mastbay_web::delegate_reads!(FollowedStream);

impl<S: AsyncWrite + Unpin> AsyncWrite for FollowedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.writes.on_bytes(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers))?;
        self.writes.on_bytes(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.writes.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
