//! The back end that a stream is read from.

use crate::headers::is_delimited;
use crate::pool::BackEndConnection;
use crate::run_progress::BodyTimes;
use crate::ticket::Ticket;
use hyper::header::HeaderMap;
use mastbay_routing::{BackEnd, BackEndId, Fault};
use mastbay_web::MeteredBody;
use std::net::SocketAddr;
use std::sync::Arc;

/// The back end that a stream is read from.
pub struct StreamSource {
    /// The ticket for the slot at the back end.
    pub ticket: Ticket,
    /// The back end.
    pub back_end: StreamBackEnd,
    /// The connection, which is reused after the end of the stream.
    pub connection: BackEndConnection,
    /// The body of the answer.
    pub body: MeteredBody,
    /// Whether the end of the body is marked, so that a truncated stream is detected.
    pub is_delimited: bool,
    /// When the body was received.
    pub times: BodyTimes,
}

impl StreamSource {
    /// Creates the source of an answer whose head, with `headers`, was just received.
    pub fn new(
        ticket: Ticket,
        back_end: &BackEnd,
        connection: BackEndConnection,
        headers: &HeaderMap,
        body: MeteredBody,
    ) -> Self {
        Self {
            ticket,
            back_end: StreamBackEnd::from(back_end),
            connection,
            body,
            is_delimited: is_delimited(headers),
            times: BodyTimes::default(),
        }
    }
}

impl StreamSource {
    /// Closes the connection, since the back end is left. Returns the back end's ID.
    pub fn close(self) -> BackEndId {
        self.ticket.fail(Fault::Broken);
        self.back_end.id
    }
}

/// The back end of a stream, as it was when the stream was placed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamBackEnd {
    /// Its ID.
    pub id: BackEndId,
    /// The version of its software.
    pub version: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
}

impl From<&BackEnd> for StreamBackEnd {
    fn from(back_end: &BackEnd) -> Self {
        Self {
            id: back_end.id.clone(),
            version: back_end.version.clone(),
            address: back_end.address,
        }
    }
}
