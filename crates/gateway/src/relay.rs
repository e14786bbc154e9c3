//! Brings a stream to its caller, event by event, and goes on with it at the same back end if the
//! connection breaks and the back end can resume.

use crate::answer::ErrorBody;
use crate::attempt::{OpenStream, time_left};
use crate::duty::GatewayDuty;
use crate::event_stream::StreamMeter;
use crate::journal::Happening;
use crate::request::AcceptedRequest;
use crate::ticket::Ticket;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName};
use hyper::{Method, Request, StatusCode};
use mastbay_attempts::{Failure, Outcome};
use mastbay_types::Cost;
use mastbay_web::{BodyError, Connection, within};
use smol::channel::Sender;
use std::net::SocketAddr;
use std::time::Duration;

/// A back end that can resume a stream says so with this header.
const RESUMABLE: HeaderName = HeaderName::from_static("mastbay-resumable");
/// Times that one stream is resumed.
const MOST_RESUMES: u32 = 3;
/// Time for a back end to take a stream up again, or to cancel it.
const RESUME_LIMIT: Duration = Duration::from_secs(2);

/// Chunks on their way to the caller.
pub type ChunkSender = Sender<Result<Bytes, BodyError>>;

/// A stream under way.
pub struct Relay<'a> {
    duty: &'a GatewayDuty,
    request: &'a AcceptedRequest,
    ticket: &'a mut Ticket,
    caller: ChunkSender,
    meter: StreamMeter,
    source: SocketAddr,
    resumable: bool,
    resumes: u32,
}

impl<'a> Relay<'a> {
    /// A stream whose head has come.
    pub fn new(
        duty: &'a GatewayDuty,
        request: &'a AcceptedRequest,
        ticket: &'a mut Ticket,
        caller: ChunkSender,
        stream: &OpenStream,
    ) -> Self {
        Self {
            duty,
            request,
            ticket,
            caller,
            meter: StreamMeter::default(),
            source: stream.source,
            resumable: stream.headers.contains_key(RESUMABLE),
            resumes: 0,
        }
    }

    /// Carries the stream to its end. Returns the service that it carried.
    pub async fn carry(mut self, stream: OpenStream) -> (Cost, Result<(), Failure>) {
        let OpenStream { mut body, mut connection, .. } = stream;
        let result = loop {
            match self.pump(&mut body).await {
                Ok(()) => {
                    self.duty.connections().keep(self.source, connection);
                    break Ok(());
                }
                Err(Failure::Broken) => match self.resume().await {
                    Some((new_body, new_connection)) => {
                        body = new_body;
                        connection = new_connection;
                    }
                    None => break Err(Failure::Broken),
                },
                Err(failure) => break Err(failure),
            }
        };
        if result.is_err() {
            self.cancel().await;
        }
        (self.meter.service(), result)
    }

    /// Tells the caller that its stream broke off: an event, then an end that is visibly broken.
    pub async fn break_off(caller: &ChunkSender, request: &AcceptedRequest, outcome: Outcome) {
        let body = serde_json::to_string(&ErrorBody::new(&request.name, outcome));
        let event = format!("event: error\ndata: {}\n\n", body.unwrap_or_default());
        // A caller that is gone needs no telling.
        let _ = caller.send(Ok(Bytes::from(event))).await;
        let _ = caller.send(Err(BodyError)).await;
    }

    /// Brings chunks to the caller until the body ends.
    async fn pump(&mut self, body: &mut Incoming) -> Result<(), Failure> {
        loop {
            let limit = time_left(self.duty, self.request.deadline);
            let frame = within(limit, body.frame()).await.map_err(|_| Failure::Deadline)?;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        self.pass_on(&chunk).await?;
                    }
                }
                None if self.meter.is_whole() => return Ok(()),
                Some(Err(_)) | None => return Err(Failure::Broken),
            }
        }
    }

    async fn pass_on(&mut self, chunk: &[u8]) -> Result<(), Failure> {
        let before = self.meter.events();
        let complete = self.meter.take(chunk);
        if self.meter.is_overfull() {
            return Err(Failure::Broken);
        }
        if complete.is_empty() {
            return Ok(());
        }
        let tokens = self.meter.events() - before;
        self.ticket.progress(Cost(i64::try_from(tokens).unwrap_or(i64::MAX)));
        self.caller.send(Ok(Bytes::from(complete))).await.map_err(|_| Failure::CallerGone)
    }

    async fn resume(&mut self) -> Option<(Incoming, Connection)> {
        if !self.resumable || self.resumes >= MOST_RESUMES {
            return None;
        }
        self.resumes += 1;
        self.meter.drop_partial_event();
        let events = self.meter.events();
        let target = format!("/v1/streams/{}?after={events}", self.request.name.id);
        let (response, connection) = self.call(Method::GET, &target).await?;
        if response.status() != StatusCode::OK {
            return None;
        }
        self.duty.note(self.request.name.id, Happening::Resumed(events));
        self.duty.metrics().resumed_streams.inc();
        tracing::info!(event = "stream_resumed", request = %self.request.name.id, events);
        Some((response.into_body(), connection))
    }

    /// Tells a back end that would keep the stream for a resume that nobody wants it any more.
    async fn cancel(&self) {
        if self.resumable {
            let target = format!("/v1/streams/{}", self.request.name.id);
            self.call(Method::DELETE, &target).await;
        }
    }

    async fn call(
        &self,
        method: Method,
        target: &str,
    ) -> Option<(hyper::Response<Incoming>, Connection)> {
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header(HOST, self.source.to_string())
            .body(Full::default())
            .ok()?;
        let exchange = async {
            let limit = self.duty.settings().connect_limit;
            let mut connection = Connection::open(self.source, limit).await.ok()?;
            let response = connection.exchange(request).await.ok()?;
            Some((response, connection))
        };
        within(RESUME_LIMIT, exchange).await.ok()?
    }
}
