//! A client of the platform's object API and machine list.
//!
//! Interface, as our stand-in serves it: `GET /objects/KEY` gives an object and its version in
//! `etag`; with `?after=VERSION&wait-ms=N` it waits for a later version. `PUT /objects/KEY` with
//! `if-match: "VERSION"` or `if-none-match: *` is a conditional update, answered with the new
//! version or with 412. `GET /machines` gives the machine list. 429 means that the rate is used up.
//!
//! Its errors keep apart what certainly did not take effect from what may have.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use mastbay_machines::MachineList;
use mastbay_web::{CallError, Client, ClientConfig, Reply};
use std::net::SocketAddr;
use std::time::Duration;

/// An object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Rises with every write of this object.
    pub version: u64,
    /// The object's value.
    pub value: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object has this version.
    Version(u64),
    /// The object does not exist.
    Absent,
}

/// A read that gave no result.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The platform could not be reached or did not answer in time.
    #[display("the platform did not answer: {_0}")]
    NoAnswer(CallError),
    /// The platform answered with an error status.
    #[display("the platform answered {status}")]
    Refused {
        /// The status.
        status: StatusCode,
    },
    /// The platform's answer is not understood.
    #[display("the platform's answer is not understood")]
    Malformed,
}

/// A conditional write that gave no version.
#[derive(Debug, Display, Error)]
pub enum WriteError {
    /// The precondition does not hold; nothing was written.
    #[display("the object was changed by another")]
    Conflict,
    /// Certainly not written.
    #[display("the platform did not take the write: {_0}")]
    NotWritten(#[error(not(source))] NotWritten),
    /// Written or not: no answer came.
    #[display("the platform did not answer; the write may have taken effect: {_0}")]
    Unknown(CallError),
    /// Written or not: the platform failed on its side.
    #[display("the platform answered {status}; the write may have taken effect")]
    Ambiguous {
        /// The status.
        status: StatusCode,
    },
}

/// Why a write certainly did not take effect.
#[derive(Debug, Display)]
pub enum NotWritten {
    /// No connection.
    #[display("{_0}")]
    Unreachable(CallError),
    /// An error status.
    #[display("answered {_0}")]
    Refused(StatusCode),
}

/// A client of the platform.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    limit: Duration,
    client: Client,
}

impl Platform {
    /// A client of the platform at `address` that waits `limit` for each answer.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        let config = ClientConfig { connect_limit: limit, ..ClientConfig::default() };
        Self { address, limit, client: Client::new(config) }
    }

    /// Reads an object.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.get(&format!("/objects/{key}"), self.limit).await
    }

    /// Waits up to `wait` for a version of an object later than `after` (zero: for any). `None` if
    /// none came.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, ReadError> {
        let path = format!("/objects/{key}?after={after}&wait-ms={}", wait.as_millis());
        let found = self.get(&path, wait + self.limit).await?;
        Ok(found.filter(|object| object.version > after))
    }

    /// Writes an object if `precondition` holds. Returns its new version.
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
        match self.client.call(self.address, request(builder, value), self.limit).await {
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
            .call(self.address, request(builder, Bytes::new()), self.limit)
            .await
            .map_err(ReadError::NoAnswer)?;
        match reply.status {
            StatusCode::OK => serde_json::from_slice(&reply.body).map_err(|_| ReadError::Malformed),
            status => Err(ReadError::Refused { status }),
        }
    }

    async fn get(&self, path: &str, limit: Duration) -> Result<Option<Object>, ReadError> {
        let builder = Request::builder().uri(path);
        let reply = self
            .client
            .call(self.address, request(builder, Bytes::new()), limit)
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
    // Keys are our own and hold only characters that a path may.
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
