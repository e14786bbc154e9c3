//! The back end that a stream is read from.

use crate::body_budget::{BodyBudget, BodyReservation};
use crate::event_splitter::{EventSplitter, events_of, has_data};
use crate::headers::is_delimited;
use crate::pool::BackEndConnection;
use crate::run_progress::BodyTimes;
use crate::ticket::Ticket;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::HeaderMap;
use mastbay_routing::{BackEnd, BackEndId, Fault};
use mastbay_web::MeteredBody;
use std::collections::VecDeque;
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
    body: MeteredBody,
    /// Whether the end of the body is marked, so that a truncated stream is detected.
    pub is_delimited: bool,
    /// When the body was received.
    pub times: BodyTimes,
    /// Frames that were read before the stream was relayed from here.
    early: VecDeque<Frame<Bytes>>,
    /// Memory reserved for them, if they are many.
    early_reservation: Option<BodyReservation>,
}

/// A frame of a body, or its end.
pub type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Largest beginning of a stream, in bytes, that is read before the stream is relayed.
const MAX_EARLY_BYTES: usize = 64 << 10;
/// How much of it needs no reservation, in bytes: it counts as part of the connection.
const MAX_UNRESERVED_BYTES: usize = 4 << 10;

/// The source ended, or sent much, before an event with data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoEvent;

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
            early: VecDeque::new(),
            early_reservation: None,
        }
    }

    /// Returns the next frame of the body.
    pub async fn next_frame(&mut self) -> NextFrame {
        match self.early.pop_front() {
            Some(frame) => Some(Ok(frame)),
            None => {
                self.early_reservation = None;
                self.body.frame().await
            }
        }
    }

    /// Waits for an event with data, or for the end of a stream without any. What is received is
    /// relayed later.
    ///
    /// # Errors
    /// If the connection fails before, or the beginning of the stream is too large, or `budget` has no
    /// memory for it.
    pub async fn wait_for_event(&mut self, budget: &BodyBudget) -> Result<(), NoEvent> {
        let mut splitter = EventSplitter::default();
        let mut received = 0;
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| NoEvent)?;
            let bytes = frame.data_ref().cloned().unwrap_or_default();
            self.early.push_back(frame);
            received += bytes.len();
            let events = splitter.push(&bytes);
            if events.is_some_and(|events| events_of(&events).any(|event| has_data(&event))) {
                return Ok(());
            }
            if received > MAX_EARLY_BYTES {
                return Err(NoEvent);
            }
            if received > MAX_UNRESERVED_BYTES && self.early_reservation.is_none() {
                let reservation = budget.try_reserve(Some(MAX_EARLY_BYTES as u64));
                self.early_reservation = Some(reservation.ok_or(NoEvent)?);
            }
        }
        Ok(())
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
