//! Bodies of requests and responses.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use smol::channel::Receiver;
use smol::stream::StreamExt;

/// The body of responses sent by a [`Server`](crate::Server).
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// An error that aborts a streamed body: the connection closes before the end of the body, so the
/// receiver can tell that it is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the answer broke off")]
pub struct BodyError;

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a body from all its bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Serializes `value` as a JSON body, or `null` if it cannot be serialized.
pub fn json(value: &impl Serialize) -> Body {
    full(serde_json::to_vec(value).unwrap_or_else(|_| b"null".to_vec()))
}

/// Creates a body from a channel of chunks. It ends when the channel closes, and is aborted by an
/// `Err`.
pub fn streamed(chunks: Receiver<Result<Bytes, BodyError>>) -> Body {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// An error from reading a whole body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ReadBodyError {
    /// The body is longer than the limit.
    #[display("the body is longer than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body ended early or violated the protocol.
    #[display("the body broke off")]
    Broken,
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_limited<B>(body: B, limit: usize) -> Result<Bytes, ReadBodyError>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLarge { limit }),
        Err(_) => Err(ReadBodyError::Broken),
    }
}
