//! Client of the platform's object API and machine list.
//!
//! - `GET /objects/KEY` returns an object, with its version in `etag`. With
//!   `?after=VERSION&wait-ms=N` it waits for a later version (long polling).
//! - `PUT /objects/KEY` with `if-match: "VERSION"` or `if-none-match: *` is a conditional write
//!   that returns the new version, or 412 if the precondition fails.
//! - `GET /machines` returns the machine list.
//! - 429 is returned while the rate limit is exceeded.
//!
//! Errors of writes distinguish those that certainly had no effect from those that may have had
//! one.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use mastbay_machines::MachineList;
use mastbay_web::{CallError, Client, ClientConfig, Reply};
use std::net::SocketAddr;
use std::time::Duration;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version of the object, which increases with every write.
    pub version: u64,
    /// Content of the object.
    pub value: Bytes,
}

/// Precondition of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object has this version.
    Version(u64),
    /// The object does not exist.
    Absent,
}

/// An error from reading an object or the machine list.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The platform could not be reached or did not answer in time.
    #[display("the platform did not answer: {_0}")]
    NoAnswer(CallError),
    /// The platform answered with an error status.
    #[display("the platform answered {status}")]
    Refused {
        /// Status of the answer.
        status: StatusCode,
    },
    /// The platform's answer cannot be parsed.
    #[display("the platform's answer is not understood")]
    Malformed,
}

/// An error from a conditional write.
#[derive(Debug, Display, Error)]
pub enum WriteError {
    /// The precondition does not hold; nothing was written.
    #[display("the object was changed by another")]
    Conflict,
    /// The write certainly did not take effect.
    #[display("the platform did not take the write: {_0}")]
    NotWritten(#[error(not(source))] NotWritten),
    /// No answer arrived; the write may have taken effect.
    #[display("the platform did not answer; the write may have taken effect: {_0}")]
    Unknown(CallError),
    /// The platform failed or returned no version; the write may have taken effect.
    #[display("the platform answered {status}; the write may have taken effect")]
    Ambiguous {
        /// Status of the answer.
        status: StatusCode,
    },
}

/// The reason why a write certainly did not take effect.
#[derive(Debug, Display)]
pub enum NotWritten {
    /// The platform could not be reached, or the connection failed before anything was sent.
    #[display("{_0}")]
    Unreachable(CallError),
    /// The platform rejected the write with this client error status.
    #[display("answered {_0}")]
    Refused(StatusCode),
}

/// Client of the platform.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    timeout: Duration,
    client: Client,
}

impl Platform {
    /// Creates a client of the platform at `address`, with a timeout for opening a connection and
    /// for each answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let config = ClientConfig { connect_limit: timeout, ..ClientConfig::default() };
        Self { address, timeout, client: Client::new(config) }
    }

    /// Reads an object. Returns `None` if it does not exist.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.get(&format!("/objects/{key}"), self.timeout).await
    }

    /// Waits up to `wait` for a version of an object later than `after`; zero accepts any version.
    /// Returns `None` if there is none by then.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, ReadError> {
        let path = format!("/objects/{key}?after={after}&wait-ms={}", wait.as_millis());
        let found = self.get(&path, wait + self.timeout).await?;
        Ok(found.filter(|object| object.version > after))
    }

    /// Writes an object if `precondition` holds, and returns its new version.
    pub async fn write(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<u64, WriteError> {
        let builder = Request::builder().method(Method::PUT).uri(format!("/objects/{key}"));
        let builder = match precondition {
            Precondition::Version(version) => builder.header(IF_MATCH, format!("\"{version}\"")),
            Precondition::Absent => builder.header(IF_NONE_MATCH, "*"),
        };
        match self.client.call(self.address, request(builder, value), self.timeout).await {
            Ok(reply) => written_version(&reply),
            Err(error @ CallError::Connect(_)) => {
                Err(WriteError::NotWritten(NotWritten::Unreachable(error)))
            }
            Err(CallError::Exchange(error)) if !error.written => {
                let error = CallError::Exchange(error);
                Err(WriteError::NotWritten(NotWritten::Unreachable(error)))
            }
            Err(error) => Err(WriteError::Unknown(error)),
        }
    }

    /// Reads the machine list.
    pub async fn machines(&self) -> Result<MachineList, ReadError> {
        let builder = Request::builder().uri("/machines");
        let reply = self
            .client
            .call(self.address, request(builder, Bytes::new()), self.timeout)
            .await
            .map_err(ReadError::NoAnswer)?;
        match reply.status {
            StatusCode::OK => serde_json::from_slice(&reply.body).map_err(|_| ReadError::Malformed),
            status => Err(ReadError::Refused { status }),
        }
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Option<Object>, ReadError> {
        let builder = Request::builder().uri(path);
        let reply = self
            .client
            .call(self.address, request(builder, Bytes::new()), timeout)
            .await
            .map_err(ReadError::NoAnswer)?;
        match reply.status {
            StatusCode::OK => {
                let version = version_of(&reply).ok_or(ReadError::Malformed)?;
                Ok(Some(Object { version, value: reply.body }))
            }
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(ReadError::Refused { status }),
        }
    }
}

fn request(builder: hyper::http::request::Builder, body: Bytes) -> Request<Full<Bytes>> {
    // Cannot fail: callers build keys only from characters that are valid in a path.
    builder.body(Full::new(body)).unwrap_or_default()
}

fn version_of(reply: &Reply) -> Option<u64> {
    reply.headers.get(ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn written_version(reply: &Reply) -> Result<u64, WriteError> {
    match (reply.status, version_of(reply)) {
        (StatusCode::OK, Some(version)) => Ok(version),
        (StatusCode::PRECONDITION_FAILED, _) => Err(WriteError::Conflict),
        (status, _) if status.is_client_error() => {
            Err(WriteError::NotWritten(NotWritten::Refused(status)))
        }
        (status, _) => Err(WriteError::Ambiguous { status }),
    }
}
