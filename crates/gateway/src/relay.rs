//! Relays a streamed answer to its caller in complete events, and resumes it at the same back end
//! if the connection breaks and the back end supports that.

use crate::answer::ErrorBody;
use crate::attempt::{OpenStream, time_left};
use crate::duty::GatewayDuty;
use crate::event_stream::StreamMeter;
use crate::journal::RequestEvent;
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
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Header of a streamed answer that the back end can resume.
const RESUMABLE: HeaderName = HeaderName::from_static("mastbay-resumable");
/// Maximum number of attempts to resume one stream.
const MAX_RESUMES: u32 = 3;
/// Timeout of a request to resume or cancel a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the chunks of a streamed body to the caller.
pub type ChunkSender = Sender<Result<Bytes, BodyError>>;

/// Relays one stream from a back end to a caller.
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
    /// Creates the relay for a stream whose head was received.
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

    /// Relays the stream to its end. Returns the service received, also after a failure.
    pub async fn run(mut self, stream: OpenStream) -> (Cost, Result<(), Failure>) {
        let OpenStream { mut body, mut connection, .. } = stream;
        let result = loop {
            match self.forward_body(&mut body).await {
                Ok(()) => {
                    self.duty.connections().keep(self.source, connection);
                    break Ok(());
                }
                Err(Failure::Broken) => match self.resume().await {
                    Ok((new_body, new_connection)) => {
                        body = new_body;
                        connection = new_connection;
                    }
                    Err(failure) => break Err(failure),
                },
                Err(failure) => break Err(failure),
            }
        };
        if result.is_err() {
            self.cancel().await;
        }
        (self.meter.service(), result)
    }

    /// Aborts the stream to the caller: sends an error event, then breaks the body.
    pub async fn abort(caller: &ChunkSender, request: &AcceptedRequest, outcome: Outcome) {
        let body = serde_json::to_string(&ErrorBody::new(&request.identity, outcome));
        let event = format!("event: error\ndata: {}\n\n", body.unwrap_or_default());
        // Sending fails only if the caller has disconnected.
        let _ = caller.send(Ok(Bytes::from(event))).await;
        let _ = caller.send(Err(BodyError)).await;
    }

    /// Forwards chunks to the caller until the body ends or the caller disconnects.
    async fn forward_body(&mut self, body: &mut Incoming) -> Result<(), Failure> {
        loop {
            let limit = time_left(self.duty, self.request.deadline);
            let next = unless_disconnected(&self.caller, body.frame());
            let frame = within(limit, next).await.map_err(|_| Failure::Deadline)?;
            match frame? {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        self.forward_chunk(&chunk).await?;
                    }
                }
                None if self.meter.is_complete() => return Ok(()),
                Some(Err(_)) | None => return Err(Failure::Broken),
            }
        }
    }

    async fn forward_chunk(&mut self, chunk: &[u8]) -> Result<(), Failure> {
        let before = self.meter.events();
        let complete = self.meter.push(chunk);
        if self.meter.is_oversized() {
            return Err(Failure::Broken);
        }
        if complete.is_empty() {
            return Ok(());
        }
        let tokens = self.meter.events() - before;
        self.ticket.progress(Cost(i64::try_from(tokens).unwrap_or(i64::MAX)));
        self.caller.send(Ok(Bytes::from(complete))).await.map_err(|_| Failure::CallerGone)
    }

    async fn resume(&mut self) -> Result<(Incoming, Connection), Failure> {
        if !self.resumable || self.resumes >= MAX_RESUMES {
            return Err(Failure::Broken);
        }
        self.resumes += 1;
        self.meter.drop_partial_event();
        let events = self.meter.events();
        let target = format!("/v1/streams/{}?after={events}", self.request.identity.id);
        let sent = self.send_stream_request(Method::GET, &target);
        let answered = unless_disconnected(&self.caller, sent).await?;
        let (response, connection) = answered.ok_or(Failure::Broken)?;
        if response.status() != StatusCode::OK {
            return Err(Failure::Broken);
        }
        self.duty.record_event(self.request.identity.id, RequestEvent::Resumed(events));
        self.duty.metrics().resumed_streams.inc();
        tracing::info!(event = "stream_resumed", request = %self.request.identity.id, events);
        Ok((response.into_body(), connection))
    }

    /// Asks a back end that keeps the stream for a resume to drop it.
    async fn cancel(&self) {
        if self.resumable {
            let target = format!("/v1/streams/{}", self.request.identity.id);
            self.send_stream_request(Method::DELETE, &target).await;
        }
    }

    async fn send_stream_request(
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
            let timeout = self.duty.settings().connect_timeout;
            let mut connection = Connection::open(self.source, timeout).await.ok()?;
            let response = connection.exchange(request).await.ok()?;
            Some((response, connection))
        };
        within(RESUME_TIMEOUT, exchange).await.ok()?
    }
}

/// Runs a future for as long as the caller is connected.
async fn unless_disconnected<T>(
    caller: &ChunkSender,
    future: impl Future<Output = T>,
) -> Result<T, Failure> {
    let disconnected = async {
        caller.closed().await;
        Err(Failure::CallerGone)
    };
    async { Ok(future.await) }.or(disconnected).await
}
