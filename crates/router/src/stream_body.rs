//! The body of a stream's answer.

use crate::answer_end::AnswerEnd;
use crate::relay::Relay;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use mastbay_web::BodyError;
use smol::future::yield_now;
use smol::stream::{Stream, StreamExt};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

type Frames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, BodyError>>>>;

/// The body of a stream's answer. Dropping it before the end closes the connection to the back end.
pub struct StreamBody {
    frames: Frames,
    /// Records the end of the request.
    end: Rc<AnswerEnd>,
}

impl StreamBody {
    /// Creates a body from a relay that has begun, and the events that it has received so far.
    pub fn new(relay: Relay, received: Vec<Bytes>) -> Self {
        let end = relay.end();
        let first = received.into_iter().map(|events| Ok(Frame::data(events)));
        let rest = smol::stream::unfold(Some(relay), |relay| async move {
            let mut relay = relay?;
            match relay.next_or_abort().await? {
                Ok(events) => Some((Ok(Frame::data(events)), Some(relay))),
                Err(_) => {
                    // The error closes the connection. What was sent before is written first.
                    yield_now().await;
                    Some((Err(BodyError), None))
                }
            }
        });
        Self { frames: Box::pin(smol::stream::iter(first).chain(rest)), end }
    }

    /// Returns what records the end of the request.
    pub fn end(&self) -> Rc<AnswerEnd> {
        self.end.clone()
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.frames.poll_next(context)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
