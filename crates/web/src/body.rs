//! Bodies of requests and responses.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use smol::channel::Receiver;
use smol::stream::StreamExt;

/// The body of every response that a server of ours sends.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Ends a streamed body visibly: the connection closes before the body's proper end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the answer broke off")]
pub struct BodyError;

/// An empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body known in full.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A JSON body; a value that JSON cannot hold becomes `null`.
pub fn json(value: &impl Serialize) -> Body {
    full(serde_json::to_vec(value).unwrap_or_else(|_| b"null".to_vec()))
}

/// A body that ends when the channel closes, properly or, after an `Err`, visibly broken.
pub fn streamed(chunks: Receiver<Result<Bytes, BodyError>>) -> Body {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Why a body could not be read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ReadBodyError {
    /// It is longer than allowed.
    #[display("the body is longer than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// It ended early or broke the protocol.
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
