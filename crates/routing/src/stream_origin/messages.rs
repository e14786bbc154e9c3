//! Origins of streams, and the messages about them between routers.

use mastbay_types::stable_hash;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The back ends that may continue a stream: those of one software version of one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the software.
    pub version: Arc<str>,
}

/// Identifies a stream by the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the request with an ID. IDs of different tenants are unrelated.
    pub fn new(tenant: Option<&str>, request_id: &str) -> Self {
        let tenant = tenant.unwrap_or_default().as_bytes();
        let length = (tenant.len() as u64).to_be_bytes();
        Self(stable_hash(&[&length, tenant, request_id.as_bytes()]))
    }
}

/// A stream with the time for which its origin is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamKey,
    /// Time after which the record expires, in milliseconds.
    pub kept_for_ms: u32,
}

impl StreamRecord {
    /// Creates a record that is kept for a time.
    pub fn new(stream: StreamKey, kept_for: Duration) -> Self {
        Self { stream, kept_for_ms: u32::try_from(kept_for.as_millis()).unwrap_or(u32::MAX) }
    }
}

/// Streams that began at the same origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Where they began.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<StreamRecord>,
}

/// Asks another router where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Identifies the query in replies.
    pub id: u64,
    /// The stream; `None` if the caller does not name it.
    pub stream: Option<StreamKey>,
    /// Hash of the name of the route that the stream is requested from.
    pub route: u32,
    /// Longest time since the stream began, in milliseconds.
    pub age_limit_ms: u32,
}

/// What a router knows of a stream's origin.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum KnownOrigin {
    /// It has a record.
    Recorded {
        /// Where the stream began.
        origin: StreamOrigin,
        /// Time since the record was written.
        age: Duration,
    },
    /// Several origins were reported for the stream.
    Conflicting,
    /// It has no record.
    #[default]
    NotRecorded,
}

/// A router's answer to an [`OriginQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// It has a record.
    Recorded {
        /// Where the stream began.
        origin: StreamOrigin,
        /// Time since the record was written, in milliseconds.
        age_ms: u32,
    },
    /// Several origins were reported for the stream.
    Conflicting,
    /// It has no record.
    NotRecorded {
        /// The only origin that a stream of the route can have had within the age limit; `None` if
        /// there were several, or if this router has not observed all of that time.
        only: Option<StreamOrigin>,
        /// The origin that a stream of the route would have now, if only one is possible.
        current: Option<StreamOrigin>,
    },
    /// It has no record and has just started: it does not know the back ends yet.
    Starting,
}

/// A message between routers about the origins of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Records for the receiver to keep.
    Reports(Vec<OriginReport>),
    /// A question to the receiver.
    Query(OriginQuery),
    /// The answer to a query of the receiver.
    Reply(OriginReply),
}

/// Answers an [`OriginQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// The query's ID.
    pub query: u64,
    /// The answer.
    pub answer: OriginAnswer,
}
